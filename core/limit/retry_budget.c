#include "core/limit/retry_budget.h"

/* Stock is counted in hundredths of a retry: a percent per first attempt. */
#define RETRY_COST 100
#define MAX_DOUBLINGS 16

struct retry_budget {
	struct retry_budget_options options;
	int64_t stock;
};

/* One retry in ten first attempts, ten saved up, waits from 50 ms to 2 s. */
void retry_budget_options_default(struct retry_budget_options *options)
{
	options->percent = 10;
	options->burst = 10;
	options->base_us = 50 * 1000;
	options->max_us = 2 * G_USEC_PER_SEC;
}

/* A budget with all that may be saved up. */
struct retry_budget *
retry_budget_create(const struct retry_budget_options *options)
{
	struct retry_budget *budget = g_new0(struct retry_budget, 1);

	budget->options = *options;
	budget->stock = (int64_t)options->burst * RETRY_COST;
	return budget;
}

/* Frees a budget; NULL is allowed. */
void retry_budget_destroy(struct retry_budget *budget)
{
	g_free(budget);
}

/* Counts the first attempt of a call, which earns its share of a retry. */
void retry_budget_count_first(struct retry_budget *budget)
{
	int64_t most = (int64_t)budget->options.burst * RETRY_COST;

	budget->stock = MIN(budget->stock + budget->options.percent, most);
}

/*
 * Takes one retry. False: none is left, and the call must end.
 *
 * Without the bound an engine that fails all it gets would double the load
 * of the others just when they take over its share: their queues grow, time
 * out and are retried in turn. With it the attempts stay under
 * 1 + percent / 100 of the calls, whatever fails.
 */
bool retry_budget_take(struct retry_budget *budget)
{
	if (budget->stock < RETRY_COST)
		return false;
	budget->stock -= RETRY_COST;
	return true;
}

/*
 * How long to wait before a retry, in us: uniform between nothing and a bound
 * that doubles with the retries already made. retries is 0 before the first.
 */
int64_t retry_budget_delay_us(const struct retry_budget *budget,
			      int32_t retries, GRand *rand)
{
	int64_t bound = budget->options.base_us
			<< CLAMP(retries, 0, MAX_DOUBLINGS);

	bound = MIN(bound, budget->options.max_us);
	return (int64_t)(g_rand_double(rand) * (double)bound);
}

/* Whole retries in stock, for the dump. */
int64_t retry_budget_left(const struct retry_budget *budget)
{
	return budget->stock / RETRY_COST;
}
