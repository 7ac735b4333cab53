#include "bench/world.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kSecond = 1000000;

/*
 * Nodes whose seeds are all out of date, so that no seed answers. Each node
 * registers its address in the key-value service and contacts the others that
 * are listed there. A node that does not know the others cannot name them to
 * callers that ask where to connect.
 */
class Discovery : public testing::Test
{
      protected:
	void Create(bool discovers_nodes)
	{
		struct world_listener listener = {};
		struct world_options options;

		world_options_default(&options);
		options.node_count = 5;
		options.engine_count = 1;
		options.plain_count = 1;
		options.seeds_unreachable = true;
		options.node.discovers_nodes = discovers_nodes;
		world = world_create(&options, &listener);
	}

	void TearDown() override
	{
		world_destroy(world);
	}

	size_t Known(int32_t node)
	{
		return membership_count(node_members(world_node(world, node)));
	}

	void ExpectAllKnown(size_t count)
	{
		for (int32_t i = 0; i < 5; i++) {
			if (!world_node_alive(world, i))
				continue;
			EXPECT_EQ(count, Known(i)) << "node " << i;
		}
	}

	struct world *world = nullptr;
};

} // namespace

TEST_F(Discovery, WithoutTheServiceNodesStayAlone)
{
	Create(false);
	world_run_until(world, 60 * kSecond);
	ExpectAllKnown(1);
}

TEST_F(Discovery, FindsTheOthersByTheService)
{
	Create(true);
	world_run_until(world, 12 * kSecond);
	ExpectAllKnown(5);
}

TEST_F(Discovery, FindsThemOnceTheServiceIsBack)
{
	struct world_kv_mode mode = {};

	Create(true);
	mode.silent = true;
	world_set_kv_mode(world, &mode);
	world_run_until(world, 20 * kSecond);
	ExpectAllKnown(1);
	mode.silent = false;
	world_set_kv_mode(world, &mode);
	world_run_until(world, 50 * kSecond);
	ExpectAllKnown(5);
}

TEST_F(Discovery, FindsThemWhereAnswersAreLost)
{
	struct world_kv_mode mode = {};

	Create(true);
	mode.lose_percent = 50;
	world_set_kv_mode(world, &mode);
	world_run_until(world, 60 * kSecond);
	ExpectAllKnown(5);
}

/* A restarted process registers a new entry; its old one expires. */
TEST_F(Discovery, FindsANodeThatStartedAgain)
{
	Create(true);
	world_run_until(world, 12 * kSecond);
	world_kill_node(world, 2);
	world_run_until(world, 30 * kSecond);
	ExpectAllKnown(4);
	world_start_node(world, 2);
	world_run_until(world, 42 * kSecond);
	ExpectAllKnown(5);
}

/* In the steady state a node makes one renewal every 10 seconds. */
TEST_F(Discovery, CostsFewCalls)
{
	int64_t before;

	Create(true);
	world_run_until(world, 120 * kSecond);
	before = world_kv_calls(world);
	world_run_until(world, 240 * kSecond);
	/* Each node: 12 renewals, 6 lists, 2 reads of the configuration. */
	EXPECT_LE(world_kv_calls(world) - before, 5 * (12 + 6 + 2));
}
