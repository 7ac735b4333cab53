#include "tests/gateway_pair.h"

/* Endpoints that turn requests away and ask the node that sent them for rest.
 */
class GatewayRest : public GatewayPair
{
      protected:
	PairEndpoint one{"i-1"}, two{"i-2"};
	int asked = 0;

	void SetUp() override
	{
		Create(2);
		for (size_t i = 0; i < 2; i++)
			Register(
				i, "portal",
				{{one.id, one.address}, {two.id, two.address}});
	}

	int AskOnce(size_t node, std::string *text = nullptr)
	{
		return Ask(node, "/export/a", "r-" + std::to_string(asked++),
			   text);
	}

	/* Asks one node until the endpoint has turned a request away. */
	void BeTurnedAway(PairEndpoint &endpoint, size_t node)
	{
		int before = endpoint.turned_away;

		while (endpoint.turned_away == before) {
			AskOnce(node);
			ASSERT_LT(asked, 200);
		}
	}

	static double RetryAfter(const std::string &text)
	{
		size_t at = text.find("Retry-After: ");

		return at == std::string::npos
			       ? -1
			       : std::stod(text.substr(at + 13));
	}
};

/* Guards against requests to an endpoint while it rests from this node. */
TEST_F(GatewayRest, SendsNothingInARest)
{
	one.rest = "1.2";
	BeTurnedAway(one, 0);
	one.turned_away = 0;
	Wait(300); /* in which it counts as full */
	for (int i = 0; i < 30; i++)
		EXPECT_EQ(200, AskOnce(0));
	EXPECT_EQ(0, one.turned_away);
	Wait(1000);
	one.rest = "";
	for (int i = 0; i < 30; i++)
		EXPECT_EQ(200, AskOnce(0));
	EXPECT_FALSE(one.runs.empty()) << "after its rest";
}

/* Guards against a rest that other nodes keep as well. */
TEST_F(GatewayRest, IsBetweenAnEndpointAndOneNode)
{
	one.rest = "5";
	BeTurnedAway(one, 0);
	one.rest = "";
	Wait(50);
	for (int i = 0; i < 30; i++)
		EXPECT_EQ(200, AskOnce(1));
	EXPECT_FALSE(one.runs.empty());
}

/*
 * Guards against requests that are held, or callers that are told nothing, when
 * all endpoints rest.
 */
TEST_F(GatewayRest, RefusesAtOnceWhenAllRest)
{
	std::string text;
	int64_t before_us;

	one.rest = "4";
	two.rest = "3";
	while (one.turned_away == 0 || two.turned_away == 0) {
		AskOnce(0);
		ASSERT_LT(asked, 200);
	}
	one.turned_away = two.turned_away = 0;
	before_us = g_get_monotonic_time();
	EXPECT_EQ(503, AskOnce(0, &text));
	EXPECT_LT(g_get_monotonic_time() - before_us, 300000);
	EXPECT_GT(RetryAfter(text), 2.0) << text;
	EXPECT_LE(RetryAfter(text), 3.3) << text;
	EXPECT_EQ(0, one.turned_away + two.turned_away);
}

/* Guards against a caller that is sent away for the rest of one endpoint. */
TEST_F(GatewayRest, TellsCallersOfTheServiceNotOfOneEndpoint)
{
	std::string text;

	one.rest = "30";
	for (int i = 0; i < 100 && one.turned_away == 0; i++) {
		int status = AskOnce(0, &text);

		if (status == 503) {
			EXPECT_LT(RetryAfter(text), 1) << text;
		}
	}
	EXPECT_GT(one.turned_away, 0);
}

/* Guards against a rest that outlasts the start that asked for it. */
TEST_F(GatewayRest, EndsWithTheStart)
{
	one.rest = "30";
	BeTurnedAway(one, 0);
	one.rest = "";
	one.gets_new_id = true;
	one.End();
	Wait(200);
	ASSERT_TRUE(one.IsUp());
	RegisterStart("portal", one);
	for (int i = 0; i < 30; i++)
		EXPECT_EQ(200, AskOnce(0));
	EXPECT_FALSE(one.runs.empty());
}

/* Texts that are no time ask for nothing; the longest of several counts. */
TEST_F(GatewayRest, ReadsOddTexts)
{
	static const struct {
		const char *text;
		int64_t min_us, max_us;
	} cases[] = {
		{"0", 0, 0},
		{"-3", 0, 0},
		{"soon", 0, 0},
		{"Wed, 21 Oct 2026 07:28:00 GMT", 0, 0},
		{"1e3", 0, 0},
		{".5", 400000, 500000},
		{"1.7", 1600000, 1700000},
		{"2, 9", 8900000, 9000000},
		{"3\r\nRetry-After: 2", 2900000, 3000000},
		{"1000000000000", 59900000, 60000000},
	};
	struct endpoint *endpoint =
		registry_find(nodes[0]->gateway->registry, one.id.c_str());

	for (const auto &odd : cases) {
		int64_t left_us;

		endpoint->rest = {};
		endpoint->full_until_us = 0;
		one.rest = odd.text;
		BeTurnedAway(one, 0);
		left_us = endpoint_rest_left_us(&endpoint->rest,
						nodes[0]->gateway->now_us);
		EXPECT_GE(left_us, odd.min_us) << odd.text;
		EXPECT_LE(left_us, odd.max_us) << odd.text;
	}
}

/* Guards against a home that sends this node where it is to rest. */
class GatewayRestAtHome : public GatewayRest
{
      protected:
	void SetUp() override
	{
		home_from_nodes = 2;
		one.events = two.events = 2;
		Create(2);
		for (size_t i = 0; i < 2; i++)
			Register(
				i, "engines",
				{{one.id, one.address}, {two.id, two.address}});
	}
};

TEST_F(GatewayRestAtHome, KeepsTheRestThatANodeWasAskedFor)
{
	for (size_t node = 0; node < 2; node++) {
		struct endpoint *endpoint = registry_find(
			nodes[node]->gateway->registry, one.id.c_str());

		endpoint->rest.until_us =
			gateway_now_us() + 10 * G_USEC_PER_SEC;
		one.runs.clear();
		for (int i = 0; i < 20; i++)
			EXPECT_EQ(200,
				  Ask(node, "/report/a",
				      "h-" + std::to_string(asked++), nullptr,
				      "X-Siskinlink-Token-Count: 10,10\r\n"));
		EXPECT_TRUE(one.runs.empty()) << "asked by " << node;
		endpoint->rest.until_us = 0;
	}
	EXPECT_GT(nodes[0]->counters.value[COUNTER_GATEWAY_HOME_ASKED] +
			  nodes[1]->counters.value[COUNTER_GATEWAY_HOME_ASKED],
		  0u);
}
