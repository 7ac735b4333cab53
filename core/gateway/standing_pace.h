#ifndef CORE_GATEWAY_STANDING_PACE_H
#define CORE_GATEWAY_STANDING_PACE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * When a node tells all others what it holds: regularly, and soon after a
 * change, but never more records a second than a node can bear beside its
 * requests. Without the bound the work rises with the nodes and with their
 * requests: in an overload nodes spend their processors on telling one another
 * of it, pass late what engines made, and callers' retries keep the overload
 * going.
 */
struct standing_pace {
	int64_t regular_us; /* the next round at the latest */
	int64_t earned_us;  /* records were last added up */
	double records;	    /* that may be sent now */
};

void standing_pace_init(struct standing_pace *pace, int64_t now_us);
bool standing_pace_is_due(struct standing_pace *pace, size_t others,
			  bool changed, int64_t now_us);
int64_t standing_pace_period_us(size_t others);

G_END_DECLS

#endif
