#include "core/limit/suspect_key.h"
#include "tests/gateway_pair.h"

#include <algorithm>

/* Node n0 reaches the endpoints; n1 reaches none of them, but reaches n0. */
class GatewayRelay : public GatewayPair
{
      protected:
	PairEndpoint one{"i-1"}, two{"i-2"}, engine{"i-3"}, other{"i-4"};
	std::unique_ptr<DeadAddress> dead;

	/* Registers all endpoints; the nodes of cut_nodes reach none. */
	void Cut(std::vector<size_t> cut_nodes, enum pair_cut cut)
	{
		dead.reset(new DeadAddress(cut));
		for (size_t i = 0; i < nodes.size(); i++) {
			bool is_cut = std::count(cut_nodes.begin(),
						 cut_nodes.end(), i) > 0;

			Reach(i, !is_cut);
		}
		Wait(300);
	}

	void Reach(size_t node, bool reaches)
	{
		auto at = [&](const PairEndpoint &endpoint) {
			return reaches ? endpoint.address : dead->address;
		};

		Register(node, "portal", {{"i-1", at(one)}, {"i-2", at(two)}});
		Register(node, "engines",
			 {{"i-3", at(engine)}, {"i-4", at(other)}});
	}

	/* Lets the node find out that it reaches no endpoint. */
	void FindOut(size_t node)
	{
		for (int i = 0; i < 3; i++) {
			Ask(node, "/lookup/a", "found-" + std::to_string(i));
			Ask(node, "/report/a", "gen-" + std::to_string(i));
		}
	}

	int Runs(const std::string &id)
	{
		int runs = 0;

		for (PairEndpoint *endpoint : {&one, &two, &engine, &other})
			runs += endpoint->runs.count(id) ? endpoint->runs[id]
							 : 0;
		return runs;
	}

	bool Directs(size_t from, size_t to)
	{
		GPtrArray *list = gateway_addresses(nodes[from]->gateway, "r");
		bool found = g_ptr_array_find_with_equal_func(
			list, nodes[to]->address.c_str(), g_str_equal, nullptr);

		g_ptr_array_unref(list);
		return found;
	}
};

class GatewayRelayCuts : public GatewayRelay,
			 public testing::WithParamInterface<enum pair_cut>
{
};

/* Guards against callers who are hardly served by a node that is cut off from
 * all endpoints, though other nodes reach them. */
TEST_P(GatewayRelayCuts, ServesFirstTriesOfItsCallers)
{
	const int requests = 20;
	int served = 0;

	Create(2);
	Cut({1}, GetParam());
	for (int i = 0; i < 6; i++)
		Ask(1, i % 2 ? "/lookup/a" : "/export/a",
		    "early-" + std::to_string(i));
	for (int i = 0; i < requests; i++)
		served += Ask(1, i % 2 ? "/lookup/a" : "/export/a",
			      "r-" + std::to_string(i)) == 200;
	EXPECT_GE(served, requests * 9 / 10);
	for (const PairEndpoint *endpoint : {&one, &two})
		for (const auto &run : endpoint->runs)
			EXPECT_EQ(1, run.second) << run.first;
}

INSTANTIATE_TEST_SUITE_P(Cuts, GatewayRelayCuts,
			 testing::Values(CUT_REFUSED, CUT_SILENT));

/* Guards against a stream that loses events where it passes through a node. */
TEST_F(GatewayRelay, PassesStreamsOnWhole)
{
	std::string text;
	size_t at = 0;

	Create(2);
	engine.events = other.events = 50;
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	EXPECT_EQ(200, Ask(1, "/report/a", "stream-1", &text));
	for (int i = 0; i < 50; i++) {
		at = text.find("id: " + std::to_string(i) + "\n", at);
		ASSERT_NE(std::string::npos, at) << "event " << i;
	}
	EXPECT_NE(std::string::npos, text.find("\r\n0\r\n\r\n", at));
	EXPECT_EQ(1, Runs("stream-1"));
}

/* Guards against a stream that its engine broke off within an event and that
 * its caller takes for whole, as it ended with its connection. */
