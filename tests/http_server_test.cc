#include "adapters/http_listener.h"
#include "adapters/http_server.h"
#include "tests/loopback.h"

#include <sys/socket.h>

#include <memory>

#define HEADER_BYTES 2048
#define BODY_BYTES 4096
#define BUFFER_BYTES 16384

class HttpServer : public testing::Test
{
      protected:
	void SetUp() override
	{
		start("secret", 100);
	}

	void TearDown() override
	{
		http_server_destroy(server);
		run_idle();
	}

	void start(const char *operator_key, int64_t connections,
		   int64_t body_bytes = BODY_BYTES)
	{
		struct http_server_options options = {};
		struct event_sink sink = recorder.sink();
		struct error error;

		http_server_destroy(server);
		options.address = "127.0.0.1:0";
		options.operator_key = operator_key;
		options.max_header_bytes = HEADER_BYTES;
		options.max_body_bytes = body_bytes;
		options.stream_buffer_bytes = BUFFER_BYTES;
		options.max_connections = connections;
		options.counters = &counters;
		server = http_server_create(&options, &sink, &error);
		ASSERT_NE(nullptr, server) << error.detail;
	}

	Connection *open()
	{
		return Connection::open(http_server_address(server));
	}

	static std::string post(const std::string &path,
				const std::string &body,
				const std::string &headers = "")
	{
		return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + headers +
		       "Content-Length: " + std::to_string(body.size()) +
		       "\r\n\r\n" + body;
	}

	static std::string get(const std::string &path,
			       const std::string &headers = "")
	{
		return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers +
		       "\r\n";
	}

	void apply(struct action *action)
	{
		http_server_apply(server, action);
	}

	void begin(uint64_t call)
	{
		struct action action = {.type = ACTION_CALL_BEGIN};

		action.call_begin = call;
		apply(&action);
	}

	void chunk(uint64_t call, const std::string &id,
		   const std::string &data)
	{
		struct action action = {.type = ACTION_CALL_CHUNK};

		action.chunk.call = call;
		action.chunk.event_id = (char *)id.c_str();
		action.chunk.data = g_bytes_new(data.data(), data.size());
		apply(&action);
		g_bytes_unref(action.chunk.data);
	}

	void end(uint64_t call, enum refusal refusal, int64_t tokens)
	{
		struct action action = {.type = ACTION_CALL_END};

		action.end.call = call;
		action.end.refusal = refusal;
		action.end.run = RUN_YES;
		action.end.retry_after_us = 1000000;
		action.end.token_count = tokens;
		action.end.finish_reason = (char *)"length";
		apply(&action);
	}

	void answer(uint64_t call, int status, const std::string &text)
	{
		struct action action = {.type = ACTION_CALL_ANSWER};

		action.answer.call = call;
		action.answer.status = status;
		action.answer.content_type = (char *)"text/plain";
		action.answer.body = g_bytes_new(text.data(), text.size());
		action.answer.replayed = true;
		apply(&action);
		g_bytes_unref(action.answer.body);
	}

	uint64_t wait_call(size_t n = 1)
	{
		EXPECT_TRUE(recorder.wait(EVENT_CALL, n));
		return recorder.last(EVENT_CALL)->number;
	}

	Recorder recorder;
	struct counters counters = {};
	struct http_server *server = nullptr;
};

static const char prompt[] =
	"{\"model\":\"m\",\"prompt\":\"0123456789abcdef\",\"max_tokens\":7,"
	"\"stream\":true}";

