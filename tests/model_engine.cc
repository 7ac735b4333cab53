#include "tests/model_engine.h"

#include "adapters/gateway/caller.h"
#include "adapters/gateway/listener.h"
#include "tests/loopback.h"

#include <cstring>

#define HEADER(name) "X-Siskinlink-" name

/* A run, or a request that is refused after answer_ms. */
struct ModelEngine::run {
	ModelEngine *engine;
	struct caller *caller; /* NULL: its connection is closed */
	std::string request;
	int next;
	bool is_refused;
	bool is_closed; /* and the engine has not noticed yet */
	guint timer;
};

static std::string free_address()
{
	Listener listener;

	return listener.address();
}

static std::string text_of(const struct http_head *head, const char *name)
{
	const char *value = http_head_get(head, name);

	return value ? value : "";
}

ModelEngine::ModelEngine(const std::string &id)
    : id(id), address(free_address())
{
	struct caller_handler handler = {};
	struct error error;

	handler.request = on_request;
	handler.gone = on_gone;
	handler.data = this;
	callers = caller_set_create(&handler, 1000);
	listener = listener_create(address.c_str(), callers, &error);
	EXPECT_NE(nullptr, listener) << error.detail;
}

ModelEngine::~ModelEngine()
{
	while (!active.empty())
		End(*active.begin());
	listener_destroy(listener);
	caller_set_destroy(callers);
}

/* Whether the engine works on the request now. */
bool ModelEngine::IsAtWork(const std::string &request) const
{
	auto found = work.find(request);

	return found != work.end() && found->second.back().to_us == 0;
}

/* Ends the engine's work on a run, and frees it. */
void ModelEngine::End(struct run *run)
{
	if (run->timer)
		g_source_remove(run->timer);
	if (!run->is_refused)
		work[run->request].back().to_us = g_get_monotonic_time();
	active.erase(run);
	delete run;
}

void ModelEngine::Send(struct run *run, const std::string &text)
{
	char size[16];

	if (!run->caller)
		return;
	snprintf(size, sizeof(size), "%zx\r\n", text.size());
	std::string chunk = ends_by_close ? text : size + text + "\r\n";
	caller_send(run->caller, chunk.data(), chunk.size());
}

gboolean ModelEngine::on_event(gpointer data)
{
	struct run *run = (struct run *)data;
	ModelEngine *engine = run->engine;
	struct caller *caller = run->caller;

	if (run->is_closed && engine->notices == NOTICES_AT_NEXT_EVENT) {
		run->timer = 0;
		engine->End(run);
		return G_SOURCE_REMOVE;
	}
	if (run->next == engine->silent_from) {
		engine->silent_from = -1;
		run->timer =
			g_timeout_add((guint)engine->silence_ms, on_event, run);
		return G_SOURCE_REMOVE;
	}
	if (run->next < engine->events) {
		engine->Send(run, "id: " + std::to_string(run->next) +
					  "\ndata: x\n\n");
		run->next++;
		if (run->next == engine->breaks_at && run->caller) {
			run->caller = nullptr;
			run->is_closed = true;
			caller_abort(caller);
		}
		run->timer =
			g_timeout_add((guint)engine->pace_ms, on_event, run);
		return G_SOURCE_REMOVE;
	}
	run->timer = 0;
	engine->End(run);
	if (!caller)
		return G_SOURCE_REMOVE;
	if (!engine->ends_by_close)
		caller_send(caller, "0\r\n\r\n", 5);
	caller_end_answer(caller, true);
	return G_SOURCE_REMOVE;
}

void ModelEngine::SendHead(struct run *run)
{
	std::string text = "HTTP/1.1 200 OK\r\n" HEADER("Request-Id") ": " +
			   run->request + "\r\n" HEADER("Engine-Stamp") ": " +
			   id + "\r\nContent-Type: text/event-stream\r\n";

	text += ends_by_close ? "Connection: close\r\n\r\n"
			      : "Transfer-Encoding: chunked\r\n\r\n";
	if (run->caller)
		caller_send(run->caller, text.data(), text.size());
}

