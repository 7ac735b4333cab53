#include "bench/fleet_engine.h"

/*
 * From the users' requirements: a step takes at least 7 ms, and an engine reads
 * 14 prompt tokens per ms. STEP_PER_RUN_US and CHUNK_TOKENS reproduce what
 * callers see on quiet days: events of four tokens up to 61 ms apart while
 * prompts are read, and a median first event of a report after 0.45 s.
 */
#define STEP_US 7000
#define STEP_PER_RUN_US 120
#define READ_TOKENS_PER_MS 14
#define CHUNK_TOKENS 112

struct fleet_engine {
	struct fleet_engine_options options;
	GPtrArray *runs; /* struct fleet_engine_run, in order of admission */
	int64_t copy_tokens; /* tokens reserved for copies */
	int64_t step_ends_us;
	int64_t chunk_tokens; /* prompt tokens read in the current step */
	uint64_t next_order;
	int64_t preemptions;
	int64_t recomputed_tokens;
};

/* Creates an empty engine that begins its first step at now_us. */
struct fleet_engine *
fleet_engine_create(const struct fleet_engine_options *options, int64_t now_us)
{
	struct fleet_engine *engine = g_new0(struct fleet_engine, 1);

	engine->options = *options;
	engine->runs = g_ptr_array_new_with_free_func(g_free);
	engine->step_ends_us = now_us;
	return engine;
}

/* Frees an engine with its runs; NULL is allowed. */
void fleet_engine_destroy(struct fleet_engine *engine)
{
	if (!engine)
		return;
	g_ptr_array_unref(engine->runs);
	g_free(engine);
}

static int64_t run_tokens(const struct fleet_engine_run *run)
{
	return run->prompt_tokens + run->generated;
}

static int64_t used_tokens(const struct fleet_engine *engine)
{
	int64_t used = engine->copy_tokens;

	for (guint i = 0; i < engine->runs->len; i++) {
		const struct fleet_engine_run *run =
			g_ptr_array_index(engine->runs, i);

		if (run->is_admitted)
			used += run_tokens(run);
	}
	return used;
}

/*
 * Adds a copy of run, at the front of the queue with is_first, else at its end.
 * The engine owns the run that is returned.
 */
struct fleet_engine_run *fleet_engine_add(struct fleet_engine *engine,
					  const struct fleet_engine_run *run,
					  bool is_first)
{
	struct fleet_engine_run *added = g_memdup2(run, sizeof(*run));

	added->order = engine->next_order++;
	if (is_first)
		g_ptr_array_insert(engine->runs, 0, added);
	else
		g_ptr_array_add(engine->runs, added);
	return added;
}

/* Removes and frees a run, complete or not. */
void fleet_engine_remove(struct fleet_engine *engine,
			 const struct fleet_engine_run *run)
{
	g_ptr_array_remove(engine->runs, (gpointer)run);
}

/* Reserves memory for a copy; false: there is not enough. */
bool fleet_engine_reserve_copy(struct fleet_engine *engine, int64_t tokens)
{
	if (used_tokens(engine) + tokens > engine->options.memory_tokens)
		return false;
	engine->copy_tokens += tokens;
	return true;
}

/* Releases the memory of a copy. */
void fleet_engine_release_copy(struct fleet_engine *engine, int64_t tokens)
{
	engine->copy_tokens -= tokens;
}

static int32_t admitted_count(const struct fleet_engine *engine)
{
	int32_t count = 0;

	for (guint i = 0; i < engine->runs->len; i++)
		count += ((struct fleet_engine_run *)g_ptr_array_index(
				  engine->runs, i))
				 ->is_admitted;
	return count;
}

static void admit(struct fleet_engine *engine)
{
	for (guint i = 0; i < engine->runs->len; i++) {
		struct fleet_engine_run *run =
			g_ptr_array_index(engine->runs, i);

		if (run->is_admitted)
			continue;
		if (admitted_count(engine) >= engine->options.slots ||
		    used_tokens(engine) + run_tokens(run) >
			    engine->options.memory_tokens)
			return;
		run->is_admitted = true;
	}
}

static struct fleet_engine_run *newest_run(const struct fleet_engine *engine)
{
	struct fleet_engine_run *found = NULL;

	for (guint i = 0; i < engine->runs->len; i++) {
		struct fleet_engine_run *run =
			g_ptr_array_index(engine->runs, i);

		if (run->is_admitted && (!found || run->order > found->order))
			found = run;
	}
	return found;
}

/* A preempted run reads its prompt and its generated tokens again. */
static void preempt(struct fleet_engine *engine)
{
	while (used_tokens(engine) > engine->options.memory_tokens) {
		struct fleet_engine_run *run = newest_run(engine);

		if (!run)
			return;
		run->is_admitted = false;
		engine->preemptions++;
		engine->recomputed_tokens += run_tokens(run) - run->unread;
		run->unread = run_tokens(run);
	}
}

/* The run whose prompt is being read, or NULL. Only one is read at a time. */
static struct fleet_engine_run *reading_run(const struct fleet_engine *engine)
{
	for (guint i = 0; i < engine->runs->len; i++) {
		struct fleet_engine_run *run =
			g_ptr_array_index(engine->runs, i);

		if (run->is_admitted && run->unread > 0)
			return run;
	}
	return NULL;
}

static void begin_step(struct fleet_engine *engine)
{
	const struct fleet_engine_run *read = reading_run(engine);
	int64_t step_us = STEP_US + STEP_PER_RUN_US * admitted_count(engine);

	engine->chunk_tokens = read ? MIN(read->unread, CHUNK_TOKENS) : 0;
	step_us = (int64_t)((double)step_us * engine->options.speed);
	engine->step_ends_us +=
		step_us + engine->chunk_tokens * 1000 / READ_TOKENS_PER_MS;
}

static void end_step(struct fleet_engine *engine, fleet_token_callback on_token,
		     void *data)
{
	GPtrArray *generating = g_ptr_array_new();
	struct fleet_engine_run *read = reading_run(engine);

	for (guint i = 0; i < engine->runs->len; i++) {
		struct fleet_engine_run *run =
			g_ptr_array_index(engine->runs, i);

		if (run->is_admitted && run->unread == 0)
			g_ptr_array_add(generating, run);
	}
	if (read)
		read->unread -= MIN(engine->chunk_tokens, read->unread);
	for (guint i = 0; i < generating->len; i++) {
		struct fleet_engine_run *run = g_ptr_array_index(generating, i);

		run->generated++;
		if (!run->begun_us)
			run->begun_us = engine->step_ends_us;
		on_token(data, run, engine->step_ends_us);
	}
	g_ptr_array_unref(generating);
}

/*
 * Runs the steps that end by now_us and calls back for each token. The callback
 * may remove the run.
 */
void fleet_engine_step(struct fleet_engine *engine, int64_t now_us,
		       fleet_token_callback on_token, void *data)
{
	while (engine->step_ends_us <= now_us) {
		end_step(engine, on_token, data);
		preempt(engine);
		admit(engine);
		begin_step(engine);
	}
}

/* Number of preemptions so far. */
int64_t fleet_engine_preemptions(const struct fleet_engine *engine)
{
	return engine->preemptions;
}

/* Number of tokens that had to be read again after a preemption. */
int64_t fleet_engine_recomputed_tokens(const struct fleet_engine *engine)
{
	return engine->recomputed_tokens;
}
