#include "tests/differential_script.h"

#include "bench/world.h"
#include "tests/naive_service.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <sstream>

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000000;
constexpr int64_t kFirstCallUs = 3 * kSecond;
constexpr int64_t kLastCallUs = 40 * kSecond;
constexpr int64_t kHealedUs = 45 * kSecond;
constexpr int64_t kEndUs = 160 * kSecond;
constexpr int64_t kLeavingPatienceUs = 6 * kSecond;
/* A request that comes in the moment before a node stops is not in progress. */
constexpr int64_t kConnectUs = 350 * kMs;
constexpr int64_t kConfigPatienceUs = 10 * kSecond;
constexpr int kMostSends = 5;
constexpr const char *kOrganisations[] = {"atlas", "kgotso"};

/* A request as its caller means it; sent once or more. */
struct Intent {
	request_kind kind = REQUEST_PLAIN;
	bool non_idempotent = false;
	std::string organisation;
	std::string key;
	std::string body;
	int64_t tokens = 0;
	int64_t deadline_us = 0;
	int sends = 0;
	bool reuses_key = false; /* of another body */
	NaiveService::Outcome expected;
};

/* One sending of it, and what came back. */
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
	void SayDump(int node);

	void Configure();
	void CheckConfigs();
	int64_t ConfigRevision(int node);
	void PlanCalls();
	void PlanFaults();
	void PlanFault(int64_t at_us);
	void PlanKill(int64_t at_us, int node, int64_t for_us);
	void SlowCaller(int64_t for_us);
	void AskNodes();

	std::shared_ptr<Intent> MakeIntent();
	std::string MakeKey(int *node);
	void Issue();
	void SentTo(Call &call, int node);
	void Send(const std::shared_ptr<Intent> &intent, int node);
	void SendAgain(const std::shared_ptr<Intent> &intent, int node);
	void Resume(const Call &broken);
	void Misuse(const std::shared_ptr<Intent> &intent);

	void Answered(uint64_t id, const struct action *action);
	void Answer(uint64_t id, Call &call,
		    const struct action_call_answer &answer);
	void ForwardedStream(uint64_t id, Call &call, const std::string &body);
	void Chunk(uint64_t id, Call &call, const std::string &data);
	void Ended(uint64_t id, Call &call, bool whole);
	void Refused(uint64_t id, Call &call, const std::string &code,
		     const std::string &run);
	void Broken(uint64_t id, bool connected);
	void Failed(const Call &call);
	void ReadNodes(const std::string &text);

	void CheckWhole(uint64_t id, const Call &call);
	void CheckRuns();
	bool HasRun(const Intent &intent) const;

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
	std::map<uint64_t, std::string> not_run_; /* call: refusal's code */
	std::map<std::string, std::shared_ptr<Intent>> intents_; /* by body */
	std::map<int, int64_t> leaving_since_;			 /* endpoint */
	std::set<uint64_t> killed_;		/* incarnations */
	std::map<uint64_t, int64_t> revisions_; /* incarnation: last seen */
	int64_t newest_revision_ = 0;
	std::vector<std::string> prefixes_; /* by node */
	uint64_t nodes_query_ = 0;
	int next_body_ = 0;
};