TEST_F(HttpServer, ReadsAGeneration)
{
	std::unique_ptr<Connection> c(open());
	const struct request *r;

	c->send(post("/v1/completions", prompt,
		     "Authorization: Bearer k1\r\nX-Organisation: atlas\r\n"
		     "Idempotency-Key: id-1\r\nX-Non-Idempotent: true\r\n"
		     "X-Deadline-Ms: 1500\r\nX-Priority: 7\r\n"));
	wait_call();
	r = recorder.last(EVENT_CALL)->request;
	EXPECT_EQ(REQUEST_GENERATION, r->kind);
	EXPECT_STREQ("m", r->service);
	EXPECT_STREQ("k1", r->bearer);
	EXPECT_STREQ("atlas", r->organisation);
	EXPECT_STREQ("id-1", r->idempotency_key);
	EXPECT_STREQ("/v1/completions", r->path);
	EXPECT_TRUE(r->stream);
	EXPECT_TRUE(r->non_idempotent);
	EXPECT_EQ(1500000, r->deadline_in_us);
	EXPECT_EQ(7, r->priority);
	EXPECT_EQ(4, r->prompt_tokens);
	EXPECT_EQ(7, r->max_tokens);
	EXPECT_NE(0u, r->prefix_hash);
	EXPECT_EQ(prompt,
		  std::string((const char *)g_bytes_get_data(r->body, nullptr),
			      g_bytes_get_size(r->body)));
}

TEST_F(HttpServer, StreamsNumberedEventsAndTheEnd)
{
	std::unique_ptr<Connection> c(open());
	uint64_t call;

	c->send(post("/v1/completions", prompt));
	call = wait_call();
	begin(call);
	EXPECT_TRUE(c->wait_for("text/event-stream"));
	chunk(call, "e1", "{\"a\":1}");
	chunk(call, "e2", "two\nevent: error");
	end(call, REFUSAL_NONE, 2);
	EXPECT_TRUE(c->wait_for("data: [DONE]\n\n"));
	EXPECT_NE(std::string::npos,
		  c->input.find("id: e1\ndata: {\"a\":1}\n\n"));
	EXPECT_NE(std::string::npos,
		  c->input.find("id: e2\ndata: two\ndata: event: error\n\n"));
	EXPECT_NE(std::string::npos,
		  c->input.find("\"finish_reason\":\"length\""));
	EXPECT_NE(std::string::npos, c->input.find("\"completion_tokens\":2"));
	run_idle();
	EXPECT_EQ(0u, recorder.count(EVENT_CALL_GONE));
	EXPECT_EQ(0u, http_server_count_exchanges(server));
}

/*
 * The engine fails after the first token. The caller must not take the partial
 * answer for a complete one: its stream ends with an error event and without
 * [DONE].
 */
TEST_F(HttpServer, EndsABrokenStreamByATypedError)
{
	std::unique_ptr<Connection> c(open());
	uint64_t call;

	c->send(post("/v1/completions", prompt));
	call = wait_call();
	begin(call);
	chunk(call, "e1", "{}");
	end(call, REFUSAL_GENERATION_GONE, 1);
	EXPECT_TRUE(c->wait_for("event: error\ndata: {\"error\":{\"code\":"
				"\"generation_gone\""));
	EXPECT_TRUE(c->wait_for("0\r\n\r\n"));
	EXPECT_NE(std::string::npos,
		  c->input.find("\"run\":\"yes\",\"retry_after_ms\":1000"));
	EXPECT_EQ(std::string::npos, c->input.find("[DONE]"));
}

TEST_F(HttpServer, CollectsForACallerWithoutAStream)
{
	std::unique_ptr<Connection> c(open());
	uint64_t call;

	c->send(post("/v1/chat/completions",
		     "{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
		     "\"content\":[{\"type\":\"text\",\"text\":\"hi\"}]}]}"));
	call = wait_call();
	EXPECT_FALSE(recorder.last(EVENT_CALL)->request->stream);
	begin(call);
	chunk(call, "e1", "{\"choices\":[{\"delta\":{\"content\":\"a \"}}]}");
	chunk(call, "e2", "{\"choices\":[{\"delta\":{\"content\":\"b\"}}]}");
	end(call, REFUSAL_NONE, 2);
	EXPECT_TRUE(c->wait_for("\"content\":\"a b\""));
	EXPECT_NE(std::string::npos, c->input.find("HTTP/1.1 200"));
	EXPECT_NE(std::string::npos, c->input.find("\"completion_tokens\":2"));
}

/*
 * A malformed chunk for a caller that requested one object ends the call with a
 * refusal. The core receives EVENT_CALL_GONE exactly once, so that it cancels
 * the generation.
 */
