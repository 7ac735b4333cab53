#include "tests/node_script.h"

#include "core/config/config_json.h"
#include "core/node/node.h"

#include <cstring>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <vector>

namespace
{

constexpr int64_t start_us = 1000000000;
constexpr int64_t longest_step_us = 50000;

struct script_node {
	std::string name;
	struct node *node = nullptr;
	std::deque<uint64_t> kv_open;
	std::map<uint64_t, std::string> kv_keys;
	std::map<uint64_t, GBytes *> kv_values;
	bool cut = false;

	~script_node()
	{
		node_destroy(node);
		for (auto &item : kv_values)
			g_bytes_unref(item.second);
	}
};

struct record {
	std::string to;
	std::string from;
	struct peer_message *message;
};

using option_map = std::map<std::string, std::string>;

class script
{
      public:
	std::string run(const std::string &text);
	~script();

      private:
	int64_t now_us = start_us;
	std::map<std::string, std::unique_ptr<script_node>> nodes;
	std::deque<record> records;
	std::map<std::string, std::string> last_event_ids;
	std::map<std::string, std::vector<std::string>> stored;
	struct action_list *actions = action_list_create();
	std::ostringstream out;
	uint64_t incarnations = 0;

	void line(const std::string &text);
	void command(const std::string &verb, std::istringstream &in);
	bool answer_attempt(const std::string &verb, script_node &node,
			    std::istringstream &in);
	void add_node(std::istringstream &in);
	void set_config(std::istringstream &in);
	void send_call(script_node &node, std::istringstream &in);
	void answer_kv(script_node &node, const std::string &outcome);
	void show_home(script_node &node, const std::string &service);
	void report_load(script_node &node, std::istringstream &in);
	void report_vms(script_node &node, std::istringstream &in);
	void wait(int64_t us);
	void step(script_node &node, const struct event &event);
	void collect(script_node &node);
	void deliver();
	void print(script_node &node, const struct action &action);
	std::string prefix(const script_node &node) const;
};

option_map parse_options(std::istringstream &in)
{
	option_map found;
	std::string word;

	while (in >> word) {
		size_t equals = word.find('=');

		if (equals == std::string::npos)
			found[word] = "1";
		else
			found[word.substr(0, equals)] = word.substr(equals + 1);
	}
	return found;
}

std::string address_of(const std::string &name)
{
	return name + ":1";
}

int64_t number(const option_map &found, const char *key, int64_t fallback)
{
	auto item = found.find(key);

	return item == found.end() ? fallback : std::stoll(item->second);
}

char *text(const option_map &found, const char *key, const char *fallback)
{
	auto item = found.find(key);

	return g_strdup(item == found.end() ? fallback : item->second.c_str());
}

void script::add_node(std::istringstream &in)
{
	std::string name;
	struct node_options options;
	std::vector<std::string> seeds;
	std::vector<const char *> pointers;

	in >> name;
	option_map found = parse_options(in);
	auto added = std::make_unique<script_node>();

	for (auto &item : nodes)
		seeds.push_back(address_of(item.first));
	for (auto &seed : seeds)
		pointers.push_back(seed.c_str());
	pointers.push_back(nullptr);
	node_options_default(&options);
	std::string peer = address_of(name);
	std::string http = name + ":80";
	options.name = name.c_str();
	options.region = "r";
	options.failure_domain = name.c_str();
	options.http_address = http.c_str();
	options.peer_address = peer.c_str();
	options.seeds = pointers.data();
	options.incarnation = 0x100 + ++incarnations;
	options.seed = 7 + incarnations;
	options.event_key = "script-event-key-01";
	options.max_calls = (int32_t)number(found, "max_calls", 100);
	options.max_outcomes = (int32_t)number(found, "max_outcomes", 100);
	options.max_attempts = (int32_t)number(found, "max_attempts", 4);
	options.id_memory_us = number(found, "id_memory_ms", 600000) * 1000;
	added->name = name;
	added->node = node_create(&options);
	script_node &node = *added;
	nodes[name] = std::move(added);
	node_start(node.node, now_us, actions);
	collect(node);
	deliver();
}

void script::set_config(std::istringstream &in)
{
	option_map found = parse_options(in);
	struct config *config = config_create();
	struct config_service *service =
		config_add_service(config, "writer", SERVICE_GENERATION);
	struct config_organisation *organisation;
	struct config_endpoint *endpoint;
	std::set<std::string> without = {found["without"]};

	for (const char *address : {"e1:1", "e2:1"}) {
		if (without.count(address))
			continue;
		endpoint = config_service_add_endpoint(service, address);
		endpoint->capacity_tokens = 10000;
		endpoint->leaving = found["leaving"] == address;
	}
	service = config_add_service(config, "portal", SERVICE_PLAIN);
	config_service_add_endpoint(service, "p1:1");
	for (const char *name : {"atlas", "kgotso"}) {
		organisation = config_add_organisation(config, name);
		g_free(organisation->key_sha256);
		organisation->key_sha256 = g_compute_checksum_for_string(
			G_CHECKSUM_SHA256, name, -1);
		organisation->priority = 5;
	}
	GBytes *document = config_json_format(config);
	struct event event = {};

	event.type = EVENT_KV_WATCH;
	event.kv_watch.key = "/siskinlink/config";
	event.kv_watch.mod_revision = number(found, "revision", 1);
	event.kv_watch.value = document;
	for (auto &item : nodes) {
		if (!item.second->cut)
			step(*item.second, event);
	}
	g_bytes_unref(document);
	config_unref(config);
}

void script::send_call(script_node &node, std::istringstream &in)
{
	struct event event = {};
	std::string kind;
	uint64_t id = 0;

	in >> id >> kind;
	option_map found = parse_options(in);
	struct request *request =
		request_create(kind == "plain"	  ? REQUEST_PLAIN
			       : kind == "resume" ? REQUEST_RESUME
						  : REQUEST_GENERATION);
	std::string body = found.count("body") ? found["body"] : "body";

	g_bytes_unref(request->body);
	request->body = g_bytes_new(body.data(), body.size());
	request->bearer = text(found, "org", "atlas");
	request->service =
		text(found, "service", kind == "plain" ? "portal" : "writer");
	request->path = kind == "plain" ? g_strdup("/orders") : nullptr;
	request->method = g_strdup("POST");
	request->stream = true;
	request->non_idempotent = found.count("once") != 0;
	request->forwarded = found.count("forwarded") != 0;
	request->max_tokens = number(found, "max_tokens", 100);
	request->prompt_tokens = number(found, "prompt_tokens", 10);
	request->deadline_in_us = number(found, "deadline_ms", 0) * 1000;
	if (found.count("id"))
		request->idempotency_key = g_strdup(found["id"].c_str());
	if (found.count("after"))
		request->last_event_id =
			g_strdup(last_event_ids[found["after"]].c_str());
	if (found.count("event_id"))
		request->last_event_id = g_strdup(found["event_id"].c_str());
	event.type = EVENT_CALL;
	event.call.call = id;
	event.call.request = request;
	step(node, event);
	request_unref(request);
}

void script::answer_kv(script_node &node, const std::string &outcome)
{
	static const std::map<std::string, enum kv_outcome> outcomes = {
		{"ok", KV_OK},
		{"conflict", KV_CONFLICT},
		{"not_found", KV_NOT_FOUND},
		{"not_applied", KV_NOT_APPLIED},
		{"lost", KV_ANSWER_LOST},
		{"applied_lost", KV_ANSWER_LOST},
		{"short_lease", KV_OK},
	};
	struct kv_answer answer = {};
	struct event event = {};

	if (node.kv_open.empty()) {
		out << "  (no open key-value call)\n";
		return;
	}
	answer.id = node.kv_open.front();
	node.kv_open.pop_front();
	std::string key = node.kv_keys[answer.id];

	answer.op = key.empty()			      ? KV_LEASE_GRANT
		    : node.kv_values.count(answer.id) ? KV_CAS
						      : KV_GET;
	answer.outcome = outcomes.at(outcome);
	answer.lease = 77;
	answer.ttl_s = outcome == "short_lease" ? 600 : 86400;
	auto found = stored.find(key);
	if (answer.op == KV_CAS &&
	    (outcome == "ok" || outcome == "applied_lost")) {
		gsize size = 0;
		const void *data =
			g_bytes_get_data(node.kv_values[answer.id], &size);

		stored[key] = {std::string((const char *)data, size)};
	} else if (found != stored.end() && answer.op != KV_LEASE_GRANT &&
		   (answer.outcome == KV_OK || answer.outcome == KV_CONFLICT)) {
		const std::string &value = found->second[0];
		GBytes *bytes = g_bytes_new(value.data(), value.size());

		answer.entries = kv_entries_create();
		kv_entries_add(answer.entries, key.c_str(), bytes, 5, 5);
		g_bytes_unref(bytes);
	}
	event.type = EVENT_KV;
	event.kv = &answer;
	step(node, event);
	kv_answer_clear(&answer);
}

void script::report_load(script_node &node, std::istringstream &in)
{
	struct event event = {};
	std::string endpoint;
	std::string mark;
	int64_t used = 0;

	in >> endpoint >> used >> mark;
	event.type = EVENT_LOAD;
	event.load.endpoint = endpoint.c_str();
	event.load.is_refused = mark == "refused";
	event.load.reached = mark != "unreached" && mark != "refused";
	event.load.report = {now_us, 0, 0, used, 10000, 0, mark == "leaving"};
	step(node, event);
}

void script::report_vms(script_node &node, std::istringstream &in)
{
	std::string endpoint;
	std::string state;
	struct event event = {};
	struct vm vm = {};

	in >> endpoint >> state;
	vm.address = endpoint.c_str();
	vm.leaving = state == "leaving";
	event.type = EVENT_VM_LIST;
	event.vm_list.vms = &vm;
	event.vm_list.vm_count = 1;
	step(node, event);
}

void script::show_home(script_node &node, const std::string &service)
{
	GVariant *dump = g_variant_ref_sink(node_dump(node.node, now_us));
	GVariant *shards = g_variant_lookup_value(dump, "shards", nullptr);

	for (gsize i = 0; i < g_variant_n_children(shards); i++) {
		GVariant *shard = g_variant_get_child_value(shards, i);
		const char *name = nullptr;
		const char *home = nullptr;

		g_variant_lookup(shard, "service", "&s", &name);
		g_variant_lookup(shard, "home", "&s", &home);
		if (service == name)
			out << "  -> " << home << "\n";
		g_variant_unref(shard);
	}
	g_variant_unref(shards);
	g_variant_unref(dump);
}

bool script::answer_attempt(const std::string &verb, script_node &node,
			    std::istringstream &in)
{
	static const std::map<std::string, enum attempt_stage> stages = {
		{"not_sent", ATTEMPT_NOT_SENT},
		{"refused", ATTEMPT_REFUSED},
		{"gone", ATTEMPT_NOT_FOUND},
		{"sent", ATTEMPT_SENT},
	};
	struct event event = {};
	std::string word;
	uint64_t attempt = 0;
	GBytes *data = nullptr;

	in >> attempt;
	if (verb == "started") {
		in >> word;
		event.type = EVENT_ATTEMPT_STARTED;
		event.started = {attempt, word.c_str()};
	} else if (verb == "chunk") {
		event.type = EVENT_ATTEMPT_CHUNK;
		event.chunk.attempt = attempt;
		in >> event.chunk.first_token >> event.chunk.token_count;
		word = "t" + std::to_string(event.chunk.first_token);
		event.chunk.data = data = g_bytes_new(word.data(), word.size());
	} else if (verb == "done") {
		event.type = EVENT_ATTEMPT_DONE;
		event.done.attempt = attempt;
		event.done.finish_reason = "stop";
		in >> event.done.token_count;
	} else if (verb == "answer") {
		event.type = EVENT_ATTEMPT_ANSWER;
		event.answer.attempt = attempt;
		in >> event.answer.status >> word;
		event.answer.content_type = "text/plain";
		event.answer.body = data =
			g_bytes_new(word.data(), word.size());
	} else if (verb == "failed") {
		in >> word;
		event.type = EVENT_ATTEMPT_FAILED;
		event.failed.attempt = attempt;
		event.failed.stage = stages.at(word);
		error_set(&event.failed.error, ERROR_CLOSED, "engine.read",
			  "e1:1", "closed");
	} else {
		return false;
	}
	step(node, event);
	if (data)
		g_bytes_unref(data);
	return true;
}

void script::command(const std::string &verb, std::istringstream &in)
{
	struct event event = {};
	std::string name;

	if (verb == "node") {
		add_node(in);
		return;
	}
	if (verb == "config") {
		set_config(in);
		return;
	}
	in >> name;
	if (verb == "wait") {
		wait(std::stoll(name) * 1000);
		return;
	}
	if (verb == "kill") {
		nodes.erase(name);
		return;
	}
	script_node &node = *nodes.at(name);

	if (verb == "call") {
		send_call(node, in);
	} else if (verb == "home") {
		in >> name;
		show_home(node, name);
	} else if (verb == "kv") {
		in >> name;
		answer_kv(node, name);
	} else if (verb == "load") {
		report_load(node, in);
	} else if (verb == "vms") {
		report_vms(node, in);
	} else if (verb == "cut" || verb == "join") {
		node.cut = verb == "cut";
	} else if (verb == "shutdown") {
		event.type = EVENT_SHUTDOWN;
		step(node, event);
	} else if (verb == "nodes") {
		event.type = EVENT_QUERY;
		in >> event.query.call;
		event.query.type = QUERY_NODES;
		event.query.operator_name = "";
		step(node, event);
	} else if (verb == "gone") {
		event.type = EVENT_CALL_GONE;
		in >> event.call_gone;
		step(node, event);
	} else if (verb == "full" || verb == "ready") {
		event.type = EVENT_CALL_FLOW;
		in >> event.call_flow.call;
		event.call_flow.full = verb == "full";
		step(node, event);
	} else if (!answer_attempt(verb, node, in)) {
		out << "  (no such command)\n";
	}
}

void script::line(const std::string &text)
{
	std::istringstream in(text);
	std::string verb;

	out << text << "\n";
	if (text.empty() || text[0] == '#')
		return;
	in >> verb;
	command(verb, in);
	deliver();
}

void script::wait(int64_t us)
{
	struct event event = {};
	int64_t until_us = now_us + us;

	event.type = EVENT_TIMER;
	while (now_us < until_us) {
		now_us = MIN(until_us, now_us + longest_step_us);
		for (auto &item : nodes)
			step(*item.second, event);
		deliver();
	}
}

void script::step(script_node &node, const struct event &event)
{
	node_step(node.node, now_us, &event, actions);
	collect(node);
}

std::string script::prefix(const script_node &node) const
{
	return "  -> " + (nodes.size() > 1 ? node.name + " " : "");
}

void script::collect(script_node &node)
{
	for (size_t i = 0; i < action_list_count(actions); i++) {
		struct action *action = action_list_get(actions, i);

		if (action->type == ACTION_PEER_SEND) {
			records.push_back({action->peer_send.peer_address,
					   node.name,
					   action->peer_send.message});
			action->peer_send.message = nullptr;
			continue;
		}
		print(node, *action);
	}
	action_list_clear(actions);
}

void script::deliver()
{
	while (!records.empty()) {
		record item = records.front();
		struct event event = {};

		records.pop_front();
		for (auto &target : nodes) {
			auto from = nodes.find(item.from);

			if (address_of(target.first) != item.to ||
			    target.second->cut || from == nodes.end() ||
			    from->second->cut)
				continue;
			event.type = EVENT_PEER;
			event.peer = item.message;
			step(*target.second, event);
		}
		peer_message_destroy(item.message);
	}
}

std::string bytes_text(GBytes *bytes)
{
	gsize size = 0;
	const void *data = g_bytes_get_data(bytes, &size);

	return std::string((const char *)data, size);
}

void script::print(script_node &node, const struct action &action)
{
	std::ostringstream to;

	switch (action.type) {
	case ACTION_CALL_ANSWER:
		to << "answer " << action.answer.call << " "
		   << action.answer.status << " "
		   << bytes_text(action.answer.body)
		   << (action.answer.replayed ? " replayed" : "");
		break;
	case ACTION_CALL_REFUSE:
		to << "refuse " << action.refuse.call << " "
		   << refusal_http_status(action.refuse.refusal) << " "
		   << refusal_code(action.refuse.refusal)
		   << " run=" << run_name(action.refuse.run)
		   << " come_back_ms=" << action.refuse.retry_after_us / 1000;
		break;
	case ACTION_CALL_BEGIN:
		to << "begin " << action.call_begin;
		break;
	case ACTION_CALL_CHUNK:
		last_event_ids[std::to_string(action.chunk.call)] =
			action.chunk.event_id;
		to << "chunk " << action.chunk.call << " "
		   << bytes_text(action.chunk.data);
		break;
	case ACTION_CALL_END:
		to << "end " << action.end.call << " "
		   << (action.end.refusal ? refusal_code(action.end.refusal)
					  : "whole")
		   << " run=" << run_name(action.end.run)
		   << " tokens=" << action.end.token_count;
		break;
	case ACTION_ATTEMPT_SEND:
		to << "send " << action.send.attempt << " to "
		   << action.send.endpoint
		   << (action.send.to_node ? " as forwarded" : "");
		break;
	case ACTION_ATTEMPT_RESUME:
		to << "resume " << action.resume.attempt << " "
		   << action.resume.generation << " after "
		   << action.resume.next_token << " at "
		   << action.resume.endpoint;
		break;
	case ACTION_ATTEMPT_CANCEL:
		to << (action.cancel.keep_running ? "let go " : "cancel ")
		   << action.cancel.attempt;
		break;
	case ACTION_ATTEMPT_FLOW:
		to << (action.flow.pause ? "pause " : "go on ")
		   << action.flow.attempt;
		break;
	case ACTION_KV:
		if (action.kv.op == KV_GET &&
		    strcmp(action.kv.key, "/siskinlink/config") == 0)
			return;
		node.kv_open.push_back(action.kv.id);
		node.kv_keys[action.kv.id] = action.kv.key ? action.kv.key : "";
		if (action.kv.value)
			node.kv_values[action.kv.id] =
				g_bytes_ref(action.kv.value);
		to << (action.kv.op == KV_CAS	? "kv create"
		       : action.kv.op == KV_GET ? "kv read"
						: "kv lease");
		break;
	case ACTION_STOPPED:
		to << "stopped";
		break;
	default:
		return;
	}
	out << prefix(node) << to.str() << "\n";
}

std::string script::run(const std::string &text)
{
	std::istringstream in(text);
	std::string one;

	while (std::getline(in, one)) {
		if (one.rfind("  ", 0) != 0)
			line(one);
	}
	return out.str();
}

script::~script()
{
	for (auto &item : records)
		peer_message_destroy(item.message);
	action_list_destroy(actions);
}

} /* namespace */

std::string node_script_run(const std::string &script_text)
{
	script one;

	return one.run(script_text);
}
