#include "core/gateway/retry_after.h"

/*
 * Shares of the time in which the first event is due. The rest remains for
 * reading the prompt.
 */
#define MIN_SHARE 0.3
#define MAX_SHARE 0.55

/*
 * Returns how long the caller of a request that found no room should wait
 * before a retry. The delay is as long as its first event can still be in time,
 * since room becomes free while generations end or move. draw, random in [0,
 * 1), spreads callers that are refused together. first_answer_us is the time in
 * which the first event is due, or 0 if none is set.
 */
int64_t retry_after_full_us(int64_t first_answer_us, double draw)
{
	double share = MIN_SHARE + (MAX_SHARE - MIN_SHARE) * draw;

	return MAX((int64_t)(share * (double)first_answer_us), RETRY_SOON_US);
}
