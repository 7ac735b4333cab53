#include "core/gateway/endpoint_brittle.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

static constexpr int64_t second_us = 1000000;

/*
 * Nodes that send to one brittle endpoint, which rejects all of it, in virtual
 * time. A rejection reaches the other nodes after 5 ms, or not at all.
 */
class BrittleFleet : public testing::TestWithParam<size_t>
{
      protected:
	/* Returns the most rejections in any second, the first two left out. */
	size_t MostRejections(size_t nodes, int64_t rejections_per_s,
			      double loss_share)
	{
		struct endpoint_limit rejections = {true,
						    rejections_per_s * 1000, 0};
		std::vector<int64_t> until_us(nodes, 0);
		std::deque<int64_t> recent;
		std::mt19937 random(nodes);
		std::uniform_real_distribution<> draw(0, 1);
		size_t most = 0;

		for (int64_t now_us = second_us; now_us < 60 * second_us;
		     now_us += 5000) {
			std::vector<size_t> rejected;

			for (size_t i = 0; i < nodes; i++)
				if (until_us[i] <= now_us)
					rejected.push_back(i);
			for (size_t from : rejected) {
				recent.push_back(now_us);
				for (size_t to = 0; to < nodes; to++)
					if (to == from ||
					    draw(random) >= loss_share)
						until_us[to] = std::max(
							until_us[to],
							now_us +
								endpoint_brittle_pause_us(
									&rejections,
									nodes,
									draw(random)));
			}
			while (!recent.empty() &&
			       recent.front() <= now_us - second_us)
				recent.pop_front();
			if (now_us > 3 * second_us)
				most = std::max(most, recent.size());
		}
		return most;
	}
};

/* Guards against a brittle endpoint that all nodes together make end. */
TEST_P(BrittleFleet, RejectsNoMoreThanItBears)
{
	EXPECT_LE(MostRejections(GetParam(), 4, 0), 4u);
	EXPECT_LE(MostRejections(GetParam(), 4, 0.3), 4u);
}

INSTANTIATE_TEST_SUITE_P(Nodes, BrittleFleet, testing::Values(7, 30, 480));

/* Guards against a pause without end, and against none. */
TEST(EndpointBrittle, PausesWhateverTheValue)
{
	for (int64_t rate_per_ks :
	     {(int64_t)0, (int64_t)1, (int64_t)2000, LIMIT_MAX_PER_KS}) {
		struct endpoint_limit rejections = {true, rate_per_ks, 0};

		for (size_t nodes : {1, 480}) {
			int64_t pause_us = endpoint_brittle_pause_us(
				&rejections, nodes, 0.5);

			EXPECT_GE(pause_us, second_us) << rate_per_ks;
			EXPECT_LE(pause_us, 301 * second_us) << rate_per_ks;
		}
	}
}
