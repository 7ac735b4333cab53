#include "core/gateway/table_fetch.h"

#include <gtest/gtest.h>

#include <string>

namespace
{

constexpr int64_t MS = 1000;

/*
 * Returns the steps of a node that is behind from 0 on, as "ms step", with a
 * tick of 20 ms. An answer of the store arrives in the time given.
 */
std::string Steps(int64_t until_ms, bool reaches_store,
		  int64_t reading_from_ms = 0, int64_t reading_until_ms = 0)
{
	struct table_fetch fetch = {};
	std::string steps;

	for (int64_t ms = 1; ms < until_ms; ms += 20) {
		struct table_fetch_input input = {};

		input.now_us = ms * MS;
		input.reaches_store = reaches_store;
		input.is_reading =
			ms >= reading_from_ms && ms < reading_until_ms;
		switch (table_fetch_decide(&fetch, &input)) {
		case TABLE_FETCH_WAIT:
			break;
		case TABLE_FETCH_READ_STORE:
			steps += std::to_string(ms) + " read_store, ";
			break;
		case TABLE_FETCH_ASK_NODE:
			steps += std::to_string(ms) + " ask_node, ";
			break;
		}
	}
	return steps;
}

} // namespace

/*
 * Guards against copies that fill a slow link. Each of 88 nodes reads half a
 * MB, some over links of 10 Mbit/s that also carry streams. While a slow node
 * reads, all others announce the change to it, and it must not ask for a second
 * copy until it is done.
 */
TEST(TableFetch, ReadsOnceOverASlowLink)
{
	EXPECT_EQ("", Steps(3000, true, 300, 3000));
}

/* Guards against waiting for a stalled watch, and against needless copies. */
TEST(TableFetch, TriesTheStoreAndANodeInTurn)
{
	EXPECT_EQ("601 read_store, 1201 ask_node, 2201 read_store, "
		  "2801 ask_node, 3801 read_store, ",
		  Steps(4000, true));
}

/* Guards against a cut-off node staying behind, and against needless copies. */
TEST(TableFetch, AsksOneNodeAtATimeWithoutAStore)
{
	EXPECT_EQ("201 ask_node, 1201 ask_node, 2201 ask_node, ",
		  Steps(3000, false));
}

/* An answer of the store stops half-way: a node is asked instead. */
TEST(TableFetch, GoesOnWhenAnAnswerStops)
{
	EXPECT_EQ("1001 read_store, 1601 ask_node, ",
		  Steps(2000, true, 200, 1000));
}

namespace
{

/* Returns how many of 87 nodes that request a copy within 0.1 s get one. */
int CountCopies(size_t bytes)
{
	struct table_copy_limit limit = {};
	int copies = 0;

	for (int i = 0; i < 87; i++)
		copies += table_copy_limit_take(&limit, bytes,
						10000 * MS + i * MS);
	EXPECT_TRUE(table_copy_limit_take(&limit, bytes, 11000 * MS));
	return copies;
}

} // namespace

/*
 * Guards against copies that compete for one link. The store refuses all nodes
 * but one, and the other 87 ask that one. Each gets its copy within some
 * seconds through other nodes, and no link gets more than it carries in a
 * second. Small configurations go to all nodes at once.
 */
TEST(TableFetch, GivesFewLargeCopiesAtOnce)
{
	EXPECT_EQ(4, CountCopies(283131));
	EXPECT_EQ(1, CountCopies(2000000));
	EXPECT_EQ(87, CountCopies(11448));
}
