#include "bench/measure.h"

#include <string.h>

/* A longer gap between tokens is a stall; readers do not notice a shorter. */
#define MAX_GAP_US (200 * 1000)
#define RECOVERY_S 10 /* from a fault's start to the window after it */
#define FAULT_WINDOW_S 40

static const char *const figure_names[FIGURES] = {
	[FIGURE_REQUESTS] = "requests",
	[FIGURE_STALL_MEAN_MS] = "stall_mean_ms",
	[FIGURE_STALL_P99_MS] = "stall_p99_ms",
	[FIGURE_PREEMPTIONS_PER_1000] = "preempt_per_1000",
	[FIGURE_RECOMPUTED_PER_1000] = "recomputed_per_1000",
	[FIGURE_INTERVAL_P50_MS] = "interval_p50_ms",
	[FIGURE_INTERVAL_P95_MS] = "interval_p95_ms",
	[FIGURE_INTERVAL_P99_MS] = "interval_p99_ms",
	[FIGURE_INTERVAL_P999_MS] = "interval_p999_ms",
	[FIGURE_FIRST_P95_MS] = "first_token_p95_ms",
	[FIGURE_IN_TIME_PERCENT] = "in_time_pct",
	[FIGURE_REPORT_IN_TIME_PERCENT] = "report_in_time_pct",
	[FIGURE_CHECK_IN_TIME_PERCENT] = "check_in_time_pct",
	[FIGURE_PLAIN_IN_TIME_PERCENT] = "plain_in_time_pct",
	[FIGURE_GOOD_TOKENS_PER_S] = "goodput_tokens_per_s",
	[FIGURE_REFUSED_PERCENT] = "refused_pct",
	[FIGURE_REFUSED_DEADLINE] = "refused_deadline",
	[FIGURE_REFUSED_QUEUE_FULL] = "refused_queue_full",
	[FIGURE_REFUSED_NO_ENDPOINT] = "refused_no_endpoint",
	[FIGURE_REFUSED_FAILED] = "refused_endpoint_failed",
	[FIGURE_REFUSED_OTHER] = "refused_other",
	[FIGURE_BROKEN_PER_1000] = "broken_per_1000",
	[FIGURE_FAIRNESS] = "fairness",
	[FIGURE_CHECK_FIRST_P99_MS] = "check_first_p99_ms",
	[FIGURE_CHECK_WAIT_P99_MS] = "check_wait_p99_ms",
	[FIGURE_PLAIN_WAIT_P99_MS] = "plain_wait_p99_ms",
	[FIGURE_REPORT_WAIT_P99_MS] = "report_wait_p99_ms",
	[FIGURE_ATTEMPTS] = "attempts",
	[FIGURE_BEFORE_FAULT_PERCENT] = "before_fault_pct",
	[FIGURE_AFTER_FAULT_PERCENT] = "after_fault_pct",
	[FIGURE_OTHERS_IN_TIME_PERCENT] = "others_in_time_pct",
	[FIGURE_DECISION_US] = "decision_us",
};

/* Returns the name of a figure in the CSV header, a static string. */
const char *figure_name(enum figure figure)
{
	return figure_names[figure];
}

/*
 * Prepares an empty measure. Only requests that arrive from from_us to before
 * until_us count. Release it with measure_clear.
 */
void measure_init(struct measure *measure, int64_t from_us, int64_t until_us)
{
	memset(measure, 0, sizeof(*measure));
	measure->from_us = from_us;
	measure->until_us = until_us;
	measure->seconds =
		g_array_new(FALSE, TRUE, sizeof(struct measure_second));
	g_array_set_size(measure->seconds,
			 (guint)(until_us / G_USEC_PER_SEC + 1));
}

/* Frees the contents of a measure, but not the struct itself. */
void measure_clear(struct measure *measure)
{
	g_array_unref(measure->seconds);
}

static bool measure_in_window(const struct measure *measure,
			      const struct flow *flow)
{
	return flow->item->at_us >= measure->from_us &&
	       flow->item->at_us < measure->until_us;
}

/* Counts tokens that a stream generated at at_us, and the gap before them. */
void measure_add_tokens(struct measure *measure, struct flow *flow,
			int64_t count, int64_t at_us)
{
	int64_t gap_us = at_us - flow->last_us;

	if (flow->tokens == 0) {
		flow->first_us = at_us;
	} else {
		flow->stall_us += MAX(gap_us - MAX_GAP_US, 0);
		if (measure_in_window(measure, flow))
			histogram_add(&measure->intervals, gap_us);
	}
	flow->tokens += count;
	flow->last_us = at_us;
}

