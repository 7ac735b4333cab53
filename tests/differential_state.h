#ifndef TESTS_DIFFERENTIAL_STATE_H
#define TESTS_DIFFERENTIAL_STATE_H

#include "bench/world.h"
#include "tests/differential_script.h"
#include "tests/naive_service.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

/*
 * State of a running random script. Private to tests/differential_*.cc:
 *
 *   differential_script.cc  set-up and run of a script; the callers' actions
 *   differential_faults.cc  injected faults
 *   differential_oracle.cc  checks what callers receive against what ran
 */
namespace differential
{

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000000;
constexpr int64_t kFirstCallUs = 3 * kSecond;
constexpr int64_t kLastCallUs = 40 * kSecond;
constexpr int64_t kHealedUs = 45 * kSecond;
constexpr int64_t kEndUs = 160 * kSecond;
/* A leaving endpoint gets no new run after this time. */
constexpr int64_t kLeavingTimeoutUs = 6 * kSecond;
/* A request sent less than this before its node stops may not have arrived. */
constexpr int64_t kConnectUs = 350 * kMs;
/* Every node has the newest configuration this long after the faults end. */
constexpr int64_t kConfigTimeoutUs = 10 * kSecond;
constexpr int kMaxSends = 5;
constexpr const char *kOrganisations[] = {"atlas", "kgotso"};

/* A request that its caller sends once or more often. */
struct Intent {
	request_kind kind = REQUEST_PLAIN;
	bool non_idempotent = false;
	std::string organisation;
	std::string key;
	std::string body;
	int64_t tokens = 0;
	int64_t deadline_us = 0;
	int sends = 0;
	bool reuses_key = false; /* first used with another body */
	NaiveService::Outcome expected;
};

/* One send of an intent, and the state of its answer. */
struct Call {
	std::shared_ptr<Intent> intent;
	int node = 0;
	uint64_t incarnation = 0;
	int64_t sent_us = 0;
	bool ended = false;
	bool resume = false;
	std::string generation;
	int64_t next_token = 0;
	std::string last_event_id;
	int close_after = -1; /* chunks */
};

class Script
{
      public:
	Script(uint64_t seed, bool verbose);
	~Script();
	DifferentialResult Run();

      private:
	int64_t Pick(int64_t low, int64_t high)
	{
		return std::uniform_int_distribution<int64_t>(low,
							      high)(random_);
	}
	bool Chance(int percent)
	{
		return Pick(1, 100) <= percent;
	}
	int AnyNode()
	{
		return static_cast<int>(Pick(0, options_.node_count - 1));
	}
	int AnyEndpoint()
	{
		return static_cast<int>(Pick(
			0, options_.engine_count + options_.plain_count - 1));
	}
	void At(int64_t at_us, std::function<void()> action);
	void Violation(uint64_t call, const std::string &text);
	void Say(const std::string &text);
	void Logged(int node, const struct action_log &log);
	void PrintDump(int node);

	void Configure();
	void CheckConfigs();
	int64_t ConfigRevision(int node);
	void PlanCalls();
	void PlanFaults();
	void PlanFault(int64_t at_us);
	void PlanKill(int64_t at_us, int node, int64_t for_us);
	void SlowCaller(int64_t for_us);
	void QueryNodes();

	std::shared_ptr<Intent> MakeIntent();
	std::string MakeKey(int *node);
	void Issue();
	void RecordSend(Call &call, int node);
	void Send(const std::shared_ptr<Intent> &intent, int node);
	void SendAgain(const std::shared_ptr<Intent> &intent, int node);
	void Resume(const Call &broken);
	void ReuseKey(const std::shared_ptr<Intent> &intent);

	void Answered(uint64_t id, const struct action *action);
	void Answer(uint64_t id, Call &call,
		    const struct action_call_answer &answer);
	void ForwardedStream(uint64_t id, Call &call, const std::string &body);
	void Chunk(uint64_t id, Call &call, const std::string &data);
	void Ended(uint64_t id, Call &call, bool whole);
	void Refused(uint64_t id, Call &call, const std::string &code,
		     const std::string &run);
	void Broken(uint64_t id, bool connected);
	void RetryOrGiveUp(const Call &call);
	void ParseIdPrefixes(const std::string &text);

	void CheckComplete(uint64_t id, const Call &call);
	void CheckRuns();
	bool HasRunBefore(const Intent &intent, int64_t time_us) const;

	uint64_t seed_;
	bool verbose_;
	bool faults_;
	std::mt19937_64 random_;
	struct world_options options_;
	struct world *world_ = nullptr;
	DifferentialResult result_;
	NaiveService naive_;
	std::vector<std::unique_ptr<std::function<void()>>> actions_;
	std::map<uint64_t, Call> calls_;
	std::map<uint64_t, std::string> not_run_; /* call: refusal code */
	std::map<std::string, std::shared_ptr<Intent>> intents_; /* by body */
	std::map<int, int64_t> leaving_since_;			 /* endpoint */
	std::set<uint64_t> killed_;		/* incarnations */
	std::map<uint64_t, int64_t> revisions_; /* incarnation: last applied */
	int64_t newest_revision_ = 0;
	std::vector<std::string> prefixes_; /* by node */
	uint64_t nodes_query_ = 0;
	int next_body_ = 0;
};

} // namespace differential

#endif
