#include "core/gateway/drain.h"

/*
 * Streams run for seconds: one that starts later than this into the drain may
 * be cut off. Nothing starts in its last 1.2 s.
 */
#define STREAM_CUTOFF_US (2500 * 1000)
#define REQUEST_RESERVE_US (1200 * 1000)

/* Idle connections are closed this long before the end of a drain. */
#define CLOSE_IDLE_US G_USEC_PER_SEC

/*
 * Requests that are still in progress are answered this long before the process
 * would be killed. The process ends at the second time at the latest, so that
 * their callers can read the answers before.
 */
#define ANSWER_REST_US (300 * 1000)
#define END_US (150 * 1000)

/*
 * Whether a request that arrives drained_us after the start of the drain is
 * served. expected_us: what its answer takes; 0: not known. timeout_us is the
 * time after which the process would be killed.
 */
bool drain_allows_request(enum route_kind kind, int64_t expected_us,
			  int64_t drained_us, int64_t timeout_us)
{
	int64_t left_us = timeout_us - drained_us;

	if (kind == ROUTE_STREAM && drained_us > STREAM_CUTOFF_US)
		return false;
	if (left_us < REQUEST_RESERVE_US)
		return false;
	return expected_us < left_us - ANSWER_REST_US;
}

/*
 * Returns what to do drained_us after the start of the drain, with busy
 * requests in progress and closing connections whose callers may not have read
 * their last answer. An idle gateway keeps serving too: callers may use its
 * address until shortly before the end.
 */
enum drain_step drain_decide(int64_t drained_us, int64_t timeout_us,
			     size_t busy, size_t closing)
{
	int64_t left_us = timeout_us - drained_us;

	if (left_us >= CLOSE_IDLE_US)
		return DRAIN_SERVE;
	if (left_us < END_US || (busy == 0 && closing == 0))
		return DRAIN_END;
	return left_us < ANSWER_REST_US ? DRAIN_ANSWER_REST : DRAIN_CLOSE_IDLE;
}
