#ifndef BENCH_MEASURE_H
#define BENCH_MEASURE_H

#include "bench/histogram.h"
#include "bench/workload.h"
#include "ports/refusal.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* The outcome of one request, updated from its arrival to its end. */
enum flow_end { FLOW_OPEN, FLOW_COMPLETE, FLOW_REFUSED, FLOW_BROKEN };

struct flow {
	const struct workload_item *item;
	enum flow_end end;
	enum refusal refusal;
	int32_t attempts;
	int64_t placed_us; /* first sent to an endpoint; 0: never */
	int64_t first_us;  /* first token */
	int64_t last_us;   /* last token, or the end */
	int64_t stall_us;  /* sum of what gaps last beyond MAX_GAP_US */
	int64_t tokens;
};

/* Counters and histograms of one benchmark run. */
struct measure {
	int64_t from_us; /* only requests that arrive in this window count */
	int64_t until_us;
	struct histogram intervals;
	struct histogram first_token;
	struct histogram check_first_token;
	struct histogram stall;
	struct histogram wait[WORKLOAD_KINDS];
	int64_t requests[WORKLOAD_KINDS];
	int64_t in_time[WORKLOAD_KINDS];
	int64_t completed;
	int64_t broken;
	int64_t refused[REFUSAL_COUNT];
	int64_t attempts;
	int64_t sent_attempts; /* from the nodes' counters; 0: not counted */
	int64_t all_requests;  /* in the window or not */
	int64_t good_tokens;   /* of requests that met their deadline */
	int64_t organisation_requests[WORKLOAD_ORGANISATIONS];
	int64_t organisation_in_time[WORKLOAD_ORGANISATIONS];
	GArray *seconds; /* struct measure_second, by second of arrival */
	int64_t preemptions;
	int64_t recomputed_tokens;
	int64_t engine_requests; /* all kinds but plain calls */
	int64_t decisions;
	double decision_us; /* real time spent in all decisions */
};

struct measure_second {
	int64_t requests;
	int64_t in_time;
};

/* The results of a run; each is one column of the CSV file. */
enum figure {
	FIGURE_REQUESTS,
	FIGURE_STALL_MEAN_MS,
	FIGURE_STALL_P99_MS,
	FIGURE_PREEMPTIONS_PER_1000,
	FIGURE_RECOMPUTED_PER_1000,
	FIGURE_INTERVAL_P50_MS,
	FIGURE_INTERVAL_P95_MS,
	FIGURE_INTERVAL_P99_MS,
	FIGURE_INTERVAL_P999_MS,
	FIGURE_FIRST_P95_MS,
	FIGURE_IN_TIME_PERCENT,
	FIGURE_REPORT_IN_TIME_PERCENT,
	FIGURE_CHECK_IN_TIME_PERCENT,
	FIGURE_PLAIN_IN_TIME_PERCENT,
	FIGURE_GOOD_TOKENS_PER_S,
	FIGURE_REFUSED_PERCENT,
	FIGURE_REFUSED_DEADLINE,
	FIGURE_REFUSED_QUEUE_FULL,
	FIGURE_REFUSED_NO_ENDPOINT,
	FIGURE_REFUSED_FAILED,
	FIGURE_REFUSED_OTHER,
	FIGURE_BROKEN_PER_1000,
	FIGURE_FAIRNESS,
	FIGURE_CHECK_FIRST_P99_MS,
	FIGURE_CHECK_WAIT_P99_MS,
	FIGURE_PLAIN_WAIT_P99_MS,
	FIGURE_REPORT_WAIT_P99_MS,
	FIGURE_ATTEMPTS,
	FIGURE_BEFORE_FAULT_PERCENT,
	FIGURE_AFTER_FAULT_PERCENT,
	FIGURE_OTHERS_IN_TIME_PERCENT,
	FIGURE_DECISION_US,
	FIGURES
};

void measure_init(struct measure *measure, int64_t from_us, int64_t until_us);
void measure_clear(struct measure *measure);
void measure_add_tokens(struct measure *measure, struct flow *flow,
			int64_t count, int64_t at_us);
void measure_add_request(struct measure *measure, const struct flow *flow);
void measure_figures(const struct measure *measure, int64_t fault_us,
		     double figures[FIGURES]);
const char *figure_name(enum figure figure);

G_END_DECLS

#endif
