#ifndef BENCH_MEMBER_NETWORK_H
#define BENCH_MEMBER_NETWORK_H

#include "core/membership/membership.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Simulates the memberships of many nodes in one process and in virtual time.
 * Records pass through the codec, so byte counts are those on the wire. Node i
 * is in region i % regions and in one of its three failure domains.
 */
struct member_network_options {
	uint32_t nodes;
	uint32_t regions;
	uint32_t seeds; /* nodes 0 to seeds - 1 are the seeds of all nodes */
	double loss;	/* chance that a record is lost */
	int64_t own_region_delay_us;   /* mean; each is 0.5 to 1.5 times it */
	int64_t cross_region_delay_us; /* the same between regions */
	int64_t heartbeat_us;
	int64_t suspect_us;
	uint32_t seed;
};

struct member_network_totals {
	uint64_t messages;
	uint64_t bytes;
	uint64_t deaths;       /* a node declared another dead */
	uint64_t false_deaths; /* of these, nodes that ran and were reachable */
	uint64_t steps;	       /* timer steps and records received */
};

struct member_network;

void member_network_options_default(struct member_network_options *options);
struct member_network *
member_network_create(const struct member_network_options *options);
void member_network_destroy(struct member_network *network);

/* Each start is a new incarnation; a stop is not announced. */
void member_network_start(struct member_network *network, uint32_t node);
void member_network_stop(struct member_network *network, uint32_t node);
void member_network_pause(struct member_network *network, uint32_t node,
			  int64_t until_us);
void member_network_leave(struct member_network *network, uint32_t node);
void member_network_block(struct member_network *network, uint32_t from,
			  uint32_t to, bool blocked);
void member_network_set_loss(struct member_network *network, double loss);
void member_network_run(struct member_network *network, int64_t until_us);

int64_t member_network_now_us(const struct member_network *network);
struct membership *member_network_membership(struct member_network *network,
					     uint32_t node);
const char *member_network_name(const struct member_network *network,
				uint32_t node);
uint32_t member_network_domain(const struct member_network *network,
			       uint32_t node);
const struct member_network_totals *
member_network_totals(const struct member_network *network);

bool member_network_lists(const struct member_network *network, uint32_t node,
			  uint32_t other, enum member_state state);
bool member_network_has_converged(const struct member_network *network);

G_END_DECLS

#endif
