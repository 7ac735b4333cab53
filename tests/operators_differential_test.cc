#include "bench/world.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000000;
constexpr int64_t kLastEventUs = 30 * kSecond;
constexpr int64_t kHealedUs = 34 * kSecond;
constexpr int64_t kEndUs = 60 * kSecond;
constexpr int kNodes = 4;
constexpr int kMaxConfirms = 5;

/* Each plan adds one organisation, and no plan removes any. */
struct Plan {
	std::string organisation;
	std::string id;
	int node = 0;
	int confirms = 0;
	bool answered_yes = false;
	bool may_have_effect = false; /* an answer was not "no" */
};

std::string JsonField(const std::string &text, const std::string &name)
{
	std::string mark = "\"" + name + "\":\"";
	size_t start = text.find(mark);

	if (start == std::string::npos)
		return "";
	start += mark.size();
	return text.substr(start, text.find('"', start) - start);
}

std::string Digest(const std::string &text)
{
	char *digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						     text.c_str(), -1);
	std::string copy = digest;

	g_free(digest);
	return copy;
}

class Operators
{
      public:
	explicit Operators(uint64_t seed);
	~Operators()
	{
		world_destroy(world_);
	}
	std::vector<std::string> Run();
	int done = 0;
	int conflicts = 0;
	int unknown = 0;

      private:
	using AnswerHandler = std::function<void(const std::string &)>;

	int64_t Pick(int64_t low, int64_t high)
	{
		return std::uniform_int_distribution<int64_t>(low,
							      high)(random_);
	}
	bool Chance(int percent)
	{
		return Pick(1, 100) <= percent;
	}
	int64_t Now()
	{
		return world_now_us(world_);
	}
	void At(int64_t at_us, std::function<void()> action);
	void Query(int node, query_type type, const std::string &plan_id,
		   const std::string &body, AnswerHandler answer);
	void HandleAnswer(uint64_t call, const std::string &body);
	void SubmitIntent();
	void Confirm(const std::shared_ptr<Plan> &plan);
	void HandleConfirmAnswer(const std::shared_ptr<Plan> &plan,
				 const std::string &body);
	void ScheduleFault(int64_t at_us);
	void CheckConfig(const std::string &config);

	std::mt19937_64 random_;
	struct world *world_ = nullptr;
	std::vector<std::unique_ptr<std::function<void()>>> actions_;
	std::map<uint64_t, AnswerHandler> queries_;
	std::vector<std::shared_ptr<Plan>> plans_;
	std::vector<std::string> violations_;
	int next_organisation_ = 0;
};

Operators::Operators(uint64_t seed) : random_(seed)
{
	struct world_options options;
	struct world_listener listener = {};
	struct config *config;

	world_options_default(&options);
	options.seed = seed;
	options.node_count = kNodes;
	options.engine_count = 1;
	options.plain_count = 1;
	options.node.kv_timeout_us = kSecond;
	options.peer_drop_permille = 20;
	options.peer_duplicate_permille = 20;
	options.peer_late_permille = 20;
	listener.data = this;
	listener.answered = [](void *data, uint64_t call,
			       const struct action *action) {
		gsize size = 0;
		const char *text = "";

		if (action->type == ACTION_CALL_ANSWER)
			text = static_cast<const char *>(
				g_bytes_get_data(action->answer.body, &size));
		static_cast<Operators *>(data)->HandleAnswer(
			call, std::string(text, size));
	};
	listener.broken = [](void *data, uint64_t call, bool) {
		static_cast<Operators *>(data)->HandleAnswer(call, "");
	};
	world_ = world_create(&options, &listener);
	config = world_create_config(world_);
	world_add_organisation(config, "atlas");
	world_put_config(world_, config);
	config_unref(config);
}

void Operators::At(int64_t at_us, std::function<void()> action)
{
	actions_.push_back(
		std::make_unique<std::function<void()>>(std::move(action)));
	world_schedule(
		world_, at_us,
		[](struct world *, void *data) {
			(*static_cast<std::function<void()> *>(data))();
		},
		actions_.back().get());
}

void Operators::Query(int node, query_type type, const std::string &plan_id,
		      const std::string &body, AnswerHandler answer)
{
	GBytes *bytes = g_bytes_new(body.data(), body.size());
	uint64_t call = world_query(world_, node, type, "op", plan_id.c_str(),
				    body.empty() ? nullptr : bytes);

	g_bytes_unref(bytes);
	queries_[call] = std::move(answer);
}

/* An empty body means that the connection broke or was refused. */
void Operators::HandleAnswer(uint64_t call, const std::string &body)
{
	auto found = queries_.find(call);

	if (found == queries_.end())
		return;
	AnswerHandler answer = std::move(found->second);
	queries_.erase(found);
	answer(body);
}

/* An operator submits an intent and confirms its plan up to 2 s later. */
void Operators::SubmitIntent()
{
	auto plan = std::make_shared<Plan>();
	std::string organisation = "o" + std::to_string(next_organisation_++);

	plan->organisation = organisation;
	plan->node = static_cast<int>(Pick(0, kNodes - 1));
	Query(plan->node, QUERY_PLAN, "",
	      R"({"organisations":[{"name":")" + organisation +
		      R"(","key_sha256":")" + Digest(organisation) + R"("}]})",
	      [this, plan](const std::string &body) {
		      plan->id = JsonField(body, "plan_id");
		      if (plan->id.empty())
			      return;
		      plans_.push_back(plan);
		      At(Now() + Pick(0, 2 * kSecond),
			 [this, plan] { Confirm(plan); });
		      if (Chance(20))
			      At(Now() + Pick(0, 2 * kSecond),
				 [this, plan] { Confirm(plan); });
	      });
}

