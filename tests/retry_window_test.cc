#include "core/limit/retry_window.h"

#include <gtest/gtest.h>

namespace
{

constexpr int64_t kSecond = 1000000;
constexpr int64_t kWindow = 10 * kSecond;

void CountFirsts(struct retry_window *window, int count)
{
	for (int i = 0; i < count; i++)
		retry_window_count_first(window);
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
 * Load: one of sixty nodes has sent ten generations in ten seconds, and four of
 * them run on engines that leave now. All four move at once: what the requests
 * of the window allow, and this node's part, is there in one moment. Given out
 * one by one as requests come, three of four reports would be cut off whose
 * copies stood ready.
 */
TEST(RetryWindow, AllOfAWindowMayBeUsedInOneMoment)
{
	struct retry_window *window = retry_window_create(kWindow, 0);

	retry_window_set_limits(window, 20, 2.1);
	for (int i = 0; i < 10; i++) {
		retry_window_step(window, i * kSecond);
		CountFirsts(window, 1);
	}
	EXPECT_EQ(4, TakeAll(window));
	retry_window_step(window, 9 * kSecond + kWindow / 2);
	EXPECT_EQ(0, TakeAll(window));
	retry_window_destroy(window);
}

/* What was sent again comes back only when the whole window has passed. */
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
 * A node is suspended for a minute: what it counted before is long out of the
 * window, and the requests of then allow no retries now.
 */
TEST(RetryWindow, ForgetsWhatIsLongAgo)
{
	struct retry_window *window = retry_window_create(kWindow, 0);

	retry_window_set_limits(window, 20, 0);
	CountFirsts(window, 100);
	EXPECT_EQ(20, retry_window_left(window));
	retry_window_step(window, 60 * kSecond);
	EXPECT_EQ(0, retry_window_left(window));
	retry_window_destroy(window);
}

/*
 * A change of settings comes while retries are in use. What was used stays
 * used: a file that changes again and again must not multiply the retries.
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
