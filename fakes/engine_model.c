#include "fakes/engine_model_state.h"

#include <string.h>

/*
 * An engine of 60,000 tokens whose steps take 16 ms when it is full and 29 ms
 * when it reads a prompt besides.
 */
void engine_model_options_default(struct engine_model_options *options)
{
	memset(options, 0, sizeof(*options));
	options->capacity_tokens = 60000;
	options->max_batch = 256;
	options->step_base_us = 8000;
	options->step_per_request_us = 30;
	options->step_per_kilotoken_us = 80;
	options->prefill_tokens_per_s = 20000;
	options->prefill_chunk_tokens = 256;
	options->prefix_cache_tokens = 20000;
	options->load_lag_us = 500 * 1000;
	options->checks_fence = true;
	options->seed = 1;
}

/* Higher priority first, then who came first, also when preempted since. */
static gint generation_compare(gconstpointer a, gconstpointer b,
			       gpointer data G_GNUC_UNUSED)
{
	const struct generation *x = a;
	const struct generation *y = b;

	if (x->request.priority != y->request.priority)
		return x->request.priority > y->request.priority ? -1 : 1;
	return x->arrival < y->arrival ? -1 : x->arrival > y->arrival;
}

/* An idle engine; its memory and its prefix cache are empty. */
struct engine_model *
engine_model_create(const struct engine_model_options *options)
{
	struct engine_model *engine = g_new0(struct engine_model, 1);

	engine->options = *options;
	engine->generations = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	engine->waiting = g_sequence_new(NULL);
	engine->running = g_ptr_array_new();
	engine->ready = g_array_new(FALSE, FALSE, sizeof(struct engine_output));
	engine->step_end_us = NEVER;
	engine->slowdown = 1;
	engine->random = options->seed;
	engine->cache = prefix_cache_create(options->prefix_cache_tokens);
	engine->loads = load_history_create(options->load_lag_us);
	engine->target = g_strdup("");
	return engine;
}

/* Frees the engine and all generations; NULL is allowed. */
void engine_model_destroy(struct engine_model *engine)
{
	if (!engine)
		return;
	load_history_destroy(engine->loads);
	prefix_cache_destroy(engine->cache);
	g_array_unref(engine->ready);
	g_ptr_array_unref(engine->running);
	g_sequence_free(engine->waiting);
	g_hash_table_unref(engine->generations);
	g_free(engine->target);
	g_free(engine);
}

/* Tells the shell of one generation; see engine_model_step. */
void engine_add_output(struct engine_model *engine,
		       enum engine_output_type type, const struct generation *g,
		       int64_t at_us)
{
	struct engine_output output = {
		.type = type,
		.id = g->request.id,
		.first_token = g->made,
		.token_count = type == ENGINE_TOKENS, /* a step makes one */
		.at_us = at_us,
	};

	g_array_append_val(engine->ready, output);
}

static void engine_read_load(const struct engine_model *engine,
			     struct load_report *load)
{
	load->running = engine->running->len;
	load->waiting = g_sequence_get_length(engine->waiting);
	load->tokens_used = engine->used_tokens;
	load->tokens_capacity = engine->options.capacity_tokens;
	load->preemptions_total =
		engine->totals.preemptions - engine->preemptions_at_restart;
	load->leaving = engine->leaving;
}

/* Keeps the load as it is now, for reports of later. */
void engine_keep_load(struct engine_model *engine, int64_t now_us)
{
	struct load_report load = {0};

	engine_read_load(engine, &load);
	load_history_add(engine->loads, &load, now_us);
}

/* Queues a generation for a place in the batch. */
void generation_wait(struct engine_model *engine, struct generation *g)
{
	g->waiting = g_sequence_insert_sorted(engine->waiting, g,
					      generation_compare, NULL);
}

/* Frees a generation and the memory it holds. */
void generation_forget(struct engine_model *engine, struct generation *g)
{
	engine->used_tokens -= g->held;
	g_hash_table_remove(engine->generations, &g->request.id);
}

/*
 * Queues a request. The output is cut to what fits beside the prompt, as an
 * engine's longest context would. False, and nothing runs, where the engine
 * is crashed or leaving, the id is known, or the prompt alone does not fit.
 */
bool engine_model_submit(struct engine_model *engine,
			 const struct engine_model_request *request,
			 int64_t now_us)
{
	int64_t room = engine->options.capacity_tokens - request->prompt_tokens;
	struct generation *g;

	engine_advance(engine, now_us);
	if (engine->crashed || engine->leaving || request->prompt_tokens < 1 ||
	    room < 1 ||
	    g_hash_table_contains(engine->generations, &request->id))
		return false;
	g = g_new0(struct generation, 1);
	g->request = *request;
	g->request.output_tokens = CLAMP(request->output_tokens, 1, room);
	g->arrival = engine->arrivals++;
	g_hash_table_insert(engine->generations, &g->request.id, g);
	generation_wait(engine, g);
	if (engine->step_end_us == NEVER)
		engine_begin_step(engine, now_us);
	engine_keep_load(engine, now_us);
	return true;
}

