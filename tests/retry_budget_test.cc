#include "core/limit/retry_budget.h"

#include <gtest/gtest.h>

/*
 * Every attempt fails and the node makes every retry that it may. Callers are
 * refused early; the remaining endpoints receive at most a tenth more requests
 * than there are calls, since each first attempt adds a tenth of a retry.
 */
TEST(RetryBudget, BoundsAttemptsWhenAllFail)
{
	struct retry_budget_options options;
	struct retry_budget *budget;
	int retries = 0;

	retry_budget_options_default(&options);
	budget = retry_budget_create(&options);
	for (int i = 0; i < 10000; i++) {
		retry_budget_count_request(budget);
		while (retry_budget_take(budget))
			retries++;
	}
	EXPECT_LE(retries, 1000 + options.burst);
	EXPECT_GE(retries, 990);
	retry_budget_destroy(budget);
}

TEST(RetryBudget, SavesNoMoreThanItsBurst)
{
	struct retry_budget_options options;
	struct retry_budget *budget;
	int retries = 0;

	retry_budget_options_default(&options);
	budget = retry_budget_create(&options);
	for (int i = 0; i < 100000; i++)
		retry_budget_count_request(budget);
	while (retry_budget_take(budget))
		retries++;
	EXPECT_EQ(options.burst, retries);
	retry_budget_destroy(budget);
}

TEST(RetryBudget, SpreadsRetriesAndBoundsTheirWait)
{
	struct retry_budget_options options;
	struct retry_budget *budget;
	GRand *rand = g_rand_new_with_seed(7);
	int64_t lowest = INT64_MAX, highest = 0;

	retry_budget_options_default(&options);
	budget = retry_budget_create(&options);
	for (int i = 0; i < 1000; i++) {
		int64_t delay = retry_budget_delay_us(budget, 0, rand);

		lowest = MIN(lowest, delay);
		highest = MAX(highest, delay);
	}
	EXPECT_LT(lowest, options.base_us / 20);
	EXPECT_GT(highest, options.base_us * 19 / 20);
	EXPECT_LT(highest, options.base_us);
	for (int i = 0; i < 1000; i++)
		EXPECT_LE(retry_budget_delay_us(budget, 60, rand),
			  options.max_us);
	g_rand_free(rand);
	retry_budget_destroy(budget);
}
