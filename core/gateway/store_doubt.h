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
	bool was_reached;   /* by this process, at any time */
	int64_t settles_us; /* what is missing then is gone */
};

void store_doubt_away(struct store_doubt *doubt, int64_t now_us);
void store_doubt_reached(struct store_doubt *doubt, int64_t now_us);
bool store_doubt_stands(const struct store_doubt *doubt, int64_t now_us);
int64_t store_doubt_over_before_us(const struct store_doubt *doubt,
				   int64_t now_us);

G_END_DECLS

#endif
