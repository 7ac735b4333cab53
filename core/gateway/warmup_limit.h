#ifndef CORE_GATEWAY_WARMUP_LIMIT_H
#define CORE_GATEWAY_WARMUP_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits the requests that all nodes together send to an endpoint which is
 * still cold after a start: above a rate that its service states it crashes.
 * Nodes don't agree on each request. The home, which chooses for most of them,
 * has the stated rate; what the excess over it leaves is divided among the
 * nodes that choose by themselves.
 */

/* The operators' bound for any second: rate x excess + slack requests. */
struct warmup_bounds {
	int64_t rate_per_ks; /* requests per 1,000 s; 0: no limit */
	int64_t excess_percent;
	int64_t slack;
};

/* Who chooses the endpoints of a service, as this node sees it. */
enum warmup_chooser {
	WARMUP_HOME,	    /* this node, for all nodes */
	WARMUP_BESIDE_HOME, /* another node; this one only if it is silent */
	WARMUP_EACH_NODE    /* each node for itself */
};

/* The fleet as this node sees it. */
struct warmup_fleet {
	size_t nodes;	   /* live ones, with this one */
	size_t most_nodes; /* that were live in the last minute */
	size_t index;	   /* of this node among the live ones */
};

/* Requests to one cold endpoint that this node answers for. */
struct warmup_window;

int32_t warmup_quota(const struct warmup_bounds *bounds,
		     enum warmup_chooser chooser,
		     const struct warmup_fleet *fleet, uint64_t endpoint_key);

void warmup_window_destroy(struct warmup_window *window);
void warmup_window_add(struct warmup_window **window, int64_t now_us);
bool warmup_window_allows(const struct warmup_window *window, int32_t quota,
			  int64_t now_us);

/* Tracks the most nodes that were live in the last minute. */
struct warmup_peak {
	size_t nodes;
	int64_t seen_us;
	int64_t started_us;
};

void warmup_peak_update(struct warmup_peak *peak, size_t nodes, int64_t now_us);
bool warmup_peak_is_settled(const struct warmup_peak *peak, int64_t now_us);

G_END_DECLS

#endif