TEST_F(GatewayRelay, BreaksOffWhatEndedWithinAnEvent)
{
	Create(2);
	for (PairEndpoint *endpoint : {&engine, &other}) {
		endpoint->events = 5;
		endpoint->ends_by_close = true;
		endpoint->ends_within_event = true;
	}
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	for (size_t node = 0; node < 2; node++) {
		std::string text;

		EXPECT_EQ(200, Ask(node, "/report/a",
				   "cut-" + std::to_string(node), &text));
		EXPECT_NE(std::string::npos, text.find("id: 3\n"));
		EXPECT_EQ(std::string::npos, text.find("\r\n0\r\n\r\n"));
	}
}

/* Guards against a part that is cleared where a stream passes through, as it
 * looked whole there too. */
TEST_F(GatewayRelay, ClearsNothingByWhatIsPassedOn)
{
	const std::string parts =
		"X-Siskinlink-Prompt-Prefix: aa:9,b2:9,c3:9\r\n";
	uint64_t part = suspect_key_of_part("b2", 2);
	struct quarantine *quarantine;

	Create(2);
	engine.events = other.events = 5;
	engine.ends_by_close = other.ends_by_close = true;
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	quarantine = nodes[1]->gateway->quarantine;
	for (uint64_t i = 1; i <= 2; i++) {
		struct quarantine_run run = {part, 1, {i << 32, 0, 0}};

		quarantine_report_loss(quarantine, &run,
				       g_get_monotonic_time());
		quarantine_report_end(quarantine, &run.start,
				      g_get_monotonic_time());
	}
	EXPECT_EQ(200, Ask(1, "/report/a", "part-1", nullptr, parts));
	EXPECT_EQ(1, Runs("part-1"));
	EXPECT_TRUE(quarantine_is_suspect(quarantine, part,
					  g_get_monotonic_time()));
}

/* Guards against requests that go round between nodes that reach nothing. */
TEST_F(GatewayRelay, RefusesAtOnceWhatNobodyReaches)
{
	int64_t start_us;

	Create(3);
	Cut({0, 1, 2}, CUT_REFUSED);
	for (size_t node = 0; node < 3; node++)
		FindOut(node);
	Wait(300);
	for (auto &node : nodes)
		node->counters.value[COUNTER_GATEWAY_RELAYED] = 0;
	start_us = g_get_monotonic_time();
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(503, Ask((size_t)i % 3, "/lookup/a",
				   "nobody-" + std::to_string(i)));
	EXPECT_LT(g_get_monotonic_time() - start_us, 2 * G_USEC_PER_SEC);
	for (auto &node : nodes)
		EXPECT_EQ(0u, node->counters.value[COUNTER_GATEWAY_RELAYED]);
}

/* Guards against a request that goes round between two nodes, each of which
 * believes that the other one reaches the endpoints. */
TEST_F(GatewayRelay, PassesARequestOnOnce)
{
	Create(2);
	loses_reach = true;
	Cut({0, 1}, CUT_REFUSED);
	FindOut(0);
	nodes[0]->counters.value[COUNTER_GATEWAY_RELAYED] = 0;
	for (int i = 0; i < 4; i++)
		Ask(1, "/export/a", "once-" + std::to_string(i));
	EXPECT_GT(nodes[1]->counters.value[COUNTER_GATEWAY_RELAYED], 0u);
	EXPECT_EQ(0u, nodes[0]->counters.value[COUNTER_GATEWAY_RELAYED]);
}

