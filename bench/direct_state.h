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
 * What the parts of a direct run share. direct.c: the run. direct_call.c: calls
 * and decisions. direct_engine.c: engines, what they report, and their faults.
 */

#define ENGINES 10
#define PLAIN_ENDPOINTS 3
#define PLAIN_SLOTS 16
#define NODES 8
#define ATTEMPT_BITS 8
#define POLL_US (500 * 1000)

/* A request on its way: what the entry node of it knows. */
struct direct_call {
	struct flow flow;
	int32_t node;
	int32_t engine; /* -1: none */
	int32_t plain;	/* -1: none */
	uint64_t avoid_hash;
	int64_t retry_us; /* when to try again; 0: not waiting to */
	int64_t plain_done_us;
	bool live; /* placed and not ended */
};

struct direct {
	const struct scenario *scenario;
	enum bench_policy policy;
	GArray *items;
	struct direct_call *calls;
	struct engine_model *engines[ENGINES];
	bool crashed[ENGINES];
	char *engine_names[ENGINES];
	int64_t cache_seen[ENGINES]; /* events handed on */
	int64_t cache_next[ENGINES]; /* to be handed on at the next look */
	char *plain_names[PLAIN_ENDPOINTS];
	int32_t plain_running[PLAIN_ENDPOINTS];
	struct placement *placements[NODES]; /* one where there is a home */
	struct placement *plain_placement;
	int32_t placement_count;
	struct retry_budget *budget;
	GRand *rand;
	GArray *outputs;
	GArray *decisions;
	GArray *live;	 /* guint: calls to report progress of */
	GArray *waiting; /* guint: calls to try again, or running plain */
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
struct placement *direct_placement(const struct direct *direct,
				   enum service_kind kind, uint64_t seed);
struct placement *direct_call_placement(const struct direct *direct,
					const struct direct_call *call);
uint64_t direct_call_ticket(const struct direct *direct,
			    const struct direct_call *call);
struct direct_call *direct_find(const struct direct *direct, uint64_t ticket);
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
void direct_read_cache(struct direct *direct, int32_t engine);
void direct_fault(struct direct *direct);

/* direct.c */
double direct_clock_us(void);

G_END_DECLS

#endif
