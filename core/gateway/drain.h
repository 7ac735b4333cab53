#ifndef CORE_GATEWAY_DRAIN_H
#define CORE_GATEWAY_DRAIN_H

#include "core/gateway/route_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How a gateway stops. Callers are sent elsewhere from its first moment; those
 * that still come are served, but nothing is begun that would be cut at the
 * end.
 */
enum drain_step {
	DRAIN_SERVE,
	DRAIN_CLOSE_IDLE, /* connections without a request */
	DRAIN_END	  /* the process ends */
};

bool drain_may_begin(enum route_kind kind, int64_t drained_us,
		     int64_t longest_us);
enum drain_step drain_decide(int64_t drained_us, int64_t longest_us,
			     size_t busy);

G_END_DECLS

#endif
