#include "core/gateway/retry_after.h"

/*
 * Bounds of the delay, as fractions of the time within which the first event is
 * due. The rest of that time remains for reading the prompt.
 */
#define MIN_SHARE 0.3
#define MAX_SHARE 0.55

/*
 * Returns how long the caller of a request that found no room should wait
 * before a retry. Room becomes free as generations end or move, so the delay is
 * as long as possible while the first event of the retry can still be in time.
 * draw, random in [0, 1), spreads callers that are refused together.
 * first_answer_us is the time within which the first event is due, or 0 if none
 * is set.
 */
int64_t retry_after_full_us(int64_t first_answer_us, double draw)
{
	double share = MIN_SHARE + (MAX_SHARE - MIN_SHARE) * draw;

	return MAX((int64_t)(share * (double)first_answer_us), RETRY_SOON_US);
}

/*
 * Returns how long the caller of a request should wait that only endpoints
 * could take whose limits are used up. wait_us is the time until this node may
 * send one a request, or -1 if it is not known; draw, random in [0, 1), spreads
 * callers that are refused together.
 */
int64_t retry_after_limited_us(int64_t wait_us, double draw)
{
	if (wait_us < 0)
		return RETRY_LATER_US;
	return CLAMP((int64_t)((double)wait_us * (1 + draw)), RETRY_SOON_US,
		     RETRY_LATER_US);
}

/*
 * Returns how long the caller of a request should wait while all endpoints want
 * rest from this node. wait_us is the time until the first rest ends; draw,
 * random in [0, 1), spreads callers that are refused together: the first ones
 * to return may find the endpoint as full as before.
 */
int64_t retry_after_resting_us(int64_t wait_us, double draw)
{
	return wait_us + (int64_t)(draw * (double)RETRY_SOON_US);
}

/*
 * Returns how long the caller of a request should wait that found no memory in
 * this process. wait_us is the estimated time until enough is free, or -1 if it
 * is not known; draw, random in [0, 1), spreads callers that are refused
 * together.
 */
int64_t retry_after_memory_us(int64_t wait_us, double draw)
{
	if (wait_us < 0)
		return RETRY_LATER_US;
	return MAX((int64_t)((double)wait_us * (1 + draw)), RETRY_SOON_US);
}