TEST_F(HttpServer, EndsACallThatCannotBeCollected)
{
	std::unique_ptr<Connection> c(open());
	uint64_t call;

	c->send(post("/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}"));
	call = wait_call();
	chunk(call, "e1", "not json");
	chunk(call, "e2", "{}");
	EXPECT_EQ(0u, recorder.count(EVENT_CALL_GONE));
	EXPECT_TRUE(c->wait_for("endpoint_failed"));
	EXPECT_TRUE(recorder.wait(EVENT_CALL_GONE));
	run_idle();
	EXPECT_EQ(1u, recorder.count(EVENT_CALL_GONE));
	EXPECT_EQ(1u, counters.value[COUNTER_EVENTS_UNKNOWN]);
}

TEST_F(HttpServer, RefusesWithStatusBodyAndWholeSeconds)
{
	std::unique_ptr<Connection> c(open());
	struct action action = {.type = ACTION_CALL_REFUSE};

	c->send(post("/v1/completions", prompt));
	action.refuse.call = wait_call();
	action.refuse.refusal = REFUSAL_QUEUE_FULL;
	action.refuse.run = RUN_NO;
	action.refuse.retry_after_us = 1000001;
	action.refuse.detail = (char *)"say \"when\"";
	apply(&action);
	EXPECT_TRUE(c->wait_for("}}"));
	EXPECT_NE(std::string::npos, c->input.find("HTTP/1.1 429"));
	EXPECT_NE(std::string::npos, c->input.find("Retry-After: 2\r\n"));
	EXPECT_NE(std::string::npos,
		  c->input.find("{\"error\":{\"code\":\"queue_full\",\"message"
				"\":\"too many requests wait: say \\\"when\\\""
				"\",\"run\":\"no\",\"retry_after_ms\":1001}}"));
	apply(&action);
	EXPECT_EQ(1u, counters.value[COUNTER_EVENTS_UNKNOWN]);
}

TEST_F(HttpServer, PassesPlainCallsAndReplayedAnswers)
{
	std::unique_ptr<Connection> c(open());
	const struct request *r;
	uint64_t call;

	c->send("PUT /svc/orders/a%2Fb?x=1&y HTTP/1.1\r\nHost: h\r\n"
		"Content-Type: text/x\r\nX-Siskinlink-Forwarded: n2\r\n"
		"Content-Length: 2\r\n\r\nhi");
	call = wait_call();
	r = recorder.last(EVENT_CALL)->request;
	EXPECT_EQ(REQUEST_PLAIN, r->kind);
	EXPECT_STREQ("orders", r->service);
	EXPECT_STREQ("/a%2Fb?x=1&y", r->path);
	EXPECT_STREQ("PUT", r->method);
	EXPECT_STREQ("text/x", r->content_type);
	EXPECT_TRUE(r->forwarded);
	answer(call, 418, "teapot");
	EXPECT_TRUE(c->wait_for("teapot"));
	EXPECT_NE(std::string::npos, c->input.find("HTTP/1.1 418"));
	EXPECT_NE(std::string::npos,
		  c->input.find("Idempotent-Replayed: true\r\n"));
	EXPECT_NE(std::string::npos, c->input.find("X-Request-Id: 1\r\n"));
}

TEST_F(HttpServer, ResumesByLastEventId)
{
	std::unique_ptr<Connection> c(open());
	const struct request *r;

	c->send(post("/v1/completions", "{\"model\":\"m\",\"prompt\":\"p\"}",
		     "Last-Event-ID: abc.def\r\n"));
	wait_call();
	r = recorder.last(EVENT_CALL)->request;
	EXPECT_EQ(REQUEST_RESUME, r->kind);
	EXPECT_STREQ("abc.def", r->last_event_id);
	EXPECT_TRUE(r->stream);
}

struct bad_request {
	std::string request;
	const char *status;
	const char *code;
};

