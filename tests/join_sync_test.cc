#include "core/gateway/join_sync.h"

#include <gtest/gtest.h>

/* The number of senders, if the draws are evenly spread. */
static int CountSenders(size_t others)
{
	int count = 0;

	for (size_t i = 0; i < others; i++)
		count +=
			join_sync_is_sender(others, (double)i / (double)others);
	return count;
}

/*
 * 88 nodes start at once after a loss of power. Guards against each of them
 * sending the list of endpoints to all others: 9 KB each time, 0.8 MB per link.
 */
TEST(JoinSync, FewOfManyNodesSend)
{
	EXPECT_EQ(6, CountSenders(87));
	EXPECT_EQ(6, CountSenders(479));
}

/* Guards against a new node without a store to which no node sends the list. */
TEST(JoinSync, AllOfFewNodesSend)
{
	EXPECT_EQ(1, CountSenders(1));
	EXPECT_EQ(6, CountSenders(6));
}
