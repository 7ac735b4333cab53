#ifndef CORE_LIMIT_RETRY_BUDGET_H
#define CORE_LIMIT_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How often a node may try again: a share of its first attempts, so that
 * retries cannot multiply a load that is already too high, and how long it
 * waits before, drawn at random so that retries do not come in step.
 */
struct retry_budget_options {
	int32_t percent; /* retries as a share of first attempts */
	int32_t burst;	 /* retries saved up at most */
	int64_t base_us; /* mean wait grows from half of this */
	int64_t max_us;
};

struct retry_budget;

void retry_budget_options_default(struct retry_budget_options *options);
struct retry_budget *
retry_budget_create(const struct retry_budget_options *options);
void retry_budget_destroy(struct retry_budget *budget);

void retry_budget_count_first(struct retry_budget *budget);
bool retry_budget_take(struct retry_budget *budget);
int64_t retry_budget_delay_us(const struct retry_budget *budget,
			      int32_t retries, GRand *rand);
int64_t retry_budget_left(const struct retry_budget *budget);

G_END_DECLS

#endif
