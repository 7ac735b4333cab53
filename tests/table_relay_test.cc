#include "core/gateway/table_relay.h"

#include <gtest/gtest.h>

static int answers(size_t others, int64_t behind_us, bool reaches_store)
{
	int count = 0;

	for (size_t i = 0; i < others; i++) {
		struct table_relay_input input = {};

		input.behind_us = behind_us;
		input.reaches_store = reaches_store;
		input.others = others;
		input.draw = (double)i / (double)others;
		count += table_relay_is_wanted(&input);
	}
	return count;
}

/*
 * Changes come every few hundred ms and a node is late with one: its processor
 * is busy. All others hear that it is behind, and each sent it the document: it
 * was busier still, and its callers found no connection. Three of them do.
 */
TEST(TableRelay, FewOfManyAnswerANodeThatIsBehind)
{
	EXPECT_EQ(3, answers(87, 700000, true));
	EXPECT_EQ(3, answers(479, 700000, true));
	EXPECT_EQ(3, answers(87, 0, false));
}

/* A node that reaches the store reads the change itself, and is left to it. */
TEST(TableRelay, LeavesItToTheStoreAtFirst)
{
	EXPECT_EQ(0, answers(87, 0, true));
	EXPECT_EQ(0, answers(6, 500000, true));
}

/* Cut off from the store, a node is helped at once, also by one other. */
TEST(TableRelay, HelpsANodeWithoutAStoreAtOnce)
{
	EXPECT_EQ(1, answers(1, 0, false));
	EXPECT_EQ(2, answers(2, 0, false));
	EXPECT_EQ(3, answers(6, 0, false));
}
