#include "core/gateway/endpoint_rest.h"
#include "core/gateway/retry_after.h"

#include <gtest/gtest.h>

static const int64_t S = G_USEC_PER_SEC;

static struct answered_rest asks(int64_t rest_us)
{
	return {REST_STATED, rest_us};
}

/* Guards against requests to an endpoint in the time that it asked for. */
TEST(EndpointRest, LastsAsLongAsWasAsked)
{
	struct endpoint_rest rest = {};
	struct answered_rest answer = asks(3 * S);

	EXPECT_FALSE(endpoint_rest_is_on(&rest, 10 * S));
	EXPECT_TRUE(endpoint_rest_apply(&rest, &answer, 10 * S));
	EXPECT_TRUE(endpoint_rest_is_on(&rest, 13 * S - 1));
	EXPECT_FALSE(endpoint_rest_is_on(&rest, 13 * S));
	EXPECT_EQ(1 * S, endpoint_rest_left_us(&rest, 12 * S));
	EXPECT_EQ(0, endpoint_rest_left_us(&rest, 14 * S));
}

/* Guards against a rest that a shorter or later answer ends sooner. */
TEST(EndpointRest, IsNeverShortened)
{
	struct endpoint_rest rest = {};
	struct answered_rest answer = asks(3 * S);

	endpoint_rest_apply(&rest, &answer, 10 * S);
	for (int64_t rest_us : {(int64_t)0, 1 * S}) {
		answer = asks(rest_us);
		EXPECT_FALSE(endpoint_rest_apply(&rest, &answer, 11 * S));
	}
	answer = {REST_UNSTATED, 0};
	EXPECT_FALSE(endpoint_rest_apply(&rest, &answer, 11 * S));
	answer = {REST_UNREADABLE, 0};
	EXPECT_FALSE(endpoint_rest_apply(&rest, &answer, 11 * S));
	EXPECT_EQ(2 * S, endpoint_rest_left_us(&rest, 11 * S));
	answer = asks(4 * S);
	EXPECT_FALSE(endpoint_rest_apply(&rest, &answer, 11 * S));
	EXPECT_EQ(4 * S, endpoint_rest_left_us(&rest, 11 * S));
}

/* Guards against an endpoint that puts itself away for a day by a slip. */
TEST(EndpointRest, IsBounded)
{
	struct endpoint_rest rest = {};
	struct answered_rest answer = asks(86400 * S);

	EXPECT_TRUE(endpoint_rest_apply(&rest, &answer, 10 * S));
	EXPECT_EQ(60 * S, endpoint_rest_left_us(&rest, 10 * S));
}

/* One run in each rest goes on there rather than being lost. */
TEST(EndpointRest, SparesOneTakeOver)
{
	struct endpoint_rest rest = {};
	struct answered_rest answer = asks(3 * S);

	endpoint_rest_count_take_over(&rest);
	EXPECT_TRUE(endpoint_rest_allows_take_over(&rest, 10 * S));
	endpoint_rest_apply(&rest, &answer, 10 * S);
	EXPECT_TRUE(endpoint_rest_allows_take_over(&rest, 10 * S));
	endpoint_rest_count_take_over(&rest);
	EXPECT_FALSE(endpoint_rest_allows_take_over(&rest, 10 * S));
	EXPECT_TRUE(endpoint_rest_allows_take_over(&rest, 13 * S));
}

/* Callers come back after the rest, and not all at once. */
TEST(EndpointRest, TellsCallersWhenItIsOver)
{
	EXPECT_EQ(2 * S, retry_after_resting_us(2 * S, 0));
	EXPECT_EQ(2 * S + RETRY_SOON_US / 2,
		  retry_after_resting_us(2 * S, 0.5));
}
