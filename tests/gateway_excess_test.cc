#include "tests/gateway_pair.h"

/* A gateway with more connections of callers than it serves. */
class GatewayExcess : public GatewayPair
{
};

/*
 * Guards against a gateway that serves what comes on connections beyond its
 * limit: it refuses it, at once and with an answer.
 */
TEST_F(GatewayExcess, RefusesWhatComesOnConnectionsThatAreTooMany)
{
	std::vector<std::unique_ptr<Connection>> open;
	PairEndpoint endpoint("i-1");
	std::string text;

	max_connections = 4;
	Create(1);
	Register(0, "portal", {{endpoint.id, endpoint.address}});
	EXPECT_EQ(200, Ask(0, "/lookup/a", "served"));
	for (int64_t i = 0; i < max_connections; i++)
		open.emplace_back(Connection::open(nodes[0]->address));
	run_idle();
	EXPECT_EQ(503, Ask(0, "/lookup/a", "excess", &text));
	EXPECT_EQ(0, endpoint.runs["excess"]);
	EXPECT_NE(std::string::npos, text.find("Retry-After"));
}
