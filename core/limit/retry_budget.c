#include "core/limit/retry_budget.h"

/* Credit is in hundredths of a retry: a first attempt adds percent to it. */
#define RETRY_COST 100
#define MAX_DOUBLINGS 16

struct retry_budget {
	struct retry_budget_options options;
	int64_t credit;
};

/*
 * Defaults: one retry per ten first attempts, at most ten accumulated, and a
 * bound of the delay that grows from 50 ms to 2 s.
 */
void retry_budget_options_default(struct retry_budget_options *options)
{
	options->percent = 10;
	options->burst = 10;
	options->base_us = 50 * 1000;
	options->max_us = 2 * G_USEC_PER_SEC;
}

/*
 * Creates a budget with the full burst of retries and copies the options. The
 * caller frees it with retry_budget_destroy.
 */
struct retry_budget *
retry_budget_create(const struct retry_budget_options *options)
{
	struct retry_budget *budget = g_new0(struct retry_budget, 1);

	budget->options = *options;
	budget->credit = (int64_t)options->burst * RETRY_COST;
	return budget;
}

/* Frees a budget; NULL is allowed. */
void retry_budget_destroy(struct retry_budget *budget)
{
	g_free(budget);
}

/* Counts the first attempt of a call, which adds percent / 100 of a retry. */
void retry_budget_count_request(struct retry_budget *budget)
{
	int64_t limit = (int64_t)budget->options.burst * RETRY_COST;

	budget->credit = MIN(budget->credit + budget->options.percent, limit);
}

/*
 * Takes one retry. Returns false if none remains; the call must then end.
 *
 * Without this bound, an engine that fails every request would double the load
 * of the other engines while they take over its share: their queues grow, and
 * queued requests time out and are retried in turn. With it, attempts stay
 * below 1 + percent / 100 times the calls, plus the burst, whatever fails.
 */
bool retry_budget_take(struct retry_budget *budget)
{
	if (budget->credit < RETRY_COST)
		return false;
	budget->credit -= RETRY_COST;
	return true;
}

/*
 * Returns the delay before a retry in us: uniform between 0 and a bound that
 * doubles with each retry already made. retries is 0 before the first retry.
 */
int64_t retry_budget_delay_us(const struct retry_budget *budget,
			      int32_t retries, GRand *rand)
{
	int64_t bound = budget->options.base_us
			<< CLAMP(retries, 0, MAX_DOUBLINGS);

	bound = MIN(bound, budget->options.max_us);
	return (int64_t)(g_rand_double(rand) * (double)bound);
}

/* Returns the number of whole retries that remain, for the dump. */
int64_t retry_budget_remaining(const struct retry_budget *budget)
{
	return budget->credit / RETRY_COST;
}
