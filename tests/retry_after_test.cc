#include "core/gateway/retry_after.h"

#include <gtest/gtest.h>

/*
 * Six engines of 48 leave, and for 1.5 s their reports take all free room, so
 * that forty callers are refused. If these retry at once, they are refused
 * again and have used up their only retry; if they retry at the same time, they
 * compete for the same room. They return spread over half a second, and a
 * report whose first event is due in 1.8 s still has 0.8 s for its prompt.
 */
TEST(RetryAfter, CallersRetryApartAndInTime)
{
	const int64_t first_answer_us = 1800 * 1000;
	int in_half[2] = {0, 0};

	for (int i = 0; i < 40; i++) {
		int64_t after_us =
			retry_after_full_us(first_answer_us, i / 40.0);

		EXPECT_GE(after_us, 500 * 1000);
		EXPECT_LE(after_us, first_answer_us - 800 * 1000);
		in_half[after_us > 764 * 1000]++;
	}
	EXPECT_EQ(20, in_half[0]);
	EXPECT_EQ(20, in_half[1]);
}

/* A plain call is due in 150 ms, but room does not become free that soon. */
TEST(RetryAfter, IsNeverSoonerThanRoomCanCome)
{
	EXPECT_EQ(RETRY_SOON_US, retry_after_full_us(150 * 1000, 0.9));
	EXPECT_EQ(RETRY_SOON_US, retry_after_full_us(0, 0.5));
}
