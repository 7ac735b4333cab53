#ifndef FAKES_ENGINE_MODEL_STATE_H
#define FAKES_ENGINE_MODEL_STATE_H

#include "fakes/engine_model.h"
#include "fakes/load_history.h"
#include "fakes/prefix_cache.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Shared by engine_model.c and engine_step.c; not for others. */

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

	struct prefix_cache *cache;
	struct load_history *loads;
	struct engine_totals totals;
	int64_t preemptions_at_restart;

	int64_t highest_fence;
	char *target;
};

/* engine_model.c */
void engine_add_output(struct engine_model *engine,
		       enum engine_output_type type, const struct generation *g,
		       int64_t at_us);
void engine_keep_load(struct engine_model *engine, int64_t now_us);
void generation_wait(struct engine_model *engine, struct generation *g);
void generation_forget(struct engine_model *engine, struct generation *g);

/* engine_step.c */
void engine_begin_step(struct engine_model *engine, int64_t now_us);
void engine_advance(struct engine_model *engine, int64_t now_us);

G_END_DECLS

#endif
