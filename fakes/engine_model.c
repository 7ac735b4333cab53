#include "fakes/engine_model_state.h"

#include <string.h>

/*
 * Sets the options of an engine with memory for 60,000 tokens. A step takes
 * 16 ms when memory is full, and 29 ms if it also reads a part of a prompt.
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

/*
 * Orders by descending priority, then by arrival. A preempted generation keeps
 * its arrival order.
 */
static gint generation_compare(gconstpointer a, gconstpointer b,
			       gpointer data G_GNUC_UNUSED)
{
	const struct generation *x = a;
	const struct generation *y = b;

	if (x->request.priority != y->request.priority)
		return x->request.priority > y->request.priority ? -1 : 1;
	return x->arrival < y->arrival ? -1 : x->arrival > y->arrival;
}

/* Creates an idle engine with empty memory and an empty prefix cache. */
struct engine_model *
engine_model_create(const struct engine_model_options *options)
{
	struct engine_model *engine = g_new0(struct engine_model, 1);

	engine->options = *options;
	engine->generations = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	engine->waiting = g_sequence_new(NULL);
	engine->running = g_ptr_array_new();
	engine->pending_outputs =
		g_array_new(FALSE, FALSE, sizeof(struct engine_output));
	engine->step_end_us = NEVER;
	engine->slowdown = 1;
	engine->random_state = options->seed;
	engine->cache = prefix_cache_create(options->prefix_cache_tokens);
	engine->recorded_loads = load_history_create(options->load_lag_us);
	engine->target = g_strdup("");
	return engine;
}

/* Frees the engine and all its generations. The engine may be NULL. */
void engine_model_destroy(struct engine_model *engine)
{
	if (!engine)
		return;
	load_history_destroy(engine->recorded_loads);
	prefix_cache_destroy(engine->cache);
	g_array_unref(engine->pending_outputs);
	g_ptr_array_unref(engine->running);
	g_sequence_free(engine->waiting);
	g_hash_table_unref(engine->generations);
	g_free(engine->target);
	g_free(engine);
}

/* Queues an output for the next engine_model_advance to return. */
void engine_add_output(struct engine_model *engine,
		       enum engine_output_type type, const struct generation *g,
		       int64_t at_us)
{
	struct engine_output output = {
		.type = type,
		.id = g->request.id,
		.first_token = g->generated_tokens,
		.token_count = type == ENGINE_TOKENS, /* one per step */
		.at_us = at_us,
	};

	g_array_append_val(engine->pending_outputs, output);
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

/* Adds the current load to the history that later load reports read. */
void engine_record_load(struct engine_model *engine, int64_t now_us)
{
	struct load_report load = {0};

	engine_read_load(engine, &load);
	load_history_add(engine->recorded_loads, &load, now_us);
}

/* Adds a generation to the queue for the batch. */
void generation_enqueue(struct engine_model *engine, struct generation *g)
{
	g->waiting = g_sequence_insert_sorted(engine->waiting, g,
					      generation_compare, NULL);
}

/*
 * Frees a generation and releases its memory. The caller takes it out of the
 * queue or the batch.
 */
void generation_remove(struct engine_model *engine, struct generation *g)
{
	engine->used_tokens -= g->resident_tokens;
	g_hash_table_remove(engine->generations, &g->request.id);
}

/*
 * Queues a request. The output length is clamped to the memory left beside
 * the prompt, as the maximum context length of a real engine limits it. Returns
 * false without queueing it if the engine has crashed or is leaving, the id is
 * in use, or the prompt is empty or leaves no room for an output token.
 */
bool engine_model_submit(struct engine_model *engine,
			 const struct engine_model_request *request,
			 int64_t now_us)
{
	int64_t max_output_tokens =
		engine->options.capacity_tokens - request->prompt_tokens;
	struct generation *g;

	engine_advance(engine, now_us);
	if (engine->crashed || engine->leaving || request->prompt_tokens < 1 ||
	    max_output_tokens < 1 ||
	    g_hash_table_contains(engine->generations, &request->id))
		return false;
	g = g_new0(struct generation, 1);
	g->request = *request;
	g->request.output_tokens =
		CLAMP(request->output_tokens, 1, max_output_tokens);
	g->arrival = engine->arrivals++;
	g_hash_table_insert(engine->generations, &g->request.id, g);
	generation_enqueue(engine, g);
	if (engine->step_end_us == NEVER)
		engine_begin_step(engine, now_us);
	engine_record_load(engine, now_us);
	return true;
}

/*
 * Ends a generation and releases its memory at once. Returns false if the id
 * is unknown.
 */
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
	generation_remove(engine, g);
	engine_record_load(engine, now_us);
	return true;
}

