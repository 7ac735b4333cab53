#include "adapters/gateway/exchange_state.h"
#include "platform/platform.h"
#include "tests/gateway_pair.h"

#include <cstdlib>
#include <sstream>

/*
 * One engine that runs one request at a time, at a service with mixed urgency.
 * One of the nodes is its home; in a single node's queue the same happens.
 */
class GatewayWaiting : public GatewayPair
{
      protected:
	PairEndpoint one{"i-1"}, two{"i-2"};
	size_t home = 0, other = 0;
	std::map<std::string, std::unique_ptr<Connection>> callers;

	void Apply(size_t node, int64_t revision, bool is_mixed,
		   const std::string &key = "", const char *service = "engines")
	{
		struct config *config = config_create();
		GBytes *document = g_bytes_new(nullptr, 0);
		struct config_service *engines =
			config_add_service(config, service, SERVICE_GENERATION);
		struct route_table *table;

		engines->engine.slots = 1;
		for (const char *name : {"report", "query"}) {
			bool is_report = strcmp(name, "report") == 0;
			std::string path = std::string("/") + name + "/";
			struct route *route = config_add_route(
				config, name, "h", path.c_str());

			route->kind = ROUTE_STREAM;
			route->is_public = key.empty();
			route->max_attempts = 1;
			route->timeout_us = 2500000;
			route->priority = is_report ? 2 : 0;
			route->first_answer_us =
				is_report && is_mixed ? 2400000 : 1200000;
			route_add_target(route, service, 1);
		}
		config->requires_keys = !key.empty();
		if (!key.empty() && key != "revoked")
			config_organisation_add_key(
				config_add_organisation(config, "atlas"),
				key.c_str());
		config->revision = revision;
		table = route_table_create(config);
		gateway_apply_table(nodes[node]->gateway, table, document,
				    "store");
		route_table_unref(table);
		config_unref(config);
		g_bytes_unref(document);
	}

	void Prepare(size_t count, bool is_mixed = true,
		     const std::string &key = "")
	{
		home_from_nodes = 2;
		one.events = two.events = 2;
		one.silence_ms = two.silence_ms = 300;
		Create(count);
		for (size_t i = 0; i < count; i++) {
			Apply(i, 2, is_mixed, key);
			Register(i, "engines", {{one.id, one.address}});
		}
		FindHome();
	}

	void FindHome()
	{
		for (size_t i = 0; i < nodes.size(); i++)
			if (!gateway_find_home(nodes[i]->gateway, "engines"))
				home = i;
		other = (home + 1) % nodes.size();
	}

	void Send(size_t node, const std::string &path, const std::string &id,
		  const std::string &fields = "", int deadline_ms = 2500)
	{
		callers[id].reset(Connection::open(nodes[node]->address));
		callers[id]->send(
			"POST " + path +
			" HTTP/1.1\r\nHost: h\r\nX-Siskinlink-Request-Id: " +
			id + "\r\nX-Siskinlink-Deadline-Ms: " +
			std::to_string(deadline_ms) + "\r\n" + fields +
			"Connection: close\r\nContent-Length: 4\r\n\r\nbody");
	}

	int Status(const std::string &id)
	{
		callers[id]->wait_closed();
		return callers[id]->input.size() > 12
			       ? std::stoi(callers[id]->input.substr(9, 3))
			       : 0;
	}

	double RetryAfter(const std::string &id)
	{
		size_t at = callers[id]->input.find("Retry-After: ");

		return at == std::string::npos
			       ? -1
			       : std::stod(callers[id]->input.substr(at + 13));
	}

	uint64_t Count(size_t node, enum counter counter)
	{
		return nodes[node]->counters.value[counter];
	}

	uint64_t WaitingNow(size_t node)
	{
		return Count(node, COUNTER_GATEWAY_WAITS) -
		       Count(node, COUNTER_GATEWAY_WAITS_OVER);
	}