Script::Script(uint64_t seed, bool verbose)
    : seed_(seed), verbose_(verbose), faults_(seed % 4 != 0), random_(seed)
{
	struct world_listener listener = {};

	world_options_default(&options_);
	options_.seed = seed;
	options_.node_count = static_cast<int32_t>(Pick(3, 5));
	options_.engine_count = static_cast<int32_t>(Pick(2, 4));
	options_.plain_count = static_cast<int32_t>(Pick(1, 2));
	options_.engine.capacity_tokens = 8000;
	options_.node.first_token_timeout_us = 6 * kSecond;
	options_.node.stall_timeout_us = 3 * kSecond;
	options_.node.plain_timeout_us = 15 * kSecond;
	options_.node.kv_timeout_us = kSecond;
	options_.hold_us = 20 * kSecond;
	options_.chunk_us = Chance(50) ? 50 * kMs : 0;
	options_.restart_us = faults_ ? 3 * kSecond : 0;
	if (faults_) {
		options_.peer_drop_permille = static_cast<int32_t>(Pick(0, 50));
		options_.peer_double_permille = 20;
		options_.peer_late_permille = Chance(50) ? 30 : 0;
		if (Chance(30))
			options_.node.id_memory_us = 8 * kSecond;
		if (Chance(20))
			options_.node.max_outcomes = 6;
		options_.chunk_drop_permille = Chance(30) ? 2 : 0;
		options_.chunk_double_permille = Chance(30) ? 5 : 0;
		options_.chunk_cross_permille = Chance(30) ? 5 : 0;
	}
	listener.data = this;
	listener.answered = [](void *data, uint64_t call,
			       const struct action *action) {
		static_cast<Script *>(data)->Answered(call, action);
	};
	listener.broken = [](void *data, uint64_t call, bool connected) {
		static_cast<Script *>(data)->Broken(call, connected);
	};
	listener.logged = [](void *data, int32_t node,
			     const struct action_log *log) {
		static_cast<Script *>(data)->Logged(node, *log);
	};
	world_ = world_create(&options_, &listener);
	prefixes_.resize(options_.node_count);
	Configure();
}

Script::~Script()
{
	world_destroy(world_);
}

/* Confirms a configuration that differs from the last one. */
void Script::Configure()
{
	struct config *config = world_create_config(world_);
	std::string extra = "extra" + std::to_string(newest_revision_);

	for (const char *name : kOrganisations)
		world_add_organisation(config, name);
	world_add_organisation(config, extra.c_str());
	newest_revision_ = world_put_config(world_, config);
	config_unref(config);
}

int64_t Script::ConfigRevision(int node)
{
	GVariant *dump = g_variant_ref_sink(
		node_dump(world_node(world_, node), world_now_us(world_)));
	int64_t revision = -1;

	g_variant_lookup(dump, "config_revision", "x", &revision);
	g_variant_unref(dump);
	return revision;
}

/* Well after the faults every node has the newest configuration. */
void Script::CheckConfigs()
{
	for (int i = 0; i < options_.node_count; i++) {
		if (world_node_alive(world_, i) &&
		    ConfigRevision(i) != newest_revision_)
			Violation(0, "n" + std::to_string(i) +
					     " has not the newest revision");
	}
}

void Script::At(int64_t at_us, std::function<void()> action)
{
	actions_.push_back(
		std::make_unique<std::function<void()>>(std::move(action)));
	world_at(
		world_, std::max(at_us, world_now_us(world_)),
		[](struct world *, void *data) {
			(*static_cast<std::function<void()> *>(data))();
		},
		actions_.back().get());
}

void Script::Violation(uint64_t call, const std::string &text)
{
	result_.violations.push_back("call " + std::to_string(call) + " at " +
				     std::to_string(world_now_us(world_)) +
				     " us: " + text);
	Say("VIOLATION " + result_.violations.back());
}

void Script::Say(const std::string &text)
{
	if (verbose_ && world_)
		printf("%12.6f %s\n", world_now_us(world_) / 1e6, text.c_str());
}

/* No process ever takes an older configuration than it has. */
void Script::Logged(int node, const struct action_log &log)
{
	std::string line = "n" + std::to_string(node) + " " + log.event;

	if (strcmp(log.event, "config_applied") == 0) {
		int64_t &last =
			revisions_[world_node_incarnation(world_, node)];
		int64_t revision =
			std::stoll(static_cast<char *>(log.fields->pdata[1]));

		if (revision <= last)
			Violation(0, "n" + std::to_string(node) +
					     " went back from revision " +
					     std::to_string(last));
		last = revision;
	}
	for (guint i = 0; verbose_ && i < log.fields->len; i++)
		line += std::string(i % 2 ? "=" : " ") +
			static_cast<char *>(log.fields->pdata[i]);
	Say(line);
}

void Script::SayDump(int node)
{
	GVariant *dump;
	char *text;

	if (!world_node_alive(world_, node))
		return;
	dump = g_variant_ref_sink(
		node_dump(world_node(world_, node), world_now_us(world_)));
	text = g_variant_print(dump, FALSE);
	Say(text);
	g_free(text);
	g_variant_unref(dump);
}

/* --- what callers do --- */

