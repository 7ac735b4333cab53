#include "fakes/engine_model.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace
{

constexpr int64_t kSecond = 1000000;

class EngineModel : public testing::Test
{
      protected:
	void SetUp() override
	{
		engine_model_options_default(&options);
		outputs =
			g_array_new(FALSE, FALSE, sizeof(struct engine_output));
	}

	void TearDown() override
	{
		engine_model_destroy(engine);
		g_array_unref(outputs);
	}

	void Create()
	{
		engine = engine_model_create(&options);
	}

	bool Submit(uint64_t id, int64_t prompt, int64_t output,
		    int32_t priority = 5, int64_t now_us = 0,
		    uint64_t prefix_hash = 0, int64_t prefix_tokens = 0)
	{
		struct engine_model_request request = {};

		request.id = id;
		request.prompt_tokens = prompt;
		request.output_tokens = output;
		request.priority = priority;
		request.prefix_hash = prefix_hash;
		request.prefix_tokens = prefix_tokens;
		return engine_model_submit(engine, &request, now_us);
	}

	std::vector<struct engine_output> Run(int64_t until_us)
	{
		g_array_set_size(outputs, 0);
		engine_model_advance(engine, until_us, outputs);
		auto *first =
			reinterpret_cast<struct engine_output *>(outputs->data);
		return {first, first + outputs->len};
	}

	int64_t TokensUsed(int64_t now_us)
	{
		struct load_report report;

		engine_model_report(engine, now_us, &report);
		return report.tokens_used;
	}

	struct engine_model_options options;
	struct engine_model *engine = nullptr;
	GArray *outputs;
};

/* Checks that the tokens of each id are complete, in order and not repeated. */
void ExpectComplete(const std::vector<struct engine_output> &outputs,
		    const std::map<uint64_t, int64_t> &lengths)
{
	std::map<uint64_t, int64_t> next;
	std::map<uint64_t, int> done;
	int64_t last_us = 0;

	for (const auto &o : outputs) {
		EXPECT_GE(o.at_us, last_us);
		last_us = o.at_us;
		if (o.type == ENGINE_TOKENS) {
			EXPECT_EQ(next[o.id], o.first_token) << "id " << o.id;
			next[o.id] += o.token_count;
		}
		done[o.id] += o.type == ENGINE_DONE;
	}
	for (const auto &[id, length] : lengths) {
		EXPECT_EQ(length, next[id]) << "id " << id;
		EXPECT_EQ(1, done[id]) << "id " << id;
	}
}

} // namespace

TEST_F(EngineModel, MakesEachTokenOnceInOrderAndDelaysPreempted)
{
	/*
	 * Three requests of 1,000 tokens each run on an engine with memory for
	 * 2,000. Memory fills up while they decode, so the generation of the
	 * lowest priority that was admitted last is preempted, and its prompt
	 * and tokens are recomputed. Its reader must see a pause, but no token
	 * twice.
	 */
	options.capacity_tokens = 2000;
	Create();
	Submit(1, 100, 900, 5);
	Submit(2, 100, 900, 5);
	Submit(3, 100, 900, 9);

	auto all = Run(200 * kSecond);
	ExpectComplete(all, {{1, 900}, {2, 900}, {3, 900}});
	const struct engine_totals *totals = engine_model_totals(engine);
	EXPECT_GE(totals->preemptions, 1);
	EXPECT_GT(totals->recomputed_tokens, 600);
	EXPECT_EQ(2700, totals->decoded_tokens);
	EXPECT_EQ(3, totals->started);

	std::map<uint64_t, int64_t> last_us;
	std::map<uint64_t, int64_t> longest_us;
	for (const auto &o : all) {
		if (o.type == ENGINE_PREEMPTED) {
			EXPECT_NE(3u, o.id);
		}
		if (o.type != ENGINE_TOKENS)
			continue;
		if (o.first_token > 0)
			longest_us[o.id] = std::max(longest_us[o.id],
						    o.at_us - last_us[o.id]);
		last_us[o.id] = o.at_us;
	}
	EXPECT_LT(longest_us[3], 100000);
	EXPECT_GT(longest_us[2], kSecond);
	EXPECT_EQ(0, TokensUsed(300 * kSecond));
}

TEST_F(EngineModel, AdmitsByPriorityThenArrival)
{
	options.max_batch = 1;
	Create();
	Submit(1, 10, 5, 0);
	Submit(2, 10, 5, 1);
	Submit(3, 10, 5, 9);
	Submit(4, 10, 5, 1);

	std::vector<uint64_t> order;
	for (const auto &o : Run(10 * kSecond)) {
		if (o.type == ENGINE_DONE)
			order.push_back(o.id);
	}
	EXPECT_EQ((std::vector<uint64_t>{1, 3, 2, 4}), order);
}

