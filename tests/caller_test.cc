#include "adapters/gateway/caller.h"
#include "adapters/gateway/gateway.h"
#include "adapters/gateway/listener.h"
#include "tests/loopback.h"

#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

/* Connections of callers whose requests are answered at once with 200. */
class Callers : public testing::Test
{
      protected:
	static void on_request(void *data, struct caller *caller,
			       struct http_head *head, GByteArray *body)
	{
		Callers *test = (Callers *)data;
		bool is_long = strcmp(head->target, "/long") == 0;
		bool aborts = strcmp(head->target, "/abort") == 0;
		bool is_large = strcmp(head->target, "/large") == 0;

		test->begun_count++;
		http_head_destroy(head);
		g_byte_array_unref(body);
		if (is_long) {
			test->begun = caller;
			test->all_begun.push_back(caller);
			caller_attach_request(caller, test);
			caller_send(caller, LONG_HEAD, strlen(LONG_HEAD));
			return;
		}
		if (aborts) {
			for (struct caller *each : test->all_begun)
				caller_abort(each);
			test->all_begun.clear();
		}
		if (is_large) {
			std::string body(32 << 20, 'x');

			caller_answer(caller, 200, nullptr, body.data(),
				      body.size());
			return;
		}
		caller_answer(caller, caller_is_excess(caller) ? 503 : 200,
			      nullptr, "", 0);
	}

	static void on_gone(void *data, void *request, const char *detail)
	{
		(void)request;
		((Callers *)data)->ended += std::string("gone: ") + detail;
	}

	static void on_unread(void *data, size_t bytes, const char *detail)
	{
		((Callers *)data)->unread_bytes = bytes;
		((Callers *)data)->ended += std::string("unread: ") + detail;
	}

	void SetUp() override
	{
		struct caller_handler handler = {};
		struct error error;

		handler.request = on_request;
		handler.gone = on_gone;
		handler.unread = on_unread;
		handler.data = this;
		set = caller_set_create(&handler, max_callers);
		address = Listener().address();
		listener = listener_create(address.c_str(), set, &error);
		ASSERT_NE(nullptr, listener) << error.detail;
		Apply(1024, 15000);
	}

	void TearDown() override
	{
		listener_destroy(listener);
		caller_set_destroy(set);
	}

	void Apply(int64_t header_bytes, int64_t idle_ms)
	{
		const struct caller_limits limits = {
			.header_bytes = header_bytes,
			.body_bytes = 1000,
			.header_timeout_us = 800000,
			.idle_timeout_us = idle_ms * 1000,
		};

		caller_set_apply_limits(set, &limits);
	}

	/* Time passes for the connections; it is what they were told last. */
	void StepTo(int64_t ms)
	{
		run_idle();
		caller_set_step(set, start_us + ms * 1000);
		run_idle();
	}

	/* Sends a request and returns what comes until its answer is there. */
	std::string Ask(Connection *caller, const std::string &field = "")
	{
		caller->input.clear();
		caller->send("GET /a HTTP/1.1\r\nHost: h\r\n" + field + "\r\n");
		caller->wait_for("\r\n\r\n");
		return caller->input.substr(0, 12);
	}

	static constexpr const char *LONG_HEAD =
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

	size_t max_callers = 10;
	struct caller *begun = nullptr; /* whose answer has only a head yet */
	std::vector<struct caller *> all_begun; /* all of them */
	int begun_count = 0;	 /* requests that the handler got */
	std::string ended;	 /* what was told of ends of connections */
	size_t unread_bytes = 0; /* of an answer that had ended */
	struct caller_set *set = nullptr;
	struct listener *listener = nullptr;
	std::string address;
	int64_t start_us = gateway_now_us();
};

class ManyCallers : public Callers
{
      protected:
	ManyCallers()
	{
		max_callers = 100;
	}
};

static const char OK[] = "HTTP/1.1 200";
static const char HALF_BODY[] =
	"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab";

/*
 * Guards against connections that close under a lower idle limit which came
 * after their last answer: their callers may use them for the longer time.
 */
TEST_F(Callers, KeepAnIdleConnectionAsLongAsWasPromised)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	EXPECT_EQ(OK, Ask(caller.get()));
	Apply(1024, 250);
	StepTo(14900);
	caller->read();
	EXPECT_FALSE(caller->closed);
	EXPECT_EQ(OK, Ask(caller.get()));
	StepTo(15100);
	caller->read();
	EXPECT_FALSE(caller->closed);
	StepTo(15300);
	EXPECT_TRUE(caller->wait_closed());
}

