#ifndef ADAPTERS_GATEWAY_REPORT_POLL_H
#define ADAPTERS_GATEWAY_REPORT_POLL_H

#include "adapters/gateway/dialect.h"
#include "adapters/log.h"
#include "core/base/counters.h"
#include "core/gateway/registry.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Polls the reports of engines to learn whether they are leaving, while the
 * store that would announce it can't be reached or its last entry of an engine
 * is in doubt.
 */
struct report_poll;

/* The report of this engine says that the engine is leaving. */
typedef void (*report_poll_callback)(void *data, const char *endpoint_id);

struct report_poll_options {
	const struct dialect *dialect;
	struct log *log;
	struct counters *counters;
	report_poll_callback on_leaving;
	void *data;
};

struct report_poll *
report_poll_create(const struct report_poll_options *options);
void report_poll_destroy(struct report_poll *poll);
void report_poll_step(struct report_poll *poll, const GPtrArray *endpoints,
		      int64_t now_us);

G_END_DECLS

#endif