/* Sends the head of a run, or the refusal of a request. */
gboolean ModelEngine::on_answer(gpointer data)
{
	struct run *run = (struct run *)data;
	ModelEngine *engine = run->engine;
	struct caller *caller = run->caller;
	std::string fields = HEADER("Request-Id") ": " + run->request +
			     "\r\n" HEADER("Not-Executed") ": 1\r\n";

	run->timer = 0;
	if (run->is_refused) {
		engine->End(run);
		if (caller)
			caller_answer(caller, 503, fields.c_str(), "", 0);
		return G_SOURCE_REMOVE;
	}
	engine->SendHead(run);
	run->timer = g_timeout_add((guint)engine->pace_ms, on_event, run);
	return G_SOURCE_REMOVE;
}

void ModelEngine::Begin(struct caller *caller, const std::string &request,
			bool is_continued, int first)
{
	struct run *run = new struct run();

	run->engine = this;
	run->caller = caller;
	run->request = request;
	run->next = first;
	run->is_refused = is_continued && !has_copies;
	active.insert(run);
	caller_attach_request(caller, run);
	if (!run->is_refused) {
		work[request].push_back({g_get_monotonic_time(), 0});
		(is_continued ? continued : runs)[request]++;
	}
	run->timer = g_timeout_add((guint)answer_ms, on_answer, run);
}

/* Text of a member of a flat JSON object, "" if there is none. */
static std::string member(const std::string &json, const std::string &name)
{
	size_t at = json.find("\"" + name + "\"");

	if (at == std::string::npos)
		return "";
	at = json.find_first_not_of(" :\"", at + name.size() + 2);
	return json.substr(at, json.find_first_of("\",}", at) - at);
}

/* Answers a call to copy a run, which stops it if the copy is the last one. */
void ModelEngine::AnswerMove(struct caller *caller, const std::string &body)
{
	bool is_last = member(body, "last") == "true";
	std::string handle = "{\"handle\":\"h-" + id + "\",\"created\":1}";
	struct run *run = nullptr;
	struct caller *stream;

	for (struct run *each : active)
		if (each->request == member(body, "id") && !each->is_refused)
			run = each;
	stops += is_last;
	if (is_last && stop == IGNORES_STOP) {
		caller_attach_request(caller, nullptr);
		return;
	}
	if (!run) {
		caller_answer(caller, 404, "", "", 0);
		return;
	}
	if (!is_last) {
		caller_answer(caller, 200, "", handle.data(), handle.size());
		return;
	}
	if (stop == REFUSES_TO_STOP) {
		caller_answer(caller, 503, "", "", 0);
		return;
	}
	stream = run->caller;
	End(run);
	if (stream)
		caller_abort(stream);
	caller_answer(caller, stop == STOPS ? 200 : 503, "", handle.data(),
		      handle.size());
}

void ModelEngine::on_request(void *data, struct caller *caller,
			     struct http_head *head, GByteArray *body)
{
	ModelEngine *engine = (ModelEngine *)data;
	std::string request = text_of(head, HEADER("Request-Id"));
	std::string last = text_of(head, "Last-Event-Id");
	bool is_continued = !text_of(head, "Kv-From").empty();
	std::string text((const char *)body->data, body->len);
	std::string target = head->target;

	http_head_destroy(head);
	g_byte_array_unref(body);
	if (target == "/v1/kv-move")
		engine->AnswerMove(caller, text);
	else if (request.empty())
		caller_answer(caller, 404, "", "", 0);
	else
		engine->Begin(caller, request, is_continued,
			      last.empty() ? 0 : std::stoi(last) + 1);
}

void ModelEngine::on_gone(void *data, void *request)
{
	ModelEngine *engine = (ModelEngine *)data;
	struct run *run = (struct run *)request;

	if (!run || !engine->active.count(run))
		return;
	run->caller = nullptr;
	run->is_closed = true;
	if (engine->notices == NOTICES_AT_ONCE || run->is_refused)
		engine->End(run);
}
