#ifndef BENCH_TELLING_H
#define BENCH_TELLING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Gateways that tell one another what they hold and which configuration they
 * have, each on a small share of a processor, in virtual time: what telling
 * costs, and what it does to callers in an overload. When to tell, and who
 * helps a node that is behind, is decided by the product's own modules.
 */
struct telling_options {
	size_t node_count;
	double requests_per_s; /* at each node, before and after the overload */
	double overload;       /* so many times that while it lasts */
	int64_t change_us;     /* between configurations; 0: none */
	int64_t overload_from_us;
	int64_t overload_until_us;
	int64_t run_us;
	uint64_t seed;
	bool unbounded_standings; /* a round 40 ms after each change */
	bool all_help;		  /* each answers a node that is behind */
};

enum { TELLING_SECONDS = 120 };

struct telling_result {
	/* By the second of their arrival. */
	int64_t requests[TELLING_SECONDS];
	int64_t in_aim[TELLING_SECONDS];
	double cores;	       /* of a node, spent on telling, mean */
	double bytes_per_s;    /* sent by a node, mean */
	double records_per_s;  /* sent by a node, mean */
	int64_t longest_stale; /* of a configuration at a node, in us */
};

void telling_options_default(struct telling_options *options);
void telling_run(const struct telling_options *options,
		 struct telling_result *result);
double telling_in_aim(const struct telling_result *result, int64_t from_s,
		      int64_t until_s);

G_END_DECLS

#endif
