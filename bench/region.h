#ifndef BENCH_REGION_H
#define BENCH_REGION_H

#include "ports/peer_message.h"
#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One region of whole nodes in virtual time, to count what control costs.
 * Records between nodes go through the codec, so bytes are as on the wire.
 * Engines here only answer: a first chunk, chunks of a fixed size, an end.
 * The policy is measured elsewhere, on engines that fill and preempt.
 */
struct region_options {
	int32_t nodes;
	int32_t engines; /* of all services together */
	int32_t services;
	int32_t organisations;
	double requests_per_s;	 /* of each node */
	int64_t output_tokens;	 /* of each request */
	int64_t chunk_tokens;	 /* carried by one event */
	int64_t token_us;	 /* between tokens */
	int64_t capacity_tokens; /* of each engine */
	int64_t delay_us;	 /* of a record */
	uint32_t seed;
};

/* What a node spent, on average over the nodes, while it was measured. */
struct region_cost {
	double control_cpu;   /* share of a core: timers, peers, load, grants */
	double data_cpu;      /* calls, chunks and their ends */
	double bytes_per_s;   /* sent to peers */
	double records_per_s; /* sent to peers */
	double kv_calls_per_s;
	double polls_per_s;
	double calls_per_s;
	double open_calls; /* at the end */
	double grant_us;   /* processor time to decide on one request, home's */
	double bytes_by_type[PEER_MESSAGE_TYPES];
};

struct region;

void region_options_default(struct region_options *options);
struct region *region_create(const struct region_options *options);
void region_destroy(struct region *region);
void region_run(struct region *region, int64_t for_us);
void region_start_measure(struct region *region);
void region_stop_measure(struct region *region, struct region_cost *cost);
int64_t region_allocated_bytes(void);

/* Confirms a configuration; when all nodes have it, in us of virtual time. */
int64_t region_spread_config(struct region *region);

G_END_DECLS

#endif