	/* The engine is busy with a request of the home; another one waits. */
	void LetWait(size_t node, const std::string &path,
		     const std::string &id, const std::string &fields = "",
		     int deadline_ms = 2500)
	{
		Send(home, "/query/a", "busy", fields);
		ASSERT_TRUE(run_until([&] { return !one.late.empty(); }));
		Send(node, path, id, fields, deadline_ms);
		ASSERT_TRUE(run_until([&] {
			return WaitingNow(node) == 1 &&
			       gateway_waiting_count(nodes[home]->gateway) == 1;
		}));
	}
};

/* Guards against a request that is refused although it could have waited. */
TEST_F(GatewayWaiting, IsGrantedWhatBecomesFree)
{
	Prepare(2);
	for (size_t node : {home, other}) {
		std::string id = "w-" + std::to_string(node);

		LetWait(node, "/query/a", id);
		EXPECT_EQ(200, Status(id));
		EXPECT_EQ(200, Status("busy"));
		EXPECT_EQ(1, one.runs[id]);
		EXPECT_EQ(1u, Count(node, COUNTER_GATEWAY_WAITS_GRANTED));
		EXPECT_EQ(0u, WaitingNow(node));
		EXPECT_GT(nodes[node]
				  ->counters.latency[LATENCY_WAIT_URGENT]
				  .sum_us,
			  100000u);
	}
	EXPECT_EQ(0u, gateway_waiting_count(nodes[home]->gateway));
}

/* Guards against a node without a home that refuses what could have waited. */
TEST_F(GatewayWaiting, ANodeWithoutAHomeHasItsOwnQueue)
{
	Prepare(1);
	LetWait(0, "/report/a", "large");
	Send(0, "/query/a", "urgent");
	EXPECT_EQ(200, Status("urgent"));
	EXPECT_EQ(0, one.runs["large"]);
	EXPECT_EQ(200, Status("large"));
	EXPECT_EQ(2u, Count(0, COUNTER_GATEWAY_WAITS_GRANTED));
}

/* Guards against a grant that is not counted until its node announces it. */
TEST_F(GatewayWaiting, AGrantCountsAtOnce)
{
	Prepare(2);
	LetWait(other, "/query/a", "first");
	Send(other, "/query/a", "second");
	ASSERT_TRUE(run_until([&] { return WaitingNow(other) == 2; }));
	EXPECT_EQ(200, Status("first"));
	EXPECT_EQ(200, Status("second"));
	EXPECT_EQ(200, Status("busy"));
	EXPECT_EQ(3u, one.runs.size());
	EXPECT_GT(nodes[other]->counters.latency[LATENCY_WAIT_URGENT].sum_us,
		  700000u)
		<< "both ran at the same time";
}

/*
 * Guards against a report that is sent to an engine at which its first event
 * would be late: it waits until prompts there have been read.
 */
TEST_F(GatewayWaiting, WaitsWhilePromptsAreRead)
{
	Prepare(2);
	for (size_t node : {home, other}) {
		std::string id = "w-" + std::to_string(node);
		struct endpoint *engine =
			registry_find(nodes[home]->gateway->registry, "i-1");

		engine->others.unread_tokens = 20000;
		Send(node, "/report/a", id);
		ASSERT_TRUE(run_until([&] { return WaitingNow(node) == 1; }));
		engine->others.unread_tokens = 0;
		EXPECT_EQ(200, Status(id));
		EXPECT_EQ(1, one.runs[id]);
	}
}

/* Guards against an urgent request behind one that waits for prompts. */
TEST_F(GatewayWaiting, ItsPromptsHoldNoOther)
{
	Prepare(1);
	registry_find(nodes[0]->gateway->registry, "i-1")
		->others.unread_tokens = 20000;
	Send(0, "/report/a", "large");
	ASSERT_TRUE(run_until([&] { return WaitingNow(0) == 1; }));
	Send(0, "/query/a", "urgent");
	EXPECT_EQ(200, Status("urgent"));
	EXPECT_EQ(1u, WaitingNow(0));
	EXPECT_EQ(503, Status("large")) << "at its latest start";
	EXPECT_EQ(0, one.runs["large"]);
}