void Script::AskNodes()
{
	nodes_query_ = world_query(world_, AnyNode(), QUERY_NODES, nullptr,
				   nullptr, nullptr);
	At(world_now_us(world_) + Pick(200 * kMs, 2 * kSecond), [this] {
		if (world_now_us(world_) < kLastCallUs)
			AskNodes();
	});
}

/* Keeps the prefix of each node's ids that the answer names. */
void Script::ReadNodes(const std::string &text)
{
	const std::string mark = "\"id_prefix\":\"";

	for (int i = 0; i < options_.node_count; i++) {
		size_t name =
			text.find("\"name\":\"n" + std::to_string(i) + "\"");
		if (name == std::string::npos)
			continue;
		size_t start = text.find(mark, name) + mark.size();
		prefixes_[i] =
			text.substr(start, text.find('"', start) - start);
	}
}

/* Half the ids come from a prefix and then belong to the node it names. */
std::string Script::MakeKey(int *node)
{
	std::string own = "k" + std::to_string(next_body_);

	if (Chance(50) || prefixes_[*node].empty())
		return own;
	return prefixes_[*node] + own;
}

std::shared_ptr<Intent> Script::MakeIntent()
{
	auto intent = std::make_shared<Intent>();

	intent->organisation = kOrganisations[Pick(0, 1)];
	intent->kind = Chance(50) ? REQUEST_GENERATION : REQUEST_PLAIN;
	intent->body = "body" + std::to_string(next_body_++);
	if (intent->kind == REQUEST_GENERATION) {
		intent->tokens = Chance(20) ? Pick(200, 600) : Pick(1, 100);
		intent->body +=
			" [[tokens=" + std::to_string(intent->tokens) + "]]";
	}
	if (faults_ && Chance(2))
		intent->body += " [[poison]]";
	intent->non_idempotent = Chance(50);
	if (faults_ && Chance(20))
		intent->deadline_us = Pick(100 * kMs, 10 * kSecond);
	return intent;
}

void Script::Issue()
{
	auto intent = MakeIntent();
	int node = AnyNode();

	if (intent->non_idempotent || Chance(30))
		intent->key = MakeKey(&node);
	intent->expected = naive_.Call(intent->organisation + "/" + intent->key,
				       intent->body, intent->tokens);
	if (intent->key.empty())
		intent->expected = {false, intent->body, intent->tokens};
	intents_[intent->body] = intent;
	Send(intent, Chance(80) ? node : AnyNode());
	if (!intent->key.empty() && Chance(20))
		Send(intent, AnyNode());
	if (!intent->key.empty() && Chance(20))
		At(world_now_us(world_) + Pick(0, 15 * kSecond),
		   [this, intent] { Send(intent, AnyNode()); });
	if (!intent->key.empty() && Chance(10))
		At(world_now_us(world_) + 8 * kSecond,
		   [this, intent] { Misuse(intent); });
}

/* The same id with another body. */
void Script::Misuse(const std::shared_ptr<Intent> &first)
{
	auto intent = std::make_shared<Intent>(*first);

	intent->body = "misuse" + std::to_string(next_body_++);
	if (intent->kind == REQUEST_GENERATION)
		intent->body += " [[tokens=7]]";
	intent->tokens = 7;
	intent->reuses_key = true;
	intent->sends = kMostSends - 1;
	intent->expected = naive_.Call(intent->organisation + "/" + intent->key,
				       intent->body, intent->tokens);
	intents_[intent->body] = intent;
	/* Idempotent ids are compared only by the node that remembers them. */
	if (intent->non_idempotent)
		Send(intent, AnyNode());
}

struct request *make_request(const Intent &intent)
{
	struct request *request = request_create(intent.kind);

	request->stream = intent.kind != REQUEST_PLAIN;
	request->non_idempotent = intent.non_idempotent;
	request->bearer = g_strdup(intent.organisation.c_str());
	if (!intent.key.empty())
		request->idempotency_key = g_strdup(intent.key.c_str());
	request->service =
		g_strdup(intent.kind == REQUEST_PLAIN ? "portal" : "model");
	request->method = g_strdup("POST");
	request->path = g_strdup("/v1/completions");
	g_bytes_unref(request->body);
	request->body = g_bytes_new(intent.body.data(), intent.body.size());
	request->prompt_tokens = 20;
	request->priority = static_cast<int32_t>(intent.body.size() % 10);
	request->deadline_in_us = intent.deadline_us;
	return request;
}

