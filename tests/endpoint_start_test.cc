#include "core/base/endpoint_start.h"

#include <gtest/gtest.h>

static enum start_order compare(struct endpoint_start a,
				struct endpoint_start b)
{
	return endpoint_start_compare(&a, &b);
}

/* Guards against taking one start of an endpoint for another. */
TEST(EndpointStart, IsOrderedByBirthThenByNumber)
{
	EXPECT_EQ(START_SAME, compare({7, 100, 1}, {7, 100, 1}));
	EXPECT_EQ(START_EARLIER, compare({7, 100, 1}, {7, 200, 1}));
	EXPECT_EQ(START_LATER, compare({7, 200, 1}, {7, 100, 1}));
	EXPECT_EQ(START_EARLIER, compare({7, 0, 1}, {7, 200, 2}))
		<< "one birth is unknown";
	EXPECT_EQ(START_LATER, compare({7, 100, 2}, {7, 0, 1}));
	EXPECT_EQ(START_SAME, compare({7, 0, 1}, {7, 200, 1}));
}

/* Guards against conclusions from a start of an unknown endpoint. */
TEST(EndpointStart, IsUnknownWithoutAnId)
{
	EXPECT_EQ(START_UNKNOWN, compare({0, 100, 1}, {0, 100, 1}));
	EXPECT_EQ(START_UNKNOWN, compare({0, 100, 1}, {7, 100, 1}));
	EXPECT_EQ(START_UNKNOWN, compare({7, 100, 1}, {8, 100, 1}));
}

/* Guards against nodes that name one start differently. */
TEST(EndpointStart, HasOneKeyAtAllNodes)
{
	struct endpoint_start start = {UINT64_C(0x123456789abcdef0), 0, 3};
	struct endpoint_start told = {UINT64_C(0x123456789abcdef0), 100, 3};
	struct endpoint_start next = {UINT64_C(0x123456789abcdef0), 0, 4};

	EXPECT_EQ(endpoint_start_key(&start), endpoint_start_key(&told));
	EXPECT_NE(endpoint_start_key(&start), endpoint_start_key(&next));
}
