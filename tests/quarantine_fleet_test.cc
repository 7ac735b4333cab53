#include "core/limit/endpoint_end.h"
#include "tests/quarantine_fleet.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>

class QuarantineFleetSize : public testing::TestWithParam<size_t>
{
};

/* Guards against a node that sends on what ended endpoints of other nodes. */
TEST_P(QuarantineFleetSize, EachNodeHoldsWhatEndedEndpointsOfOthers)
{
	size_t count = GetParam();
	QuarantineFleet fleet(count, 0.3);

	fleet.End(0, 1, 1);
	fleet.End(count / 2, 1, 2);
	fleet.End(count - 1, 1, 3);
	fleet.Run(known_within_us);
	EXPECT_EQ(count, fleet.HeldAt(1));
}

/* Guards against a node behind a cut, restarted or new that never learns it. */
TEST_P(QuarantineFleetSize, NodesThatReturnOrJoinLearnIt)
{
	size_t count = GetParam();
	QuarantineFleet fleet(count, 0.3);
	size_t cut = count / 3;

	for (size_t i = 0; i < cut; i++)
		fleet.nodes[i].is_cut = true;
	for (uint64_t endpoint = 1; endpoint <= 3; endpoint++)
		fleet.End(count - 1, 1, endpoint);
	fleet.Run(20 * second_us);
	EXPECT_EQ(count - cut, fleet.HeldAt(1));
	for (size_t i = 0; i < cut; i++)
		fleet.nodes[i].is_cut = false;
	fleet.Restart(cut);
	fleet.Join();
	fleet.Run(known_within_us);
	EXPECT_EQ(count + 1, fleet.HeldAt(1));
}

/* Guards against a request that is held at some nodes though it was answered
 * whole at another. */
TEST_P(QuarantineFleetSize, AWholeAnswerReleasesItEverywhere)
{
	size_t count = GetParam();
	QuarantineFleet fleet(count, 0.3);

	for (uint64_t endpoint = 1; endpoint <= 3; endpoint++)
		fleet.End(0, 1, endpoint);
	fleet.Run(known_within_us);
	EXPECT_EQ(count, fleet.HeldAt(1));
	quarantine_report_success(fleet.nodes[count - 1].quarantine, 1,
				  fleet.now_us, fleet.now_us);
	fleet.Run(known_within_us);
	EXPECT_EQ(0u, fleet.HeldAt(1));
}

/* Guards against ends of one endpoint that nodes name differently, so that
 * they don't add up, or one end counts as several. */
TEST_P(QuarantineFleetSize, EndsOfOneEndpointAddUpAcrossNodes)
{
	size_t count = GetParam();
	QuarantineFleet fleet(count, 0.3);

	for (size_t i = 0; i < 3; i++) {
		fleet.End(i * (count / 3), 1, 1);
		fleet.End(count - 1, 2, 1);
		fleet.Run(i ? 300 * ms_us : known_within_us);
		if (i == 0) {
			EXPECT_EQ(0u, fleet.HeldAt(1)) << "one end";
		}
	}
	fleet.Run(known_within_us);
	EXPECT_EQ(count, fleet.HeldAt(1));
}

/* Guards against a bound that holds only while no node restarts: killed one
 * after the other, nodes learn again what is held. */
TEST_P(QuarantineFleetSize, NodesKilledInTurnLearnItAgain)
{
	size_t count = GetParam();
	QuarantineFleet fleet(count, 0.3);

	for (uint64_t endpoint = 1; endpoint <= 3; endpoint++)
		fleet.End(0, 1, endpoint);
	fleet.Run(known_within_us);
	for (size_t first = 0; first < count; first += (count + 3) / 4) {
		for (size_t i = first; i < MIN(first + (count + 3) / 4, count);
		     i++)
			fleet.Restart(i);
		fleet.Run(known_within_us);
		EXPECT_EQ(count, fleet.HeldAt(1)) << "killed from " << first;
	}
}

/* Guards against a fleet that never holds again what it forgot when all nodes
 * restarted at once: as many ends as before are enough. */
TEST_P(QuarantineFleetSize, AllNodesRestartedForgetItOnce)
{
	size_t count = GetParam();
	QuarantineFleet fleet(count, 0.3);

	for (int i = 0; i < 3; i++)
		fleet.End(0, 1, 1);
	fleet.Run(known_within_us);
	EXPECT_EQ(count, fleet.HeldAt(1));
	for (size_t i = 0; i < count; i++)
		fleet.Restart(i);
	fleet.Run(known_within_us);
	EXPECT_EQ(0u, fleet.HeldAt(1));
	for (int i = 0; i < 2; i++) {
		fleet.End(count / 2, 1, 1);
		fleet.Run(300 * ms_us);
	}
	fleet.Run(known_within_us);
	EXPECT_EQ(count, fleet.HeldAt(1));
}

INSTANTIATE_TEST_SUITE_P(Nodes, QuarantineFleetSize,
			 testing::Values(7, 30, 61, 480));

/* Guards against news that go round without end: a quiet fleet sends one record
 * a node and second. */
