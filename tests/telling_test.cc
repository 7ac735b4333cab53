#include "bench/telling.h"

#include <gtest/gtest.h>

static telling_result play(size_t nodes, bool unbounded)
{
	telling_options options;
	telling_result result;

	telling_options_default(&options);
	options.node_count = nodes;
	options.unbounded_standings = unbounded;
	options.all_help = unbounded;
	telling_run(&options, &result);
	return result;
}

/*
 * Callers come three times as often for ten seconds, and the configuration
 * changes twice a second. Each placement was told to every node, and every node
 * answered one that was behind: those with the smallest share of a processor
 * passed on late, their callers found no connection, and at 300 nodes they
 * never recovered. Two seconds after the overload all is as it was before.
 */
TEST(Telling, LeavesNodesRoomForTheirCallers)
{
	for (size_t nodes : {7, 88, 300}) {
		telling_result result = play(nodes, false);

		EXPECT_LT(0.99, telling_in_aim(&result, 2, 10)) << nodes;
		EXPECT_LT(0.99, telling_in_aim(&result, 10, 20)) << nodes;
		EXPECT_LT(0.99, telling_in_aim(&result, 22, 40)) << nodes;
	}
}

/* The same without the bounds shows what they are for. */
TEST(Telling, WouldTakeItFromCallersWithoutBounds)
{
	telling_result some = play(88, true);
	telling_result many = play(300, true);

	EXPECT_GT(0.8, telling_in_aim(&some, 10, 20));
	EXPECT_GT(0.8, telling_in_aim(&many, 22, 40));
}
