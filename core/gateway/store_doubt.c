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

/*
 * Least time without answers after which entries may have expired. An entry
 * outlives two missed reports, and reports are more than a second apart. Probes
 * are a second apart: a cut connection that is replaced at once stays below.
 */
#define SILENCE_MIN_US (1500 * 1000)

/*
 * Time for many entries that vanished at once to come back, although the store
 * answered all the while. Must be shorter than an endpoint serves on after its
 * entry is removed.
 */
#define VANISHED_GRACE_US (1500 * 1000)

/* Longer than the probe interval of one second plus a probe's timeout. */
#define RECENT_ANSWER_US (2000 * 1000)

static void store_doubt_extend(struct store_doubt *doubt, int64_t until_us,
			       const char *cause)
{
	if (until_us <= doubt->doubt_until_us)
		return;
	doubt->doubt_until_us = until_us;
	doubt->cause = cause;
}

/*
 * Records that the store answered a call of this node. Entries that arrive with
 * or after this answer are in doubt if it ends a long silence.
 */
void store_doubt_store_answered(struct store_doubt *doubt, int64_t now_us)
{
	if (!doubt->was_reached)
		store_doubt_extend(doubt, now_us + STARTUP_GRACE_US, "started");
	else if (now_us - doubt->known_us >= SILENCE_MIN_US)
		store_doubt_extend(doubt, now_us + RENEWAL_GRACE_US, "silence");
	doubt->was_reached = true;
	doubt->is_held = false;
	doubt->answered_us = now_us;
	doubt->known_us = now_us;
}

/* Records that one answer removed a large part of all entries. */
void store_doubt_many_vanished(struct store_doubt *doubt, int64_t now_us)
{
	store_doubt_extend(doubt, now_us + VANISHED_GRACE_US, "many_at_once");
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

/*
 * Extends the doubt as far as this view requires. A node that does not watch
 * the store relies on the sentinels, which may notice an outage late.
 */
void store_doubt_update(struct store_doubt *doubt,
			const struct store_view *view, int64_t now_us)
{
	bool suspects = store_doubt_suspects_outage(doubt, view, now_us);

	if (view->watches_store) {
		/* Entries can't come back before the store answers. */
		doubt->is_held |=
			suspects && store_doubt_is_active(doubt, now_us);
		return;
	}
	doubt->is_held = false;
	if (suspects)
		store_doubt_extend(doubt, now_us + RENEWAL_GRACE_US,
				   "sentinel");
	else
		doubt->known_us = now_us;
}

/* Whether a removal that arrives now may be an expiry due to an outage. */
bool store_doubt_is_active(const struct store_doubt *doubt, int64_t now_us)
{
	return doubt->is_held || now_us < doubt->doubt_until_us;
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
