#include "core/gateway/answer_limit.h"

/* Starts to count an answer against a limit of max bytes; 0: none. */
void answer_limit_init(struct answer_limit *limit, int64_t max)
{
	limit->max = max;
	limit->received = 0;
}

/*
 * Returns ANSWER_TOO_LARGE_AT_HEAD if the body that the head states is over the
 * limit; it then counts as received. A negative size is unknown.
 */
enum answer_size answer_limit_check_head(struct answer_limit *limit,
					 int64_t stated)
{
	if (limit->max <= 0 || stated <= limit->max)
		return ANSWER_SIZE_OK;
	limit->received = stated;
	return ANSWER_TOO_LARGE_AT_HEAD;
}

/*
 * Counts bytes of the body. Returns ANSWER_TOO_LARGE_MIDWAY from the byte on
 * that is over the limit.
 */
enum answer_size answer_limit_add(struct answer_limit *limit, int64_t bytes)
{
	if (bytes > G_MAXINT64 - limit->received)
		limit->received = G_MAXINT64;
	else
		limit->received += bytes;
	if (limit->max <= 0 || limit->received <= limit->max)
		return ANSWER_SIZE_OK;
	return ANSWER_TOO_LARGE_MIDWAY;
}