/*
 * Returns the number of output tokens so far, or -1 if the id is unknown or
 * its generation is done, cancelled or lost.
 */
int64_t engine_model_token_count(const struct engine_model *engine, uint64_t id)
{
	const struct generation *g =
		g_hash_table_lookup(engine->generations, &id);

	return g ? g->generated_tokens : -1;
}

/*
 * Runs the model to now_us and appends the outputs since the last call, as
 * struct engine_output, in order of time.
 */
void engine_model_advance(struct engine_model *engine, int64_t now_us,
			  GArray *outputs)
{
	engine_advance(engine, now_us);
	g_array_append_vals(outputs, engine->pending_outputs->data,
			    engine->pending_outputs->len);
	g_array_set_size(engine->pending_outputs, 0);
}

/*
 * Returns when the next output is due: the time of the oldest output not yet
 * returned, else the end of the current step, or INT64_MAX if idle.
 */
int64_t engine_model_next_due_us(const struct engine_model *engine)
{
	if (engine->pending_outputs->len)
		return g_array_index(engine->pending_outputs,
				     struct engine_output, 0)
			.at_us;
	return engine->step_end_us;
}

/*
 * Crashes the engine: all generations and the prefix cache are lost. Appends
 * the outputs up to now_us and one ENGINE_FAILED per generation.
 */
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
	engine_model_advance(engine, now_us, outputs);
}

/*
 * Restarts a crashed engine as a new process: no load, no target, and the
 * reported preemption counter at zero. The highest fencing number is kept
 * over the crash.
 */
void engine_model_restart(struct engine_model *engine, int64_t now_us)
{
	engine->crashed = false;
	engine->leaving = false;
	engine->stalled_until_us = 0;
	load_history_clear(engine->recorded_loads);
	engine->preemptions_at_restart = engine->totals.preemptions;
	g_free(engine->target);
	engine->target = g_strdup("");
	engine_record_load(engine, now_us);
}

/* Stalls the engine: no step ends before until_us. */
void engine_model_stall(struct engine_model *engine, int64_t until_us)
{
	engine->stalled_until_us = MAX(engine->stalled_until_us, until_us);
	if (engine->step_end_us != NEVER)
		engine->step_end_us = MAX(engine->step_end_us, until_us);
}

/* While leaving is set, rejects new requests but finishes those accepted. */
void engine_model_set_leaving(struct engine_model *engine, bool leaving)
{
	engine->leaving = leaving;
}

/* Sets the factor on the duration of steps, from the next step on. */
void engine_model_set_slowdown(struct engine_model *engine, double factor)
{
	engine->slowdown = factor;
}

/*
 * Reports the load as it was load_lag_us ago, or an empty load if none was
 * recorded by then.
 */
void engine_model_report(const struct engine_model *engine, int64_t now_us,
			 struct load_report *report)
{
	int64_t then_us = now_us - engine->options.load_lag_us;

	memset(report, 0, sizeof(*report));
	report->tokens_capacity = engine->options.capacity_tokens;
	if (engine->options.load_lag_us <= 0)
		engine_read_load(engine, report);
	else
		load_history_find(engine->recorded_loads, then_us, report);
	report->reported_at_us = then_us;
}

/* Appends the prefix cache events after a number; see prefix_cache_events. */
void engine_model_cache_events(const struct engine_model *engine, int64_t after,
			       GArray *events)
{
	prefix_cache_events(engine->cache, after, events);
}

/*
 * Sets the target that an order carries. With checks_fence, an order whose
 * fencing number is below the highest one seen is rejected as stale; without
 * it, every order is accepted.
 */
enum engine_order_outcome engine_model_set_target(struct engine_model *engine,
						  int64_t fence,
						  const char *target)
{
	if (engine->options.checks_fence && fence < engine->highest_fence)
		return ENGINE_ORDER_STALE;
	engine->highest_fence = MAX(engine->highest_fence, fence);
	g_free(engine->target);
	engine->target = g_strdup(target);
	return ENGINE_ORDER_ACCEPTED;
}

/*
 * Returns the target of the last accepted order, or "" if there was none
 * since the engine started. The engine owns the string.
 */
const char *engine_model_target(const struct engine_model *engine)
{
	return engine->target;
}

/* Returns the counters since creation; restarts do not reset them. */
const struct engine_totals *
engine_model_totals(const struct engine_model *engine)
{
	return &engine->totals;
}