void Operators::Confirm(const std::shared_ptr<Plan> &plan)
{
	int node =
		Chance(85) ? plan->node : static_cast<int>(Pick(0, kNodes - 1));

	if (plan->confirms++ >= kMaxConfirms)
		return;
	Query(node, QUERY_CONFIRM, plan->id, "",
	      [this, plan](const std::string &body) {
		      HandleConfirmAnswer(plan, body);
	      });
}

void Operators::HandleConfirmAnswer(const std::shared_ptr<Plan> &plan,
				    const std::string &body)
{
	std::string effect = JsonField(body, "took_effect");
	bool conflict = JsonField(body, "code") == "conflict";

	if (effect == "yes") {
		done += !plan->answered_yes;
		plan->answered_yes = true;
		return;
	}
	conflicts += conflict;
	unknown += effect != "no";
	if (effect == "no" && plan->answered_yes)
		violations_.push_back(plan->organisation +
				      ": answered yes and later no");
	if (effect != "no")
		plan->may_have_effect = true;
	if (conflict && Chance(70))
		SubmitIntent();
	else if (!conflict && Chance(80))
		At(Now() + Pick(0, 3 * kSecond),
		   [this, plan] { Confirm(plan); });
}

void Operators::ScheduleFault(int64_t at_us)
{
	int64_t for_us = Pick(200 * kMs, 6 * kSecond);
	int node = static_cast<int>(Pick(0, kNodes - 1));
	struct world_kv_mode mode = {};

	switch (Pick(0, 3)) {
	case 0:
		At(at_us, [this, node] { world_kill_node(world_, node); });
		At(at_us + for_us,
		   [this, node] { world_start_node(world_, node); });
		break;
	case 1:
		At(at_us, [this, node, for_us] {
			world_pause_node(world_, node, Now() + for_us);
		});
		break;
	case 2:
		mode.lose_percent = 60;
		mode.extra_delay_us = Chance(50) ? Pick(0, 2 * kSecond) : 0;
		break;
	case 3:
		mode.refused = Chance(30);
		mode.silent = Chance(30);
		mode.extra_delay_us = Pick(0, 2 * kSecond);
		break;
	}
	At(at_us, [this, mode] { world_set_kv_mode(world_, &mode); });
	At(at_us + for_us, [this] {
		struct world_kv_mode healthy = {};
		world_set_kv_mode(world_, &healthy);
	});
}

void Operators::CheckConfig(const std::string &config)
{
	for (const auto &plan : plans_) {
		bool in_force = config.find("\"" + plan->organisation + "\"") !=
				std::string::npos;

		if (plan->answered_yes && !in_force)
			violations_.push_back(
				plan->organisation +
				": answered yes, but is not in force");
		if (in_force && !plan->answered_yes && !plan->may_have_effect)
			violations_.push_back(plan->organisation +
					      ": answered no, but is in force");
	}
}

std::vector<std::string> Operators::Run()
{
	int64_t count = Pick(5, 30);

	for (int64_t i = 0; i < count; i++)
		At(Pick(2 * kSecond, kLastEventUs), [this] { SubmitIntent(); });
	for (int64_t i = Pick(0, 8); i > 0; i--)
		ScheduleFault(Pick(2 * kSecond, kLastEventUs));
	At(kHealedUs, [this] {
		struct world_kv_mode healthy = {};
		world_set_kv_mode(world_, &healthy);
		for (int i = 0; i < kNodes; i++)
			world_start_node(world_, i);
	});
	for (int i = 0; i < kNodes; i++)
		At(kEndUs - kSecond, [this, i] {
			Query(i, QUERY_CONFIG, "", "",
			      [this](const std::string &body) {
				      CheckConfig(body);
			      });
		});
	world_run_until(world_, kEndUs);
	if (!queries_.empty())
		violations_.emplace_back("a query was never answered");
	return violations_;
}

} // namespace

/*
 * Operators at several nodes repeatedly confirm plans made on the same outdated
 * revision, while answers of the key-value service are lost, late or missing
 * and nodes crash or pause. A plan answered with "yes" is in force at every
 * node at the end, and a plan answered only with "no" is not: no confirmed
 * change is lost or reverted, and no rejected change takes effect.
 */
TEST(OperatorsDifferential, FinalConfigurationMatchesAnswers)
{
	const char *seeds = getenv("SEEDS");
	const char *only = getenv("SEED");
	uint64_t first = only ? strtoull(only, nullptr, 10) : 1;
	uint64_t count = only ? 1 : seeds ? strtoull(seeds, nullptr, 10) : 100;
	int done = 0, conflicts = 0, unknown = 0;

	for (uint64_t seed = first; seed < first + count; seed++) {
		Operators operators(seed);

		for (const auto &violation : operators.Run())
			ADD_FAILURE()
				<< "seed " << seed << ": " << violation
				<< "\nto repeat: SEED=" << seed
				<< " build/bin/tests "
				   "--gtest_filter='OperatorsDifferential.*'";
		done += operators.done;
		conflicts += operators.conflicts;
		unknown += operators.unknown;
	}
	printf("%lu seeds: %d plans done, %d conflicts, %d answers unknown\n",
	       count, done, conflicts, unknown);
	EXPECT_GT(done, 0);
}
