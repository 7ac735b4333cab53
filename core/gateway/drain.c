#include "core/gateway/drain.h"

/*
 * Streams run for seconds: one that begins later than this would be cut. What
 * is left of the others ends in the last 1.2 s.
 */
#define DRAIN_STREAMS_US (2500 * 1000)
#define DRAIN_LAST_US (1200 * 1000)

/* Idle connections close so long before the end of a drain. */
#define CLOSE_IDLE_US G_USEC_PER_SEC

/* The process ends so long before it would be killed. */
#define DRAIN_MARGIN_US (300 * 1000)

/* Whether a request is begun, so long after the drain was. */
bool drain_may_begin(enum route_kind kind, int64_t drained_us,
		     int64_t longest_us)
{
	if (kind == ROUTE_STREAM && drained_us > DRAIN_STREAMS_US)
		return false;
	return drained_us <= longest_us - DRAIN_LAST_US;
}

/*
 * What to do now, with so many requests being answered. An idle gateway stays
 * as well: callers may hold its address until shortly before the end.
 */
enum drain_step drain_decide(int64_t drained_us, int64_t longest_us,
			     size_t busy)
{
	int64_t left_us = longest_us - drained_us;

	if (left_us >= CLOSE_IDLE_US)
		return DRAIN_SERVE;
	if (busy > 0 && left_us >= DRAIN_MARGIN_US)
		return DRAIN_CLOSE_IDLE;
	return DRAIN_END;
}