TEST_F(HttpServer, AnswersEachBadRequestByItsOwnError)
{
	const std::string long_header =
		"X-Long: " + std::string(HEADER_BYTES, 'x') + "\r\n";
	const std::string deep = "{\"model\":" + std::string(3000, '[');
	const bad_request cases[] = {
		{post("/v1/completions", "{"), "400", "bad_request"},
		{post("/v1/completions", "[]"), "400", "bad_request"},
		{post("/v1/completions", "", "Last-Event-ID: a\r\n"), "400",
		 "bad_request"},
		{post("/v1/completions", deep), "400", "bad_request"},
		{post("/v1/completions", "{\"model\":\"m\"}"), "400",
		 "bad_request"},
		{post("/v1/completions", "{\"model\":\"m\",\"prompt\":1}"),
		 "400", "bad_request"},
		{post("/v1/completions", prompt, "X-Priority: 10\r\n"), "400",
		 "bad_request"},
		{post("/v1/completions", prompt, "X-Deadline-Ms: -1\r\n"),
		 "400", "bad_request"},
		{post("/v1/completions", prompt, "X-Non-Idempotent: 1\r\n"),
		 "400", "bad_request"},
		{post("/v1/completions", prompt, "Idempotency-Key: a b\r\n"),
		 "400", "bad_request"},
		{post("/v1/completions", prompt, long_header), "431",
		 "header_too_large"},
		{post("/v1/completions", std::string(BODY_BYTES + 1, 'x')),
		 "413", "too_large"},
		{"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n1001\r\n" +
			 std::string(0x1001, 'x') + "\r\n0\r\n\r\n",
		 "413", "too_large"},
		{get("/v1/completions"), "405", "method_not_allowed"},
		{get("/nothing"), "404", "not_found"},
		{get("/svc/"), "400", "bad_request"},
	};

	for (const bad_request &bad : cases) {
		std::unique_ptr<Connection> c(open());

		c->send(bad.request);
		EXPECT_TRUE(c->wait_for("}}")) << bad.request << c->input;
		EXPECT_EQ(0u,
			  c->input.find(std::string("HTTP/1.1 ") + bad.status))
			<< bad.request << c->input;
		EXPECT_NE(std::string::npos,
			  c->input.find(std::string("\"code\":\"") + bad.code +
					"\""))
			<< c->input;
		EXPECT_NE(std::string::npos, c->input.find("\"run\":\"no\""));
	}
	EXPECT_EQ(0u, recorder.events.size());
}

/*
 * A caller keeps sending a body far over the limit. The node discards it and
 * closes the connection instead of reading for ever.
 */
TEST_F(HttpServer, CutsAnEndlessBody)
{
	std::unique_ptr<Connection> c(open());

	c->send("POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
		"Content-Length: 10000000\r\n\r\n" +
		std::string(4 * BODY_BYTES, 'x'));
	EXPECT_TRUE(c->wait_closed());
	EXPECT_EQ(0u, recorder.events.size());
}

/* Guards against a part of a request that is served as a whole one. */
TEST_F(HttpServer, ServesNoPartsOfRequests)
{
	const std::string line = "POST /svc/s/orders HTTP/1.1\r\n";
	const std::string fields = line + "Host: h\r\nX-Organisation: o\r\n";
	const std::string begun = fields + "Transfer-Encoding: chunked\r\n\r\n";
	const std::string cuts[] = {
		"PO",
		line,
		fields,
		fields + "Content-Le",
		fields + "Content-Length: 0",
		fields + "Content-Length: 0\r",
		fields + "Content-Length: 0\r\n",
		fields + "Content-Length: 4\r\n\r\nbod",
		"GET /svc/s/orders HTTP/1.1\r\nHost: h\r\n",
		begun,
		begun + "4\r\nbo",
		begun + "4\r\nbody\r\n",
		begun + "4\r\nbody\r\n0\r\n",
	};

	for (const std::string &text : cuts)
		for (int end = 0; end < 3; end++) {
			std::unique_ptr<Connection> caller(open());

			SCOPED_TRACE(text);
			SCOPED_TRACE(end);
			recorder.events.clear();
			caller->send(text);
			run_idle();
			if (end == 0)
				g_socket_shutdown(caller->socket, FALSE, TRUE,
						  nullptr);
			else if (end == 1)
				caller->close();
			else
				caller->reset();
			run_idle();
			caller->read();
			EXPECT_EQ(0u, recorder.count(EVENT_CALL));
			EXPECT_NE(0u, caller->input.find("HTTP/1.1 2"));
		}
}