TEST_F(EngineModel, CancelFreesMemoryOfRunningAndWaiting)
{
	options.load_lag_us = 0;
	options.max_batch = 1;
	Create();
	Submit(1, 1000, 1000);
	Submit(2, 1000, 1000);
	Run(kSecond);
	EXPECT_GT(TokensUsed(kSecond), 1000);
	EXPECT_TRUE(engine_model_cancel(engine, 2, kSecond));
	EXPECT_TRUE(engine_model_cancel(engine, 1, kSecond));
	EXPECT_FALSE(engine_model_cancel(engine, 1, kSecond));
	EXPECT_EQ(0, TokensUsed(kSecond));
	EXPECT_EQ(-1, engine_model_token_count(engine, 1));
	EXPECT_TRUE(Run(60 * kSecond).empty());
	EXPECT_EQ(INT64_MAX, engine_model_next_due_us(engine));
}

TEST_F(EngineModel, CachedPrefixShortensPrefill)
{
	Create();
	Submit(1, 4000, 1, 5, 0, 77, 3900);
	int64_t cold_us = Run(10 * kSecond).front().at_us;
	Submit(2, 4000, 1, 5, 10 * kSecond, 77, 3900);
	int64_t warm_us = Run(20 * kSecond).front().at_us - 10 * kSecond;
	EXPECT_LT(warm_us * 5, cold_us);

	GArray *events =
		g_array_new(FALSE, FALSE, sizeof(struct prefix_cache_event));
	engine_model_cache_events(engine, 0, events);
	ASSERT_EQ(1u, events->len);
	EXPECT_EQ(77u, g_array_index(events, struct prefix_cache_event, 0)
			       .prefix_hash);
	engine_model_cache_events(engine, 1, events);
	EXPECT_EQ(1u, events->len);
	g_array_unref(events);
}

TEST_F(EngineModel, ReportsLoadLate)
{
	options.load_lag_us = 2 * kSecond;
	Create();
	Run(10 * kSecond);
	Submit(1, 5000, 3000, 5, 10 * kSecond);
	Run(11 * kSecond);
	EXPECT_EQ(0, TokensUsed(11 * kSecond));
	Run(13 * kSecond);
	int64_t used = TokensUsed(13 * kSecond);
	EXPECT_GT(used, 5000);
	EXPECT_LT(used, 5000 + engine_model_token_count(engine, 1));
}

TEST_F(EngineModel, CrashLosesAllAndRestartStartsEmpty)
{
	options.max_batch = 1;
	Create();
	Submit(1, 100, 1000);
	Submit(2, 100, 1000);
	Run(kSecond);
	g_array_set_size(outputs, 0);
	engine_model_crash(engine, kSecond, outputs);
	ASSERT_EQ(2u, outputs->len);
	for (guint i = 0; i < 2; i++)
		EXPECT_EQ(ENGINE_FAILED,
			  g_array_index(outputs, struct engine_output, i).type);
	EXPECT_FALSE(Submit(3, 100, 10, 5, kSecond));
	EXPECT_TRUE(Run(5 * kSecond).empty());
	engine_model_restart(engine, 5 * kSecond);
	EXPECT_TRUE(Submit(3, 100, 10, 5, 5 * kSecond));
	ExpectComplete(Run(6 * kSecond), {{3, 10}});
}

TEST_F(EngineModel, StallsSlowsDownAndLeaves)
{
	Create();
	Submit(1, 10, 100);
	engine_model_stall(engine, 3 * kSecond);
	EXPECT_TRUE(Run(3 * kSecond - 1).empty());
	engine_model_set_slowdown(engine, 10);
	engine_model_set_leaving(engine, true);
	EXPECT_FALSE(Submit(2, 10, 10, 5, 3 * kSecond));
	auto all = Run(60 * kSecond);
	ExpectComplete(all, {{1, 100}});
	EXPECT_GT(all.back().at_us, 10 * kSecond);
}

TEST_F(EngineModel, OldOrderIsRefusedOnlyWhereChecked)
{
	Create();
	EXPECT_EQ(ENGINE_ORDER_ACCEPTED,
		  engine_model_set_target(engine, 7, "v2"));
	EXPECT_EQ(ENGINE_ORDER_STALE, engine_model_set_target(engine, 6, "v1"));
	EXPECT_EQ(ENGINE_ORDER_ACCEPTED,
		  engine_model_set_target(engine, 7, "v3"));
	EXPECT_STREQ("v3", engine_model_target(engine));
	engine_model_destroy(engine);

	options.checks_fence = false;
	Create();
	engine_model_set_target(engine, 7, "v2");
	EXPECT_EQ(ENGINE_ORDER_ACCEPTED,
		  engine_model_set_target(engine, 6, "v1"));
	EXPECT_STREQ("v1", engine_model_target(engine));
}

TEST_F(EngineModel, SameSeedSameOutputs)
{
	std::vector<int64_t> times[2];

	for (auto &run : times) {
		options.capacity_tokens = 3000;
		Create();
		for (uint64_t id = 1; id <= 40; id++)
			Submit(id, 50 + id, 20 * id, id % 3);
		for (const auto &o : Run(300 * kSecond))
			run.push_back(o.at_us * 64 + o.id);
		engine_model_destroy(engine);
		engine = nullptr;
	}
	EXPECT_EQ(times[0], times[1]);
}