/* Guards against a request that waits its whole time anew at each node that it
 * is passed on to. */
TEST_F(GatewayWaiting, ARelayedOneHasWaitedBefore)
{
	int64_t begun_us;

	Prepare(2);
	one.silence_ms = 2000;
	Send(home, "/query/a", "busy");
	ASSERT_TRUE(run_until([&] { return !one.late.empty(); }));
	begun_us = g_get_monotonic_time();
	Send(home, "/query/a", "relayed",
	     "Relayed-By: " + nodes[other]->name +
		     "\r\nRelayed-Age-Ms: 900\r\n");
	EXPECT_EQ(503, Status("relayed"));
	EXPECT_LT(g_get_monotonic_time() - begun_us, 600000);
	EXPECT_EQ(0, one.runs["relayed"]);
}

/* Guards against operators who can't see what waits. */
TEST_F(GatewayWaiting, ListsWhatWaits)
{
	struct event_query query = {};
	std::string texts[2];

	Prepare(2);
	LetWait(other, "/report/a", "large");
	query.type = QUERY_WAITING;
	for (size_t node : {home, other}) {
		struct action_list *actions = action_list_create();

		gateway_answer_query(nodes[node]->gateway, &query, actions);
		gsize size;
		const char *text = (const char *)g_bytes_get_data(
			action_list_get(actions, 0)->answer.body, &size);
		texts[node].assign(text, size);
		action_list_destroy(actions);
	}
	EXPECT_NE(std::string::npos, texts[home].find("\"waiting\":1"));
	EXPECT_NE(std::string::npos, texts[home].find("\"rank\":2"));
	EXPECT_NE(std::string::npos,
		  texts[home].find("\"node\":\"" + nodes[other]->name + "\""));
	EXPECT_NE(std::string::npos,
		  texts[other].find("\"at_home\":[{\"id\":\"large\","
				    "\"home\":\"" +
				    nodes[home]->name + "\""))
		<< texts[other];
	EXPECT_EQ(200, Status("large"));
}

/* Guards against an urgent request behind one that can wait. */
TEST_F(GatewayWaiting, TheUrgentOneGoesFirst)
{
	Prepare(2);
	LetWait(other, "/report/a", "large");
	Send(home, "/query/a", "urgent");
	EXPECT_EQ(200, Status("urgent"));
	EXPECT_EQ(0, one.runs["large"]);
	EXPECT_EQ(200, Status("large"));
}

/* Guards against callers who wait for an answer that can't be in time. */
TEST_F(GatewayWaiting, IsRefusedAtOnceIfItIsTooLate)
{
	Prepare(2);
	Send(home, "/query/a", "busy");
	ASSERT_TRUE(run_until([&] { return !one.late.empty(); }));
	for (size_t node : {home, other}) {
		std::string id = "w-" + std::to_string(node);
		int64_t begun_us = g_get_monotonic_time();

		Send(node, "/query/a", id,
		     "X-Siskinlink-Token-Count: 9000,10\r\n");
		EXPECT_EQ(503, Status(id));
		EXPECT_GT(RetryAfter(id), 0);
		EXPECT_LT(g_get_monotonic_time() - begun_us, 200000);
		EXPECT_EQ(0, one.runs[id]);
		EXPECT_EQ(1u, Count(node, COUNTER_GATEWAY_NOT_IN_TIME));
	}
}

class GatewayWaitingLog : public GatewayWaiting
{
      protected:
	static void SetUpTestSuite()
	{
		setenv("PAIR_LOG", "1", 1);
	}

	static void TearDownTestSuite()
	{
		unsetenv("PAIR_LOG");
	}

