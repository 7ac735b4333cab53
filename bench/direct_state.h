#ifndef BENCH_DIRECT_STATE_H
#define BENCH_DIRECT_STATE_H

#include "bench/direct.h"
#include "core/limit/retry_budget.h"
#include "core/placement/home.h"
#include "core/placement/placement.h"
#include "fakes/engine_model.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * State shared by the files of a direct run. direct.c: the main loop.
 * direct_call.c: calls and decisions. direct_engine.c: engines, their load
 * reports and their faults.
 */

#define ENGINES 10
#define PLAIN_ENDPOINTS 3
#define PLAIN_SLOTS 16
#define NODES 8
#define ATTEMPT_BITS 8
#define POLL_INTERVAL_US (500 * 1000)

/* A request, as its entry node keeps it. */
struct direct_call {
	struct flow flow;
	int32_t node;	     /* entry node */
	int32_t engine;	     /* -1: none */
	int32_t plain;	     /* plain endpoint; -1: none */
	uint64_t avoid_hash; /* of the engine that failed last */
	int64_t retry_us;    /* when to retry; 0: no retry waits */
	int64_t plain_done_us;
	bool active; /* placed and not ended */
};

struct direct {
	const struct scenario *scenario;
	enum bench_policy policy;
	GArray *items;
	struct direct_call *calls;
	struct engine_model *engines[ENGINES];
	bool crashed[ENGINES];
	char *engine_names[ENGINES];
	int64_t cache_forwarded[ENGINES]; /* last event forwarded or lost */
	int64_t cache_pending[ENGINES];	  /* last to forward in the next turn */
	char *plain_names[PLAIN_ENDPOINTS];
	int32_t plain_running[PLAIN_ENDPOINTS];
	struct placement *placements[NODES]; /* one in all with a home */
	struct placement *plain_placement;
	int32_t placement_count;
	struct retry_budget *budget;
	GRand *rand;
	GArray *outputs;
	GArray *decisions;
	GArray *active;	 /* guint: indices of calls at engines */
	GArray *waiting; /* guint: calls to retry, or at plain endpoints */
	struct measure measure;
	guint next_item;
	int64_t next_progress_us;
	int64_t next_poll_us;
	int64_t next_cache_us;
	int64_t next_fault_us;
	int32_t fault_stage;
	int32_t progress_node;
	int64_t now_us;
};

/* direct_call.c */
struct placement *direct_create_placement(const struct direct *direct,
					  enum service_kind kind,
					  uint64_t seed);
struct placement *direct_call_placement(const struct direct *direct,
					const struct direct_call *call);
uint64_t direct_call_ticket(const struct direct *direct,
			    const struct direct_call *call);
struct direct_call *direct_find_call(const struct direct *direct,
				     uint64_t ticket);
void direct_submit(struct direct *direct, struct direct_call *call);
void direct_end(struct direct *direct, struct direct_call *call,
		enum flow_end end);
void direct_retry(struct direct *direct, struct direct_call *call);
void direct_release(struct direct *direct, struct direct_call *call,
		    enum release_outcome outcome);
void direct_step_placements(struct direct *direct);

/* direct_engine.c */
void direct_step_engines(struct direct *direct);
void direct_poll(struct direct *direct);
void direct_forward_cache_events(struct direct *direct, int32_t engine);
void direct_step_fault(struct direct *direct);

/* direct.c */
double direct_clock_us(void);

G_END_DECLS

#endif