void Script::SentTo(Call &call, int node)
{
	call.node = node;
	call.incarnation = world_node_incarnation(world_, node);
	call.sent_us = world_now_us(world_);
}

void Script::Send(const std::shared_ptr<Intent> &intent, int node)
{
	struct request *request;
	Call call;
	uint64_t id;

	if (intent->sends >= kMostSends)
		return;
	intent->sends++;
	request = make_request(*intent);
	id = world_call(world_, node, request);
	request_unref(request);
	call.intent = intent;
	SentTo(call, node);
	if (faults_ && intent->kind == REQUEST_GENERATION && Chance(15))
		call.close_after = static_cast<int>(Pick(1, 40));
	calls_[id] = call;
	result_.calls++;
	Say("call " + std::to_string(id) + " to n" + std::to_string(node) +
	    " key=" + intent->key + " body=" + intent->body +
	    (intent->non_idempotent ? " non_idempotent" : ""));
	if (faults_ && Chance(5))
		At(world_now_us(world_) + Pick(0, 500 * kMs), [this, id] {
			if (calls_[id].ended)
				return;
			Say("close " + std::to_string(id));
			calls_[id].ended = true;
			world_close_call(world_, id);
			Failed(calls_[id]);
		});
}

void Script::SendAgain(const std::shared_ptr<Intent> &intent, int node)
{
	static const int64_t delays_us[] = {0, 10 * kMs, kSecond, 5 * kSecond,
					    12 * kSecond};

	if (Chance(50))
		node = AnyNode();
	At(world_now_us(world_) + delays_us[Pick(0, 4)],
	   [this, intent, node] { Send(intent, node); });
}

/* Asks any node for the rest of a stream. */
void Script::Resume(const Call &broken)
{
	struct request *request = make_request(*broken.intent);
	int node = AnyNode();
	uint64_t id;
	Call call = broken;

	request->kind = REQUEST_RESUME;
	g_clear_pointer(&request->idempotency_key, g_free);
	request->non_idempotent = false;
	request->last_event_id = g_strdup(broken.last_event_id.c_str());
	id = world_call(world_, node, request);
	request_unref(request);
	SentTo(call, node);
	call.resume = true;
	call.ended = false;
	call.close_after = -1;
	calls_[id] = call;
	result_.calls++;
	result_.resumed++;
	Say("resume " + std::to_string(id) + " at n" + std::to_string(node));
}

/* --- what callers get --- */

void Script::Answered(uint64_t id, const struct action *action)
{
	auto found = calls_.find(id);

	if (found == calls_.end()) {
		if (id == nodes_query_ && action->type == ACTION_CALL_ANSWER) {
			gsize size;
			auto *data = static_cast<const char *>(
				g_bytes_get_data(action->answer.body, &size));
			ReadNodes(std::string(data, size));
		}
		return;
	}
	Call &call = found->second;
	if (call.ended)
		return;
	result_.digest = result_.digest * 1000003 + id * 31 + action->type;
	switch (action->type) {
	case ACTION_CALL_ANSWER:
		Answer(id, call, action->answer);
		break;
	case ACTION_CALL_REFUSE:
		Refused(id, call, refusal_code(action->refuse.refusal),
			run_name(action->refuse.run));
		break;
	case ACTION_CALL_CHUNK: {
		gsize size;
		auto *data = static_cast<const char *>(
			g_bytes_get_data(action->chunk.data, &size));

		call.last_event_id = action->chunk.event_id;
		Chunk(id, call, std::string(data, size));
		if (call.close_after > 0 && --call.close_after == 0) {
			Say("close " + std::to_string(id));
			call.ended = true;
			world_close_call(world_, id);
			Failed(call);
		}
		break;
	}
	case ACTION_CALL_END:
		if (action->end.refusal == REFUSAL_NONE) {
			if (action->end.token_count != call.next_token)
				Violation(id, "the end counts other tokens");
			Ended(id, call, true);
			break;
		}
		if (call.next_token > 0 && action->end.run != RUN_YES)
			Violation(id, "tokens came, and run is not yes");
		Refused(id, call, refusal_code(action->end.refusal),
			run_name(action->end.run));
		break;
	default:
		break;
	}
}