/*
 * Guards against connections that close before their limit, as the last answer
 * ended later than the last step.
 */
TEST_F(Callers, KeepAnIdleConnectionUpToItsLimit)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	EXPECT_EQ(OK, Ask(caller.get())); /* 25 ms later, at the next step */
	StepTo(15024);
	caller->read();
	EXPECT_FALSE(caller->closed);
	StepTo(15051);
	EXPECT_TRUE(caller->wait_closed());
}

/* A higher idle limit holds at once, also for connections that idle already. */
TEST_F(Callers, KeepAnIdleConnectionForAHigherLimit)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	EXPECT_EQ(OK, Ask(caller.get()));
	Apply(1024, 30000);
	StepTo(29000);
	caller->read();
	EXPECT_FALSE(caller->closed);
	StepTo(30100);
	EXPECT_TRUE(caller->wait_closed());
}

/*
 * Guards against heads that are refused on a kept connection by the limit that
 * held when it was opened, though a higher one is in force.
 */
TEST_F(Callers, TakeLongerHeadsOnKeptConnections)
{
	std::unique_ptr<Connection> caller(Connection::open(address));
	std::string longer = "Long: " + std::string(2000, 'x') + "\r\n";

	StepTo(0);
	EXPECT_EQ(OK, Ask(caller.get()));
	Apply(4096, 15000);
	EXPECT_EQ(OK, Ask(caller.get(), longer));
	Apply(1024, 15000);
	EXPECT_EQ(OK, Ask(caller.get(), longer));
	EXPECT_EQ("HTTP/1.1 431", Ask(caller.get(), longer));
}

/*
 * Guards against connections that are closed without a word when too many are
 * open: a request that is sent on one gets an answer.
 */
TEST_F(Callers, AnswerOnConnectionsThatAreTooMany)
{
	std::vector<std::unique_ptr<Connection>> open;

	for (int i = 0; i < 10; i++) {
		open.emplace_back(Connection::open(address));
		EXPECT_EQ(OK, Ask(open.back().get()));
	}
	std::unique_ptr<Connection> excess(Connection::open(address));
	EXPECT_EQ("HTTP/1.1 503", Ask(excess.get()));
	EXPECT_NE(std::string::npos, excess->input.find("Connection: close"));
	EXPECT_TRUE(excess->wait_closed());
	EXPECT_EQ(OK, Ask(open[0].get()));
}

/*
 * Guards against a request that is dropped unread because the process was late:
 * it came before the idle limit, and the limit was weighed before it was read.
 */
TEST_F(Callers, ReadWhatCameBeforeTheIdleLimit)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	EXPECT_EQ(OK, Ask(caller.get()));
	caller->input.clear();
	caller->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	caller_set_step(set, start_us + 15100 * 1000);
	caller->wait_for("\r\n\r\n");
	EXPECT_EQ(OK, caller->input.substr(0, 12));
}

/*
 * Guards against a request that is refused as too slow because the process was
 * late: its rest came in time, and the limit was weighed before it was read.
 */
TEST_F(Callers, ReadWhatCameBeforeTheHeaderLimit)
{
	for (const char *first : {"POST /a HT", HALF_BODY}) {
		const char *whole = "POST /a HTTP/1.1\r\nHost: h\r\n"
				    "Content-Length: 4\r\n\r\nabcd";
		std::unique_ptr<Connection> caller(Connection::open(address));

		StepTo(0);
		caller->send(first);
		StepTo(10);
		caller->send(whole + strlen(first));
		caller_set_step(set, start_us + 900 * 1000);
		ASSERT_TRUE(caller->wait_for("\r\n\r\n")) << first;
		EXPECT_EQ(OK, caller->input.substr(0, 12)) << first;
	}
}

/* Guards against a late process that waits for a rest that never comes. */
TEST_F(Callers, RefuseWhatIsSlowOnceItIsRead)
{
	for (const char *first : {"POST /a HT", HALF_BODY}) {
		std::unique_ptr<Connection> caller(Connection::open(address));

		StepTo(0);
		caller->send(first);
		caller_set_step(set, start_us + 10 * 1000);
		run_idle();
		caller_set_step(set, start_us + 900 * 1000);
		ASSERT_TRUE(caller->wait_for("\r\n\r\n")) << first;
		EXPECT_EQ("HTTP/1.1 408", caller->input.substr(0, 12)) << first;
	}
}

