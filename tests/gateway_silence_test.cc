#include "tests/gateway_pair.h"

/*
 * Sound endpoints that fall silent for a moment and go on: the request is at
 * work there, so nothing ends it sooner.
 */
class GatewaySilence : public GatewayPair
{
      protected:
	PairEndpoint one{"i-1"}, two{"i-2"};

	void SetUp() override
	{
		Create(1);
	}

	/* A node that has just started may send nothing again for a while. */
	void SaveRetries()
	{
		ASSERT_TRUE(run_until([&] {
			return retry_window_remaining(gateway_budget(
				       nodes[0]->gateway, "portal")) > 0;
		}));
	}

	/* Uses up what the node may send again. */
	void SpendRetries()
	{
		struct retry_window *budget =
			gateway_budget(nodes[0]->gateway, "portal");

		while (retry_window_remaining(budget) > 0)
			retry_window_take(budget);
	}
};

/* Guards against a 502 for a request that no other endpoint may get. */
TEST_F(GatewaySilence, WaitsForTheOnlyEndpoint)
{
	Register(0, "portal", {{one.id, one.address}});
	SaveRetries();
	one.silence_ms = 1000;
	EXPECT_EQ(200, Ask(0, "/lookup/a", "r-1"));
	EXPECT_EQ(1, one.runs["r-1"]);
	EXPECT_EQ(0, one.gone);
}

/* Guards against a 502 for a request that may not be sent again for now. */
TEST_F(GatewaySilence, WaitsWithoutRetryBudget)
{
	Register(0, "portal", {{one.id, one.address}, {two.id, two.address}});
	SpendRetries();
	one.silence_ms = two.silence_ms = 1000;
	EXPECT_EQ(200, Ask(0, "/lookup/a", "r-1"));
	Wait(100);
	EXPECT_EQ(1, one.runs["r-1"] + two.runs["r-1"]);
	EXPECT_EQ(0, one.gone + two.gone);
}

/* A late answer is still replaced by another endpoint's where that may be. */
TEST_F(GatewaySilence, AsksAnotherEndpointWhereItMay)
{
	Register(0, "portal", {{one.id, one.address}, {two.id, two.address}});
	one.silence_ms = two.silence_ms = 1000;
	for (int i = 0; i < 20; i++) {
		Ask(0, "/lookup/a", "r-" + std::to_string(i));
		if (one.gone + two.gone > 0)
			return;
	}
	FAIL() << "no request was sent to another endpoint";
}

/* Guards against streams that are given up before their first event. */
TEST_F(GatewaySilence, WaitsForAGeneration)
{
	Register(0, "engines", {{one.id, one.address}});
	one.events = 3;
	one.silence_ms = 1200;
	EXPECT_EQ(200, Ask(0, "/report/a", "r-1"));
	EXPECT_EQ(0, one.gone);
}

/*
 * Guards against a request that is taken from the silent endpoint at work on it
 * for another one that then can't be reached.
 */
TEST_F(GatewaySilence, StaysWhereTheOtherEndpointIsOutOfReach)
{
	DeadAddress dead(CUT_REFUSED);

	SaveRetries();
	one.silence_ms = 1000;
	Register(0, "portal", {{one.id, one.address}, {"i-3", dead.address}});
	for (int i = 0; i < 8; i++) {
		std::string id = "r-" + std::to_string(i);

		EXPECT_EQ(200, Ask(0, "/lookup/a", id)) << id;
		EXPECT_GE(1, one.runs[id]);
	}
}

/* Guards against a refusal for lack of retries where nothing has arrived. */
TEST_F(GatewaySilence, ARefusedConnectionDrawsNoRetry)
{
	DeadAddress dead(CUT_REFUSED);
	struct retry_window *budget;
	int64_t left;

	SaveRetries();
	Register(0, "portal", {{one.id, one.address}, {"i-3", dead.address}});
	budget = gateway_budget(nodes[0]->gateway, "portal");
	left = retry_window_remaining(budget);
	for (int i = 0; i < 8; i++) {
		std::string id = "r-" + std::to_string(i);

		EXPECT_EQ(200, Ask(0, "/export/a", id)) << id;
		EXPECT_EQ(1, one.runs[id]);
	}
	EXPECT_LE(left, retry_window_remaining(budget));
}

/* The same where no retry is left. */
TEST_F(GatewaySilence, ARefusedConnectionNeedsNoRetry)
{
	DeadAddress dead(CUT_REFUSED);

	Register(0, "portal", {{one.id, one.address}, {"i-3", dead.address}});
	for (int i = 0; i < 20; i++) {
		SpendRetries();
		registry_find(nodes[0]->gateway->registry, "i-3")->health = {};
		EXPECT_EQ(200, Ask(0, "/export/a", "r-" + std::to_string(i)));
	}
}

/* Guards against an answer that is thrown away for a later one. */
TEST_F(GatewaySilence, TakesTheFirstOfTwoAnswers)
{
	Register(0, "portal", {{one.id, one.address}, {two.id, two.address}});
	SaveRetries();
	one.silence_ms = two.silence_ms = 600;
	EXPECT_EQ(200, Ask(0, "/lookup/a", "r-1"));
	EXPECT_EQ(1, one.runs["r-1"] + two.runs["r-1"]);
	EXPECT_TRUE(run_until([&] { return one.gone + two.gone == 1; }));
}

/*
 * The body of the first answer is late. Guards against the other endpoint that
 * works on, and whose answer then comes between.
 */
TEST_F(GatewaySilence, ReleasesTheOtherAtTheFirstHead)
{
	std::unique_ptr<Connection> caller;

	Register(0, "portal", {{one.id, one.address}, {two.id, two.address}});
	SaveRetries();
	for (PairEndpoint *endpoint : {&one, &two}) {
		endpoint->silence_ms = 600;
		endpoint->events = 1;
		endpoint->is_silent = true;
	}
	caller.reset(Connection::open(nodes[0]->address));
	caller->send("GET /lookup/a HTTP/1.1\r\nHost: h\r\n"
		     "X-Siskinlink-Request-Id: r-1\r\n"
		     "X-Siskinlink-Deadline-Ms: 2500\r\n\r\n");
	EXPECT_TRUE(run_until([&] { return one.gone + two.gone == 1; }));
	EXPECT_EQ(1, one.runs["r-1"] + two.runs["r-1"]);
	EXPECT_EQ(0, one.runs["r-1"] ? one.gone : two.gone);
}