static std::string field_of(const std::string &text, const std::string &name)
{
	std::string mark = "\"" + name + "\":\"";
	size_t start = text.find(mark);

	if (start == std::string::npos)
		return "";
	start += mark.size();
	return text.substr(start, text.find('"', start) - start);
}

void Script::Answer(uint64_t id, Call &call,
		    const struct action_call_answer &answer)
{
	gsize size;
	auto *data =
		static_cast<const char *>(g_bytes_get_data(answer.body, &size));
	std::string body(data ? data : "", size);

	if (answer.status != 200) {
		Refused(id, call, field_of(body, "code"),
			field_of(body, "run"));
		return;
	}
	if (call.intent->kind != REQUEST_PLAIN) {
		ForwardedStream(id, call, body);
		return;
	}
	if (body != call.intent->body)
		Violation(id, "another request's answer: " + body);
	Ended(id, call, true);
}

/* A stream that another node made, as one body. */
void Script::ForwardedStream(uint64_t id, Call &call, const std::string &body)
{
	std::istringstream words(body);
	std::string word;

	while (words >> word) {
		if (word == "[DONE]") {
			Ended(id, call, true);
			return;
		}
		if (word[0] == '{') {
			Refused(id, call, field_of(body, "code"),
				field_of(body, "run"));
			return;
		}
		Chunk(id, call, word);
	}
	Violation(id, "a forwarded stream without an end");
}

/* Each token once, in order and of one generation, which is this request's. */
void Script::Chunk(uint64_t id, Call &call, const std::string &data)
{
	char generation[32];
	long first, count;

	if (sscanf(data.c_str(), "%31[^.].%ld+%ld", generation, &first,
		   &count) != 3) {
		Violation(id, "malformed chunk " + data);
		return;
	}
	if (call.generation.empty())
		call.generation = generation;
	if (call.generation != generation)
		Violation(id, "stitched: " + call.generation + " and " + data);
	if (first != call.next_token)
		Violation(id, "expected token " +
				      std::to_string(call.next_token) +
				      ", got " + data);
	call.next_token = first + count;
}

void Script::CheckWhole(uint64_t id, const Call &call)
{
	const GPtrArray *runs = world_runs(world_);
	size_t number;

	if (call.next_token != call.intent->tokens)
		Violation(id, "ended whole after " +
				      std::to_string(call.next_token) + " of " +
				      std::to_string(call.intent->tokens));
	if (call.generation.empty())
		return;
	number = std::stoul(call.generation.substr(1));
	if (number < 1 || number > runs->len) {
		Violation(id, "a generation that never ran");
		return;
	}
	auto *run = static_cast<struct world_run *>(runs->pdata[number - 1]);
	gsize size;
	auto *body = static_cast<const char *>(
		g_bytes_get_data(run->request->body, &size));
	if (std::string(body, size) != call.intent->body)
		Violation(id, "another request's generation");
}

void Script::Ended(uint64_t id, Call &call, bool whole)
{
	call.ended = true;
	result_.whole += whole;
	Say("whole " + std::to_string(id));
	if (call.intent->kind == REQUEST_GENERATION)
		CheckWhole(id, call);
	if (call.intent->expected.key_reused && !faults_)
		Violation(id, "an id used with another body was answered");
}

void Script::Refused(uint64_t id, Call &call, const std::string &code,
		     const std::string &run)
{
	bool expected = call.intent->expected.key_reused &&
			code == refusal_code(REFUSAL_KEY_REUSED);

	call.ended = true;
	result_.refused++;
	Say("refused " + std::to_string(id) + " " + code + " run=" + run);
	if (!faults_ && !expected)
		Violation(id, "refused without a fault: " + code);
	if (run == "no") {
		not_run_[id] = code;
		if (!call.resume && call.next_token > 0)
			Violation(id, "tokens came, and run is no");
		if (call.intent->non_idempotent && HasRun(*call.intent)) {
			result_.repeats_called_not_run++;
			Say("a repeat refused as not run: " + code);
		}
	}
	if (run == "yes" && !HasRun(*call.intent))
		Violation(id, "run is yes, but nothing ran: " + code);
	if (run != "no" && run != "yes" && run != "unknown")
		Violation(id, "run is '" + run + "'");
	if (!expected)
		Failed(call);
}

