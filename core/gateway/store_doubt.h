#ifndef CORE_GATEWAY_STORE_DOUBT_H
#define CORE_GATEWAY_STORE_DOUBT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Until when an entry that is missing in the store may only have lapsed with
 * it. Endpoints renew their entries there, so an outage of the store removes
 * those that live as well, and believing it would refuse everything.
 */
struct store_doubt {
	bool was_reached;    /* by this process, at any time */
	int64_t settles_us;  /* what is missing then is gone */
	int64_t answered_us; /* the last call of this node that was */
};

/* What this node and those that ask the store for all know of it. */
struct store_view {
	bool reaches_store; /* this node */
	bool sentinel_reaches;
	bool sentinel_waits; /* one says that it lost the store */
};

bool store_doubt_is_away(const struct store_doubt *doubt,
			 const struct store_view *view, int64_t now_us);
void store_doubt_answered(struct store_doubt *doubt, int64_t now_us);
void store_doubt_take(struct store_doubt *doubt, const struct store_view *view,
		      int64_t now_us);

void store_doubt_away(struct store_doubt *doubt, int64_t now_us);
void store_doubt_reached(struct store_doubt *doubt, int64_t now_us);
bool store_doubt_stands(const struct store_doubt *doubt, int64_t now_us);
int64_t store_doubt_over_before_us(const struct store_doubt *doubt,
				   int64_t now_us);

G_END_DECLS

#endif
