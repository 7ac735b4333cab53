#ifndef FAKES_ENGINE_MODEL_STATE_H
#define FAKES_ENGINE_MODEL_STATE_H

#include "fakes/engine_model.h"
#include "fakes/load_history.h"
#include "fakes/prefix_cache.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Internal to engine_model.c and engine_step.c. */

#define NEVER INT64_MAX

struct generation {
	struct engine_model_request request;
	GSequenceIter *waiting;	  /* queue position; NULL while it runs */
	uint64_t arrival;	  /* queue order within a priority */
	int64_t generated_tokens; /* output tokens so far */
	int64_t resident_tokens;  /* memory in use, in tokens */
	int64_t prefill_remaining;
	int64_t prefill_planned; /* in the current step */
	bool decodes_in_step;	 /* emits a token when this step ends */
	bool preempted;
};

struct engine_model {
	struct engine_model_options options;
	GHashTable *generations; /* id to struct generation */
	GSequence *waiting;	 /* next to be admitted first */
	GPtrArray *running;	 /* struct generation, in admission order */
	GArray *pending_outputs; /* struct engine_output, not yet returned */
	int64_t used_tokens;
	int64_t step_end_us; /* NEVER if idle or crashed */
	int64_t stalled_until_us;
	uint64_t arrivals;
	double slowdown;
	uint64_t random_state;
	bool crashed;
	bool leaving;

	struct prefix_cache *cache;
	struct load_history *recorded_loads;
	struct engine_totals totals;
	int64_t preemptions_at_restart;

	int64_t highest_fence;
	char *target;
};

/* engine_model.c */
void engine_add_output(struct engine_model *engine,
		       enum engine_output_type type, const struct generation *g,
		       int64_t at_us);
void engine_record_load(struct engine_model *engine, int64_t now_us);
void generation_enqueue(struct engine_model *engine, struct generation *g);
void generation_remove(struct engine_model *engine, struct generation *g);

/* engine_step.c */
void engine_begin_step(struct engine_model *engine, int64_t now_us);
void engine_advance(struct engine_model *engine, int64_t now_us);

G_END_DECLS

#endif