/*
 * Many callers send large bodies at once and finish none. The node refuses
 * bodies above the limit on their total size, and releases the memory when the
 * callers disconnect.
 */
TEST_F(HttpServer, BoundsTheBodiesThatArriveTogether)
{
	const size_t body = 3 * 1024 * 1024;
	std::vector<std::unique_ptr<Connection>> callers;
	std::string half = "POST /svc/s/ HTTP/1.1\r\nHost: h\r\n"
			   "Content-Length: 8000000\r\n\r\n" +
			   std::string(body, 'x');

	start("", 100, 8000000);
	for (int i = 0; i < 30; i++) {
		callers.emplace_back(open());
		callers.back()->send(half);
	}
	EXPECT_TRUE(run_until([&] {
		for (auto &c : callers)
			c->read();
		return counters.value[COUNTER_REFUSED] > 0;
	}));
	callers.clear();
	run_idle();
	std::unique_ptr<Connection> c(open());
	c->send("POST /svc/s/ HTTP/1.1\r\nHost: h\r\nContent-Length: " +
		std::to_string(body) + "\r\n\r\n" + std::string(body, 'x'));
	EXPECT_TRUE(run_until([&] {
		c->read();
		return recorder.count(EVENT_CALL) == 1;
	}));
	EXPECT_EQ(body,
		  g_bytes_get_size(recorder.last(EVENT_CALL)->request->body));
}

TEST_F(HttpServer, RefusesConnectionsOverTheLimit)
{
	start("", 2);
	std::unique_ptr<Connection> a(open());
	std::unique_ptr<Connection> b(open());
	std::unique_ptr<Connection> c(open());

	c->send(get("/metrics"));
	EXPECT_TRUE(c->wait_for("too_many_connections"));
	EXPECT_TRUE(c->wait_closed());
	a->send(get("/metrics"));
	EXPECT_TRUE(a->wait_for("siskinlink_calls_total 0"));
	a->close();
	run_idle();
	std::unique_ptr<Connection> d(open());
	d->send(get("/metrics"));
	EXPECT_TRUE(d->wait_for("siskinlink_calls_total 0"));
}

/*
 * A caller stops reading its answer. When its unsent bytes exceed the limit,
 * the core receives one EVENT_CALL_FLOW, by which it would pause the engine's
 * stream. When the caller reads again, the core receives a second one, and
 * every byte arrives.
 */
TEST_F(HttpServer, TellsWhenACallerDoesNotRead)
{
	std::unique_ptr<Connection> c(open());
	std::string data(1000, 'd');
	uint64_t call;
	int chunks = 0;

	g_socket_set_option(c->socket, SOL_SOCKET, SO_RCVBUF, 4096, nullptr);
	c->send(post("/v1/completions", prompt));
	call = wait_call();
	begin(call);
	EXPECT_TRUE(run_until([&] {
		if (recorder.count(EVENT_CALL_FLOW) == 0) {
			chunk(call, "e", data);
			chunks++;
		}
		return recorder.count(EVENT_CALL_FLOW) > 0;
	}));
	EXPECT_TRUE(recorder.last(EVENT_CALL_FLOW)->flag);
	run_idle();
	EXPECT_EQ(1u, recorder.count(EVENT_CALL_FLOW));
	EXPECT_TRUE(run_until([&] {
		c->read();
		return recorder.count(EVENT_CALL_FLOW) == 2;
	}));
	EXPECT_FALSE(recorder.last(EVENT_CALL_FLOW)->flag);
	end(call, REFUSAL_NONE, chunks);
	EXPECT_TRUE(c->wait_for("data: [DONE]"));
	EXPECT_GT(c->input.size(), chunks * data.size());
}

