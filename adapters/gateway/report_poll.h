#ifndef ADAPTERS_GATEWAY_REPORT_POLL_H
#define ADAPTERS_GATEWAY_REPORT_POLL_H

#include "adapters/gateway/dialect.h"
#include "core/gateway/registry.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Asks engines themselves whether they leave, where the store that would say so
 * can't be reached, or said of one what may not be so.
 */
struct report_poll;

/* The engine says that it leaves. */
typedef void (*report_poll_function)(void *data, const char *endpoint_id);

struct report_poll *report_poll_create(const struct dialect *dialect,
				       report_poll_function leaves, void *data);
void report_poll_destroy(struct report_poll *poll);
void report_poll_step(struct report_poll *poll, const GPtrArray *endpoints,
		      int64_t now_us);

G_END_DECLS

#endif
