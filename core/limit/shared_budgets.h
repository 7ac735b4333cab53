#ifndef CORE_LIMIT_SHARED_BUDGETS_H
#define CORE_LIMIT_SHARED_BUDGETS_H

#include "core/limit/retry_window.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits the retries that all nodes together may send to each service: a share
 * of the requests in a window, which each node counts for itself, and a fixed
 * number, of which each node uses an equal part. The nodes exchange no messages
 * for this and write nothing to the store.
 */
struct shared_budgets_options {
	int32_t percent; /* retries per 100 requests */
	int64_t extra;	 /* further retries per window, of all nodes */
	int64_t window_us;
};

struct shared_budgets;

struct shared_budgets *
shared_budgets_create(const struct shared_budgets_options *options,
		      int64_t now_us);
void shared_budgets_destroy(struct shared_budgets *budgets);
void shared_budgets_set_limits(struct shared_budgets *budgets, int32_t percent,
			       int64_t extra);
void shared_budgets_step(struct shared_budgets *budgets, size_t nodes,
			 int64_t now_us);
struct retry_window *shared_budgets_get(struct shared_budgets *budgets,
					const char *service);

G_END_DECLS

#endif