/* A waiting caller disconnects; libsoup does not poll its socket then. */
TEST_F(HttpServer, NoticesACallerThatCloses)
{
	std::unique_ptr<Connection> waiting(open());
	std::unique_ptr<Connection> streaming(open());
	uint64_t call;

	waiting->send(post("/v1/completions", prompt));
	call = wait_call();
	waiting->close();
	EXPECT_TRUE(recorder.wait(EVENT_CALL_GONE));
	EXPECT_EQ(call, recorder.last(EVENT_CALL_GONE)->number);
	chunk(call, "late", "{}");
	EXPECT_EQ(1u, counters.value[COUNTER_EVENTS_UNKNOWN]);

	streaming->send(post("/v1/completions", prompt));
	call = wait_call(2);
	begin(call);
	chunk(call, "e1", "{}");
	EXPECT_TRUE(streaming->wait_for("id: e1"));
	streaming->reset();
	EXPECT_TRUE(recorder.wait(EVENT_CALL_GONE, 2));
	EXPECT_EQ(call, recorder.last(EVENT_CALL_GONE)->number);
	run_idle();
	EXPECT_EQ(2u, recorder.count(EVENT_CALL_GONE));
	EXPECT_EQ(0u, http_server_count_exchanges(server));
}

/*
 * Callers connect and disconnect, some of them before they are answered. Each
 * connection must be released, or the node would reach its connection limit and
 * refuse every caller.
 */
TEST_F(HttpServer, GivesEachConnectionBack)
{
	start("", 3);
	recorder.on_event = [&](const recorded &r) {
		if (r.type == EVENT_CALL && r.number % 2)
			answer(r.number, 200, "served");
	};
	for (size_t i = 1; i <= 20; i++) {
		std::unique_ptr<Connection> c(open());

		c->send(get("/svc/s/"));
		EXPECT_TRUE(recorder.wait(EVENT_CALL, i));
		if (i % 2) {
			EXPECT_TRUE(c->wait_for("served"));
			EXPECT_TRUE(c->wait_for("Connection: close\r\n"));
		}
		c->close();
		run_idle();
	}
	EXPECT_EQ(10u, recorder.count(EVENT_CALL_GONE));
	EXPECT_EQ(0u, http_server_count_exchanges(server));
}

/*
 * Guards against a process that ends while a body arrives: the request counts
 * from the end of its head on, until it is answered or its caller is gone.
 */
TEST_F(HttpServer, CountsRequestsThatArrive)
{
	static const char head[] = "POST /v1/plans HTTP/1.1\r\nHost: "
				   "h\r\nContent-Length: 4\r\n\r\n";

	start("", 8);
	std::unique_ptr<Connection> whole(open()), gone(open());
	whole->send(head);
	gone->send(head);
	run_until([&] { return http_server_count_exchanges(server) == 2; });
	EXPECT_EQ(2u, http_server_count_exchanges(server));
	whole->send("abcd");
	EXPECT_TRUE(whole->wait_for("HTTP/1.1 "));
	gone->close();
	run_until([&] { return http_server_count_exchanges(server) == 0; });
	EXPECT_EQ(0u, http_server_count_exchanges(server));
}

TEST_F(HttpServer, AsksOperatorsForTheirKey)
{
	const std::string key = "Authorization: Bearer secret\r\n";
	const std::string name = "X-Operator: ann\r\n";
	const struct {
		std::string request;
		const char *answer;
	} refused[] = {
		{get("/admin/v1/dump"), "HTTP/1.1 401"},
		{get("/admin/v1/dump", "Authorization: Bearer secre\r\n"),
		 "the operator key is wrong"},
		{post("/admin/v1/plans", "{}", key),
		 "X-Operator must name the operator"},
	};

	for (const auto &call : refused) {
		std::unique_ptr<Connection> c(open());

		c->send(call.request);
		EXPECT_TRUE(c->wait_for(call.answer)) << c->input;
	}
	EXPECT_EQ(0u, recorder.events.size());
	std::unique_ptr<Connection> planner(open());
	planner->send(post("/admin/v1/plans", "{}", key + name));
	EXPECT_TRUE(recorder.wait(EVENT_QUERY));
	EXPECT_EQ(QUERY_PLAN, recorder.events[0].query);
	EXPECT_EQ("ann", recorder.events[0].name);
	EXPECT_EQ("{}", recorder.events[0].text);
	answer(recorder.events[0].number, 200, "plan p1");
	EXPECT_TRUE(planner->wait_for("plan p1"));
	std::unique_ptr<Connection> confirmer(open());
	confirmer->send(post("/admin/v1/plans/p1/confirm", "", key + name));
	EXPECT_TRUE(recorder.wait(EVENT_QUERY, 2));
	EXPECT_EQ(QUERY_CONFIRM, recorder.events[1].query);
	EXPECT_EQ("p1", recorder.events[1].text);
}