/* Guards against a head that comes byte by byte and is waited for. */
TEST_F(Callers, RefuseASlowHeadOfWhichBytesWaitAtEachStep)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	caller->send("POST /a");
	StepTo(10);
	for (int i = 0; i < 10; i++) {
		caller->send("a");
		caller_set_step(set, start_us + (900 + i * 25) * 1000);
		run_idle();
	}
	caller->read();
	EXPECT_EQ("HTTP/1.1 408", caller->input.substr(0, 12));
}

/*
 * Guards against a crash as a request that a step reads ends the answers of
 * others, which the step has yet to look at. A step looks at connections in the
 * order of their addresses in memory: only where all answers came before all
 * requests, one case in 2.7 million, would it pass by luck.
 */
TEST_F(ManyCallers, StepOverConnectionsThatARequestOfThisStepEnds)
{
	constexpr size_t count = 12;
	std::vector<std::unique_ptr<Connection>> others;
	std::vector<std::unique_ptr<Connection>> callers;

	StepTo(0);
	for (size_t i = 0; i < count; i++) {
		others.emplace_back(Connection::open(address));
		others.back()->send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
		callers.emplace_back(Connection::open(address));
		callers.back()->send("GET /abort HTTP/1.1\r\n");
	}
	StepTo(10);
	ASSERT_EQ(count, all_begun.size());
	for (auto &caller : callers)
		caller->send("Host: h\r\n\r\n");
	EXPECT_EXIT(
		{
			caller_set_step(set, start_us + 900 * 1000);
			_exit((int)all_begun.size());
		},
		testing::ExitedWithCode(0), "");
	for (auto &caller : callers) {
		ASSERT_TRUE(caller->wait_for("\r\n\r\n"));
		EXPECT_EQ(OK, caller->input.substr(0, 12));
	}
}

/* Guards against a 408 at the end of a drain for a request that is whole. */
TEST_F(Callers, ReadWhatCameBeforeArrivingRequestsAreRefused)
{
	std::unique_ptr<Connection> caller(Connection::open(address));
	std::unique_ptr<Connection> part(Connection::open(address));

	StepTo(0);
	caller->send(HALF_BODY);
	part->send(HALF_BODY);
	StepTo(10);
	caller->send("cd");
	part->send("c");
	caller_set_refuse_arriving(set);
	ASSERT_TRUE(caller->wait_for("\r\n\r\n"));
	EXPECT_EQ(OK, caller->input.substr(0, 12));
	ASSERT_TRUE(part->wait_for("\r\n\r\n"));
	EXPECT_EQ("HTTP/1.1 408", part->input.substr(0, 12));
}

/*
 * Guards against an answer that counts as whole although its end was never
 * read, and against an end that can't be told from a close by the caller.
 */
TEST_F(Callers, SayHowTheirConnectionEnded)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	caller->send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(caller->wait_for("\r\n\r\n"));
	caller->close();
	EXPECT_TRUE(run_until([&] { return !ended.empty(); }));
	EXPECT_EQ("gone: closed", ended);

	ended.clear();
	caller.reset(Connection::open(address));
	caller->send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
	run_idle();
	caller->reset();
	EXPECT_TRUE(run_until([&] { return !ended.empty(); }));
	EXPECT_EQ("unread: Connection reset by peer", ended);
	EXPECT_LT(10u << 20, unread_bytes);
}

/*
 * Guards against a connection that is kept, or sends on, without a bound for a
 * caller that reads nothing. One that reads slowly makes progress and is kept,
 * longer than an idle one would be.
 */
TEST_F(Callers, GiveUpACallerThatReadsNothing)
{
	std::unique_ptr<Connection> caller(Connection::open(address));
	static char bytes[1 << 20];
	int64_t ms = 0;

	StepTo(0);
	caller->send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
	for (; ms <= 60000; ms += 10000) {
		StepTo(ms);
		EXPECT_LT(0, g_socket_receive(caller->socket, bytes,
					      sizeof(bytes), nullptr, nullptr))
			<< ms;
	}
	for (; ms <= 90000; ms += 5000)
		StepTo(ms);
	EXPECT_EQ("", ended);
	/* A window that opened may be used some steps later. */
	for (; ms < 200000 && ended.empty(); ms += 5000)
		StepTo(ms);
	EXPECT_EQ("unread: not read", ended);
	EXPECT_LT(1u << 20, unread_bytes);
	EXPECT_TRUE(caller->wait_closed());
	EXPECT_GT(32u << 20, caller->input.size());
}

