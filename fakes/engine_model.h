#ifndef FAKES_ENGINE_MODEL_H
#define FAKES_ENGINE_MODEL_H

#include "fakes/prefix_cache.h"
#include "ports/load_report.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Simulates a model engine: continuous batching in steps, memory counted in
 * tokens, preemption by recomputation when memory is full, priorities, a prefix
 * cache, cancellation, a delayed load report, crash and stall, and orders with
 * or without a fencing check. The model does no I/O and reads no clock: the
 * caller passes the time to each call. The fake engine runs it in real time or
 * faster, the benchmarks in virtual time.
 */
struct engine_model_options {
	int64_t capacity_tokens;
	int32_t max_batch;
	int64_t step_base_us;	       /* a decode step with an empty batch */
	int64_t step_per_request_us;   /* added per request decoded */
	int64_t step_per_kilotoken_us; /* added per 1,000 tokens in memory */
	int64_t prefill_tokens_per_s;
	int64_t prefill_chunk_tokens; /* prompt tokens per step */
	int64_t prefix_cache_tokens;
	int64_t load_lag_us; /* age of the reported load */
	bool checks_fence;   /* rejects orders with an old fencing number */
	uint64_t seed;
};

struct engine_model_request {
	uint64_t id; /* unique, assigned by the caller */
	int64_t prompt_tokens;
	int64_t output_tokens; /* actual length of the output */
	int32_t priority; /* higher runs first; lowest is preempted first */
	uint64_t prefix_hash;
	int64_t prefix_tokens;
};

enum engine_output_type {
	ENGINE_TOKENS, /* token_count tokens starting at first_token */
	ENGINE_DONE,
	ENGINE_PREEMPTED, /* will be recomputed; nothing to send */
	ENGINE_FAILED	  /* lost in a crash */
};

struct engine_output {
	enum engine_output_type type;
	uint64_t id;
	int64_t first_token;
	int64_t token_count;
	int64_t at_us;
};

struct engine_totals {
	int64_t preemptions;
	int64_t recomputed_tokens;
	int64_t decoded_tokens;
	int64_t steps;
	int64_t started; /* requests whose first token was generated */
};

enum engine_order_outcome { ENGINE_ORDER_ACCEPTED, ENGINE_ORDER_STALE };

struct engine_model;

void engine_model_options_default(struct engine_model_options *options);
struct engine_model *
engine_model_create(const struct engine_model_options *options);
void engine_model_destroy(struct engine_model *engine);

bool engine_model_submit(struct engine_model *engine,
			 const struct engine_model_request *request,
			 int64_t now_us);
bool engine_model_cancel(struct engine_model *engine, uint64_t id,
			 int64_t now_us);
int64_t engine_model_token_count(const struct engine_model *engine,
				 uint64_t id);

void engine_model_advance(struct engine_model *engine, int64_t now_us,
			  GArray *outputs);
int64_t engine_model_next_due_us(const struct engine_model *engine);

void engine_model_crash(struct engine_model *engine, int64_t now_us,
			GArray *outputs);
void engine_model_restart(struct engine_model *engine, int64_t now_us);
void engine_model_stall(struct engine_model *engine, int64_t until_us);
void engine_model_set_leaving(struct engine_model *engine, bool leaving);
void engine_model_set_slowdown(struct engine_model *engine, double factor);

void engine_model_report(const struct engine_model *engine, int64_t now_us,
			 struct load_report *report);
void engine_model_cache_events(const struct engine_model *engine, int64_t after,
			       GArray *events);
enum engine_order_outcome engine_model_set_target(struct engine_model *engine,
						  int64_t fence,
						  const char *target);
const char *engine_model_target(const struct engine_model *engine);
const struct engine_totals *
engine_model_totals(const struct engine_model *engine);

G_END_DECLS

#endif
