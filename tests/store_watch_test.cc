#include "core/gateway/store_watch.h"

#include <gtest/gtest.h>

namespace
{

struct store_watch_input Node(bool is_sentinel)
{
	struct store_watch_input input = {};

	input.is_sentinel = is_sentinel;
	input.reaches_store = true;
	input.sentinel_reaches = true;
	input.knows_endpoints = true;
	return input;
}

} // namespace

/* A calm day of 61 nodes: two follow the entries, the others are told. */
TEST(StoreWatch, FewFollowTheEntries)
{
	struct store_watch_input one = Node(true), other = Node(false);

	EXPECT_TRUE(store_watch_decide(&one).entries);
	EXPECT_TRUE(store_watch_decide(&one).closely);
	EXPECT_FALSE(store_watch_decide(&other).entries);
	EXPECT_FALSE(store_watch_decide(&other).closely);
	EXPECT_FALSE(store_watch_decide(&other).patiently);
}

/*
 * Load: the store is away for eight seconds and 61 nodes know it. Each that
 * tries twice a second, for its configuration and for the entries, makes 2,000
 * calls to a store that answers none of them. The sentinels try on; the others
 * do so seldom, and ask for no entries.
 */
TEST(StoreWatch, NotAllCallAStoreThatIsAway)
{
	struct store_watch_input one = Node(true), other = Node(false);

	one.reaches_store = false;
	one.sentinel_reaches = false;
	one.sentinel_waits = true;
	other.reaches_store = false;
	other.sentinel_reaches = false;
	other.sentinel_waits = true;
	EXPECT_FALSE(store_watch_decide(&one).patiently);
	EXPECT_TRUE(store_watch_decide(&one).entries);
	EXPECT_TRUE(store_watch_decide(&other).patiently);
	EXPECT_FALSE(store_watch_decide(&other).entries);
}

/* Only this node is cut off from the store: it tries on by itself. */
TEST(StoreWatch, WhoIsCutOffAloneTriesOn)
{
	struct store_watch_input input = Node(false);

	input.reaches_store = false;
	EXPECT_FALSE(store_watch_decide(&input).patiently);
}

/* The sentinels are cut off, and this node is not: it follows by itself. */
TEST(StoreWatch, WhoReachesTheStoreDoesNotWaitForSentinels)
{
	struct store_watch_input input = Node(false);

	input.sentinel_reaches = false;
	input.sentinel_waits = true;
	EXPECT_TRUE(store_watch_decide(&input).entries);
	EXPECT_TRUE(store_watch_decide(&input).closely);
	EXPECT_FALSE(store_watch_decide(&input).patiently);
}

/* After a start, or cut off from all: nobody else is there to tell. */
TEST(StoreWatch, WhoHearsNoSentinelTriesOn)
{
	struct store_watch_input input = Node(false);

	input.reaches_store = false;
	input.sentinel_reaches = false;
	EXPECT_TRUE(store_watch_decide(&input).entries);
	EXPECT_FALSE(store_watch_decide(&input).patiently);
	input = Node(false);
	input.knows_endpoints = false;
	EXPECT_TRUE(store_watch_decide(&input).entries);
}
