#ifndef BENCH_REGION_H
#define BENCH_REGION_H

#include "ports/peer_message.h"
#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Simulates one region of complete nodes in virtual time and counts the cost
 * of control. Records between nodes go through the codec, so that their size
 * is the size on the wire. The engines are simplified: each generation has a
 * first chunk, chunks of a fixed size and an end. Other benchmarks compare the
 * placement policies, on engines that fill up and preempt.
 */
struct region_options {
	int32_t nodes;
	int32_t engines; /* total of all services */
	int32_t services;
	int32_t organisations;
	double requests_per_s;	 /* at each node */
	int64_t output_tokens;	 /* of each request */
	int64_t chunk_tokens;	 /* in one event */
	int64_t token_us;	 /* between tokens */
	int64_t capacity_tokens; /* of each engine */
	int64_t delay_us;	 /* of a record, load report or store answer */
	uint32_t seed;
};

/*
 * Cost per node from region_start_measure() to region_stop_measure(), averaged
 * over the nodes.
 */
struct region_cost {
	double control_cpu;   /* cores: timers, peers, load, grants */
	double data_cpu;      /* cores: calls, chunks and their ends */
	double bytes_per_s;   /* sent to peers */
	double records_per_s; /* sent to peers */
	double kv_calls_per_s;
	double polls_per_s;
	double calls_per_s;
	double open_calls; /* in flight at the end of the measurement */
	double grant_us;   /* processor time of a home per request to place */
	double bytes_by_type[PEER_MESSAGE_TYPE_COUNT];
};

struct region;

void region_options_default(struct region_options *options);
struct region *region_create(const struct region_options *options);
void region_destroy(struct region *region);
void region_run(struct region *region, int64_t duration_us);
void region_start_measure(struct region *region);
void region_stop_measure(struct region *region, struct region_cost *cost);
int64_t region_allocated_bytes(void);

int64_t region_propagate_config(struct region *region);

G_END_DECLS

#endif