	/* Returns the lines of one event, without the time. */
	static std::vector<std::string> Lines(const std::string &log,
					      const std::string &event)
	{
		std::vector<std::string> lines;
		std::istringstream text(log);

		for (std::string line; std::getline(text, line);) {
			size_t at = line.find("event=" + event + " ");

			if (at != std::string::npos)
				lines.push_back(line.substr(at));
		}
		return lines;
	}

	static std::string Field(const std::string &line,
				 const std::string &name)
	{
		size_t at = line.find(" " + name + "=");

		if (at == std::string::npos)
			return "";
		at += name.size() + 2;
		return line.substr(at, line.find(' ', at) - at);
	}
};

/*
 * Guards against an operator who finds out that a request waited or was refused
 * elsewhere, and can't find out why.
 */
TEST_F(GatewayWaitingLog, LeadsFromTheRequestToTheDecision)
{
	std::vector<std::string> asked, decided;
	std::string log;

	testing::internal::CaptureStdout();
	Prepare(2);
	LetWait(other, "/query/a", "w-1");
	Send(other, "/query/a", "w-2", "X-Siskinlink-Token-Count: 9000,10\r\n");
	EXPECT_EQ(503, Status("w-2"));
	EXPECT_EQ(200, Status("w-1"));
	log = testing::internal::GetCapturedStdout();
	asked = Lines(log, "request_waits");
	decided = Lines(log, "wait_decided");
	ASSERT_EQ(2u, asked.size()) << log;
	ASSERT_EQ(2u, decided.size()) << log;
	for (size_t i = 0; i < 2; i++) {
		EXPECT_NE("", Field(asked[i], "number"));
		EXPECT_EQ(Field(asked[i], "number"),
			  Field(decided[i], "number"));
	}
	EXPECT_EQ("w-1", Field(asked[0], "request"));
	EXPECT_EQ("waits", Field(decided[0], "result"));
	EXPECT_EQ("refused", Field(decided[1], "result"));
	EXPECT_EQ("-1", Field(decided[1], "forecast_ms")) << "not known yet";
	EXPECT_EQ("1", Field(decided[1], "waiting"));
	EXPECT_LT(std::stoi(Field(decided[1], "start_within_ms")), 0);
}

/* Guards against a request that is held until its answer is late anyway. */
TEST_F(GatewayWaiting, IsRefusedAtItsLatestStart)
{
	Prepare(2);
	one.silence_ms = 1500;
	LetWait(home, "/query/a", "here");
	Send(other, "/query/a", "there");
	EXPECT_EQ(503, Status("here"));
	EXPECT_EQ(503, Status("there"));
	EXPECT_GT(RetryAfter("here"), 0);
	EXPECT_GT(RetryAfter("there"), 0);
	EXPECT_EQ(200, Status("busy"));
	EXPECT_EQ(1u, one.runs.size());
	EXPECT_EQ(0u, gateway_waiting_count(nodes[home]->gateway));
}

/* Guards against capacity that goes to callers who have left. */
TEST_F(GatewayWaiting, ACallerThatLeavesIsForgotten)
{
	Prepare(2);
	one.silence_ms = 500;
	LetWait(home, "/query/a", "here");
	Send(other, "/query/a", "there");
	ASSERT_TRUE(run_until([&] {
		return gateway_waiting_count(nodes[home]->gateway) == 2;
	}));
	callers["here"]->close();
	callers["there"]->close();
	Wait(100);
	EXPECT_EQ(0u, gateway_waiting_count(nodes[home]->gateway));
	EXPECT_EQ(0u, WaitingNow(home) + WaitingNow(other));
	EXPECT_EQ(200, Status("busy"));
	Wait(100);
	EXPECT_EQ(1u, one.runs.size());
}

/* Guards against a request that outlives the deadline of its caller. */
TEST_F(GatewayWaiting, ADeadlineEndsIt)
{
	Prepare(2);
	one.silence_ms = 600;
	LetWait(other, "/query/a", "there", "", 200);
	EXPECT_EQ(503, Status("there"));
	Wait(50);
	EXPECT_EQ(0u, gateway_waiting_count(nodes[home]->gateway));
	EXPECT_EQ(200, Status("busy"));
	EXPECT_EQ(0, one.runs["there"]);
}

