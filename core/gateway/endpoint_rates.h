#ifndef CORE_GATEWAY_ENDPOINT_RATES_H
#define CORE_GATEWAY_ENDPOINT_RATES_H

#include "core/gateway/registry.h"
#include "core/gateway/warmup_limit.h"
#include "core/limit/rate_share.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How the requests that all nodes together send to endpoints of a service are
 * limited: while an endpoint is cold, by the rate that its service states, and
 * by the limit that the endpoint itself states in its answers.
 */
struct endpoint_rates {
	struct rate_fleet fleet;
	bool is_settled;	     /* this node knows the fleet */
	struct warmup_bounds warmup; /* rate 0: no limit */
	enum rate_chooser warmup_chooser;
	int64_t cold_us; /* how long an endpoint of the service is cold */
	enum rate_chooser limit_chooser;
};

/* What is sent to an endpoint. */
enum rate_purpose {
	RATE_FOR_REQUEST,
	RATE_FOR_TAKE_OVER /* a run that is lost if it can't go on there */
};

bool endpoint_rates_allow(const struct endpoint *endpoint,
			  const struct endpoint_rates *rates,
			  enum rate_purpose purpose, int64_t now_us);
void endpoint_rates_count(struct endpoint *endpoint,
			  const struct endpoint_rates *rates, int64_t now_us);
int64_t endpoint_rates_wait_us(const struct endpoint *endpoint,
			       const struct endpoint_rates *rates,
			       int64_t now_us);

G_END_DECLS

#endif
