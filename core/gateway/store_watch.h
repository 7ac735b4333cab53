#ifndef CORE_GATEWAY_STORE_WATCH_H
#define CORE_GATEWAY_STORE_WATCH_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Decides how a node watches the store. A few nodes, the sentinels, watch it
 * closely and inform the others, because the cost of a call that every node
 * makes grows with the number of nodes.
 */
struct store_watch {
	bool entries;	   /* follows the endpoints' entries itself */
	bool probes_store; /* probes the store each second while it follows
		      the entries */
	bool slow_retry;   /* retries seldom while the store is away */
};

struct store_watch_input {
	bool is_sentinel;
	bool reaches_store;
	bool sentinel_reaches_store; /* a sentinel heard recently does */
	bool sentinel_lost_store;    /* a sentinel that is heard lost it */
	bool knows_endpoints;	     /* at least one serving endpoint */
};

struct store_watch store_watch_decide(const struct store_watch_input *input);
bool store_watch_equals(const struct store_watch *a,
			const struct store_watch *b);

G_END_DECLS

#endif
