#ifndef CORE_LIMIT_RATE_SHARE_H
#define CORE_LIMIT_RATE_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Divides the requests that all nodes together may send in a window of time.
 * Nodes don't agree on each request. One node, the home, has a part from which
 * it also grants requests to others; the rest is divided among the nodes, so
 * that they send requests without asking, and also while they reach no home.
 */

/* A node that has just started may not know most of the others yet. */
#define RATE_SETTLE_US (3 * G_USEC_PER_SEC)

/* Who decides on the requests, as this node sees it. */
enum rate_chooser {
	RATE_HOME,	  /* this node, for all nodes */
	RATE_REGION_HOME, /* this node, for the nodes of its region */
	RATE_BESIDE_HOME, /* another node; this one by its own share */
	RATE_HOME_SILENT, /* another node, which does not answer this one */
	RATE_EACH_NODE	  /* each node for itself */
};

/* Requests in a window. */
struct rate_parts {
	int64_t home;
	int64_t beside_home; /* of all other nodes together */
	int64_t home_silent; /* the same, of those that it does not answer */
	int64_t each_node;   /* of all nodes together, where there is no home */
};

/* The fleet as this node sees it. */
struct rate_fleet {
	size_t nodes;	      /* live ones, with this one; at least 1 */
	size_t most_nodes;    /* that were live lately */
	size_t region_nodes;  /* live ones of its region */
	size_t region_before; /* live ones of the regions before its own */
	size_t index;	      /* of this node among the live ones */
};

int64_t rate_share(const struct rate_parts *parts, enum rate_chooser chooser,
		   const struct rate_fleet *fleet, uint64_t key);

/*
 * Tracks the most nodes that were live at once in a span of time. Nodes that
 * are not heard any more may go on behind a cut, with shares of their own.
 */
struct rate_peak {
	size_t nodes;
	int64_t seen_us;
	int64_t started_us;
	int64_t retention_us; /* the span; 0: since the start */
};

void rate_peak_init(struct rate_peak *peak, size_t least_nodes,
		    int64_t retention_us, int64_t now_us);
void rate_peak_update(struct rate_peak *peak, size_t nodes, int64_t now_us);
bool rate_peak_is_settled(const struct rate_peak *peak, int64_t now_us);
double rate_peak_divide(const struct rate_peak *peak, double total);

G_END_DECLS

#endif