/* Guards against capacity that a lost withdrawal binds for good. */
TEST_F(GatewayWaiting, AGrantThatNobodyTakesExpires)
{
	Prepare(2);
	LetWait(other, "/query/a", "there");
	deaf_node = (int)home;
	callers["there"]->close();
	Wait(100);
	EXPECT_EQ(1u, gateway_waiting_count(nodes[home]->gateway));
	EXPECT_EQ(200, Status("busy"));
	Wait(1300);
	EXPECT_EQ(0, one.runs["there"]);
	Send(home, "/query/a", "next");
	EXPECT_EQ(200, Status("next"));
}

/* Guards against requests without an answer when their node stops. */
TEST_F(GatewayWaiting, AStopAnswersItsOwn)
{
	Prepare(1);
	LetWait(0, "/query/a", "here");
	gateway_drain(nodes[0]->gateway);
	EXPECT_EQ(503, Status("here"));
	EXPECT_GT(RetryAfter("here"), 0);
	EXPECT_EQ(0, one.runs["here"]);
	EXPECT_EQ(0u, WaitingNow(0));
}

/* Guards against requests that a home takes with it when it stops. */
TEST_F(GatewayWaiting, AHomeThatStopsGivesItsRequestsBack)
{
	Prepare(2);
	LetWait(other, "/query/a", "there");
	nodes[home]->gateway->options.drain_us = 5 * G_USEC_PER_SEC;
	gateway_drain(nodes[home]->gateway);
	ASSERT_TRUE(run_until([&] {
		return gateway_waiting_count(nodes[other]->gateway) == 1;
	}));
	EXPECT_EQ(0u, gateway_waiting_count(nodes[home]->gateway));
	EXPECT_EQ(200, Status("there"));
	EXPECT_EQ(200, Status("busy"));
}

/* Guards against entries of a service whose routes have changed. */
TEST_F(GatewayWaiting, AReloadAnswersThemAtOnce)
{
	Prepare(2);
	one.silence_ms = 600;
	LetWait(home, "/query/a", "here");
	Send(other, "/query/a", "there");
	ASSERT_TRUE(run_until([&] {
		return gateway_waiting_count(nodes[home]->gateway) == 2;
	}));
	for (size_t i = 0; i < 2; i++)
		Apply(i, 3, false);
	EXPECT_EQ(503, Status("here"));
	EXPECT_EQ(503, Status("there"));
	EXPECT_FALSE(one.late.empty()) << "only then the engine was free";
	EXPECT_EQ(200, Status("busy"));
}

/* Guards against entries of a service that is no longer configured. */
TEST_F(GatewayWaiting, AServiceThatIsRemovedAnswersThemAtOnce)
{
	Prepare(1);
	one.silence_ms = 600;
	LetWait(0, "/query/a", "here");
	Apply(0, 3, true, "", "newcomer");
	EXPECT_EQ(503, Status("here"));
	EXPECT_FALSE(one.late.empty());
}

/* Guards against a request that is lost with its home. */
TEST_F(GatewayWaiting, ASilentHomeIsReplaced)
{
	Prepare(2);
	one.silence_ms = 1500;
	LetWait(other, "/report/a", "there");
	one.silence_ms = 100;
	Wait(400); /* until both nodes know that the engine is busy */
	deaf_node = (int)other;
	ASSERT_TRUE(run_until([&] {
		return gateway_waiting_count(nodes[other]->gateway) == 1;
	}));
	deaf_node = -1;
	Wait(50);
	EXPECT_EQ(0u, gateway_waiting_count(nodes[home]->gateway));
	EXPECT_EQ(0, one.runs["there"]);
	EXPECT_EQ(200, Status("there"));
	EXPECT_EQ(1, one.runs["there"]);
}