static bool flow_in_time(const struct flow *flow)
{
	return flow->end == FLOW_COMPLETE &&
	       flow->last_us <= flow->item->at_us + flow->item->deadline_us;
}

static void measure_add_to_organisation(struct measure *measure,
					const struct flow *flow, bool in_time)
{
	struct measure_second *second =
		&g_array_index(measure->seconds, struct measure_second,
			       flow->item->at_us / G_USEC_PER_SEC);

	measure->organisation_requests[flow->item->organisation]++;
	measure->organisation_in_time[flow->item->organisation] += in_time;
	second->requests++;
	second->in_time += in_time;
}

static void measure_add_engine_request(struct measure *measure,
				       const struct flow *flow)
{
	measure->engine_requests++;
	if (flow->first_us == 0)
		return;
	histogram_add(&measure->first_token,
		      flow->first_us - flow->item->at_us);
	histogram_add(&measure->stall, flow->stall_us);
	if (flow->item->kind == WORKLOAD_CHECK)
		histogram_add(&measure->check_first_token,
			      flow->first_us - flow->item->at_us);
}

/*
 * Adds a request that has ended, or that is still open at the end of the run.
 * all_requests counts every request, the other counters only those that arrive
 * in the window.
 */
void measure_add_request(struct measure *measure, const struct flow *flow)
{
	enum workload_kind kind = flow->item->kind;
	bool in_time = flow_in_time(flow);

	measure->all_requests++;
	if (!measure_in_window(measure, flow))
		return;
	measure->requests[kind]++;
	measure->in_time[kind] += in_time;
	measure->attempts += flow->attempts;
	measure->completed += flow->end == FLOW_COMPLETE;
	measure->broken += flow->end == FLOW_BROKEN;
	if (flow->end == FLOW_REFUSED)
		measure->refused[flow->refusal]++;
	if (flow->placed_us > 0)
		histogram_add(&measure->wait[kind],
			      flow->placed_us - flow->item->at_us);
	measure_add_to_organisation(measure, flow, in_time);
	if (kind == WORKLOAD_PLAIN)
		return;
	measure_add_engine_request(measure, flow);
	if (in_time)
		measure->good_tokens += flow->tokens;
}

static double percent(int64_t count, int64_t total)
{
	return total > 0 ? 100 * (double)count / (double)total : 0;
}

static int64_t measure_count_requests(const struct measure *measure)
{
	int64_t requests = 0;

	for (int32_t kind = 0; kind < WORKLOAD_KINDS; kind++)
		requests += measure->requests[kind];
	return requests;
}

static double measure_in_time_percent(const struct measure *measure,
				      int64_t from_s, int64_t until_s)
{
	int64_t requests = 0;
	int64_t in_time = 0;

	for (int64_t s = MAX(from_s, 0);
	     s < until_s && s < measure->seconds->len; s++) {
		const struct measure_second *second = &g_array_index(
			measure->seconds, struct measure_second, s);

		requests += second->requests;
		in_time += second->in_time;
	}
	return percent(in_time, requests);
}

/* Lowest in-time percentage of all organisations but the first. */
static double measure_worst_other_percent(const struct measure *measure)
{
	double worst = 100;

	for (int32_t i = 1; i < WORKLOAD_ORGANISATIONS; i++)
		worst = MIN(worst, percent(measure->organisation_in_time[i],
					   measure->organisation_requests[i]));
	return worst;
}

/* Ratio of the lowest to the highest in-time percentage of an organisation. */
static double measure_fairness(const struct measure *measure)
{
	double best = 0;
	double worst = 100;

	for (int32_t i = 0; i < WORKLOAD_ORGANISATIONS; i++) {
		double in_time = percent(measure->organisation_in_time[i],
					 measure->organisation_requests[i]);

		best = MAX(best, in_time);
		worst = MIN(worst, in_time);
	}
	return best > 0 ? worst / best : 0;
}

static enum figure refusal_figure(enum refusal refusal)
{
	switch (refusal) {
	case REFUSAL_DEADLINE:
		return FIGURE_REFUSED_DEADLINE;
	case REFUSAL_QUEUE_FULL:
		return FIGURE_REFUSED_QUEUE_FULL;
	case REFUSAL_NO_ENDPOINT:
		return FIGURE_REFUSED_NO_ENDPOINT;
	case REFUSAL_ENDPOINT_FAILED:
	case REFUSAL_ENDPOINT_TIMEOUT:
		return FIGURE_REFUSED_FAILED;
	default:
		return FIGURE_REFUSED_OTHER;
	}
}

