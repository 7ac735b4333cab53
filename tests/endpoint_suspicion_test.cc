#include "core/gateway/endpoint_suspicion.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kSecond = G_USEC_PER_SEC;

/* Requests lost at a broken endpoint, of 30 a second from 60 nodes. */
int LostRequests(int64_t seconds, bool share)
{
	struct endpoint_suspicion words[60] = {};
	int lost = 0;

	for (int64_t i = 0; i < seconds * 30; i++) {
		int64_t now_us = i * kSecond / 30;
		uint64_t node = (uint64_t)(i * 7 % 60);

		if (!endpoint_suspicion_allows(&words[node], now_us))
			continue;
		lost++;
		for (uint64_t other = 0; other < 60; other++) {
			if (share || other == node)
				endpoint_suspicion_add_notice(&words[other],
							      node + 1, now_us);
		}
	}
	return lost;
}

} // namespace

/*
 * An engine resets every request for six seconds, looks empty, and so gets most
 * new requests. If each of 60 nodes counts only its own failures, every request
 * is lost. With shared notices all nodes avoid the engine after two failures
 * and lose only one more request each time they try it again.
 */
TEST(EndpointSuspicion, SharedNoticesLimitLosses)
{
	EXPECT_EQ(180, LostRequests(6, false));
	EXPECT_GE(4, LostRequests(6, true));
}

/*
 * One node is cut off from all engines and sends failure notices about each.
 * The other nodes keep using them.
 */
TEST(EndpointSuspicion, OneNodeAloneIsNotEnough)
{
	struct endpoint_suspicion suspicion = {};

	for (int64_t i = 0; i < 20; i++)
		EXPECT_FALSE(endpoint_suspicion_add_notice(&suspicion, 7,
							   i * kSecond / 10));
	EXPECT_TRUE(endpoint_suspicion_allows(&suspicion, 2 * kSecond));
}

/* Two unrelated failures, half a minute apart, put no endpoint aside. */
TEST(EndpointSuspicion, FailuresFarApartDoNotAgree)
{
	struct endpoint_suspicion suspicion = {};

	EXPECT_FALSE(endpoint_suspicion_add_notice(&suspicion, 7, 0));
	EXPECT_FALSE(
		endpoint_suspicion_add_notice(&suspicion, 8, 30 * kSecond));
	EXPECT_TRUE(endpoint_suspicion_allows(&suspicion, 30 * kSecond));
}

/*
 * Requests of seven nodes ran on an engine that crashed once and has recovered.
 * The seven notices count as one failure, so that the engine gets requests
 * again after the first time aside.
 */
TEST(EndpointSuspicion, ConcurrentFailuresCountOnce)
{
	struct endpoint_suspicion suspicion = {};

	for (uint64_t node = 1; node <= 7; node++)
		endpoint_suspicion_add_notice(&suspicion, node, 0);
	EXPECT_FALSE(endpoint_suspicion_allows(&suspicion, kSecond));
	EXPECT_TRUE(endpoint_suspicion_allows(&suspicion, 2 * kSecond));
}

/* An endpoint that keeps failing is put aside for longer each time. */
TEST(EndpointSuspicion, ARelapseIsPutAsideForLonger)
{
	struct endpoint_suspicion suspicion = {};

	endpoint_suspicion_add_notice(&suspicion, 1, 0);
	EXPECT_TRUE(endpoint_suspicion_add_notice(&suspicion, 2, 0));
	EXPECT_TRUE(endpoint_suspicion_add_notice(&suspicion, 2, 3 * kSecond));
	EXPECT_FALSE(endpoint_suspicion_allows(&suspicion, 6 * kSecond));
	EXPECT_TRUE(endpoint_suspicion_allows(&suspicion, 7 * kSecond));
}
