#include "core/gateway/endpoint_limit.h"

/*
 * A lower limit applies at once. A higher one, or none, applies only if no
 * answer within this time stated the lower one: answers overtake each other on
 * different connections and nodes.
 */
#define HOLD_US G_USEC_PER_SEC

#define US_PER_KS (1000 * G_USEC_PER_SEC)
#define PER_KS 1000

/* Part of a limit that nodes use without asking their home. */
#define OWN_SHARE_PERCENT 75

/* Take-overs beyond the limit, on top of a second's requests. */
#define SPARE_REQUESTS 3

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

/*
 * Forgets a limit that no answer stated since before_us. What other nodes know
 * from about the same time does not restore it: their records seem newer by the
 * time that they travel. Returns whether it was forgotten.
 */
bool endpoint_limit_expire(struct endpoint_limit *limit, int64_t before_us)
{
	if (!limit->is_limited || limit->stated_us >= before_us)
		return false;
	*limit = (struct endpoint_limit){
		.stated_us = limit->stated_us + 2 * HOLD_US,
	};
	return true;
}

/*
 * Divides the whole requests of about a second, or of the time of one request
 * if that is longer, among a fleet of up to most_nodes. Each node has the same
 * whole number that it sends without asking; the rest, which does not divide or
 * of which some nodes have no use, is the home's, for itself and for nodes that
 * ask it. To a limit of 0 nothing is sent until it expires. Runs whose engine
 * is lost may go on beyond the limit by a small number of requests.
 */
struct limit_division endpoint_limit_divide(const struct endpoint_limit *limit,
					    size_t most_nodes)
{
	int64_t nodes = (int64_t)MAX(most_nodes, 1);
	int64_t count = (limit->rate_per_ks + PER_KS - 1) / PER_KS;
	int64_t own = count * OWN_SHARE_PERCENT / 100 / nodes;
	struct limit_division division = {.span_us = G_USEC_PER_SEC};

	if (count == 0)
		return division;
	division.span_us = count * US_PER_KS / limit->rate_per_ks;
	division.parts = (struct rate_parts){
		.home = count - own * (nodes - 1),
		.beside_home = own * nodes,
		.home_silent = count / 2,
		.each_node = count,
	};
	division.spare.each_node = count + SPARE_REQUESTS;
	return division;
}