/* Guards against a run that goes on after its caller left the cut node. */
TEST_F(GatewayRelay, ACallerThatLeavesEndsTheRun)
{
	Create(2);
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	one.is_silent = two.is_silent = true;
	std::unique_ptr<Connection> caller(Connection::open(nodes[1]->address));
	caller->send("GET /export/a HTTP/1.1\r\nHost: h\r\n"
		     "X-Siskinlink-Request-Id: left-1\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return Runs("left-1") == 1; }));
	caller->close();
	EXPECT_TRUE(run_until([&] { return one.gone + two.gone == 1; }));
}

/* Guards against a second run where the helping node is lost: what may run once
 * is answered 502, never 503. */
TEST_F(GatewayRelay, NeverRepeatsWhatMayHaveRun)
{
	struct gateway *lost;

	Create(3);
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	one.is_silent = two.is_silent = true;
	std::unique_ptr<Connection> caller(Connection::open(nodes[1]->address));
	caller->send("GET /export/a HTTP/1.1\r\nHost: h\r\n"
		     "X-Siskinlink-Request-Id: lost-1\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return Runs("lost-1") == 1; }));
	size_t helper =
		g_hash_table_size(nodes[0]->gateway->exchanges) > 0 ? 0 : 2;
	lost = nodes[helper]->gateway;
	nodes[helper]->gateway = nullptr;
	gateway_destroy(lost);
	EXPECT_TRUE(caller->wait_for("HTTP/1.1 502"));
	Wait(100);
	EXPECT_EQ(1, Runs("lost-1"));
}

/* Guards against more runs than the route allows, as the helping node repeats
 * what this one has run. */
TEST_F(GatewayRelay, TellsTheAttemptsThatAreLeft)
{
	retry_extra = 6000;
	Create(2);
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	ASSERT_TRUE(run_until([&] {
		return retry_window_remaining(
			       gateway_budget(nodes[0]->gateway, "portal")) > 1;
	}));
	for (int attempts = 1; attempts <= 2; attempts++) {
		std::string id = "left-" + std::to_string(attempts);
		std::unique_ptr<Connection> caller(
			Connection::open(nodes[0]->address));

		one.reset_path = two.reset_path = "/lookup/reset";
		caller->send("GET /lookup/reset HTTP/1.1\r\nHost: h\r\n"
			     "Relayed-By: n1\r\nRelayed-Attempts: " +
			     std::to_string(attempts) +
			     "\r\nX-Siskinlink-Request-Id: " + id + "\r\n\r\n");
		EXPECT_TRUE(caller->wait_for("HTTP/1.1 502")) << caller->input;
		EXPECT_EQ(attempts, Runs(id));
	}
	EXPECT_EQ(std::string::npos, (one.seen + two.seen).find("Relayed"));
}

/* Guards against a promise of the helping node that the request has not run,
 * which it knows for itself only. */
TEST_F(GatewayRelay, PromisesNothingForAnother)
{
	retry_extra = 6000;
	Create(2);
	Cut({}, CUT_REFUSED);
	ASSERT_TRUE(run_until([&] {
		return retry_window_remaining(
			       gateway_budget(nodes[1]->gateway, "portal")) > 1;
	}));
	one.is_silent = two.is_silent = true;
	nodes[0]->gateway->relayed_count = 1000000;
	std::unique_ptr<Connection> caller(Connection::open(nodes[1]->address));
	caller->send("GET /lookup/a HTTP/1.1\r\nHost: h\r\n"
		     "X-Siskinlink-Request-Id: promise-1\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return Runs("promise-1") == 1; }));
	for (const char *id : {"i-1", "i-2"})
		gateway_reach_note_failure(nodes[1]->gateway, "portal",
					   endpoint_key(id));
	for (PairEndpoint *endpoint : {&one, &two})
		if (endpoint->unanswered)
			caller_abort(endpoint->unanswered);
	EXPECT_TRUE(caller->wait_for("HTTP/1.1 502")) << caller->input;
	EXPECT_EQ(1u, nodes[1]->counters.value[COUNTER_GATEWAY_RELAYED]);
	nodes[0]->gateway->relayed_count = 0;
}

/* Guards against a node that is gone, or refuses, and takes what others would
 * serve. */
TEST_F(GatewayRelay, TriesAnotherNode)
{
	int served = 0;

	Create(4);
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	gateway_drain(nodes[0]->gateway);
	nodes[2]->gateway->relayed_count = 1000000;
	for (int i = 0; i < 12; i++)
		served += Ask(1, "/export/a", "other-" + std::to_string(i)) ==
			  200;
	EXPECT_EQ(12, served);
	nodes[2]->gateway->relayed_count = 0;
}

/* Guards against a request that ends with the node it was passed on to, where
 * its own node reaches the endpoints again. */
TEST_F(GatewayRelay, GoesOnByItselfAfterALostNode)
{
	PairEndpoint node{"n0"};
	std::vector<std::unique_ptr<Connection>> callers;

	retry_extra = 6000;
	Create(3);
	engine.events = other.events = 10;
	node.is_silent = true;
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	for (const char *path : {"/query/a", "/lookup/a", "/report/a"}) {
		for (const char *name : {"n0", "n2"}) {
			struct gateway_peer *peer =
				(struct gateway_peer *)g_hash_table_lookup(
					nodes[1]->gateway->peers, name);

			g_free(peer->address);
			peer->address = g_strdup(node.address.c_str());
		}
		node.events = strcmp(path, "/lookup/a") == 0 ? 0 : 5;
		callers.emplace_back(Connection::open(nodes[1]->address));
		callers.back()->send(std::string("POST ") + path +
				     " HTTP/1.1\r\nHost: h\r\n"
				     "X-Siskinlink-Request-Id: " +
				     path + "\r\nContent-Length: 0\r\n\r\n");
		ASSERT_TRUE(run_until([&] { return node.runs[path] == 1; }));
	}
	position++;
	Reach(1, true);
	Wait(1000);
	node.End();
	ASSERT_TRUE(callers[0]->wait_for("id: 9")) << callers[0]->input;
	ASSERT_TRUE(callers[0]->wait_for("\r\n0\r\n\r\n"));
	EXPECT_EQ(callers[0]->input.find("id: 5"),
		  callers[0]->input.rfind("id: 5"));
	EXPECT_EQ(1, Runs("/query/a"));
	ASSERT_TRUE(callers[1]->wait_for("HTTP/1.1 200"));
	ASSERT_TRUE(callers[2]->wait_closed());
	EXPECT_EQ(0, Runs("/report/a")) << "it can't go on after an event";
}

/* The same where there is no third node, which would have taken the rest. */
TEST_F(GatewayRelay, GoesOnByItselfAfterTheOnlyOtherNode)
{
	PairEndpoint node{"n0"};
	struct gateway_peer *peer;

	retry_extra = 6000;
	Create(2);
	engine.events = other.events = 10;
	node.is_silent = true;
	node.events = 5;
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	peer = (struct gateway_peer *)g_hash_table_lookup(
		nodes[1]->gateway->peers, "n0");
	g_free(peer->address);
	peer->address = g_strdup(node.address.c_str());
	std::unique_ptr<Connection> caller(Connection::open(nodes[1]->address));
	caller->send("POST /query/a HTTP/1.1\r\nHost: h\r\n"
		     "X-Siskinlink-Request-Id: only-1\r\n"
		     "Content-Length: 0\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return node.runs["only-1"] == 1; }));
	position++;
	Reach(1, true);
	Wait(1000);
	node.End();
	ASSERT_TRUE(caller->wait_for("id: 9")) << caller->input;
	ASSERT_TRUE(caller->wait_for("\r\n0\r\n\r\n"));
	EXPECT_EQ(1, Runs("only-1"));
}

/*
 * Guards against a stream that is cut as the only helping node loses the engine
 * of its one run: it has another engine, and this node has another run.
 */
TEST_F(GatewayRelay, GoesOnAtTheSameNodeAfterItsEngine)
{
	std::string text;

	retry_extra = 6000;
	Create(2);
	engine.events = other.events = 10;
	engine.breaks_after = other.breaks_after = 4;
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	Wait(2000); /* for retry budget */
	std::unique_ptr<Connection> caller(Connection::open(nodes[1]->address));
	caller->send("POST /query/a HTTP/1.1\r\nHost: h\r\n"
		     "X-Siskinlink-Request-Id: same-1\r\n"
		     "Content-Length: 0\r\n\r\n");
	ASSERT_TRUE(run_until([&] { return Runs("same-1") == 2; }));
	EXPECT_TRUE(caller->wait_for("id: 7")) << caller->input;
}

/* Guards against passing on for ever, and against going back and forth. */
TEST_F(GatewayRelay, ServesByItselfAgain)
{
	Create(2);
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	position++;
	Reach(1, true);
	Wait(1000);
	nodes[1]->counters.value[COUNTER_GATEWAY_RELAYED] = 0;
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(200,
			  Ask(1, "/lookup/a", "again-" + std::to_string(i)));
	EXPECT_EQ(0u, nodes[1]->counters.value[COUNTER_GATEWAY_RELAYED]);
}

/* Guards against callers that are sent to nodes which reach no endpoint, and
 * against a directory without any address. */
TEST_F(GatewayRelay, DirectsCallersElsewhere)
{
	Create(2);
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	Wait(300);
	EXPECT_TRUE(Directs(0, 0));
	EXPECT_FALSE(Directs(0, 1));
	EXPECT_FALSE(Directs(1, 1));
	EXPECT_TRUE(Directs(1, 0));
	position++;
	Reach(0, false);
	FindOut(0);
	Wait(300);
	EXPECT_TRUE(Directs(0, 0));
	EXPECT_TRUE(Directs(0, 1));
}

/* Guards against a caller that claims to be a node, and a field that endpoints
 * would see. */
TEST_F(GatewayRelay, BelievesOnlyMembersAndTellsNoEndpoint)
{
	Create(2);
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	for (const char *node : {"nobody", "n0"}) {
		std::unique_ptr<Connection> caller(
			Connection::open(nodes[1]->address));
		bool is_member = std::string(node) == "n0";

		caller->send(std::string("GET /lookup/a HTTP/1.1\r\nHost: h\r\n"
					 "Relayed-By: ") +
			     node +
			     "\r\nX-Siskinlink-Request-Id: claim\r\n\r\n");
		EXPECT_TRUE(caller->wait_for(is_member ? "HTTP/1.1 50"
						       : "HTTP/1.1 200"))
			<< node << ": " << caller->input;
	}
	for (const PairEndpoint *endpoint : {&one, &two})
		EXPECT_EQ(std::string::npos, endpoint->seen.find("Relayed-By"))
			<< endpoint->seen;
}

/* Guards against a slow or lost endpoint that is taken for a cut. */
TEST(ServiceReach, NeedsTwoEndpointsAndNoConnectionBetween)
{
	struct service_reach reach = {};

	EXPECT_FALSE(service_reach_note_failure(&reach, 1, 3, 1000000));
	EXPECT_FALSE(service_reach_note_failure(&reach, 1, 3, 1100000));
	EXPECT_FALSE(service_reach_note_connected(&reach));
	EXPECT_FALSE(service_reach_note_failure(&reach, 2, 3, 1200000));
	EXPECT_FALSE(service_reach_note_failure(&reach, 3, 3, 9000000))
		<< "long after the first one";
	EXPECT_TRUE(service_reach_note_failure(&reach, 1, 3, 9100000));
	EXPECT_TRUE(service_reach_is_lost(&reach));
	EXPECT_FALSE(service_reach_note_connected(&reach))
		<< "one is not enough";
	EXPECT_FALSE(service_reach_note_failure(&reach, 1, 3, 9200000));
	EXPECT_FALSE(service_reach_note_connected(&reach));
	EXPECT_TRUE(service_reach_note_connected(&reach));
	EXPECT_FALSE(service_reach_is_lost(&reach));
	EXPECT_TRUE(service_reach_note_failure(&reach, 1, 1, 9300000))
		<< "its only endpoint";
}

/* Guards against a request that ends endpoints through the node that passes it
 * on, because neither node counts its ends. */
TEST_F(GatewayRelay, HoldsWhatEndsEndpointsThroughAnotherNode)
{
	Create(2);
	Cut({1}, CUT_REFUSED);
	FindOut(1);
	for (PairEndpoint *endpoint : {&one, &two})
		endpoint->deadly_path = "/export/deadly";
	for (int i = 0; i < 10; i++) {
		run_until([&] { return one.IsUp() && two.IsUp(); });
		Ask(1, "/export/deadly", "d-" + std::to_string(i));
		Wait(100);
	}
	EXPECT_GE(one.ends + two.ends, 2);
	EXPECT_LE(one.ends + two.ends, 6);
}
