#ifndef BENCH_ANNOUNCE_SIM_H
#define BENCH_ANNOUNCE_SIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Simulates, in virtual time, gateways that announce to one another what they
 * hold and which configuration they have, each on a small share of a core. It
 * yields the cost of the announcements and their effect on callers in an
 * overload. The product's own modules decide when a node announces, and which
 * node sends the configuration to one that is behind.
 */
struct announce_sim_options {
	size_t node_count;
	double requests_per_s; /* at each node, before and after the overload */
	double overload;       /* factor of that rate during the overload */
	int64_t change_us;     /* between configuration changes; 0: none */
	int64_t overload_from_us;
	int64_t overload_until_us;
	int64_t run_us;
	uint64_t seed;
	bool unbounded_standings; /* announce 40 ms after each change */
	bool all_send_config;	  /* all answer a node that is behind */
};

enum { ANNOUNCE_SIM_SECONDS = 120 };

struct announce_sim_result {
	/* Indexed by the second of arrival. */
	int64_t requests[ANNOUNCE_SIM_SECONDS];
	int64_t in_target[ANNOUNCE_SIM_SECONDS];
	double cores;		  /* spent on announcements by a node, mean */
	double bytes_per_s;	  /* sent by a node, mean */
	double records_per_s;	  /* sent by a node, mean */
	int64_t longest_stale_us; /* old configuration at a node */
};

void announce_sim_options_default(struct announce_sim_options *options);
void announce_sim_run(const struct announce_sim_options *options,
		      struct announce_sim_result *result);
double announce_sim_share_in_target(const struct announce_sim_result *result,
				    int64_t from_s, int64_t until_s);

G_END_DECLS

#endif
