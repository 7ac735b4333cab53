#ifndef CORE_GATEWAY_STORE_DOUBT_H
#define CORE_GATEWAY_STORE_DOUBT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Tracks until when an entry that is missing in the store may have expired only
 * because of an outage of the store. Endpoints renew their entries there, so an
 * outage also removes the entries of live endpoints. A node that took those for
 * gone would refuse every request. The doubt also keeps endpoints that have
 * really left in use, so it takes evidence: a time without answers that is long
 * enough for an entry to expire. A failed call is none.
 */
struct store_doubt {
	bool was_reached;	/* by this process, at any time */
	int64_t doubt_until_us; /* entries still missing then are gone */
	bool is_held;		/* and not before the store answers */
	const char *cause;	/* of the last doubt, for logs; NULL: none */
	int64_t answered_us;	/* when a call of this node was last answered */
	int64_t known_us;	/* when the store was last known to answer */
};

/*
 * The store as seen by this node and by the sentinels, which ask it for all
 * nodes.
 */
struct store_view {
	bool watches_store;	     /* this node follows entries and probes */
	bool reaches_store;	     /* this node does */
	bool sentinel_reaches_store; /* any sentinel does */
	bool sentinel_lost_store; /* a sentinel announces that it lost the store
				   */
};

bool store_doubt_suspects_outage(const struct store_doubt *doubt,
				 const struct store_view *view, int64_t now_us);
void store_doubt_store_answered(struct store_doubt *doubt, int64_t now_us);
void store_doubt_many_vanished(struct store_doubt *doubt, int64_t now_us);
void store_doubt_update(struct store_doubt *doubt,
			const struct store_view *view, int64_t now_us);
bool store_doubt_is_active(const struct store_doubt *doubt, int64_t now_us);
int64_t store_doubt_ended_before_us(const struct store_doubt *doubt,
				    int64_t now_us);

G_END_DECLS

#endif
