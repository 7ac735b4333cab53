#include "bench/fleet_engine.h"

/*
 * Figures of the users' sheets: a step takes 7 ms and more, 14 prompt tokens
 * are read in a ms. What a running generation adds to a step, and how much of a
 * prompt is read in one, is set to what callers saw on quiet days: events of
 * four tokens up to 61 ms apart while prompts are read, a first event after
 * 0.45 s (half of the reports).
 */
#define STEP_US 7000
#define STEP_PER_RUN_US 120
#define READ_TOKENS_PER_MS 14
#define CHUNK_TOKENS 112

struct fleet_engine {
	struct fleet_engine_options options;
	GPtrArray *runs; /* struct fleet_run_at, in order of admission */
	int64_t copies;	 /* tokens kept for others */
	int64_t step_ends_us;
	int64_t chunk; /* read in the step that runs */
	uint64_t next_order;
	int64_t preemptions;
	int64_t read_again;
};

/* An empty engine that begins its first step now. */
struct fleet_engine *
fleet_engine_create(const struct fleet_engine_options *options, int64_t now_us)
{
	struct fleet_engine *engine = g_new0(struct fleet_engine, 1);

	engine->options = *options;
	engine->runs = g_ptr_array_new_with_free_func(g_free);
	engine->step_ends_us = now_us;
	return engine;
}

/* Frees it with its runs; NULL is allowed. */
void fleet_engine_destroy(struct fleet_engine *engine)
{
	if (!engine)
		return;
	g_ptr_array_unref(engine->runs);
	g_free(engine);
}

static int64_t run_tokens(const struct fleet_run_at *run)
{
	return run->prompt_tokens + run->made;
}

static int64_t used_tokens(const struct fleet_engine *engine)
{
	int64_t used = engine->copies;

	for (guint i = 0; i < engine->runs->len; i++) {
		const struct fleet_run_at *run =
			g_ptr_array_index(engine->runs, i);

		if (run->is_admitted)
			used += run_tokens(run);
	}
	return used;
}

/* Takes a run; is_first: before those that wait. Owned by the engine. */
struct fleet_run_at *fleet_engine_add(struct fleet_engine *engine,
				      const struct fleet_run_at *run,
				      bool is_first)
{
	struct fleet_run_at *added = g_memdup2(run, sizeof(*run));

	added->order = engine->next_order++;
	if (is_first)
		g_ptr_array_insert(engine->runs, 0, added);
	else
		g_ptr_array_add(engine->runs, added);
	return added;
}

/* The run is over here, whole or not. */
void fleet_engine_remove(struct fleet_engine *engine,
			 const struct fleet_run_at *run)
{
	g_ptr_array_remove(engine->runs, (gpointer)run);
}

/* Room for a copy; false: there is none. */
bool fleet_engine_keep_copy(struct fleet_engine *engine, int64_t tokens)
{
	if (used_tokens(engine) + tokens > engine->options.memory_tokens)
		return false;
	engine->copies += tokens;
	return true;
}

/* Gives the room of a copy back. */
void fleet_engine_drop_copy(struct fleet_engine *engine, int64_t tokens)
{
	engine->copies -= tokens;
}

static int32_t admitted_count(const struct fleet_engine *engine)
{
	int32_t count = 0;

	for (guint i = 0; i < engine->runs->len; i++)
		count += ((struct fleet_run_at *)g_ptr_array_index(engine->runs,
								   i))
				 ->is_admitted;
	return count;
}

static void admit(struct fleet_engine *engine)
{
	for (guint i = 0; i < engine->runs->len; i++) {
		struct fleet_run_at *run = g_ptr_array_index(engine->runs, i);

		if (run->is_admitted)
			continue;
		if (admitted_count(engine) >= engine->options.slots ||
		    used_tokens(engine) + run_tokens(run) >
			    engine->options.memory_tokens)
			return;
		run->is_admitted = true;
	}
}

static struct fleet_run_at *newest(const struct fleet_engine *engine)
{
	struct fleet_run_at *found = NULL;

	for (guint i = 0; i < engine->runs->len; i++) {
		struct fleet_run_at *run = g_ptr_array_index(engine->runs, i);

		if (run->is_admitted && (!found || run->order > found->order))
			found = run;
	}
	return found;
}

/* A preempted run is read again, with all that it has made. */
static void preempt(struct fleet_engine *engine)
{
	while (used_tokens(engine) > engine->options.memory_tokens) {
		struct fleet_run_at *run = newest(engine);

		if (!run)
			return;
		run->is_admitted = false;
		engine->preemptions++;
		engine->read_again += run_tokens(run) - run->unread;
		run->unread = run_tokens(run);
	}
}

/* The run whose prompt is being read, or NULL: one after another. */
static struct fleet_run_at *reading(const struct fleet_engine *engine)
{
	for (guint i = 0; i < engine->runs->len; i++) {
		struct fleet_run_at *run = g_ptr_array_index(engine->runs, i);

		if (run->is_admitted && run->unread > 0)
			return run;
	}
	return NULL;
}

static void begin_step(struct fleet_engine *engine)
{
	const struct fleet_run_at *read = reading(engine);
	int64_t step_us = STEP_US + STEP_PER_RUN_US * admitted_count(engine);

	engine->chunk = read ? MIN(read->unread, CHUNK_TOKENS) : 0;
	step_us = (int64_t)((double)step_us * engine->options.speed);
	engine->step_ends_us +=
		step_us + engine->chunk * 1000 / READ_TOKENS_PER_MS;
}

static void end_step(struct fleet_engine *engine, fleet_made made, void *data)
{
	GPtrArray *makers = g_ptr_array_new();
	struct fleet_run_at *read = reading(engine);

	for (guint i = 0; i < engine->runs->len; i++) {
		struct fleet_run_at *run = g_ptr_array_index(engine->runs, i);

		if (run->is_admitted && run->unread == 0)
			g_ptr_array_add(makers, run);
	}
	if (read)
		read->unread -= MIN(engine->chunk, read->unread);
	for (guint i = 0; i < makers->len; i++) {
		struct fleet_run_at *run = g_ptr_array_index(makers, i);

		run->made++;
		if (!run->begun_us)
			run->begun_us = engine->step_ends_us;
		made(data, run, engine->step_ends_us);
	}
	g_ptr_array_unref(makers);
}

/* Runs to now_us; tells each token that was made, after which a run may go. */
void fleet_engine_step(struct fleet_engine *engine, int64_t now_us,
		       fleet_made made, void *data)
{
	while (engine->step_ends_us <= now_us) {
		end_step(engine, made, data);
		preempt(engine);
		admit(engine);
		begin_step(engine);
	}
}

/* Runs that lost their memory. */
int64_t fleet_engine_preemptions(const struct fleet_engine *engine)
{
	return engine->preemptions;
}

/* Tokens read a second time because of that. */
int64_t fleet_engine_read_again(const struct fleet_engine *engine)
{
	return engine->read_again;
}