/*
 * An operator confirms a plan whose id contains colons, which the client
 * escapes in the path. Without unescaping, the id would match no plan.
 */
TEST_F(HttpServer, ReadsAnEscapedPlanId)
{
	start("operator-key", 10);
	std::unique_ptr<Connection> c(open());

	c->send(post("/admin/v1/plans/entry-1%3A7%3A0/confirm", "",
		     "Authorization: Bearer operator-key\r\n"
		     "X-Operator: ann\r\n"));
	EXPECT_TRUE(recorder.wait(EVENT_QUERY));
	EXPECT_EQ("entry-1:7:0", recorder.events[0].text);
}

/*
 * An operator asks for the endpoints of a service whose name the client escapes
 * in the query string, or names none. Without unescaping, the name would match
 * no service.
 */
TEST_F(HttpServer, ReadsTheServiceWhoseEndpointsAreAskedFor)
{
	static const struct {
		const char *path;
		const char *service;
	} calls[] = {
		{"/admin/v1/endpoints", ""},
		{"/admin/v1/endpoints?service=", ""},
		{"/admin/v1/endpoints?service=a%26b%20c", "a&b c"},
		{"/admin/v1/endpoints?other=x", ""},
	};
	size_t count = 0;

	start("operator-key", 10);
	for (const auto &call : calls) {
		std::unique_ptr<Connection> c(open());

		c->send(get(call.path,
			    "Authorization: Bearer operator-key\r\n"));
		ASSERT_TRUE(recorder.wait(EVENT_QUERY, ++count));
		EXPECT_EQ(QUERY_ENDPOINTS, recorder.events[count - 1].query);
		EXPECT_EQ(call.service, recorder.events[count - 1].text);
		answer(recorder.events[count - 1].number, 200, "listed");
		EXPECT_TRUE(c->wait_for("listed"));
	}
	std::unique_ptr<Connection> stranger(open());
	stranger->send(get("/admin/v1/endpoints"));
	EXPECT_TRUE(stranger->wait_for("HTTP/1.1 401"));
}

TEST_F(HttpServer, TakesNoOperatorsWithoutAKey)
{
	start("", 10);
	std::unique_ptr<Connection> c(open());

	c->send(get("/admin/v1/dump", "Authorization: Bearer \r\n"));
	EXPECT_TRUE(c->wait_for("HTTP/1.1 403"));
	EXPECT_TRUE(c->wait_for("forbidden"));
	EXPECT_EQ(0u, recorder.events.size());
}

/*
 * A caller opens a connection and sends nothing. The node closes it after the
 * idle timeout; otherwise such callers could occupy all connections for ever.
 */
TEST(HttpListener, ClosesConnectionsThatBringNoCall)
{
	struct http_listener_options options = {};
	struct http_listener *listener;
	std::vector<GSocketConnection *> accepted;
	struct error error;

	options.address = "127.0.0.1:0";
	options.max_connections = 2;
	options.idle_timeout_ms = 40;
	options.data = &accepted;
	options.accept = [](void *data, GSocketConnection *connection,
			    GSocketAddress *, GSocketAddress *) {
		((std::vector<GSocketConnection *> *)data)
			->push_back(
				(GSocketConnection *)g_object_ref(connection));
	};
	listener = http_listener_create(&options, &error);
	ASSERT_NE(nullptr, listener) << error.detail;
	std::unique_ptr<Connection> silent(
		Connection::open(http_listener_address(listener)));
	EXPECT_TRUE(silent->wait_closed());
	ASSERT_EQ(1u, accepted.size());
	g_object_unref(accepted[0]);
	std::unique_ptr<Connection> next(
		Connection::open(http_listener_address(listener)));
	EXPECT_TRUE(run_until([&] { return accepted.size() == 2; }));
	g_object_unref(accepted[1]);
	http_listener_destroy(listener);
}