void Script::Broken(uint64_t id, bool connected)
{
	auto found = calls_.find(id);

	if (found == calls_.end() || found->second.ended)
		return;
	found->second.ended = true;
	result_.broken++;
	Say("broken " + std::to_string(id));
	if (!faults_)
		Violation(id, connected ? "broken without a fault"
					: "no connection without a fault");
	if (connected && !killed_.count(found->second.incarnation) &&
	    world_now_us(world_) - found->second.sent_us > kConnectUs)
		Violation(id, "cut by a node that drained");
	Failed(found->second);
}

/* A caller that got no whole answer comes back, or does not. */
void Script::Failed(const Call &call)
{
	if (Chance(20) || call.intent->sends >= kMostSends)
		return;
	if (!call.last_event_id.empty() && !call.intent->non_idempotent &&
	    Chance(80)) {
		Call broken = call;
		call.intent->sends++;
		At(world_now_us(world_) + Pick(0, 6 * kSecond),
		   [this, broken] { Resume(broken); });
		return;
	}
	/* Without an id a caller must not repeat what may run but once. */
	if (!call.intent->non_idempotent || !call.intent->key.empty())
		SendAgain(call.intent, call.node);
}

/* --- faults --- */

void Script::PlanKill(int64_t at_us, int node, int64_t for_us)
{
	At(at_us, [this, node] {
		Say("kill n" + std::to_string(node));
		killed_.insert(world_node_incarnation(world_, node));
		world_kill_node(world_, node);
	});
	At(at_us + for_us, [this, node] {
		Say("start n" + std::to_string(node));
		world_start_node(world_, node);
	});
}

/* All open streams' callers stop reading for a while. */
void Script::SlowCaller(int64_t for_us)
{
	for (const auto &[id, call] : calls_) {
		uint64_t slow = id;

		if (call.ended || call.intent->kind == REQUEST_PLAIN)
			continue;
		Say("slow " + std::to_string(id));
		world_set_call_flow(world_, slow, true);
		At(world_now_us(world_) + for_us,
		   [this, slow] { world_set_call_flow(world_, slow, false); });
	}
}

void Script::PlanFault(int64_t at_us)
{
	int64_t for_us = Pick(200 * kMs, 8 * kSecond);
	int node = AnyNode();
	int endpoint = AnyEndpoint();
	int32_t a = static_cast<int32_t>(Pick(0, world_party_kv(world_)));
	int32_t b = static_cast<int32_t>(Pick(0, world_party_kv(world_)));
	struct world_kv_mode mode = {};

	switch (Pick(0, 12)) {
	case 0:
		PlanKill(at_us, node, for_us);
		break;
	case 10: /* a failure domain */
		for (int i = node % 2; i < options_.node_count; i += 2)
			PlanKill(at_us, i, for_us);
		break;
	case 11: /* all start at once */
		for (int i = 0; i < options_.node_count; i++)
			PlanKill(at_us, i, for_us);
		break;
	case 12:
		At(at_us, [this, for_us] { SlowCaller(for_us); });
		break;
	case 1:
	case 2:
		At(at_us, [this, node, for_us] {
			Say("pause n" + std::to_string(node) + " for " +
			    std::to_string(for_us));
			world_pause_node(world_, node,
					 world_now_us(world_) + for_us);
		});
		break;
	case 3:
		At(at_us, [this, endpoint] {
			Say("crash endpoint " + std::to_string(endpoint));
			world_crash_endpoint(world_, endpoint);
		});
		break;
	case 4:
		At(at_us, [this, endpoint, for_us] {
			Say("stall endpoint " + std::to_string(endpoint));
			world_stall_endpoint(world_, endpoint,
					     world_now_us(world_) + for_us);
		});
		break;
	case 5:
	case 6:
		At(at_us, [this, a, b] {
			Say("cut " + std::to_string(a) + " to " +
			    std::to_string(b));
			world_cut_link(world_, a, b, true);
		});
		At(at_us + for_us,
		   [this, a, b] { world_cut_link(world_, a, b, false); });
		break;
	case 7:
		mode.refused = Chance(25);
		mode.silent = Chance(25);
		mode.extra_delay_us = Chance(50) ? Pick(0, 2 * kSecond) : 0;
		mode.lose_percent = Chance(50) ? 50 : 0;
		At(at_us, [this, mode] {
			Say("key-value service in trouble");
			world_set_kv_mode(world_, &mode);
		});
		At(at_us + for_us, [this] {
			struct world_kv_mode well = {};
			world_set_kv_mode(world_, &well);
		});
		break;
	case 8:
		At(at_us, [this, endpoint] {
			Say("leaving endpoint " + std::to_string(endpoint));
			leaving_since_.try_emplace(endpoint,
						   world_now_us(world_));
			world_set_leaving(world_, endpoint, Chance(50), true);
		});
		break;
	case 9:
		At(at_us, [this, node] {
			Say("drain n" + std::to_string(node));
			if (world_node_alive(world_, node))
				world_drain_node(world_, node);
		});
		At(at_us + for_us + 10 * kSecond,
		   [this, node] { world_start_node(world_, node); });
		break;
	}
}

