#include "core/gateway/newcomer.h"

#include <gtest/gtest.h>

static int Tellers(size_t others)
{
	int count = 0;

	for (size_t i = 0; i < others; i++)
		count += newcomer_is_told(others, (double)i / (double)others);
	return count;
}

/*
 * Load: 88 nodes start at once after a loss of power and hear one another. Each
 * told each of all endpoints, 9 KB each time, 0.8 MB for each link.
 */
TEST(Newcomer, IsToldByFewOfMany)
{
	EXPECT_EQ(6, Tellers(87));
	EXPECT_EQ(6, Tellers(479));
}

/* Guards against a newcomer without a store that nobody tells. */
TEST(Newcomer, IsToldByAllOfFew)
{
	EXPECT_EQ(1, Tellers(1));
	EXPECT_EQ(6, Tellers(6));
}
