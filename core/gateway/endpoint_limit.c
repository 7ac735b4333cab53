#include "core/gateway/endpoint_limit.h"

/*
 * A lower limit applies at once. A higher one, or none, applies only if no
 * answer within this time stated the lower one: answers overtake each other on
 * different connections and nodes.
 */
#define HOLD_US G_USEC_PER_SEC

static bool is_higher(const struct endpoint_limit *a,
		      const struct endpoint_limit *b)
{
	if (!a->is_limited || !b->is_limited)
		return !a->is_limited && b->is_limited;
	return a->rate_per_ks > b->rate_per_ks;
}

static bool is_equal(const struct endpoint_limit *a,
		     const struct endpoint_limit *b)
{
	return !is_higher(a, b) && !is_higher(b, a);
}

/*
 * Applies what an answer said at news->stated_us, which this node or another
 * one received. Returns whether the limit changed.
 */
bool endpoint_limit_apply(struct endpoint_limit *limit,
			  const struct endpoint_limit *news)
{
	if (is_equal(news, limit)) {
		limit->stated_us = MAX(limit->stated_us, news->stated_us);
		return false;
	}
	if (is_higher(news, limit)
		    ? news->stated_us - limit->stated_us < HOLD_US
		    : limit->stated_us - news->stated_us >= HOLD_US)
		return false;
	*limit = *news;
	return true;
}

/*
 * Applies an answer that arrives now. A value without a meaning changes
 * nothing: a limit that is in force stays. Returns whether the limit changed.
 */
bool endpoint_limit_apply_answer(struct endpoint_limit *limit,
				 const struct answered_limit *answer,
				 int64_t now_us)
{
	struct endpoint_limit news = {.stated_us = now_us};

	switch (answer->statement) {
	case LIMIT_UNKNOWN:
	case LIMIT_UNREADABLE:
		return false;
	case LIMIT_STATED:
		news.is_limited = true;
		news.rate_per_ks = answer->rate_per_ks;
		break;
	case LIMIT_UNSTATED:
		break;
	}
	return endpoint_limit_apply(limit, &news);
}
