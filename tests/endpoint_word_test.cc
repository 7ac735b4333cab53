#include "core/gateway/endpoint_word.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kSecond = G_USEC_PER_SEC;

/* What reaches a broken endpoint of 30 requests a second, from 60 nodes. */
int LostIn(int64_t seconds, bool tell)
{
	struct endpoint_word words[60] = {};
	int lost = 0;

	for (int64_t i = 0; i < seconds * 30; i++) {
		int64_t now_us = i * kSecond / 30;
		uint64_t node = (uint64_t)(i * 7 % 60);

		if (!endpoint_word_allows(&words[node], now_us))
			continue;
		lost++;
		for (uint64_t other = 0; other < 60; other++) {
			if (tell || other == node)
				endpoint_word_take(&words[other], node + 1,
						   now_us);
		}
	}
	return lost;
}

} // namespace

/*
 * Load: an engine resets all that it is sent, for six seconds, and looks empty,
 * so that most of what comes goes there. Each of 60 nodes learns by its own
 * losses, and every request is lost. Told by two of them, all stay away, but
 * for one request each time when it is tried again.
 */
TEST(EndpointWord, FewAreLostWhereNodesTellOneAnother)
{
	EXPECT_EQ(180, LostIn(6, false));
	EXPECT_GE(4, LostIn(6, true));
}

/*
 * One node is cut off from all engines, and says of each that it breaks off.
 * The others go on using them.
 */
TEST(EndpointWord, OneNodeAloneIsNotBelieved)
{
	struct endpoint_word word = {};

	for (int64_t i = 0; i < 20; i++)
		EXPECT_FALSE(endpoint_word_take(&word, 7, i * kSecond / 10));
	EXPECT_TRUE(endpoint_word_allows(&word, 2 * kSecond));
}

/* Two failures by chance, half a minute apart. */
TEST(EndpointWord, FailuresFarApartDoNotAgree)
{
	struct endpoint_word word = {};

	EXPECT_FALSE(endpoint_word_take(&word, 7, 0));
	EXPECT_FALSE(endpoint_word_take(&word, 8, 30 * kSecond));
	EXPECT_TRUE(endpoint_word_allows(&word, 30 * kSecond));
}

/*
 * Seven requests of seven nodes ran on an engine that crashed once. It is back
 * and well: they count as one failure, and it gets work again in time.
 */
TEST(EndpointWord, WhatFailsTogetherCountsOnce)
{
	struct endpoint_word word = {};

	for (uint64_t node = 1; node <= 7; node++)
		endpoint_word_take(&word, node, 0);
	EXPECT_FALSE(endpoint_word_allows(&word, kSecond));
	EXPECT_TRUE(endpoint_word_allows(&word, 2 * kSecond));
}

/* It fails again and again: it is left alone for longer each time. */
TEST(EndpointWord, ARelapseIsLeftAloneForLonger)
{
	struct endpoint_word word = {};

	endpoint_word_take(&word, 1, 0);
	EXPECT_TRUE(endpoint_word_take(&word, 2, 0));
	EXPECT_TRUE(endpoint_word_take(&word, 2, 3 * kSecond));
	EXPECT_FALSE(endpoint_word_allows(&word, 6 * kSecond));
	EXPECT_TRUE(endpoint_word_allows(&word, 7 * kSecond));
}
