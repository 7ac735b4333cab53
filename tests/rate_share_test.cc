#include "core/limit/rate_share.h"
#include "core/limit/rate_window.h"

#include <gtest/gtest.h>

#include <cstdlib>

static constexpr int64_t second_us = 1000000;

static int64_t share(int64_t total, size_t nodes, size_t most, size_t index,
		     uint64_t key)
{
	struct rate_parts parts = {total, total, total, total};
	struct rate_fleet fleet = {nodes, most, nodes, 0, index};

	return rate_share(&parts, RATE_EACH_NODE, &fleet, key);
}

/* The shares of all nodes add up to the total, whatever the key. */
TEST(RateShare, SharesAddUpToTheTotal)
{
	for (size_t nodes : {1, 2, 7, 59, 480}) {
		for (int64_t total : {0, 1, 4, 19, 480, 10001}) {
			for (uint64_t key : {0ull, 977ull, 1ull << 40, ~0ull}) {
				int64_t sum = 0;

				for (size_t i = 0; i < nodes; i++)
					sum += share(total, nodes, nodes, i,
						     key);
				EXPECT_EQ(total, sum) << nodes << " " << key;
			}
		}
	}
}

/*
 * Guards against regions whose homes each round their part up: it adds up to
 * the part of one home, however many regions there are.
 */
TEST(RateShare, HomesOfRegionsShareOnePart)
{
	for (size_t regions : {1, 2, 3, 10, 48}) {
		for (int64_t total : {1, 4, 5, 36}) {
			struct rate_parts parts = {total, 0, 0, 0};
			int64_t sum = 0;

			for (size_t i = 0; i < regions; i++) {
				size_t nodes = 480 / regions;
				struct rate_fleet fleet = {480, 480, nodes,
							   i * nodes, 0};

				sum += rate_share(&parts, RATE_REGION_HOME,
						  &fleet, 0);
			}
			EXPECT_EQ(total, sum) << regions;
		}
	}
}

/* Guards against nodes behind a cut that use the shares of the others. */
TEST(RateShare, NodesThatAreNotHeardKeepTheirShares)
{
	int64_t sum = 0;

	for (size_t i = 0; i < 240; i++)
		sum += share(20, 240, 480, i, 977);
	EXPECT_EQ(10, sum);
}

/*
 * Guards against shares that all change places when a node joins: whoever had
 * one has used it, and whoever gets one uses it again.
 */
TEST(RateShare, ANodeThatJoinsMovesFewShares)
{
	for (uint64_t key : {0ull, 0x123456789abcdefull, ~0ull}) {
		int64_t gained = 0;

		for (size_t i = 0; i < 479; i++) {
			int64_t before = share(19, 479, 480, i, key);
			/* The one that joins is the first. */
			int64_t after = share(19, 480, 480, i + 1, key);

			gained += std::max<int64_t>(after - before, 0);
		}
		EXPECT_LE(gained, 2) << key;
	}
}

TEST(RateShare, RemembersTheMostNodes)
{
	struct rate_peak peak;

	rate_peak_init(&peak, 1, 60 * second_us, second_us);
	EXPECT_FALSE(rate_peak_is_settled(&peak, 2 * second_us));
	rate_peak_update(&peak, 59, 2 * second_us);
	EXPECT_TRUE(rate_peak_is_settled(&peak, 4 * second_us));
	rate_peak_update(&peak, 30, 30 * second_us);
	EXPECT_EQ(59u, peak.nodes);
	rate_peak_update(&peak, 30, 63 * second_us);
	EXPECT_EQ(30u, peak.nodes);
}

/* Without a retention the peak never falls, nor below its least value. */
TEST(RateShare, ThePeakSinceTheStartNeverFalls)
{
	struct rate_peak peak;

	rate_peak_init(&peak, 6, 0, second_us);
	rate_peak_update(&peak, 1, 2 * second_us);
	EXPECT_EQ(6u, peak.nodes);
	rate_peak_update(&peak, 9, 3 * second_us);
	rate_peak_update(&peak, 1, 9000 * second_us);
	EXPECT_EQ(9u, peak.nodes);
	EXPECT_DOUBLE_EQ(6, rate_peak_divide(&peak, 54));
}

TEST(RateWindow, AllowsTheQuotaInAnySpan)
{
	struct rate_window *window = nullptr;

	EXPECT_EQ(-1, rate_window_wait_us(window, 0, second_us, 5));
	EXPECT_FALSE(rate_window_allows(window, 0, second_us, 5));
	EXPECT_TRUE(rate_window_allows(window, 2, second_us, 5));
	rate_window_add(&window, second_us, 100);
	EXPECT_TRUE(rate_window_allows(window, 2, second_us, 100));
	rate_window_add(&window, second_us, 400);
	EXPECT_FALSE(rate_window_allows(window, 2, second_us, 500));
	EXPECT_EQ(second_us + 1 - 400,
		  rate_window_wait_us(window, 2, second_us, 500));
	EXPECT_FALSE(rate_window_allows(window, 2, second_us, second_us + 100));
	EXPECT_TRUE(rate_window_allows(window, 2, second_us, second_us + 101));
	EXPECT_FALSE(rate_window_allows(window, 1, second_us, second_us + 101))
		<< "a lower quota counts what was sent before";
	rate_window_destroy(window);
}
