#include "core/gateway/store_watch.h"

#include <gtest/gtest.h>

namespace
{

struct store_watch_input Node(bool is_sentinel)
{
	struct store_watch_input input = {};

	input.is_sentinel = is_sentinel;
	input.reaches_store = true;
	input.sentinel_reaches_store = true;
	input.knows_endpoints = true;
	return input;
}

} // namespace

/* Without faults two of 61 nodes follow the entries and inform the others. */
TEST(StoreWatch, FewFollowTheEntries)
{
	struct store_watch_input one = Node(true), other = Node(false);

	EXPECT_TRUE(store_watch_decide(&one).entries);
	EXPECT_TRUE(store_watch_decide(&one).probes_store);
	EXPECT_FALSE(store_watch_decide(&other).entries);
	EXPECT_FALSE(store_watch_decide(&other).probes_store);
	EXPECT_FALSE(store_watch_decide(&other).slow_retry);
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
	one.sentinel_reaches_store = false;
	one.sentinel_lost_store = true;
	other.reaches_store = false;
	other.sentinel_reaches_store = false;
	other.sentinel_lost_store = true;
	EXPECT_FALSE(store_watch_decide(&one).slow_retry);
	EXPECT_TRUE(store_watch_decide(&one).entries);
	EXPECT_TRUE(store_watch_decide(&other).slow_retry);
	EXPECT_FALSE(store_watch_decide(&other).entries);
}

/* Only this node is cut off from the store: it keeps retrying itself. */
TEST(StoreWatch, NodeCutOffAloneKeepsRetrying)
{
	struct store_watch_input input = Node(false);

	input.reaches_store = false;
	EXPECT_FALSE(store_watch_decide(&input).slow_retry);
}

/* The sentinels are cut off and this node is not: it follows the entries. */
TEST(StoreWatch, NodeWithStoreDoesNotWaitForSentinels)
{
	struct store_watch_input input = Node(false);

	input.sentinel_reaches_store = false;
	input.sentinel_lost_store = true;
	EXPECT_TRUE(store_watch_decide(&input).entries);
	EXPECT_TRUE(store_watch_decide(&input).probes_store);
	EXPECT_FALSE(store_watch_decide(&input).slow_retry);
}

/* After a start, or cut off from all nodes: no sentinel informs this node. */
TEST(StoreWatch, NodeWithoutSentinelsKeepsRetrying)
{
	struct store_watch_input input = Node(false);

	input.reaches_store = false;
	input.sentinel_reaches_store = false;
	EXPECT_TRUE(store_watch_decide(&input).entries);
	EXPECT_FALSE(store_watch_decide(&input).slow_retry);
	input = Node(false);
	input.knows_endpoints = false;
	EXPECT_TRUE(store_watch_decide(&input).entries);
}