/* Ends a generation and frees its memory at once; false: unknown. */
bool engine_model_cancel(struct engine_model *engine, uint64_t id,
			 int64_t now_us)
{
	struct generation *g;

	engine_advance(engine, now_us);
	g = g_hash_table_lookup(engine->generations, &id);
	if (!g)
		return false;
	if (g->waiting)
		g_sequence_remove(g->waiting);
	else
		g_ptr_array_remove(engine->running, g);
	generation_forget(engine, g);
	engine_keep_load(engine, now_us);
	return true;
}

/* Output tokens made so far; -1 once it is done, cancelled or lost. */
int64_t engine_model_token_count(const struct engine_model *engine, uint64_t id)
{
	const struct generation *g =
		g_hash_table_lookup(engine->generations, &id);

	return g ? g->made : -1;
}

void engine_model_step(struct engine_model *engine, int64_t now_us,
		       GArray *outputs)
{
	engine_advance(engine, now_us);
	g_array_append_vals(outputs, engine->ready->data, engine->ready->len);
	g_array_set_size(engine->ready, 0);
}

/* When the step under way ends; INT64_MAX while there is nothing to do. */
int64_t engine_model_next_due_us(const struct engine_model *engine)
{
	if (engine->ready->len)
		return g_array_index(engine->ready, struct engine_output, 0)
			.at_us;
	return engine->step_end_us;
}

/* Everything held is gone; each generation gets one ENGINE_FAILED. */
void engine_model_crash(struct engine_model *engine, int64_t now_us,
			GArray *outputs)
{
	GSequenceIter *i;

	engine_advance(engine, now_us);
	for (guint n = 0; n < engine->running->len; n++)
		engine_add_output(engine, ENGINE_FAILED,
				  g_ptr_array_index(engine->running, n),
				  now_us);
	for (i = g_sequence_get_begin_iter(engine->waiting);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		engine_add_output(engine, ENGINE_FAILED, g_sequence_get(i),
				  now_us);
	g_ptr_array_set_size(engine->running, 0);
	g_sequence_remove_range(g_sequence_get_begin_iter(engine->waiting),
				g_sequence_get_end_iter(engine->waiting));
	g_hash_table_remove_all(engine->generations);
	prefix_cache_clear(engine->cache);
	engine->used_tokens = 0;
	engine->step_end_us = NEVER;
	engine->crashed = true;
	engine_model_step(engine, now_us, outputs);
}

/*
 * A new process in the old one's place: no load, no target, the counter of
 * preemptions at zero. The highest fencing number outlives the crash.
 */
void engine_model_restart(struct engine_model *engine, int64_t now_us)
{
	engine->crashed = false;
	engine->leaving = false;
	engine->stalled_until_us = 0;
	load_history_clear(engine->loads);
	engine->preemptions_at_restart = engine->totals.preemptions;
	g_free(engine->target);
	engine->target = g_strdup("");
	engine_keep_load(engine, now_us);
}

/* No step ends before until_us. */
void engine_model_stall(struct engine_model *engine, int64_t until_us)
{
	engine->stalled_until_us = MAX(engine->stalled_until_us, until_us);
	if (engine->step_end_us != NEVER)
		engine->step_end_us = MAX(engine->step_end_us, until_us);
}

/* A leaving engine takes nothing new and finishes what it has. */
void engine_model_set_leaving(struct engine_model *engine, bool leaving)
{
	engine->leaving = leaving;
}

/* From the next step on, steps take factor times as long. */
void engine_model_set_slowdown(struct engine_model *engine, double factor)
{
	engine->slowdown = factor;
}

/* The load as it was load_lag_us ago; before there was any, an empty one. */
void engine_model_report(const struct engine_model *engine, int64_t now_us,
			 struct load_report *report)
{
	int64_t then_us = now_us - engine->options.load_lag_us;

	memset(report, 0, sizeof(*report));
	report->tokens_capacity = engine->options.capacity_tokens;
	if (engine->options.load_lag_us <= 0)
		engine_read_load(engine, report);
	else
		load_history_find(engine->loads, then_us, report);
	report->reported_at_us = then_us;
}

/* What entered or left the prefix cache: see prefix_cache_events. */
void engine_model_cache_events(const struct engine_model *engine, int64_t after,
			       GArray *events)
{
	prefix_cache_events(engine->cache, after, events);
}

/*
 * Sets the target state. An engine that checks refuses a number below the
 * highest it has seen; one that does not takes every order.
 */
enum engine_order_outcome engine_model_order(struct engine_model *engine,
					     int64_t fence, const char *target)
{
	if (engine->options.checks_fence && fence < engine->highest_fence)
		return ENGINE_ORDER_STALE;
	engine->highest_fence = MAX(engine->highest_fence, fence);
	g_free(engine->target);
	engine->target = g_strdup(target);
	return ENGINE_ORDER_DONE;
}

/* What the engine was last ordered to be; "" before any order. */
const char *engine_model_target(const struct engine_model *engine)
{
	return engine->target;
}

/* Counted since creation, over restarts. */
const struct engine_totals *
engine_model_totals(const struct engine_model *engine)
{
	return &engine->totals;
}
