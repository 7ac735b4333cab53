#include "core/gateway/endpoint_suspicion.h"

/* Notices further apart than this are taken for unrelated failures. */
#define AGREEMENT_WINDOW_US (2 * G_USEC_PER_SEC)

#define INITIAL_ASIDE_US (2 * G_USEC_PER_SEC)
#define MAX_ASIDE_US (30 * G_USEC_PER_SEC)

/* For this long after the endpoint returns, one node's notice is enough. */
#define RELAPSE_WINDOW_US (5 * G_USEC_PER_SEC)

static bool is_relapse(const struct endpoint_suspicion *suspicion,
		       int64_t now_us)
{
	return suspicion->aside_us > 0 &&
	       now_us - suspicion->until_us < RELAPSE_WINDOW_US;
}

static bool is_agreed(const struct endpoint_suspicion *suspicion,
		      uint64_t reporter, int64_t now_us)
{
	return suspicion->reporter && suspicion->reporter != reporter &&
	       now_us - suspicion->reported_us < AGREEMENT_WINDOW_US;
}

static void put_aside(struct endpoint_suspicion *suspicion, int64_t now_us)
{
	suspicion->aside_us =
		is_relapse(suspicion, now_us)
			? MIN(2 * suspicion->aside_us, MAX_ASIDE_US)
			: INITIAL_ASIDE_US;
	suspicion->until_us = now_us + suspicion->aside_us;
	suspicion->reporter = 0;
}

/*
 * Counts a failure notice: the endpoint aborted a request of the given node.
 * Returns true if this puts the endpoint aside. Notices are ignored while it is
 * aside, since they concern requests sent before that.
 */
bool endpoint_suspicion_add_notice(struct endpoint_suspicion *suspicion,
				   uint64_t reporter, int64_t now_us)
{
	if (now_us < suspicion->until_us)
		return false;
	if (is_relapse(suspicion, now_us) ||
	    is_agreed(suspicion, reporter, now_us)) {
		put_aside(suspicion, now_us);
		return true;
	}
	suspicion->reporter = reporter;
	suspicion->reported_us = now_us;
	return false;
}

/* Whether the endpoint may get new requests, as far as notices count. */
bool endpoint_suspicion_allows(const struct endpoint_suspicion *suspicion,
			       int64_t now_us)
{
	return now_us >= suspicion->until_us;
}