void Script::PlanFaults()
{
	int64_t count = Pick(1, 12);

	for (int64_t i = 0; i < count; i++)
		PlanFault(Pick(kFirstCallUs, kLastCallUs));
	At(kHealedUs, [this] {
		struct world_kv_mode well = {};

		Say("healed");
		world_set_kv_mode(world_, &well);
		for (int32_t a = 0; a <= world_party_kv(world_); a++)
			for (int32_t b = 0; b <= world_party_kv(world_); b++)
				world_cut_link(world_, a, b, false);
		for (int i = 0; i < options_.node_count; i++)
			world_start_node(world_, i);
	});
}

void Script::PlanCalls()
{
	int64_t count = Pick(20, 80);

	At(kFirstCallUs / 2, [this] { AskNodes(); });
	for (int64_t i = Pick(0, 6); i > 0; i--)
		At(Pick(kFirstCallUs, kLastCallUs), [this] { Configure(); });
	for (int64_t i = 0; i < count; i++)
		At(Pick(kFirstCallUs, kLastCallUs), [this] { Issue(); });
}

/* --- the oracle, after all is over --- */

bool Script::HasRun(const Intent &intent) const
{
	const GPtrArray *runs = world_runs(world_);

	for (guint i = 0; i < runs->len; i++) {
		auto *run = static_cast<struct world_run *>(runs->pdata[i]);
		gsize size;
		auto *body = static_cast<const char *>(
			g_bytes_get_data(run->request->body, &size));

		if (intent.body.compare(0, std::string::npos, body, size) == 0)
			return true;
	}
	return false;
}

void Script::CheckRuns()
{
	const GPtrArray *runs = world_runs(world_);
	std::map<std::string, int> count;

	for (guint i = 0; i < runs->len; i++) {
		auto *run = static_cast<struct world_run *>(runs->pdata[i]);
		gsize size;
		auto *data = static_cast<const char *>(
			g_bytes_get_data(run->request->body, &size));
		std::string body(data, size);
		auto refused = not_run_.find(run->call);
		auto leaving = leaving_since_.find(run->endpoint);

		if (refused != not_run_.end())
			Violation(run->call, "refused as not run (" +
						     refused->second +
						     "), and it ran");
		if (++count[body] > 1 && intents_[body]->non_idempotent)
			Violation(run->call, "ran twice: " + body);
		if (leaving != leaving_since_.end() &&
		    run->at_us > leaving->second + kLeavingPatienceUs)
			Violation(run->call,
				  "ran at an endpoint that left long before");
	}
	result_.runs = static_cast<int>(runs->len);
}

DifferentialResult Script::Run()
{
	PlanCalls();
	At(kHealedUs + kConfigPatienceUs, [this] { CheckConfigs(); });
	if (faults_)
		PlanFaults();
	world_run_until(world_, kEndUs);
	for (const auto &[id, call] : calls_) {
		if (!call.ended)
			Violation(id, "never ended");
	}
	for (int i = 0; verbose_ && i < options_.node_count; i++)
		SayDump(i);
	CheckRuns();
	return result_;
}

} // namespace

DifferentialResult differential_run(uint64_t seed, bool verbose)
{
	return Script(seed, verbose).Run();
}
