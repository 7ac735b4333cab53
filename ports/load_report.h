#ifndef PORTS_LOAD_REPORT_H
#define PORTS_LOAD_REPORT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What an endpoint says of itself, late and perhaps wrongly. Plain data.
 * A field the endpoint did not report is -1.
 */
struct load_report {
	int64_t reported_at_us; /* endpoint's own clock: for order only */
	int64_t running;
	int64_t waiting;
	int64_t tokens_used;
	int64_t tokens_capacity;
	int64_t preemptions_total;
	bool leaving;
};

G_END_DECLS

#endif
