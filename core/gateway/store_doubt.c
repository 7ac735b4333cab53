#include "core/gateway/store_doubt.h"

/*
 * Entries that expired while the store was away are back two seconds after the
 * outage; until then the last known entries are used.
 */
#define RENEWAL_GRACE_US (2500 * 1000)

/*
 * A node that has just started has seen no outage itself. It doubts removals
 * for this time in case an outage ended just before. The doubt keeps a leaving
 * endpoint in use, and must not last longer than an endpoint serves after its
 * notice.
 */
#define STARTUP_GRACE_US (2000 * 1000)

/* Longer than the probe interval of one second plus a probe's timeout. */
#define RECENT_ANSWER_US (2000 * 1000)

/* Records that the store may be away now, or was not reached yet. */
void store_doubt_store_lost(struct store_doubt *doubt, int64_t now_us)
{
	doubt->doubt_until_us =
		now_us +
		(doubt->was_reached ? RENEWAL_GRACE_US : STARTUP_GRACE_US);
}

/* Records that the store answers again, or for the first time. */
void store_doubt_store_reached(struct store_doubt *doubt, int64_t now_us)
{
	store_doubt_store_lost(doubt, now_us);
	doubt->was_reached = true;
}

/* Records that the store answered a call of this node. */
void store_doubt_store_answered(struct store_doubt *doubt, int64_t now_us)
{
	doubt->answered_us = now_us;
}

/*
 * Whether the store may be away: this node can't reach it, or got no answer
 * recently and a sentinel lost it while no other reaches it. A sentinel that
 * alone is cut off announces the same as one in an outage. When its
 * announcement overrode the answers that this node got itself, engines that had
 * left stayed in use for as long as the sentinel was cut off.
 */
bool store_doubt_suspects_outage(const struct store_doubt *doubt,
				 const struct store_view *view, int64_t now_us)
{
	if (!view->reaches_store)
		return true;
	return view->sentinel_lost_store && !view->sentinel_reaches_store &&
	       now_us - doubt->answered_us >= RECENT_ANSWER_US;
}

/* Extends the doubt if the store may be away according to this view. */
void store_doubt_update(struct store_doubt *doubt,
			const struct store_view *view, int64_t now_us)
{
	if (!view->reaches_store)
		store_doubt_store_lost(doubt, now_us);
	else if (store_doubt_suspects_outage(doubt, view, now_us))
		doubt->doubt_until_us =
			MAX(doubt->doubt_until_us, now_us + STARTUP_GRACE_US);
}

/* Whether a removal that arrives now may be an expiry due to an outage. */
bool store_doubt_is_active(const struct store_doubt *doubt, int64_t now_us)
{
	return now_us < doubt->doubt_until_us;
}

/*
 * Returns the time for registry_step: endpoints whose removal has been in doubt
 * since then or longer are gone. INT64_MIN: none is. Doubts that began during
 * an outage end together, however late they began. If each had a period of its
 * own, an endpoint that left just before the end would stay in use long after
 * all other nodes gave it up.
 */
int64_t store_doubt_ended_before_us(const struct store_doubt *doubt,
				    int64_t now_us)
{
	if (store_doubt_is_active(doubt, now_us))
		return INT64_MIN;
	return MAX(doubt->doubt_until_us, now_us - RENEWAL_GRACE_US);
}
