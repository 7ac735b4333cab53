#include "tests/differential_state.h"

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace differential
{

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
		options_.peer_duplicate_permille = 20;
		options_.peer_late_permille = Chance(50) ? 30 : 0;
		if (Chance(30))
			options_.node.id_memory_us = 8 * kSecond;
		if (Chance(20))
			options_.node.max_outcomes = 6;
		options_.chunk_drop_permille = Chance(30) ? 2 : 0;
		options_.chunk_duplicate_permille = Chance(30) ? 5 : 0;
		options_.chunk_reorder_permille = Chance(30) ? 5 : 0;
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

/* Checks that every node that runs has the newest configuration. */
void Script::CheckConfigs()
{
	for (int i = 0; i < options_.node_count; i++) {
		if (world_node_alive(world_, i) &&
		    ConfigRevision(i) != newest_revision_)
			Violation(0,
				  "n" + std::to_string(i) +
					  " does not have the newest revision");
	}
}

void Script::At(int64_t at_us, std::function<void()> action)
{
	actions_.push_back(
		std::make_unique<std::function<void()>>(std::move(action)));
	world_schedule(
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

/* Checks that no process applies an older configuration than it has. */
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
					     " reverted from revision " +
					     std::to_string(last));
		last = revision;
	}
	for (guint i = 0; verbose_ && i < log.fields->len; i++)
		line += std::string(i % 2 ? "=" : " ") +
			static_cast<char *>(log.fields->pdata[i]);
	Say(line);
}

void Script::PrintDump(int node)
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

void Script::QueryNodes()
{
	nodes_query_ = world_query(world_, AnyNode(), QUERY_NODES, nullptr,
				   nullptr, nullptr);
	At(world_now_us(world_) + Pick(200 * kMs, 2 * kSecond), [this] {
		if (world_now_us(world_) < kLastCallUs)
			QueryNodes();
	});
}

/* Stores the id prefix of each node in the answer. */
void Script::ParseIdPrefixes(const std::string &text)
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

/* Half of the ids have the prefix of a node, which is then their issuer. */
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
		   [this, intent] { ReuseKey(intent); });
}

/* Sends the id again with another body. */
void Script::ReuseKey(const std::shared_ptr<Intent> &first)
{
	auto intent = std::make_shared<Intent>(*first);

	intent->body = "misuse" + std::to_string(next_body_++);
	if (intent->kind == REQUEST_GENERATION)
		intent->body += " [[tokens=7]]";
	intent->tokens = 7;
	intent->reuses_key = true;
	intent->sends = kMaxSends - 1;
	intent->expected = naive_.Call(intent->organisation + "/" + intent->key,
				       intent->body, intent->tokens);
	intents_[intent->body] = intent;
	/*
	 * Only the node that remembers an idempotent id detects its reuse, so
	 * only a non-idempotent one may be sent to any node.
	 */
	if (intent->non_idempotent)
		Send(intent, AnyNode());
}

static struct request *make_request(const Intent &intent)
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

void Script::RecordSend(Call &call, int node)
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

	if (intent->sends >= kMaxSends)
		return;
	intent->sends++;
	request = make_request(*intent);
	id = world_call(world_, node, request);
	request_unref(request);
	call.intent = intent;
	RecordSend(call, node);
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
			RetryOrGiveUp(calls_[id]);
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

/* Requests the rest of a stream from any node. */
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
	RecordSend(call, node);
	call.resume = true;
	call.ended = false;
	call.close_after = -1;
	calls_[id] = call;
	result_.calls++;
	result_.resumed++;
	Say("resume " + std::to_string(id) + " at n" + std::to_string(node));
}

void Script::PlanCalls()
{
	int64_t count = Pick(20, 80);

	At(kFirstCallUs / 2, [this] { QueryNodes(); });
	for (int64_t i = Pick(0, 6); i > 0; i--)
		At(Pick(kFirstCallUs, kLastCallUs), [this] { Configure(); });
	for (int64_t i = 0; i < count; i++)
		At(Pick(kFirstCallUs, kLastCallUs), [this] { Issue(); });
}

DifferentialResult Script::Run()
{
	PlanCalls();
	At(kHealedUs + kConfigTimeoutUs, [this] { CheckConfigs(); });
	if (faults_)
		PlanFaults();
	world_run_until(world_, kEndUs);
	for (const auto &[id, call] : calls_) {
		if (!call.ended)
			Violation(id, "never ended");
	}
	for (int i = 0; verbose_ && i < options_.node_count; i++)
		PrintDump(i);
	CheckRuns();
	return result_;
}

} // namespace differential

DifferentialResult differential_run(uint64_t seed, bool verbose)
{
	return differential::Script(seed, verbose).Run();
}
