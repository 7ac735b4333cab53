#ifndef PORTS_LOAD_REPORT_H
#define PORTS_LOAD_REPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Load that an endpoint reports for itself; it lags and may be wrong. The
 * struct owns nothing. A field that the endpoint did not report is -1.
 */
struct load_report {
	int64_t reported_at_us; /* endpoint's clock, only to order reports */
	int64_t running;
	int64_t waiting;
	int64_t tokens_used;
	int64_t tokens_capacity;
	int64_t preemptions_total;
	bool leaving;
};

G_END_DECLS

#endif
