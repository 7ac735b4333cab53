#include "fakes/engine_model_state.h"

/*
 * The steps of the model: in each, what runs gets a token or a part of its
 * prompt read; between them, what waits is admitted and what no longer fits
 * is preempted.
 */

#define WATERMARK_DIVISOR 100 /* room kept free when a request is admitted */
#define JITTER_PERCENT 3      /* of a step's time, either way */

/* splitmix64, see Steele, Lea and Flood, 2014. */
static uint64_t engine_random(struct engine_model *engine)
{
	uint64_t z = engine->random += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return z ^ (z >> 31);
}

/* Prompt tokens that need not be computed; at least one always is. */
static int64_t engine_cached_tokens(const struct engine_model *engine,
				    const struct engine_model_request *request)
{
	int64_t cached = prefix_cache_find(engine->cache, request->prefix_hash);
	int64_t hit = MIN(cached, request->prefix_tokens);

	return CLAMP(hit, 0, request->prompt_tokens - 1);
}

static void generation_admit(struct engine_model *engine, struct generation *g)
{
	g_sequence_remove(g->waiting);
	g->waiting = NULL;
	g->held = g->request.prompt_tokens + g->made;
	g->prefill_left = g->held - engine_cached_tokens(engine, &g->request);
	if (g->preempted)
		engine->totals.recomputed_tokens += g->prefill_left;
	engine->used_tokens += g->held;
	g_ptr_array_add(engine->running, g);
}

/*
 * Admits waiting requests in order while the next one's prompt, and what it
 * had made before it was preempted, fit. A small reserve is kept free for
 * what runs, but never from a request that would run alone.
 */
static void engine_admit(struct engine_model *engine)
{
	int64_t capacity = engine->options.capacity_tokens;
	int64_t limit = capacity - capacity / WATERMARK_DIVISOR;

	while (!g_sequence_is_empty(engine->waiting) &&
	       (int32_t)engine->running->len < engine->options.max_batch) {
		struct generation *g = g_sequence_get(
			g_sequence_get_begin_iter(engine->waiting));
		int64_t need = g->request.prompt_tokens + g->made + 1;

		if (engine->running->len && engine->used_tokens + need > limit)
			return;
		generation_admit(engine, g);
	}
}

/* Puts the latest admitted of the lowest priority back to wait. */
static void engine_preempt(struct engine_model *engine, int64_t now_us)
{
	guint last = 0;
	struct generation *victim = g_ptr_array_index(engine->running, 0);

	for (guint i = 1; i < engine->running->len; i++) {
		struct generation *g = g_ptr_array_index(engine->running, i);

		if (g->request.priority <= victim->request.priority) {
			victim = g;
			last = i;
		}
	}
	g_ptr_array_remove_index(engine->running, last);
	engine->used_tokens -= victim->held;
	engine->totals.preemptions++;
	victim->held = 0;
	victim->in_step = false;
	victim->preempted = true;
	engine_add_output(engine, ENGINE_PREEMPTED, victim, now_us);
	generation_wait(engine, victim);
}

/* Shares the step's prompt tokens out and returns how many are read. */
static int64_t engine_plan_prefill(struct engine_model *engine)
{
	int64_t budget = engine->options.prefill_chunk_tokens;

	for (guint i = 0; i < engine->running->len; i++) {
		struct generation *g = g_ptr_array_index(engine->running, i);

		g->prefill_planned = MIN(g->prefill_left, budget);
		g->in_step = g->prefill_planned == g->prefill_left;
		budget -= g->prefill_planned;
	}
	return engine->options.prefill_chunk_tokens - budget;
}

static int64_t engine_count_in_step(const struct engine_model *engine)
{
	int64_t n = 0;

	for (guint i = 0; i < engine->running->len; i++) {
		const struct generation *g =
			g_ptr_array_index(engine->running, i);

		n += g->in_step;
	}
	return n;
}

static int64_t engine_step_us(struct engine_model *engine, int64_t decoded,
			      int64_t prefilled)
{
	const struct engine_model_options *options = &engine->options;
	int64_t us =
		options->step_base_us + options->step_per_request_us * decoded +
		options->step_per_kilotoken_us * engine->used_tokens / 1000 +
		prefilled * G_USEC_PER_SEC / options->prefill_tokens_per_s;
	int64_t jitter = engine_random(engine) % (2 * JITTER_PERCENT + 1);

	us = us * (100 - JITTER_PERCENT + jitter) / 100;
	return MAX((int64_t)(us * engine->slowdown), 1);
}

/* Starts the next step, or goes idle where nothing is to be done. */
void engine_begin_step(struct engine_model *engine, int64_t now_us)
{
	int64_t prefilled;
	int64_t decoded;

	engine_admit(engine);
	if (!engine->running->len) {
		engine->step_end_us = NEVER;
		return;
	}
	prefilled = engine_plan_prefill(engine);
	decoded = engine_count_in_step(engine);
	while (engine->running->len > 1 &&
	       engine->used_tokens + decoded >
		       engine->options.capacity_tokens) {
		engine_preempt(engine, now_us);
		decoded = engine_count_in_step(engine);
	}
	engine->step_end_us = MAX(now_us, engine->stalled_until_us) +
			      engine_step_us(engine, decoded, prefilled);
}

/* One token more; true where the generation is whole. */
static bool generation_make_token(struct engine_model *engine,
				  struct generation *g, int64_t at_us)
{
	engine_add_output(engine, ENGINE_TOKENS, g, at_us);
	if (g->made == 0)
		engine->totals.started++;
	g->made++;
	g->held++;
	engine->used_tokens++;
	engine->totals.decoded_tokens++;
	return g->made >= g->request.output_tokens;
}

static void engine_end_step(struct engine_model *engine)
{
	int64_t at_us = engine->step_end_us;
	guint kept = 0;

	engine->totals.steps++;
	for (guint i = 0; i < engine->running->len; i++) {
		struct generation *g = g_ptr_array_index(engine->running, i);

		if (g->prefill_planned) {
			g->prefill_left -= g->prefill_planned;
			g->prefill_planned = 0;
			if (!g->prefill_left)
				prefix_cache_store(engine->cache,
						   g->request.prefix_hash,
						   g->request.prefix_tokens);
		}
		if (g->in_step && generation_make_token(engine, g, at_us)) {
			engine_add_output(engine, ENGINE_DONE, g, at_us);
			generation_forget(engine, g);
			continue;
		}
		g_ptr_array_index(engine->running, kept++) = g;
	}
	g_ptr_array_set_size(engine->running, kept);
	engine_keep_load(engine, at_us);
}

/* Ends and begins steps until now_us. */
void engine_advance(struct engine_model *engine, int64_t now_us)
{
	while (engine->step_end_us <= now_us) {
		int64_t at_us = engine->step_end_us;

		engine_end_step(engine);
		engine_begin_step(engine, at_us);
	}
}
