#include "bench/world.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kSecond = 1000000;

class World : public testing::Test
{
      protected:
	void Create(int32_t plain, int32_t slots, int64_t plain_us)
	{
		struct world_listener listener = {};
		struct config *config;

		world_options_default(&options);
		options.node_count = 3;
		options.engine_count = 1;
		options.plain_count = plain;
		options.plain_us = plain_us;
		listener.data = this;
		listener.broken = [](void *data, uint64_t call, bool) {
			static_cast<World *>(data)->outcome[call] = "broken";
		};
		listener.answered = [](void *data, uint64_t call,
				       const struct action *action) {
			static_cast<World *>(data)->Answered(call, action);
		};
		world = world_create(&options, &listener);
		config = world_create_config(world);
		world_add_organisation(config, "atlas");
		SetSlots(config, slots);
		world_put_config(world, config);
		config_unref(config);
		world_run_until(world, 3 * kSecond);
	}

	static void SetSlots(struct config *config, int32_t slots)
	{
		const struct config_service *portal =
			config_find_service(config, "portal");

		for (guint i = 0; i < portal->endpoints->len; i++)
			static_cast<struct config_endpoint *>(
				portal->endpoints->pdata[i])
				->slots = slots;
	}

	void TearDown() override
	{
		world_destroy(world);
	}

	uint64_t Call(int32_t node)
	{
		struct request *request = request_create(REQUEST_PLAIN);
		uint64_t call;

		request->bearer = g_strdup("atlas");
		request->service = g_strdup("portal");
		request->method = g_strdup("POST");
		request->path = g_strdup("/check");
		call = world_call(world, node, request);
		request_unref(request);
		return call;
	}

	void Answered(uint64_t call, const struct action *action)
	{
		if (action->type == ACTION_CALL_ANSWER)
			outcome[call] = "answer";
		else if (action->type == ACTION_CALL_REFUSE)
			outcome[call] = refusal_code(action->refuse.refusal);
	}

	struct world_options options;
	struct world *world = nullptr;
	std::map<uint64_t, std::string> outcome;
};

} // namespace

/*
 * Guards against dispatch to an endpoint that left during a pause. A node is
 * paused for six seconds; requests arrive, then one of two endpoints leaves.
 * After the pause the node handles the requests first, while its state of the
 * endpoints is still outdated. It must hold the requests until that state is
 * current, so that none goes to the endpoint that left.
 */
TEST_F(World, ANodeThatStoodStillSendsNothingToAnEndpointThatLeft)
{
	for (int32_t node = 0; node < 3; node++) {
		std::vector<uint64_t> calls;

		Create(2, 64, 20000);
		world_pause_node(world, node,
				 world_now_us(world) + 6 * kSecond);
		for (int i = 0; i < 10; i++)
			calls.push_back(Call(node));
		world_run_until(world, world_now_us(world) + kSecond);
		world_set_leaving(world, 1, true, true);
		world_run_until(world, world_now_us(world) + 15 * kSecond);
		for (uint64_t call : calls)
			EXPECT_EQ("answer", outcome[call]);
		const GPtrArray *runs = world_runs(world);
		ASSERT_EQ(calls.size(), runs->len);
		for (guint i = 0; i < runs->len; i++)
			EXPECT_EQ(2, static_cast<struct world_run *>(
					     runs->pdata[i])
					     ->endpoint);
		world_destroy(world);
		world = nullptr;
		outcome.clear();
	}
}

/*
 * Guards against requests that wait for ever after a change of home. Requests
 * wait for the one slot of a slow endpoint. Two nodes are killed and restarted
 * one after the other, so the home of the endpoint's shard moves to the third
 * node and back. A former home drops all its tickets, also those of its own
 * requests, so it must request new ones from the new home.
 */
TEST_F(World, RequestsThatWaitAtAFormerHomeArePlacedAgain)
{
	for (int32_t survivor = 0; survivor < 3; survivor++) {
		std::vector<uint64_t> calls;

		Create(1, 1, kSecond);
		for (int32_t node = 0; node < 3; node++) {
			if (node == survivor)
				continue;
			world_kill_node(world, node);
			world_run_until(world,
					world_now_us(world) + 3 * kSecond);
			for (int i = 0; i < 4; i++)
				calls.push_back(Call(survivor));
			world_run_until(world,
					world_now_us(world) + kSecond / 5);
			world_start_node(world, node);
			world_run_until(world,
					world_now_us(world) + 3 * kSecond);
		}
		world_run_until(world, world_now_us(world) + 60 * kSecond);
		for (uint64_t call : calls)
			EXPECT_EQ("answer", outcome[call]) << "call " << call;
		world_destroy(world);
		world = nullptr;
		outcome.clear();
	}
}

/*
 * Guards against a draining node that stops without answering. The node is
 * paused until after its drain deadline, and requests arrive in the meantime.
 * After the pause it has no open call and its deadline has passed; it must
 * still answer these requests, if only by a refusal.
 */
TEST_F(World, ADrainingNodeThatStoodStillAnswersWhatHasCome)
{
	for (int64_t pause_us : {kSecond / 2, 10 * kSecond}) {
		std::vector<uint64_t> calls;

		Create(1, 64, 20000);
		world_drain_node(world, 1);
		world_run_until(world, world_now_us(world) + 4800000);
		world_pause_node(world, 1, world_now_us(world) + pause_us);
		for (int i = 0; i < 5; i++)
			calls.push_back(Call(1));
		world_run_until(world, world_now_us(world) + 30 * kSecond);
		EXPECT_FALSE(world_node_alive(world, 1));
		for (uint64_t call : calls)
			EXPECT_EQ("draining", outcome[call]);
		world_destroy(world);
		world = nullptr;
		outcome.clear();
	}
}