/* Guards against a request that waits where nobody grants any more. */
TEST_F(GatewayWaiting, TheNewestHomeIsAsked)
{
	struct peer_message *message = peer_message_create(PEER_PING);
	struct action_list *actions = action_list_create();
	struct member *left = nullptr;
	const struct member *known;

	Prepare(2);
	one.silence_ms = 1000;
	LetWait(other, "/report/a", "there");
	one.silence_ms = 100;
	known = gateway_find_home(nodes[other]->gateway, "engines");
	ASSERT_NE(nullptr, known);
	left = member_copy(known);
	left->version += 10;
	left->state = MEMBER_LEAVING;
	message->from = g_strdup(left->name);
	message->from_address = g_strdup(left->peer_address);
	message->incarnation = left->incarnation;
	g_ptr_array_add(message->probe.members, left);
	membership_receive(nodes[other]->members, message, 2, actions);
	ASSERT_TRUE(run_until([&] {
		return gateway_waiting_count(nodes[other]->gateway) == 1 &&
		       gateway_waiting_count(nodes[home]->gateway) == 0;
	}));
	EXPECT_EQ(200, Status("there"));
	EXPECT_EQ(1, one.runs["there"]);
	peer_message_destroy(message);
	action_list_destroy(actions);
}

/* Guards against an answer to an earlier request that is taken for this one. */
TEST_F(GatewayWaiting, AStaleAnswerIsDropped)
{
	Prepare(2);
	LetWait(other, "/query/a", "there");
	for (enum peer_message_type type :
	     {PEER_UNAVAILABLE, PEER_CHOSEN, PEER_WAITING}) {
		struct peer_message *message = peer_message_create(type);

		message->from = g_strdup(nodes[home]->name.c_str());
		message->from_address = g_strdup("x:1");
		message->incarnation = 1;
		if (type == PEER_UNAVAILABLE)
			message->unavailable.number = 1;
		else if (type == PEER_WAITING)
			message->wait_notice.number = 1;
		else
			message->chosen.number = 1;
		if (type == PEER_CHOSEN) {
			message->chosen.endpoint = g_strdup("i-1");
			message->chosen.backup = g_strdup("");
		}
		gateway_receive_peer(nodes[other]->gateway, message);
		peer_message_destroy(message);
		EXPECT_EQ(1u, WaitingNow(other));
	}
	EXPECT_EQ(200, Status("there"));
	EXPECT_EQ(1, one.runs["there"]);
}

/*
 * Guards against a request that an endpoint of another service runs: an answer
 * of the home names it, to a request that another process had sent.
 */
TEST_F(GatewayWaiting, AnAnswerForAnotherServiceIsNotUsed)
{
	struct peer_message *message = peer_message_create(PEER_CHOSEN);

	Prepare(2);
	Register(other, "portal", {{two.id, two.address}});
	holds_messages = true;
	Send(other, "/query/a", "there");
	ASSERT_TRUE(run_until(
		[&] { return Count(other, COUNTER_GATEWAY_HOME_ASKED) == 1; }));
	message->from = g_strdup(nodes[home]->name.c_str());
	message->from_address = g_strdup(nodes[home]->peer_address.c_str());
	message->incarnation = 1;
	message->chosen.number = nodes[other]->gateway->home_request_count;
	message->chosen.endpoint = g_strdup(two.id.c_str());
	message->chosen.backup = g_strdup("");
	gateway_receive_peer(nodes[other]->gateway, message);
	peer_message_destroy(message);
	EXPECT_EQ(200, Status("there"));
	EXPECT_EQ(0u, two.runs.size());
	EXPECT_EQ(1, one.runs["there"]);
	holds_messages = false;
}

/*
 * Guards against an answer to a process that is gone: the one after it would
 * take it for the answer to a request of its own.
 */
