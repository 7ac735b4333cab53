#include "fakes/engine_model_state.h"

/*
 * The steps of the model. In each step, a running generation emits a token or
 * has a part of its prompt read. Between steps, waiting generations are
 * admitted, and running ones are preempted if they no longer fit in memory.
 */

/* 1/100 of the memory is kept free when a request is admitted. */
#define ADMISSION_RESERVE_DIVISOR 100
#define JITTER_PERCENT 3 /* of a step's duration, in both directions */

/* Returns a random number by splitmix64 (Steele, Lea and Flood, 2014). */
static uint64_t engine_random(struct engine_model *engine)
{
	uint64_t z = engine->random_state += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return z ^ (z >> 31);
}

/*
 * Returns how many prompt tokens are found in the prefix cache, at most all but
 * one: the last token of a prompt is always computed.
 */
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
	g->resident_tokens = g->request.prompt_tokens + g->generated_tokens;
	g->prefill_remaining =
		g->resident_tokens - engine_cached_tokens(engine, &g->request);
	if (g->preempted)
		engine->totals.recomputed_tokens += g->prefill_remaining;
	engine->used_tokens += g->resident_tokens;
	g_ptr_array_add(engine->running, g);
}

/*
 * Admits waiting requests in order as long as the next one fits in memory with
 * its prompt and the tokens it generated before a preemption. A small reserve
 * is kept free so that running requests can grow; a request that would run
 * alone may use the reserve.
 */
static void engine_admit(struct engine_model *engine)
{
	int64_t capacity = engine->options.capacity_tokens;
	int64_t limit = capacity - capacity / ADMISSION_RESERVE_DIVISOR;

	while (!g_sequence_is_empty(engine->waiting) &&
	       (int32_t)engine->running->len < engine->options.max_batch) {
		struct generation *g = g_sequence_get(
			g_sequence_get_begin_iter(engine->waiting));
		int64_t need =
			g->request.prompt_tokens + g->generated_tokens + 1;

		if (engine->running->len && engine->used_tokens + need > limit)
			return;
		generation_admit(engine, g);
	}
}

/*
 * Preempts the generation of the lowest priority and puts it back into the
 * queue. Among equal priorities, the one admitted last is preempted.
 */
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
	engine->used_tokens -= victim->resident_tokens;
	engine->totals.preemptions++;
	victim->resident_tokens = 0;
	victim->decodes_in_step = false;
	victim->preempted = true;
	engine_add_output(engine, ENGINE_PREEMPTED, victim, now_us);
	generation_enqueue(engine, victim);
}

/*
 * Distributes the step's budget of prompt tokens in admission order. Returns
 * how many prompt tokens the step reads.
 */
static int64_t engine_plan_prefill(struct engine_model *engine)
{
	int64_t budget = engine->options.prefill_chunk_tokens;

	for (guint i = 0; i < engine->running->len; i++) {
		struct generation *g = g_ptr_array_index(engine->running, i);

		g->prefill_planned = MIN(g->prefill_remaining, budget);
		g->decodes_in_step = g->prefill_planned == g->prefill_remaining;
		budget -= g->prefill_planned;
	}
	return engine->options.prefill_chunk_tokens - budget;
}

static int64_t engine_count_decoding(const struct engine_model *engine)
{
	int64_t n = 0;

	for (guint i = 0; i < engine->running->len; i++) {
		const struct generation *g =
			g_ptr_array_index(engine->running, i);

		n += g->decodes_in_step;
	}
	return n;
}

static int64_t engine_step_duration_us(struct engine_model *engine,
				       int64_t decoded, int64_t prefilled)
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

/* Starts the next step, or goes idle if there are no requests. */
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
	decoded = engine_count_decoding(engine);
	while (engine->running->len > 1 &&
	       engine->used_tokens + decoded >
		       engine->options.capacity_tokens) {
		engine_preempt(engine, now_us);
		decoded = engine_count_decoding(engine);
	}
	engine->step_end_us =
		MAX(now_us, engine->stalled_until_us) +
		engine_step_duration_us(engine, decoded, prefilled);
}

/* Emits the next token; returns true if the generation is complete. */
static bool generation_emit_token(struct engine_model *engine,
				  struct generation *g, int64_t at_us)
{
	engine_add_output(engine, ENGINE_TOKENS, g, at_us);
	if (g->generated_tokens == 0)
		engine->totals.started++;
	g->generated_tokens++;
	g->resident_tokens++;
	engine->used_tokens++;
	engine->totals.decoded_tokens++;
	return g->generated_tokens >= g->request.output_tokens;
}

static void engine_end_step(struct engine_model *engine)
{
	int64_t at_us = engine->step_end_us;
	guint kept = 0;

	engine->totals.steps++;
	for (guint i = 0; i < engine->running->len; i++) {
		struct generation *g = g_ptr_array_index(engine->running, i);

		if (g->prefill_planned) {
			g->prefill_remaining -= g->prefill_planned;
			g->prefill_planned = 0;
			if (!g->prefill_remaining)
				prefix_cache_store(engine->cache,
						   g->request.prefix_hash,
						   g->request.prefix_tokens);
		}
		if (g->decodes_in_step &&
		    generation_emit_token(engine, g, at_us)) {
			engine_add_output(engine, ENGINE_DONE, g, at_us);
			generation_remove(engine, g);
			continue;
		}
		g_ptr_array_index(engine->running, kept++) = g;
	}
	g_ptr_array_set_size(engine->running, kept);
	engine_record_load(engine, at_us);
}

/* Runs all steps that end by now_us. */
void engine_advance(struct engine_model *engine, int64_t now_us)
{
	while (engine->step_end_us <= now_us) {
		int64_t at_us = engine->step_end_us;

		engine_end_step(engine);
		engine_begin_step(engine, at_us);
	}
}
