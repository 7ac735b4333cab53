#include "core/gateway/warmup_limit.h"
#include "core/limit/rate_window.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

static constexpr int64_t second_us = 1000000;
static constexpr uint64_t endpoint_key = 0x9e3779b97f4a7c15;

static struct rate_parts parts_of(int64_t rate_per_ks, int64_t excess_percent,
				  int64_t slack)
{
	struct warmup_bounds bounds = {rate_per_ks, excess_percent, slack};

	return warmup_parts(&bounds);
}

/*
 * A fleet in virtual time in which every node has requests for one cold
 * endpoint all the time, and sends whatever its quota allows.
 */
class WarmupFleet : public testing::Test
{
      protected:
	struct warmup_bounds bounds = {4000, 150, 5};
	std::vector<struct rate_window *> windows;
	std::vector<int64_t> sent_us;
	std::mt19937 random{7};

	~WarmupFleet() override
	{
		for (struct rate_window *window : windows)
			rate_window_destroy(window);
	}

	void press(size_t node, enum rate_chooser chooser, size_t nodes,
		   size_t most_nodes, size_t index, int64_t now_us)
	{
		struct rate_fleet fleet = {nodes, most_nodes, nodes, 0, index};
		struct rate_parts parts = warmup_parts(&bounds);
		int64_t quota =
			rate_share(&parts, chooser, &fleet, endpoint_key);

		windows.resize(std::max(windows.size(), node + 1));
		while (rate_window_allows(windows[node], quota,
					  WARMUP_WINDOW_US, now_us)) {
			rate_window_add(&windows[node], WARMUP_WINDOW_US,
					now_us);
			sent_us.push_back(now_us);
		}
	}

	/* The most requests in any second. */
	size_t peak_rate() const
	{
		size_t most = 0;

		for (size_t first = 0, i = 0; i < sent_us.size(); i++) {
			while (sent_us[i] - sent_us[first] >= second_us)
				first++;
			most = std::max(most, i - first + 1);
		}
		return most;
	}

	int64_t draw_us(int64_t most_us)
	{
		return std::uniform_int_distribution<int64_t>(0,
							      most_us)(random);
	}
};

/*
 * Guards against a cold engine that all nodes send to at once: 480 nodes, one
 * home, and every other node also choosing by itself, out of step.
 */
TEST_F(WarmupFleet, StaysBelowTheBoundAndUsesTheRate)
{
	int64_t now_us = second_us;

	while (now_us < 21 * second_us) {
		size_t node = (size_t)draw_us(479);

		press(node, node == 0 ? RATE_HOME : RATE_BESIDE_HOME, 480, 480,
		      node, now_us);
		press(0, RATE_HOME, 480, 480, 0, now_us);
		now_us += draw_us(2000);
	}
	EXPECT_LE(peak_rate(), 11u);
	EXPECT_GE(sent_us.size(), 20 * 4 * 8 / 10);
}

/* The home alone, as in normal operation, uses at least 0.8 of the rate. */
TEST_F(WarmupFleet, HomeUsesTheRate)
{
	for (int64_t now_us = second_us; now_us < 21 * second_us;
	     now_us += 1000)
		press(0, RATE_HOME, 478, 480, 0, now_us);
	EXPECT_LE(peak_rate(), 5u);
	EXPECT_GE(sent_us.size(), 20 * 4 * 8 / 10);
}

/* Guards against two homes, one on each side of a cut, that grant it twice. */
TEST_F(WarmupFleet, PartsOfACutFleetShareTheBound)
{
	for (int64_t now_us = second_us; now_us < 11 * second_us;
	     now_us += draw_us(400)) {
		size_t node = (size_t)draw_us(479);
		bool is_home = node % 240 == 0;

		press(node, is_home ? RATE_HOME : RATE_BESIDE_HOME, 240, 480,
		      node % 240, now_us);
	}
	EXPECT_LE(peak_rate(), 11u);
}

/* Guards against shares that add up to more while members disagree. */
TEST_F(WarmupFleet, NodesThatDisagreeOnTheMembersStayBelowTheBound)
{
	for (int64_t now_us = second_us; now_us < 11 * second_us;
	     now_us += draw_us(400)) {
		size_t node = (size_t)draw_us(479);
		/* Every third node misses two nodes of the first half. */
		size_t missing = node % 3 == 0 ? 2 : 0;

		press(node, node == 0 ? RATE_HOME : RATE_BESIDE_HOME,
		      480 - missing, 480, node > 240 ? node - missing : node,
		      now_us);
	}
	EXPECT_LE(peak_rate(), 11u);
}

/* Plain services have no home: the nodes share the whole bound. */
TEST_F(WarmupFleet, NodesWithoutAHomeShareTheBound)
{
	for (int64_t now_us = second_us; now_us < 11 * second_us;
	     now_us += draw_us(400)) {
		size_t node = (size_t)draw_us(58);

		press(node, RATE_EACH_NODE, 59, 59, node, now_us);
	}
	EXPECT_LE(peak_rate(), 11u);
	EXPECT_GE(sent_us.size(), 10 * 4 * 8 / 10);
}

/* A single node may use nearly all of it; a rate below 1 gives one request. */
TEST(WarmupLimit, Quotas)
{
	const struct rate_fleet one = {1, 1, 1, 0, 0};
	const struct rate_fleet many = {59, 59, 59, 0, 58};
	const struct rate_parts sheet = parts_of(36000, 150, 5);
	const struct rate_parts slow = parts_of(500, 150, 0);
	const struct rate_parts exact = parts_of(4000, 100, 0);

	EXPECT_EQ(54, rate_share(&sheet, RATE_EACH_NODE, &one, 0));
	EXPECT_EQ(36, rate_share(&sheet, RATE_HOME, &many, 0));
	EXPECT_LE(rate_share(&sheet, RATE_BESIDE_HOME, &many, 0), 1);
	EXPECT_EQ(0, rate_share(&slow, RATE_HOME, &many, 0))
		<< "the bound for a second is 0.75 requests";
	EXPECT_EQ(4, rate_share(&exact, RATE_HOME, &many, 0));
	EXPECT_EQ(0, rate_share(&exact, RATE_BESIDE_HOME, &many, 0));
}