static void figures_set_outcomes(const struct measure *measure,
				 double figures[FIGURES])
{
	int64_t requests = measure_count_requests(measure);
	int64_t refused = 0;
	int64_t in_time = 0;

	for (int32_t i = 0; i < REFUSAL_COUNT; i++) {
		refused += measure->refused[i];
		figures[refusal_figure(i)] += (double)measure->refused[i];
	}
	for (int32_t kind = 0; kind < WORKLOAD_KINDS; kind++) {
		in_time += measure->in_time[kind];
		figures[FIGURE_REPORT_IN_TIME_PERCENT + kind] = percent(
			measure->in_time[kind], measure->requests[kind]);
	}
	figures[FIGURE_REQUESTS] = (double)requests;
	figures[FIGURE_IN_TIME_PERCENT] = percent(in_time, requests);
	figures[FIGURE_REFUSED_PERCENT] = percent(refused, requests);
	figures[FIGURE_BROKEN_PER_1000] =
		10 * percent(measure->broken, requests);
	figures[FIGURE_ATTEMPTS] = percent(measure->attempts, requests) / 100;
	if (measure->sent_attempts > 0)
		figures[FIGURE_ATTEMPTS] = (double)measure->sent_attempts /
					   (double)measure->all_requests;
	figures[FIGURE_FAIRNESS] = measure_fairness(measure);
	figures[FIGURE_OTHERS_IN_TIME_PERCENT] =
		measure_worst_other_percent(measure);
}

/*
 * Computes all figures of a run. fault_us: when the fault began, 0 for a run
 * without one.
 */
void measure_figures(const struct measure *measure, int64_t fault_us,
		     double figures[FIGURES])
{
	int64_t fault_s = fault_us / G_USEC_PER_SEC;
	double window_s =
		(double)(measure->until_us - measure->from_us) / G_USEC_PER_SEC;
	double engine_requests = (double)MAX(measure->engine_requests, 1);

	memset(figures, 0, FIGURES * sizeof(*figures));
	figures_set_outcomes(measure, figures);
	figures[FIGURE_STALL_MEAN_MS] = histogram_mean(&measure->stall) / 1000;
	figures[FIGURE_STALL_P99_MS] =
		histogram_quantile(&measure->stall, 0.99) / 1000;
	figures[FIGURE_PREEMPTIONS_PER_1000] =
		1000 * (double)measure->preemptions / engine_requests;
	figures[FIGURE_RECOMPUTED_PER_1000] =
		1000 * (double)measure->recomputed_tokens / engine_requests;
	figures[FIGURE_INTERVAL_P50_MS] =
		histogram_quantile(&measure->intervals, 0.5) / 1000;
	figures[FIGURE_INTERVAL_P95_MS] =
		histogram_quantile(&measure->intervals, 0.95) / 1000;
	figures[FIGURE_INTERVAL_P99_MS] =
		histogram_quantile(&measure->intervals, 0.99) / 1000;
	figures[FIGURE_INTERVAL_P999_MS] =
		histogram_quantile(&measure->intervals, 0.999) / 1000;
	figures[FIGURE_FIRST_P95_MS] =
		histogram_quantile(&measure->first_token, 0.95) / 1000;
	figures[FIGURE_CHECK_FIRST_P99_MS] =
		histogram_quantile(&measure->check_first_token, 0.99) / 1000;
	figures[FIGURE_GOOD_TOKENS_PER_S] =
		(double)measure->good_tokens / window_s;
	for (int32_t kind = 0; kind < WORKLOAD_KINDS; kind++)
		figures[kind == WORKLOAD_REPORT	 ? FIGURE_REPORT_WAIT_P99_MS
			: kind == WORKLOAD_CHECK ? FIGURE_CHECK_WAIT_P99_MS
						 : FIGURE_PLAIN_WAIT_P99_MS] =
			histogram_quantile(&measure->wait[kind], 0.99) / 1000;
	if (fault_us > 0) {
		figures[FIGURE_BEFORE_FAULT_PERCENT] = measure_in_time_percent(
			measure, fault_s - FAULT_WINDOW_S, fault_s);
		figures[FIGURE_AFTER_FAULT_PERCENT] = measure_in_time_percent(
			measure, fault_s + RECOVERY_S,
			fault_s + RECOVERY_S + FAULT_WINDOW_S);
	}
	figures[FIGURE_DECISION_US] =
		measure->decision_us / (double)MAX(measure->decisions, 1);
}
