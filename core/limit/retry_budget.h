#ifndef CORE_LIMIT_RETRY_BUDGET_H
#define CORE_LIMIT_RETRY_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits the retries of a node to a share of its first attempts, so that
 * retries cannot multiply a load that is already too high. Also computes the
 * delay before a retry, which is random so that retries are not synchronised.
 */
struct retry_budget_options {
	int32_t percent; /* retries per 100 first attempts */
	int32_t burst;	 /* maximum of accumulated retries */
	int64_t base_us; /* bound of the first delay; its mean is half */
	int64_t max_us;	 /* bound of any delay */
};

struct retry_budget;

void retry_budget_options_default(struct retry_budget_options *options);
struct retry_budget *
retry_budget_create(const struct retry_budget_options *options);
void retry_budget_destroy(struct retry_budget *budget);

void retry_budget_count_request(struct retry_budget *budget);
bool retry_budget_take(struct retry_budget *budget);
int64_t retry_budget_delay_us(const struct retry_budget *budget,
			      int32_t retries, GRand *rand);
int64_t retry_budget_remaining(const struct retry_budget *budget);

G_END_DECLS

#endif
