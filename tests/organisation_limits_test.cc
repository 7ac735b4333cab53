#include "core/limit/organisation_limits.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

constexpr int64_t second_us = 1000000;

class OrganisationLimits : public testing::Test
{
      protected:
	struct config *config = config_create();
	struct config_organisation *atlas =
		config_add_organisation(config, "atlas");
	struct organisation_limits *node[2] = {organisation_limits_create(),
					       organisation_limits_create()};
	struct organisation_limits *home = organisation_limits_create();
	int64_t now_us = 100 * second_us;
	struct rate_fleet two = {2, 2, 2, 0, 0};

	~OrganisationLimits() override
	{
		organisation_limits_destroy(node[0]);
		organisation_limits_destroy(node[1]);
		organisation_limits_destroy(home);
		config_unref(config);
	}

	/* Sends count requests over a second; returns the number admitted. */
	int send_requests(int i, int count)
	{
		int admitted = 0;
		int64_t retry_after_us = 0;

		for (int k = 0; k < count; k++)
			admitted += organisation_limits_admit(
					    node[i], atlas, 10, &two,
					    now_us + k * second_us / count,
					    &retry_after_us) == REFUSAL_NONE;
		return admitted;
	}

	/* Reports the demand of a node to the home and applies its share. */
	void report(int i)
	{
		struct peer_limit report = {};
		struct peer_limit share = {};
		std::string name = "entry-" + std::to_string(i);

		organisation_limits_report(node[i], "atlas", now_us, &report);
		organisation_limits_divide(home, atlas, &two, name.c_str(),
					   &report, now_us, &share);
		organisation_limits_apply_share(node[i], "atlas", &share,
						now_us);
	}
};

/*
 * Nearly all requests of an organisation arrive at one node. Equal shares would
 * refuse half of what it may send; shares by demand do not, and their sum over
 * the nodes stays within the limit.
 */
TEST_F(OrganisationLimits, FollowsWhereTheRequestsCome)
{
	atlas->requests_per_s = 100;
	for (int i = 0; i < 10; i++) {
		send_requests(0, 90);
		send_requests(1, 2);
		now_us += second_us;
		report(0);
		report(1);
	}
	send_requests(0, 400); /* uses the accumulated credit */
	send_requests(1, 2);
	now_us += second_us;
	int first = send_requests(0, 400);
	int second = send_requests(1, 2);

	EXPECT_GE(first, 85);
	EXPECT_EQ(2, second);
	EXPECT_LE(first + second, 100);
}

/*
 * The home of the organisation is lost and its share expires: each node falls
 * back to an equal part. The organisation is neither blocked nor unlimited.
 */
TEST_F(OrganisationLimits, FallsBackToAnEqualPart)
{
	atlas->requests_per_s = 100;
	send_requests(0, 400);
	now_us += second_us;
	report(0);
	now_us += 60 * second_us;
	send_requests(0, 200);
	now_us += second_us;
	EXPECT_NEAR(50, send_requests(0, 400), 2);
}

/*
 * Guards against a fleet that is cut, or in two regions: each side has a home,
 * and both would divide the whole limit.
 */
TEST_F(OrganisationLimits, TwoHomesShareTheLimit)
{
	struct organisation_limits *homes[] = {home, node[1]};
	int64_t sum = 0;

	atlas->requests_per_s = 100;
	for (struct organisation_limits *side : homes) {
		struct peer_limit report = {0, 90000, 0};
		struct peer_limit share = {};
		struct rate_fleet half = {1, 2, 1, 0, 0};

		organisation_limits_divide(side, atlas, &half, "entry-0",
					   &report, now_us, &share);
		sum += share.rate_per_ks;
	}
	EXPECT_LE(sum, 100000);
	EXPECT_GE(sum, 99000);
}

/* A refusal returns the time after which the next request is admitted. */
TEST_F(OrganisationLimits, SaysWhenToComeBack)
{
	int64_t retry_after_us = 0;

	atlas->requests_per_s = 2;
	ASSERT_EQ(REFUSAL_NONE,
		  organisation_limits_admit(node[0], atlas, 1, &two, now_us,
					    &retry_after_us));
	EXPECT_EQ(REFUSAL_RATE_LIMIT,
		  organisation_limits_admit(node[0], atlas, 1, &two, now_us,
					    &retry_after_us));
	EXPECT_EQ(second_us, retry_after_us);
	EXPECT_EQ(REFUSAL_NONE,
		  organisation_limits_admit(node[0], atlas, 1, &two,
					    now_us + retry_after_us,
					    &retry_after_us));
}

/* Output tokens count as well and are released when their request ends. */
TEST_F(OrganisationLimits, CountsTokensHeld)
{
	int64_t retry_after_us = 0;

	atlas->concurrent_tokens = 200;
	ASSERT_EQ(REFUSAL_NONE,
		  organisation_limits_admit(node[0], atlas, 50, &two, now_us,
					    &retry_after_us));
	organisation_limits_add_tokens(node[0], "atlas", 45);
	EXPECT_EQ(REFUSAL_TOKEN_LIMIT,
		  organisation_limits_admit(node[0], atlas, 10, &two, now_us,
					    &retry_after_us));
	organisation_limits_add_tokens(node[0], "atlas", -95);
	EXPECT_EQ(REFUSAL_NONE,
		  organisation_limits_admit(node[0], atlas, 10, &two, now_us,
					    &retry_after_us));
}

} /* namespace */
