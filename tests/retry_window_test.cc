#include "core/limit/retry_window.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kSecond = 1000000;
constexpr int64_t kWindow = 10 * kSecond;

void CountRequests(struct retry_window *window, int count)
{
	for (int i = 0; i < count; i++)
		retry_window_count_request(window);
}

int TakeAll(struct retry_window *window)
{
	int count = 0;

	while (retry_window_take(window))
		count++;
	return count;
}

} // namespace

/*
 * One of sixty nodes has sent ten generations in ten seconds, and four of them
 * run on engines that leave now. All four must move at once, so the retries for
 * the requests of the window and the node's fixed part must be available
 * together. If retries became available one by one with new requests, three of
 * the four generations would be cut off although their copies exist.
 */
TEST(RetryWindow, AllOfAWindowMayBeUsedInOneMoment)
{
	struct retry_window *window = retry_window_create(kWindow, 0);

	retry_window_set_limits(window, 20, 2.1);
	for (int i = 0; i < 10; i++) {
		retry_window_step(window, i * kSecond);
		CountRequests(window, 1);
	}
	EXPECT_EQ(4, TakeAll(window));
	retry_window_step(window, 9 * kSecond + kWindow / 2);
	EXPECT_EQ(0, TakeAll(window));
	retry_window_destroy(window);
}

/* A used retry becomes available only after the whole window has passed. */
TEST(RetryWindow, NoWindowHasMoreThanItsOwn)
{
	struct retry_window *window = retry_window_create(kWindow, 0);

	retry_window_set_limits(window, 0, 3);
	retry_window_step(window, 5 * kSecond);
	EXPECT_EQ(3, TakeAll(window));
	retry_window_step(window, 5 * kSecond + kWindow - 1);
	EXPECT_EQ(0, TakeAll(window));
	retry_window_step(window, 5 * kSecond + 2 * kWindow);
	EXPECT_EQ(3, TakeAll(window));
	retry_window_destroy(window);
}

/*
 * A node is suspended for a minute: its earlier counts are outside the window,
 * and those requests allow no retries now.
 */
TEST(RetryWindow, ForgetsWhatIsLongAgo)
{
	struct retry_window *window = retry_window_create(kWindow, 0);

	retry_window_set_limits(window, 20, 0);
	CountRequests(window, 100);
	EXPECT_EQ(20, retry_window_remaining(window));
	retry_window_step(window, 60 * kSecond);
	EXPECT_EQ(0, retry_window_remaining(window));
	retry_window_destroy(window);
}

/*
 * The settings change while retries are in use. Used retries still count:
 * repeated changes of the settings file must not multiply the retries.
 */
TEST(RetryWindow, KeepsWhatWasUsedUnderOtherLimits)
{
	struct retry_window *window = retry_window_create(kWindow, 0);

	retry_window_set_limits(window, 20, 3);
	EXPECT_TRUE(retry_window_take(window));
	EXPECT_TRUE(retry_window_take(window));
	retry_window_set_limits(window, 20, 8);
	EXPECT_EQ(6, TakeAll(window));
	retry_window_set_limits(window, 20, 2);
	EXPECT_EQ(0, TakeAll(window));
	retry_window_set_limits(window, 20, 9);
	EXPECT_EQ(1, TakeAll(window));
	retry_window_destroy(window);
}