/*
 * Guards against memory for the answers to requests that a caller sends without
 * reading: a request is begun when the answers before it are almost sent.
 */
TEST_F(Callers, BeginNoRequestBehindUnreadAnswers)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	caller->send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
		     "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
		     "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	StepTo(1000);
	EXPECT_EQ(1, begun_count);
	ASSERT_TRUE(run_until([&] {
		caller->read();
		return caller->input.size() > 64u << 20;
	}));
	ASSERT_TRUE(run_until([&] {
		caller->read();
		return begun_count == 3;
	}));
	EXPECT_EQ("", ended);
}

/* Guards against a drain that closes on a request behind unread answers. */
TEST_F(Callers, AnswerRequestsBehindUnreadAnswersWhenADrainEnds)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	caller->send("GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
		     "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	StepTo(1000);
	caller_set_drain(set);
	caller_set_close_idle(set);
	EXPECT_EQ(1u, caller_set_arriving_count(set));
	caller_set_refuse_arriving(set);
	EXPECT_TRUE(caller->wait_closed());
	EXPECT_EQ(1, begun_count);
	EXPECT_NE(std::string::npos, caller->input.find("HTTP/1.1 408"));
}

/* Guards against an answer that is lost without a trace where its connection
 * was to close after it, as all do while a node drains. */
TEST_F(Callers, SayThatALastAnswerWasNotRead)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	caller->send("GET /large HTTP/1.1\r\nHost: h\r\n"
		     "Connection: close\r\n\r\n");
	run_idle();
	caller->reset();
	StepTo(100);
	EXPECT_EQ("unread: Connection reset by peer", ended);
	EXPECT_LT(10u << 20, unread_bytes);
}

/* Guards against a request that is dropped unread when a drain closes. */
TEST_F(Callers, ReadWhatCameBeforeADrainClosesIdleConnections)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	EXPECT_EQ(OK, Ask(caller.get()));
	caller_set_drain(set);
	caller->input.clear();
	caller->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	caller_set_close_idle(set);
	caller->wait_for("\r\n\r\n");
	EXPECT_EQ(OK, caller->input.substr(0, 12));
}

/*
 * Guards against a connection that a drain closes after an answer whose head
 * said nothing of it: the caller's next request would get no answer.
 */
TEST_F(Callers, SayThatTheyCloseBeforeADrainCloses)
{
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	caller->send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n");
	ASSERT_TRUE(caller->wait_for("\r\n\r\n"));
	ASSERT_NE(nullptr, begun);
	caller_set_drain(set);
	caller_send(begun, "text", 4);
	caller_end_answer(begun, false);
	ASSERT_TRUE(caller->wait_for("text"));
	caller->input.clear();
	caller->send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
	caller->wait_for("\r\n\r\n");
	EXPECT_EQ(OK, caller->input.substr(0, 12));
	EXPECT_NE(std::string::npos, caller->input.find("Connection: close"));
}

/*
 * Guards against a drain that ends while a request arrives: it is counted from
 * its first byte on, read or not, and gets an answer though it is not whole.
 */
TEST_F(Callers, CountAndAnswerWhatArrives)
{
	std::unique_ptr<Connection> kept(Connection::open(address));
	std::unique_ptr<Connection> caller(Connection::open(address));

	StepTo(0);
	EXPECT_EQ(OK, Ask(kept.get()));
	EXPECT_EQ(OK, Ask(caller.get()));
	EXPECT_EQ(0u, caller_set_arriving_count(set));
	caller->input.clear();
	caller->send("GET /a HTTP/1.1\r\n");
	EXPECT_EQ(1u, caller_set_arriving_count(set));
	run_idle();
	EXPECT_EQ(1u, caller_set_arriving_count(set));
	caller_set_refuse_arriving(set);
	EXPECT_EQ(0u, caller_set_arriving_count(set));
	EXPECT_TRUE(caller->wait_for("\r\n\r\n"));
	EXPECT_EQ("HTTP/1.1 408", caller->input.substr(0, 12));
	EXPECT_TRUE(caller->wait_closed());
	EXPECT_EQ(OK, Ask(kept.get()));
}
