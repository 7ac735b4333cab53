#include "fakes/engine_model.h"

#include <string.h>

#define LOAD_SAMPLES 256
#define CACHE_EVENTS 512
#define WATERMARK_DIVISOR 100 /* room kept free when a request is admitted */
#define JITTER_PERCENT 3
#define NEVER INT64_MAX

struct generation {
	struct engine_model_request request;
	GSequenceIter *waiting; /* NULL while it runs */
	uint64_t arrival;	/* order of waiting within a priority */
	int64_t made;		/* tokens of output */
	int64_t held;		/* tokens of memory */
	int64_t prefill_left;
	int64_t prefill_planned; /* in the step under way */
	bool in_step;		 /* makes a token at the end of this step */
	bool preempted;
};

struct load_sample {
	int64_t at_us;
	struct load_report load;
};

struct cached_prefix {
	uint64_t hash;
	int64_t tokens;
};

struct engine_model {
	struct engine_model_options options;
	GHashTable *generations; /* id: struct generation */
	GSequence *waiting;	 /* the next to be admitted first */
	GPtrArray *running;	 /* in order of admission */
	GArray *ready;		 /* outputs not yet handed out */
	int64_t used_tokens;
	int64_t step_end_us; /* NEVER: idle or crashed */
	int64_t stalled_until_us;
	uint64_t arrivals;
	double slowdown;
	uint64_t random;
	bool crashed;
	bool leaving;

	GQueue *cache;		 /* struct cached_prefix, last used first */
	GHashTable *cache_links; /* hash: link in cache */
	int64_t cache_used;
	struct engine_cache_event cache_events[CACHE_EVENTS];
	int64_t cache_event_count;

	struct load_sample samples[LOAD_SAMPLES];
	uint64_t sample_count;
	struct engine_totals totals;
	int64_t preemptions_at_restart;

	int64_t highest_fence;
	char *target;
};

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
	engine->cache = g_queue_new();
	engine->cache_links = g_hash_table_new(g_int64_hash, g_int64_equal);
	engine->target = g_strdup("");
	return engine;
}

/* Frees the engine and all generations; NULL is allowed. */
void engine_model_destroy(struct engine_model *engine)
{
	if (!engine)
		return;
	g_hash_table_unref(engine->cache_links);
	g_queue_free_full(engine->cache, g_free);
	g_array_unref(engine->ready);
	g_ptr_array_unref(engine->running);
	g_sequence_free(engine->waiting);
	g_hash_table_unref(engine->generations);
	g_free(engine->target);
	g_free(engine);
}

/* splitmix64, see Steele, Lea and Flood, 2014. */
static uint64_t engine_random(struct engine_model *engine)
{
	uint64_t z = engine->random += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return z ^ (z >> 31);
}

static void engine_output_add(struct engine_model *engine,
			      enum engine_output_type type,
			      const struct generation *g, int64_t at_us)
{
	struct engine_output output = {
		.type = type,
		.id = g->request.id,
		.first_token = g->made,
		.at_us = at_us,
	};

	g_array_append_val(engine->ready, output);
}