TEST_F(GatewayWaiting, RequestsOfEachProcessHaveTheirOwnNumbers)
{
	seed = 0x0123456789abcdef;
	Prepare(2);
	EXPECT_LT((uint64_t)1 << 32, nodes[0]->gateway->home_request_count);
	EXPECT_NE(nodes[0]->gateway->home_request_count,
		  nodes[1]->gateway->home_request_count);
	LetWait(other, "/query/a", "there");
	EXPECT_EQ(200, Status("there"));
	EXPECT_EQ(1, one.runs["there"]);
}

/* Guards against a queue that stands still without the store. */
TEST_F(GatewayWaiting, GoesOnWithoutTheStore)
{
	Prepare(2);
	LetWait(other, "/query/a", "there");
	for (auto &node : nodes)
		gateway_set_store_reached(node->gateway, false);
	EXPECT_EQ(200, Status("there"));
}

/* Guards against a grant to somebody whose key is valid no longer. */
TEST_F(GatewayWaiting, ARevokedKeyGetsNoGrant)
{
	Prepare(2, true, "secret");
	for (size_t node : {home, other}) {
		std::string id = "w-" + std::to_string(node);

		for (size_t i = 0; i < 2; i++)
			Apply(i, 10 + (int64_t)node * 10, true, "secret");
		LetWait(node, "/query/a", id,
			"Authorization: Bearer secret\r\n");
		for (size_t i = 0; i < 2; i++)
			Apply(i, 11 + (int64_t)node * 10, true, "revoked");
		EXPECT_EQ(401, Status(id));
		EXPECT_EQ(0, one.runs[id]);
		EXPECT_EQ(200, Status("busy"));
		if (home > other)
			break; /* revisions only rise */
	}
}

/* Guards against a grant to a request that ended endpoints meanwhile. */
TEST_F(GatewayWaiting, QuarantineIsAskedAgain)
{
	struct gateway *gateway;
	struct quarantine_run run = {};
	GHashTableIter iter;
	gpointer exchange;

	Prepare(2);
	LetWait(other, "/query/b", "there");
	gateway = nodes[other]->gateway;
	g_hash_table_iter_init(&iter, gateway->exchanges);
	ASSERT_TRUE(g_hash_table_iter_next(&iter, &exchange, nullptr));
	run.key = ((struct exchange *)exchange)->fingerprint;
	for (const char *id : {"i-8", "i-9"}) {
		run.start.endpoint_key = endpoint_key(id);
		quarantine_report_loss(gateway->quarantine, &run,
				       gateway->now_us);
		quarantine_report_end(gateway->quarantine, &run.start,
				      gateway->now_us);
	}
	EXPECT_EQ(503, Status("there"));
	EXPECT_EQ(0, one.runs["there"]);
	EXPECT_EQ(1u, Count(other, COUNTER_QUARANTINED));
}

/* Guards against a grant in a zone that is being evacuated. */
TEST_F(GatewayWaiting, NothingIsGrantedInAnEvacuatedZone)
{
	struct cordon *cordon = cordon_create("a", 5, false);

	Prepare(2);
	LetWait(other, "/query/a", "there");
	for (auto &node : nodes)
		gateway_apply_cordon(node->gateway, cordon);
	cordon_destroy(cordon);
	EXPECT_EQ(503, Status("there"));
	EXPECT_EQ(0, one.runs["there"]);
}

/* Guards against a grant at an endpoint that wants rest. */
TEST_F(GatewayWaiting, NothingIsGrantedAtAnEndpointThatRests)
{
	Prepare(1);
	LetWait(0, "/query/a", "here");
	registry_find(nodes[0]->gateway->registry, one.id.c_str())
		->rest.until_us = gateway_now_us() + 5 * G_USEC_PER_SEC;
	EXPECT_EQ(503, Status("here"));
	EXPECT_EQ(0, one.runs["here"]);
}