TEST(QuarantineFleetLoad, QuietNodesSendLittle)
{
	QuarantineFleet fleet(30, 0);

	for (uint64_t endpoint = 1; endpoint <= 3; endpoint++)
		fleet.End(0, 1, endpoint);
	fleet.Run(10 * second_us);
	fleet.sent = 0;
	fleet.Run(10 * second_us);
	EXPECT_LE(fleet.sent, 30u * 11);
}

/*
 * Requests of a service whose endpoints end for several reasons. Each endpoint
 * runs a few at once; a run that its endpoint breaks off is sent once more.
 */
class QuarantineInnocents : public testing::TestWithParam<uint64_t>
{
      protected:
	static constexpr uint64_t poison = 1;
	static constexpr uint64_t popular = 2;
	static constexpr size_t endpoint_count = 6;
	static constexpr size_t requests = 20000;

	struct request {
		uint64_t fingerprint;
		int sends;
		int repeated;	 /* by its caller */
		int64_t sent_us; /* over a connection of its own */
		int64_t ends_us;
	};

	std::mt19937 random{GetParam()};
	struct quarantine *quarantine;
	std::vector<std::vector<struct request>> running{endpoint_count};
	std::vector<uint64_t> keys;
	std::vector<int64_t> back_us = std::vector<int64_t>(endpoint_count, 0);
	uint64_t next_key = 100;
	uint64_t next_fingerprint = 1000;
	int64_t now_us = second_us;
	size_t innocents = 0;
	size_t refused = 0;
	size_t ended_by_poison = 0;
	int64_t restart_us = 3 * second_us;
	bool keeps_id = false;	/* where endpoints start again */
	int callers_repeat = 0; /* lost requests, so often */
	std::multimap<int64_t, struct request> repeats;

	void SetUp() override
	{
		struct quarantine_options options;

		quarantine_options_default(&options);
		quarantine = quarantine_create(&options);
		for (size_t i = 0; i < endpoint_count; i++)
			keys.push_back(next_key++);
	}

	void TearDown() override
	{
		quarantine_destroy(quarantine);
	}

	size_t Pick(size_t count)
	{
		return std::uniform_int_distribution<size_t>(0,
							     count - 1)(random);
	}

	void Send(struct request request)
	{
		size_t i = Pick(endpoint_count);

		if (quarantine_until_us(quarantine, request.fingerprint,
					now_us)) {
			refused += request.fingerprint != poison;
			return;
		}
		for (size_t n = 0; n < endpoint_count && back_us[i] > now_us;
		     n++)
			i = (i + 1) % endpoint_count;
		if (back_us[i] > now_us)
			return;
		request.sends++;
		request.sent_us = now_us;
		request.ends_us = now_us + 30 * ms_us + (int64_t)Pick(60000);
		running[i].push_back(request);
	}

	/* The endpoint breaks off some runs; if it ends, all of them. */
	void Break(size_t i, bool ends)
	{
		std::vector<struct request> lost;
		struct endpoint_start start =
			quarantine_current_start(quarantine, keys[i] << 32);

		lost.swap(running[i]);
		for (const struct request &request : lost) {
			struct quarantine_run run = {request.fingerprint, 1,
						     start};

			quarantine_report_loss(quarantine, &run, now_us);
		}
		if (ends) {
			quarantine_report_end(quarantine, &start, now_us);
			back_us[i] = now_us + restart_us;
			if (!keeps_id)
				keys[i] = next_key++;
		}
		for (const struct request &request : lost)
			if (request.sends < 2)
				Send(request);
			else if (request.repeated < callers_repeat)
				repeats.insert({now_us + 200 * ms_us,
						{request.fingerprint, 0,
						 request.repeated + 1, 0, 0}});
	}

	/* Callers send again what they lost. */
	void Repeat()
	{
		while (!repeats.empty() && repeats.begin()->first <= now_us) {
			struct request request = repeats.begin()->second;

			repeats.erase(repeats.begin());
			innocents += request.fingerprint != poison;
			Send(request);
		}
	}

	void Finish(size_t i)
	{
		std::vector<struct request> left;
		bool crashes = false;

		for (const struct request &request : running[i]) {
			if (request.ends_us > now_us) {
				left.push_back(request);
				continue;
			}
			if (request.fingerprint == poison) {
				left.push_back(request);
				crashes = true;
				continue;
			}
			struct quarantine_answer answer = {keys[i] << 32,
							   request.sent_us,
							   request.sent_us};

			quarantine_report_answer(quarantine, &answer, now_us);
			quarantine_report_success(quarantine,
						  request.fingerprint,
						  request.sent_us, now_us);
		}
		running[i].swap(left);
		if (!crashes)
			return;
		ended_by_poison++;
		Break(i, true);
	}

