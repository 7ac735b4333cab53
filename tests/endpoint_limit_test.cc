#include "core/gateway/endpoint_limit.h"

#include <gtest/gtest.h>

#include <string>

static constexpr int64_t second_us = 1000000;

/* The limit of one endpoint, as a text: "4800 at 10.0" or "none at 10.0". */
class EndpointLimit : public testing::Test
{
      protected:
	struct endpoint_limit limit = {};

	std::string told(bool is_limited, int64_t rate_per_ks, double at_s)
	{
		struct endpoint_limit news = {is_limited, rate_per_ks,
					      (int64_t)(at_s * second_us)};

		endpoint_limit_apply(&limit, &news);
		return text();
	}

	std::string stated(int64_t rate_per_ks, double at_s)
	{
		return told(true, rate_per_ks, at_s);
	}

	std::string unstated(double at_s)
	{
		return told(false, 0, at_s);
	}

	std::string text() const
	{
		char at[32];

		snprintf(at, sizeof(at), " at %.1f",
			 (double)limit.stated_us / second_us);
		return (limit.is_limited ? std::to_string(limit.rate_per_ks)
					 : "none") +
		       at;
	}
};

TEST_F(EndpointLimit, FollowsTheNewestAnswers)
{
	EXPECT_EQ("none at 10.0", unstated(10));
	EXPECT_EQ("4800 at 10.1", stated(4800, 10.1));
	EXPECT_EQ("3000 at 10.2", stated(3000, 10.2)) << "lower: at once";
	EXPECT_EQ("3000 at 10.9", stated(3000, 10.9));
	EXPECT_EQ("4800 at 12.0", stated(4800, 12)) << "higher: after a second";
	EXPECT_EQ("none at 13.5", unstated(13.5));
}

/* Guards against a limit that one late answer, without it, ends everywhere. */
TEST_F(EndpointLimit, HoldsWhileAnswersDisagree)
{
	EXPECT_EQ("3000 at 10.0", stated(3000, 10));
	for (int i = 1; i < 50; i++) {
		EXPECT_EQ(text(), unstated(10 + i * 0.2));
		EXPECT_EQ(3000, limit.rate_per_ks);
		stated(3000, 10 + i * 0.2 + 0.1);
		EXPECT_TRUE(limit.is_limited);
	}
	EXPECT_EQ("none at 30.0", unstated(30)) << "given up in the end";
}

/* Guards against news that travelled long and restores an ended limit. */
TEST_F(EndpointLimit, IgnoresOldNews)
{
	EXPECT_EQ("none at 20.0", unstated(20));
	EXPECT_EQ("none at 20.0", stated(3000, 18));
	EXPECT_EQ("3000 at 19.5", stated(3000, 19.5)) << "about as new";
	EXPECT_EQ("3000 at 19.5", stated(2000, 18));
	EXPECT_EQ("3000 at 19.5", stated(3000, 19)) << "never less new";
	EXPECT_EQ("none at 21.0", unstated(21));
}

/* A value without a meaning keeps the limit, and sets none. */
TEST_F(EndpointLimit, KeepsTheLimitOverUnreadableAnswers)
{
	struct answered_limit answer = {LIMIT_UNREADABLE, 7};

	EXPECT_FALSE(
		endpoint_limit_apply_answer(&limit, &answer, 9 * second_us));
	EXPECT_FALSE(limit.is_limited);
	answer.statement = LIMIT_STATED;
	EXPECT_TRUE(
		endpoint_limit_apply_answer(&limit, &answer, 10 * second_us));
	for (enum limit_statement other : {LIMIT_UNREADABLE, LIMIT_UNKNOWN}) {
		answer.statement = other;
		EXPECT_FALSE(endpoint_limit_apply_answer(&limit, &answer,
							 20 * second_us));
	}
	EXPECT_EQ("7 at 10.0", text());
	answer.statement = LIMIT_UNSTATED;
	EXPECT_TRUE(
		endpoint_limit_apply_answer(&limit, &answer, 21 * second_us));
	EXPECT_FALSE(limit.is_limited);
}
