#include "bench/announce_sim.h"

#include <gtest/gtest.h>

static announce_sim_result run_simulation(size_t nodes, bool unbounded)
{
	announce_sim_options options;
	announce_sim_result result;

	announce_sim_options_default(&options);
	options.node_count = nodes;
	options.unbounded_standings = unbounded;
	options.all_send_config = unbounded;
	announce_sim_run(&options, &result);
	return result;
}

/*
 * Guards against announcements that overload small nodes. Requests triple for
 * ten seconds and the configuration changes twice a second. Each placement was
 * announced to every node, and every node answered a node that was behind: the
 * nodes with the smallest share of a core forwarded late, their callers could
 * not connect, and at 300 nodes they never recovered. Two seconds after the
 * overload the share within the target must be as before.
 */
TEST(Telling, LeavesNodesRoomForTheirCallers)
{
	for (size_t nodes : {7, 88, 300}) {
		announce_sim_result result = run_simulation(nodes, false);

		EXPECT_LT(0.99, announce_sim_share_in_target(&result, 2, 10))
			<< nodes;
		EXPECT_LT(0.99, announce_sim_share_in_target(&result, 10, 20))
			<< nodes;
		EXPECT_LT(0.99, announce_sim_share_in_target(&result, 22, 40))
			<< nodes;
	}
}

/* Without the bounds the same load must miss the latency target. */
TEST(Telling, WouldTakeItFromCallersWithoutBounds)
{
	announce_sim_result medium = run_simulation(88, true);
	announce_sim_result large = run_simulation(300, true);

	EXPECT_GT(0.8, announce_sim_share_in_target(&medium, 10, 20));
	EXPECT_GT(0.8, announce_sim_share_in_target(&large, 22, 40));
}
