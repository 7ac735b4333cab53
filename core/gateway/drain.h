#ifndef CORE_GATEWAY_DRAIN_H
#define CORE_GATEWAY_DRAIN_H

#include "core/gateway/route_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Rules for draining a gateway before it stops. From the start of the drain,
 * callers are directed to other nodes. Requests that still arrive are served,
 * except those that would be cut off when the process ends.
 */
enum drain_step {
	DRAIN_SERVE,
	DRAIN_CLOSE_IDLE,  /* close connections without a request */
	DRAIN_ANSWER_REST, /* answer each request that is still in progress */
	DRAIN_END	   /* end the process */
};

bool drain_allows_request(enum route_kind kind, int64_t expected_us,
			  int64_t drained_us, int64_t timeout_us);
enum drain_step drain_decide(int64_t drained_us, int64_t timeout_us,
			     size_t busy, size_t closing);

G_END_DECLS

#endif
