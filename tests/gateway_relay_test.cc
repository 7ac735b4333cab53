#include "tests/gateway_pair.h"

/* Node n0 reaches the endpoints; n1 reaches none of them, but reaches n0. */
class GatewayRelay : public GatewayPair,
		     public testing::WithParamInterface<enum pair_cut>
{
      protected:
	PairEndpoint one{"i-1"}, two{"i-2"};

	void CutNode1(enum pair_cut cut)
	{
		dead.reset(new DeadAddress(cut));
		Register(0, "portal",
			 {{"i-1", one.address}, {"i-2", two.address}});
		Register(1, "portal",
			 {{"i-1", dead->address}, {"i-2", dead->address}});
	}

	std::unique_ptr<DeadAddress> dead;
};

/* Guards against callers who are hardly served by a node that is cut off from
 * all endpoints, though other nodes reach them. */
TEST_P(GatewayRelay, ServesFirstTriesOfItsCallers)
{
	const int requests = 20;
	int served = 0;

	Create(2);
	CutNode1(GetParam());
	Wait(300);
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

INSTANTIATE_TEST_SUITE_P(Cuts, GatewayRelay,
			 testing::Values(CUT_REFUSED, CUT_SILENT));
