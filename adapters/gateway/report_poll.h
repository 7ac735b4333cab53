#ifndef ADAPTERS_GATEWAY_REPORT_POLL_H
#define ADAPTERS_GATEWAY_REPORT_POLL_H

#include "adapters/gateway/dialect.h"
#include "adapters/log.h"
#include "core/base/counters.h"
#include "core/gateway/registry.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Asks endpoints themselves whether they leave, while the store that would
 * announce it can't be reached or their entries are in doubt: engines by their
 * reports, any endpoint by its health check.
 */
struct report_poll;

/* The report of this engine says that the engine is leaving. */
typedef void (*report_poll_callback)(void *data, const char *endpoint_id);

/* What an endpoint that was asked by report_poll_ask answers. */
typedef void (*status_callback)(void *data, const char *endpoint_id,
				enum endpoint_status status);

/* Either callback may be NULL. */
struct report_poll_options {
	const struct dialect *dialect;
	struct log *log;
	struct counters *counters;
	report_poll_callback on_leaving;
	status_callback on_status;
	void *data;
};

struct report_poll *
report_poll_create(const struct report_poll_options *options);
void report_poll_destroy(struct report_poll *poll);
void report_poll_step(struct report_poll *poll, const GPtrArray *endpoints,
		      int64_t now_us);
bool report_poll_has_room(struct report_poll *poll, int64_t now_us);
void report_poll_ask(struct report_poll *poll, const struct endpoint *endpoint,
		     const char *status_path, int64_t now_us);

G_END_DECLS

#endif