/* Guards against a request that fails with the endpoint of its grant. */
TEST_F(GatewayWaiting, ANodeReplacesAGrantThatIsGone)
{
	Prepare(2);
	LetWait(other, "/query/a", "there");
	position++;
	Unregister(other, one.id);
	Register(other, "engines", {{two.id, two.address}});
	EXPECT_EQ(200, Status("there"));
	EXPECT_EQ(1, two.runs["there"]);
}

/*
 * Guards against requests that are lost, answered twice, or refused with 503
 * although they ran, while callers of three nodes come and go, deadlines pass
 * and the home stops in the middle.
 */
TEST_F(GatewayWaiting, EachOfManyIsAnsweredOnce)
{
	GRand *random = g_rand_new_with_seed(7);
	std::vector<std::string> ids, gone;
	int whole = 0, refused = 0;

	Prepare(3);
	one.silence_ms = 20;
	for (int i = 0; i < 200; i++) {
		std::string id = "m-" + std::to_string(i);

		Send((size_t)g_rand_int_range(random, 0, 3),
		     g_rand_boolean(random) ? "/query/a" : "/report/a", id, "",
		     g_rand_int_range(random, 100, 2500));
		ids.push_back(id);
		Wait(g_rand_int_range(random, 1, 10));
		if (g_rand_int_range(random, 0, 5) == 0) {
			gone.push_back(id);
			callers[id]->close();
			ids.pop_back();
		}
		if (i == 100) {
			nodes[home]->gateway->options.drain_us =
				10 * G_USEC_PER_SEC;
			gateway_drain(nodes[home]->gateway);
		}
	}
	for (const std::string &id : ids) {
		int status = Status(id);

		whole += status == 200;
		refused += status == 503;
		EXPECT_TRUE(status == 200 || status == 503 || status == 504)
			<< id << " " << status;
		/* The engine counts a run when it answers: 504 leaves open
		 * whether the request ran. */
		if (status == 504)
			EXPECT_LE(one.runs[id], 1) << id;
		else
			EXPECT_EQ(status == 200, one.runs[id]) << id;
	}
	for (const std::string &id : gone)
		EXPECT_LE(one.runs[id], 1) << id;
	for (size_t i = 0; i < 3; i++) {
		EXPECT_EQ(0u, WaitingNow(i));
		EXPECT_EQ(0u, gateway_waiting_count(nodes[i]->gateway));
	}
	printf("whole %d, refused %d, left %zu\n", whole, refused, gone.size());
	EXPECT_GT(whole, 20) << "one engine, 20 ms each";
	g_rand_free(random);
}

/* Guards against a queue where the configuration asks for none. */
TEST_F(GatewayWaiting, WithoutMixedUrgencyAllIsAsBefore)
{
	Prepare(2, false);
	Send(home, "/query/a", "busy");
	ASSERT_TRUE(run_until([&] { return !one.late.empty(); }));
	for (size_t node : {home, other}) {
		for (const char *path : {"/query/a", "/report/a"}) {
			std::string id = "w-" + std::to_string(node) + path[1];

			Send(node, path, id);
			EXPECT_EQ(503, Status(id));
			EXPECT_GE(RetryAfter(id), 0.3) << "no_room";
		}
		EXPECT_EQ(0u, Count(node, COUNTER_GATEWAY_WAITS));
		EXPECT_EQ(0u, Count(node, COUNTER_GATEWAY_NOT_IN_TIME));
	}
	EXPECT_FALSE(one.late.empty());
	EXPECT_EQ(200, Status("busy"));
}

/* Guards against requests of plain services that wait. */
TEST_F(GatewayWaiting, PlainServicesNeverWait)
{
	Create(1);
	Register(0, "portal", {{one.id, one.address}});
	registry_find(nodes[0]->gateway->registry, one.id.c_str())
		->full_until_us = gateway_now_us() + 5 * G_USEC_PER_SEC;
	Send(0, "/lookup/a", "plain");
	EXPECT_EQ(503, Status("plain"));
	EXPECT_EQ(0u, Count(0, COUNTER_GATEWAY_WAITS));
}
