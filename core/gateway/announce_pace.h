#ifndef CORE_GATEWAY_ANNOUNCE_PACE_H
#define CORE_GATEWAY_ANNOUNCE_PACE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits how often a node announces its load to all other nodes: at regular
 * intervals, and soon after a change, but never more records a second than a
 * node can handle beside its requests. Without the bound the work grows with
 * the number of nodes and with their requests: in an overload nodes spend their
 * processors on announcements, forward the output of engines late, and the
 * retries of callers keep the overload going.
 */
struct announce_pace {
	int64_t next_round_us; /* when the next round is due */
	int64_t refilled_us;   /* when records were last added */
	double records;	       /* that may be sent now, a token bucket */
};

void announce_pace_init(struct announce_pace *pace, int64_t now_us);
bool announce_pace_is_due(struct announce_pace *pace, size_t others,
			  bool changed, int64_t now_us);
int64_t announce_pace_period_us(size_t others);

G_END_DECLS

#endif
