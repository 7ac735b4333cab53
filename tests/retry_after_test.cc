#include "core/gateway/retry_after.h"

#include <gtest/gtest.h>

/*
 * Load: six engines of 48 leave, and for a second and a half their reports take
 * the room that there is. Forty callers are refused in that time. Told to come
 * back at once all of them meet the same second again and have used their only
 * retry up; told to come back together they meet one another. They return over
 * half a second, and a report of 1.8 s still has 0.8 s for its prompt.
 */
TEST(RetryAfter, CallersReturnApartAndInTime)
{
	const int64_t aim_us = 1800 * 1000;
	int in_half[2] = {0, 0};

	for (int i = 0; i < 40; i++) {
		int64_t after_us = retry_after_full_us(aim_us, i / 40.0);

		EXPECT_GE(after_us, 500 * 1000);
		EXPECT_LE(after_us, aim_us - 800 * 1000);
		in_half[after_us > 764 * 1000]++;
	}
	EXPECT_EQ(20, in_half[0]);
	EXPECT_EQ(20, in_half[1]);
}

/* A plain call is due in 150 ms: not sooner than an endpoint has room again. */
TEST(RetryAfter, IsNeverSoonerThanRoomCanCome)
{
	EXPECT_EQ(RETRY_SOON_US, retry_after_full_us(150 * 1000, 0.9));
	EXPECT_EQ(RETRY_SOON_US, retry_after_full_us(0, 0.5));
}
