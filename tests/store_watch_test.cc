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

/* Without faults two of 61 nodes follow the entries and inform the others. */
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
 * Guards against load on a store that is away. In an outage of eight seconds,
 * 61 nodes that retry twice a second, for the configuration and for the
 * entries, make 2,000 calls that the store does not answer. The sentinels keep
 * retrying; the other nodes retry seldom, and don't ask for entries.
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

/* Only this node is cut off from the store: it keeps retrying itself. */
TEST(StoreWatch, NodeCutOffAloneKeepsRetrying)
{
	struct store_watch_input input = Node(false);

	input.reaches_store = false;
	EXPECT_FALSE(store_watch_decide(&input).patiently);
}

/* The sentinels are cut off and this node is not: it follows the entries. */
TEST(StoreWatch, NodeWithStoreDoesNotWaitForSentinels)
{
	struct store_watch_input input = Node(false);

	input.sentinel_reaches = false;
	input.sentinel_waits = true;
	EXPECT_TRUE(store_watch_decide(&input).entries);
	EXPECT_TRUE(store_watch_decide(&input).closely);
	EXPECT_FALSE(store_watch_decide(&input).patiently);
}

/* After a start, or cut off from all nodes: no sentinel informs this node. */
TEST(StoreWatch, NodeWithoutSentinelsKeepsRetrying)
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
