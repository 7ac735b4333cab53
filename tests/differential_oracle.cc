#include "tests/differential_state.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace differential
{

void Script::Answered(uint64_t id, const struct action *action)
{
	auto found = calls_.find(id);

	if (found == calls_.end()) {
		if (id == nodes_query_ && action->type == ACTION_CALL_ANSWER) {
			gsize size;
			auto *data = static_cast<const char *>(
				g_bytes_get_data(action->answer.body, &size));
			ParseIdPrefixes(std::string(data, size));
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
			RetryOrGiveUp(call);
		}
		break;
	}
	case ACTION_CALL_END:
		if (action->end.refusal == REFUSAL_NONE) {
			if (action->end.token_count != call.next_token)
				Violation(id, "the end event has a different "
					      "token count");
			Ended(id, call, true);
			break;
		}
		if (call.next_token > 0 && action->end.run != RUN_YES)
			Violation(id,
				  "tokens were received, but run is not yes");
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
		Violation(id, "answer of another request: " + body);
	Ended(id, call, true);
}

/* A stream that another node answered, received as one body. */
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

/* Checks that each token comes once, in order and from one generation. */
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
		Violation(id, "tokens of two generations: " + call.generation +
				      " and " + data);
	if (first != call.next_token)
		Violation(id, "expected token " +
				      std::to_string(call.next_token) +
				      ", got " + data);
	call.next_token = first + count;
}

/* Checks that all tokens came and that the generation ran this request. */
void Script::CheckComplete(uint64_t id, const Call &call)
{
	const GPtrArray *runs = world_runs(world_);
	size_t number;

	if (call.next_token != call.intent->tokens)
		Violation(id, "completed after " +
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
		Violation(id, "generation of another request");
}

void Script::Ended(uint64_t id, Call &call, bool whole)
{
	call.ended = true;
	result_.whole += whole;
	Say("whole " + std::to_string(id));
	if (call.intent->kind == REQUEST_GENERATION)
		CheckComplete(id, call);
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
			Violation(id, "tokens were received, but run is no");
		/* Runs by other calls of this id after sent_us do not count. */
		if (call.intent->non_idempotent &&
		    HasRunBefore(*call.intent, call.sent_us)) {
			result_.repeats_refused_not_run++;
			Violation(id,
				  "ran before, but is refused as not run: " +
					  code);
		}
	}
	if (run == "yes" && !HasRunBefore(*call.intent, INT64_MAX))
		Violation(id, "run is yes, but nothing ran: " + code);
	if (run != "no" && run != "yes" && run != "unknown")
		Violation(id, "run is '" + run + "'");
	if (!expected)
		RetryOrGiveUp(call);
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
		Violation(id, "connection broken by a draining node");
	RetryOrGiveUp(found->second);
}

/* A caller without a complete answer resumes, sends again or gives up. */
void Script::RetryOrGiveUp(const Call &call)
{
	if (Chance(20) || call.intent->sends >= kMaxSends)
		return;
	if (!call.last_event_id.empty() && !call.intent->non_idempotent &&
	    Chance(80)) {
		Call broken = call;
		call.intent->sends++;
		At(world_now_us(world_) + Pick(0, 6 * kSecond),
		   [this, broken] { Resume(broken); });
		return;
	}
	/* A non-idempotent request without an id must not be sent again. */
	if (!call.intent->non_idempotent || !call.intent->key.empty())
		SendAgain(call.intent, call.node);
}

bool Script::HasRunBefore(const Intent &intent, int64_t time_us) const
{
	const GPtrArray *runs = world_runs(world_);

	for (guint i = 0; i < runs->len; i++) {
		auto *run = static_cast<struct world_run *>(runs->pdata[i]);
		gsize size;
		auto *body = static_cast<const char *>(
			g_bytes_get_data(run->request->body, &size));

		if (run->at_us < time_us &&
		    intent.body.compare(0, std::string::npos, body, size) == 0)
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
						     "), but it ran");
		if (++count[body] > 1 && intents_[body]->non_idempotent)
			Violation(run->call, "ran twice: " + body);
		if (leaving != leaving_since_.end() &&
		    run->at_us > leaving->second + kLeavingTimeoutUs)
			Violation(run->call,
				  "ran at an endpoint that left long before");
	}
	result_.runs = static_cast<int>(runs->len);
}

} // namespace differential