static struct load_sample *engine_last_sample(struct engine_model *engine)
{
	if (!engine->sample_count)
		return NULL;
	return &engine->samples[(engine->sample_count - 1) % LOAD_SAMPLES];
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

/*
 * Keeps the load as it is now. Samples closer than half a ring's share of the
 * lag are merged, so that the ring always reaches back beyond the lag.
 */
static void engine_sample_load(struct engine_model *engine, int64_t now_us)
{
	int64_t spacing_us = engine->options.load_lag_us / (LOAD_SAMPLES / 2);
	struct load_sample *sample = engine_last_sample(engine);

	if (!sample || now_us - sample->at_us > spacing_us) {
		sample =
			&engine->samples[engine->sample_count++ % LOAD_SAMPLES];
		sample->at_us = now_us;
	}
	engine_read_load(engine, &sample->load);
}

static void cache_event_add(struct engine_model *engine, uint64_t hash,
			    bool stored)
{
	int64_t number = ++engine->cache_event_count;
	struct engine_cache_event *event =
		&engine->cache_events[number % CACHE_EVENTS];

	event->number = number;
	event->prefix_hash = hash;
	event->stored = stored;
}

static void cache_drop_last(struct engine_model *engine)
{
	struct cached_prefix *prefix = g_queue_pop_tail(engine->cache);

	g_hash_table_remove(engine->cache_links, &prefix->hash);
	engine->cache_used -= prefix->tokens;
	cache_event_add(engine, prefix->hash, false);
	g_free(prefix);
}

static void cache_store(struct engine_model *engine,
			const struct engine_model_request *request)
{
	struct cached_prefix *prefix;
	GList *link;

	if (!request->prefix_hash || request->prefix_tokens <= 0 ||
	    request->prefix_tokens > engine->options.prefix_cache_tokens)
		return;
	link = g_hash_table_lookup(engine->cache_links, &request->prefix_hash);
	if (link) {
		g_queue_unlink(engine->cache, link);
		g_queue_push_head_link(engine->cache, link);
		return;
	}
	prefix = g_new(struct cached_prefix, 1);
	prefix->hash = request->prefix_hash;
	prefix->tokens = request->prefix_tokens;
	g_queue_push_head(engine->cache, prefix);
	g_hash_table_insert(engine->cache_links, &prefix->hash,
			    engine->cache->head);
	engine->cache_used += prefix->tokens;
	cache_event_add(engine, prefix->hash, true);
	while (engine->cache_used > engine->options.prefix_cache_tokens)
		cache_drop_last(engine);
}

/* Prompt tokens that need not be computed; at least one always is. */
static int64_t cache_hit_tokens(struct engine_model *engine,
				const struct engine_model_request *request)
{
	const struct cached_prefix *prefix;
	GList *link;
	int64_t hit;

	if (!request->prefix_hash)
		return 0;
	link = g_hash_table_lookup(engine->cache_links, &request->prefix_hash);
	if (!link)
		return 0;
	prefix = link->data;
	hit = MIN(prefix->tokens, request->prefix_tokens);
	return CLAMP(hit, 0, request->prompt_tokens - 1);
}

static void generation_wait(struct engine_model *engine, struct generation *g)
{
	g->waiting = g_sequence_insert_sorted(engine->waiting, g,
					      generation_compare, NULL);
}

static void generation_admit(struct engine_model *engine, struct generation *g)
{
	g_sequence_remove(g->waiting);
	g->waiting = NULL;
	g->held = g->request.prompt_tokens + g->made;
	g->prefill_left = g->held - cache_hit_tokens(engine, &g->request);
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
	engine_output_add(engine, ENGINE_PREEMPTED, victim, now_us);
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
static void engine_begin_step(struct engine_model *engine, int64_t now_us)
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
	struct engine_output output = {
		.type = ENGINE_TOKENS,
		.id = g->request.id,
		.first_token = g->made,
		.token_count = 1,
		.at_us = at_us,
	};

	g_array_append_val(engine->ready, output);
	if (g->made == 0)
		engine->totals.started++;
	g->made++;
	g->held++;
	engine->used_tokens++;
	engine->totals.decoded_tokens++;
	return g->made >= g->request.output_tokens;
}

static void generation_forget(struct engine_model *engine, struct generation *g)
{
	engine->used_tokens -= g->held;
	g_hash_table_remove(engine->generations, &g->request.id);
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
				cache_store(engine, &g->request);
		}
		if (g->in_step && generation_make_token(engine, g, at_us)) {
			engine_output_add(engine, ENGINE_DONE, g, at_us);
			generation_forget(engine, g);
			continue;
		}
		g_ptr_array_index(engine->running, kept++) = g;
	}
	g_ptr_array_set_size(engine->running, kept);
	engine_sample_load(engine, at_us);
}

static void engine_advance(struct engine_model *engine, int64_t now_us)
{
	while (engine->step_end_us <= now_us) {
		int64_t at_us = engine->step_end_us;

		engine_end_step(engine);
		engine_begin_step(engine, at_us);
	}
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
	engine_sample_load(engine, now_us);
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
	engine_sample_load(engine, now_us);
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
		engine_output_add(engine, ENGINE_FAILED,
				  g_ptr_array_index(engine->running, n),
				  now_us);
	for (i = g_sequence_get_begin_iter(engine->waiting);
	     !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i))
		engine_output_add(engine, ENGINE_FAILED, g_sequence_get(i),
				  now_us);
	g_ptr_array_set_size(engine->running, 0);
	g_sequence_remove_range(g_sequence_get_begin_iter(engine->waiting),
				g_sequence_get_end_iter(engine->waiting));
	g_hash_table_remove_all(engine->generations);
	while (!g_queue_is_empty(engine->cache))
		cache_drop_last(engine);
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
	engine->sample_count = 0;
	engine->preemptions_at_restart = engine->totals.preemptions;
	g_free(engine->target);
	engine->target = g_strdup("");
	engine_sample_load(engine, now_us);
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

void engine_model_report(const struct engine_model *engine, int64_t now_us,
			 struct load_report *report)
{
	int64_t then_us = now_us - engine->options.load_lag_us;
	uint64_t oldest = engine->sample_count > LOAD_SAMPLES
				  ? engine->sample_count - LOAD_SAMPLES
				  : 0;

	memset(report, 0, sizeof(*report));
	report->tokens_capacity = engine->options.capacity_tokens;
	if (engine->options.load_lag_us <= 0) {
		engine_read_load(engine, report);
	} else {
		for (uint64_t n = engine->sample_count; n > oldest; n--) {
			const struct load_sample *sample =
				&engine->samples[(n - 1) % LOAD_SAMPLES];

			if (sample->at_us > then_us)
				continue;
			*report = sample->load;
			break;
		}
	}
	report->reported_at_us = then_us;
}

/*
 * Appends the cache events numbered above `after` that are still kept; a
 * reader sees a gap where older ones were forgotten.
 */
void engine_model_cache_events(const struct engine_model *engine, int64_t after,
			       GArray *events)
{
	int64_t oldest = engine->cache_event_count - CACHE_EVENTS + 1;

	for (int64_t n = MAX(MAX(after + 1, oldest), 1);
	     n <= engine->cache_event_count; n++)
		g_array_append_val(events,
				   engine->cache_events[n % CACHE_EVENTS]);
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
