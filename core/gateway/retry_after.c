#include "core/gateway/retry_after.h"

/* Of the time in which the first event is due; the rest is to read a prompt. */
#define LEAST_SHARE 0.3
#define MOST_SHARE 0.55

/*
 * For a request that found no room: as late as its first event can still be in
 * time, since room comes while generations end or move. draw, from 0 up to 1,
 * keeps those apart that are refused together. first_answer_us 0: no such time
 * is known.
 */
int64_t retry_after_full_us(int64_t first_answer_us, double draw)
{
	double share = LEAST_SHARE + (MOST_SHARE - LEAST_SHARE) * draw;

	return MAX((int64_t)(share * (double)first_answer_us), RETRY_SOON_US);
}
