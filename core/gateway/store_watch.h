#ifndef CORE_GATEWAY_STORE_WATCH_H
#define CORE_GATEWAY_STORE_WATCH_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * How a node watches the store. A few nodes, the sentinels, look closely and
 * tell the others; each call that every node makes is paid for as often as
 * there are nodes.
 */
struct store_watch {
	bool entries;	/* follows the endpoints' entries by itself */
	bool closely;	/* asks each second whether the store is there, as it
			   follows */
	bool patiently; /* seldom tries again while the store is away */
};

struct store_watch_input {
	bool is_sentinel;
	bool reaches_store;
	bool sentinel_reaches; /* one that was heard a moment ago */
	bool sentinel_waits;   /* one was heard that does not reach it */
	bool knows_endpoints;  /* any at all that serves */
};

struct store_watch store_watch_decide(const struct store_watch_input *input);
bool store_watch_equals(const struct store_watch *a,
			const struct store_watch *b);

G_END_DECLS

#endif
