#include "tests/gateway_pair.h"

/* Endpoints that say in their answers that they leave; no entry does. */
class GatewayLeaving : public GatewayPair
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
		/* Greetings tell of leaving endpoints as well. */
		ASSERT_TRUE(run_until([&] {
			return g_hash_table_size(nodes[0]->gateway->peers) &&
			       g_hash_table_size(nodes[1]->gateway->peers);
		}));
	}

	/* Requests that an endpoint got of so many, sent by one node. */
	int CountAt(const PairEndpoint &endpoint, size_t node, int count)
	{
		size_t before = endpoint.runs.size();

		for (int i = 0; i < count; i++)
			EXPECT_EQ(200, Ask(node, "/export/a",
					   "r-" + std::to_string(asked++)));
		return (int)(endpoint.runs.size() - before);
	}

	/* Asks one node until the endpoint has answered there. */
	void Hear(const PairEndpoint &endpoint, size_t node)
	{
		while (CountAt(endpoint, node, 1) == 0)
			ASSERT_LT(asked, 200);
	}
};

/* Guards against requests to an endpoint that has said that it leaves. */
TEST_F(GatewayLeaving, GetsNoRequestsByItsWord)
{
	one.says = "Server-Leaving: 1\r\n";
	Hear(one, 0);
	EXPECT_EQ(0, CountAt(one, 0, 30));
}

/* Guards against a node that doesn't hear what another one was told. */
TEST_F(GatewayLeaving, TellsTheOtherNodes)
{
	one.says = "Server-Leaving: 1\r\n";
	Hear(one, 0);
	Wait(50);
	EXPECT_EQ(0, CountAt(one, 1, 30));
}

/* Guards against entries from before that take its word back. */
TEST_F(GatewayLeaving, HoldsThoughItsEntrySaysThatItServes)
{
	one.says = "Server-Leaving: 1\r\n";
	Hear(one, 0);
	position++;
	for (size_t i = 0; i < 2; i++)
		Register(i, "portal", {{one.id, one.address}});
	EXPECT_EQ(0, CountAt(one, 0, 30) + CountAt(one, 1, 30));
}

/* Guards against the word of another endpoint at the address. */
TEST_F(GatewayLeaving, IgnoresTheWordOfAnotherEndpoint)
{
	const struct endpoint *endpoint;

	one.says = "Server-Leaving: 1\r\n";
	one.id = "i-9";
	for (int i = 0; i < 20; i++)
		Ask(0, "/lookup/a", "m-" + std::to_string(i));
	ASSERT_GT(one.misdirected, 0);
	endpoint = registry_find(nodes[0]->gateway->registry, "i-1");
	EXPECT_FALSE(endpoint_is_leaving(endpoint));
}

/* Other values of the field say nothing. */
TEST_F(GatewayLeaving, ReadsOneValueOnly)
{
	for (const char *says :
	     {"Server-Leaving: 0\r\n", "Server-Leaving:\r\n",
	      "Server-Leaving: 11\r\n",
	      "Server-Leaving: 0\r\nServer-Leaving: no\r\n"}) {
		one.says = says;
		Hear(one, 0);
		EXPECT_GT(CountAt(one, 0, 30), 0) << says;
	}
	one.says = "Server-Leaving: 0\r\nServer-Leaving: 1\r\n";
	Hear(one, 0);
	EXPECT_EQ(0, CountAt(one, 0, 30));
}

/* Guards against a word that outlasts the start that gave it. */
TEST_F(GatewayLeaving, ServesAgainAfterANewStart)
{
	one.says = "Server-Leaving: 1\r\n";
	Hear(one, 0);
	one.says = "";
	one.gets_new_id = true;
	one.End();
	Wait(200);
	ASSERT_TRUE(one.IsUp());
	RegisterStart("portal", one);
	EXPECT_GT(CountAt(one, 0, 30), 0);
}

/* Guards against a node that starts later and isn't told. */
TEST_F(GatewayLeaving, TellsANodeThatStarts)
{
	struct peer_message *heard;
	struct endpoint *endpoint =
		registry_find(nodes[1]->gateway->registry, one.id.c_str());

	one.says = "Server-Leaving: 1\r\n";
	Hear(one, 0);
	Wait(50);
	ASSERT_TRUE(endpoint_is_leaving(endpoint));
	endpoint->said_leaving_us = 0;
	endpoint->presence = PRESENCE_READY;
	heard = gateway_create_standing(nodes[1]->gateway);
	heard->from = g_strdup("n1");
	heard->from_address = g_strdup("n1:1");
	heard->incarnation = 7;
	gateway_receive_peer(nodes[0]->gateway, heard);
	peer_message_destroy(heard);
	Wait(50);
	EXPECT_TRUE(endpoint_is_leaving(endpoint));
}
