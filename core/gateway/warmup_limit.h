#ifndef CORE_GATEWAY_WARMUP_LIMIT_H
#define CORE_GATEWAY_WARMUP_LIMIT_H

#include "core/limit/rate_share.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits the requests that all nodes together send to an endpoint which is
 * still cold after a start: above a rate that its service states it crashes.
 */

/* The operators' bound for any second: rate x excess + slack requests. */
struct warmup_bounds {
	int64_t rate_per_ks; /* requests per 1,000 s; 0: no limit */
	int64_t excess_percent;
	int64_t slack;
};

/* The window in which requests are counted: the bound holds for any second. */
#define WARMUP_WINDOW_US G_USEC_PER_SEC

struct rate_parts warmup_parts(const struct warmup_bounds *bounds);

G_END_DECLS

#endif