	void Play(const std::function<void()> &trouble)
	{
		for (size_t n = 0; n < requests; n++) {
			uint64_t fingerprint = next_fingerprint++;

			now_us += 5 * ms_us;
			for (size_t i = 0; i < endpoint_count; i++)
				Finish(i);
			if (n % 200 == 7)
				fingerprint = poison;
			else if (n % 20 == 0)
				fingerprint = popular;
			innocents += fingerprint != poison;
			Send({fingerprint, 0, 0, 0, 0});
			Repeat();
			trouble();
		}
		EXPECT_LE((double)refused, (double)innocents / 1000)
			<< "refused though innocent";
		EXPECT_LE(ended_by_poison, 3u + 3) << "three, and three more";
		EXPECT_TRUE(quarantine_until_us(quarantine, poison, now_us));
		EXPECT_FALSE(quarantine_until_us(quarantine, popular, now_us));
	}
};

/* Guards against refusing what only ran beside a request that ends endpoints.
 */
TEST_P(QuarantineInnocents, BesideARequestThatEndsEndpoints)
{
	Play([] {});
}

/* Guards against refusing what was lost with a whole failure domain. */
TEST_P(QuarantineInnocents, WhenAFailureDomainEnds)
{
	Play([this] {
		if (Pick(1000) != 0)
			return;
		for (size_t i = 0; i < endpoint_count / 3; i++)
			if (back_us[i] <= now_us)
				Break(i, true);
	});
}

/* Guards against refusing what endpoints that go on have reset. */
TEST_P(QuarantineInnocents, WhenEndpointsResetHalfOfTheirRequests)
{
	Play([this] {
		size_t i = Pick(endpoint_count / 2);

		if (back_us[i] <= now_us && Pick(5) == 0)
			Break(i, false);
	});
}

/* Guards against refusing what was lost where an endpoint ends again and again
 * with causes of its own, under its id or new ones. */
TEST_P(QuarantineInnocents, WhenAnEndpointIsInACrashLoop)
{
	restart_us = (int64_t)50 * ms_us << (GetParam() % 8);
	keeps_id = Pick(2) == 0;
	Play([this] {
		if (back_us[0] <= now_us && Pick(20) == 0)
			Break(0, true);
	});
}

/* Guards against refusing what its callers send again while half of the
 * endpoints end again and again with causes of their own. */
TEST_P(QuarantineInnocents, WhenHalfOfTheEndpointsAreInACrashLoop)
{
	restart_us = (int64_t)50 * ms_us << (GetParam() % 8);
	keeps_id = Pick(2) == 0;
	callers_repeat = 3;
	Play([this] {
		size_t i = Pick(endpoint_count / 2);

		if (back_us[i] <= now_us && Pick(40) == 0)
			Break(i, true);
	});
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuarantineInnocents,
			 testing::Range((uint64_t)1, (uint64_t)9));

/* Guards against a node that is cut off and takes endpoints for ended. */
TEST(EndpointEnd, ARefusalCountsOnlyIfAnotherEndpointIsHeard)
{
	struct endpoint_end_input input = {};

	input.lost_us = 10 * second_us;
	input.now_us = 11 * second_us;
	input.is_registered = true;
	input.has_other = true;
	EXPECT_EQ(ENDPOINT_END_UNKNOWN, endpoint_end_decide(&input));
	input.refused_us = 10 * second_us + 1;
	input.heard_other_us = 10 * second_us - 1;
	EXPECT_EQ(ENDPOINT_END_UNKNOWN, endpoint_end_decide(&input));
	input.heard_other_us = 10 * second_us + 1;
	EXPECT_EQ(ENDPOINT_END_CONFIRMED, endpoint_end_decide(&input));
	input.refused_us = 9 * second_us;
	EXPECT_EQ(ENDPOINT_END_UNKNOWN, endpoint_end_decide(&input))
		<< "refused before it broke off the run";
	input.now_us = 26 * second_us;
	EXPECT_EQ(ENDPOINT_END_GIVEN_UP, endpoint_end_decide(&input));
	input.is_registered = false;
	EXPECT_EQ(ENDPOINT_END_CONFIRMED, endpoint_end_decide(&input));
	input.is_registered = true;
	input.is_replaced = true;
	EXPECT_EQ(ENDPOINT_END_CONFIRMED, endpoint_end_decide(&input));
}

/* Guards against a lone endpoint that a request ends without end, as no other
 * one can be heard. */
TEST(EndpointEnd, ALoneEndpointHasEndedOnceItAcceptsAgain)
{
	struct endpoint_end_input input = {};

	input.lost_us = 10 * second_us;
	input.now_us = 11 * second_us;
	input.is_registered = true;
	input.refused_us = 10 * second_us + 2;
	EXPECT_EQ(ENDPOINT_END_UNKNOWN, endpoint_end_decide(&input));
	input.accepted_us = 10 * second_us + 1;
	EXPECT_EQ(ENDPOINT_END_UNKNOWN, endpoint_end_decide(&input))
		<< "accepted before it refused";
	input.accepted_us = 10 * second_us + 3;
	EXPECT_EQ(ENDPOINT_END_CONFIRMED, endpoint_end_decide(&input));
	input.has_other = true;
	EXPECT_EQ(ENDPOINT_END_UNKNOWN, endpoint_end_decide(&input))
		<< "another one can tell whether this node is cut off";
}
