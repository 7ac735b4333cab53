#ifndef CORE_MEMBERSHIP_GOSSIP_PACE_H
#define CORE_MEMBERSHIP_GOSSIP_PACE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How often a node passes its state of something on to random other nodes:
 * often while a change is new, seldom later, as a single record may be lost.
 * The load of a node does not depend on how many nodes there are.
 */
struct gossip_schedule {
	int64_t fresh_us; /* how long a change is new */
	int64_t fresh_period_us;
	size_t fresh_receivers;
	int64_t stale_period_us;
};

struct gossip_pace {
	int64_t changed_us;
	int64_t passed_on_us;
};

size_t gossip_pace_count_receivers(struct gossip_pace *pace,
				   const struct gossip_schedule *schedule,
				   int64_t now_us);

G_END_DECLS

#endif
