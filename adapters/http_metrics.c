#include "adapters/http_metrics.h"

static void append_counter(GString *text, const struct counters *counters,
			   enum counter id)
{
	const char *name = counter_name(id);

	g_string_append_printf(text,
			       "# HELP siskinlink_%s_total %s\n"
			       "# TYPE siskinlink_%s_total counter\n"
			       "siskinlink_%s_total %" G_GUINT64_FORMAT "\n",
			       name, counter_help(id), name, name,
			       counters->value[id]);
}

static void append_gauge(GString *text, const struct counters *counters,
			 enum gauge id)
{
	const char *name = gauge_name(id);

	g_string_append_printf(text,
			       "# HELP siskinlink_%s %s\n"
			       "# TYPE siskinlink_%s gauge\n"
			       "siskinlink_%s %" G_GUINT64_FORMAT "\n",
			       name, gauge_help(id), name, name,
			       counters->gauge[id]);
}

/* Buckets are cumulative, as Prometheus expects. */
static void append_histogram(GString *text, const struct counters *counters,
			     enum latency id)
{
	const struct latency_histogram *histogram = &counters->latency[id];
	const char *name = latency_name(id);
	uint64_t count = 0;

	g_string_append_printf(text,
			       "# HELP siskinlink_%s_seconds %s\n"
			       "# TYPE siskinlink_%s_seconds histogram\n",
			       name, latency_help(id), name);
	for (int i = 0; i < LATENCY_BUCKETS; i++) {
		int64_t bound_us = latency_bound_us(i);
		char bound[16] = "+Inf";

		count += histogram->bucket[i];
		if (bound_us >= 0)
			g_snprintf(bound, sizeof(bound), "%g",
				   (double)bound_us / G_USEC_PER_SEC);
		g_string_append_printf(
			text,
			"siskinlink_%s_seconds_bucket{le=\"%s\"} "
			"%" G_GUINT64_FORMAT "\n",
			name, bound, count);
	}
	g_string_append_printf(text,
			       "siskinlink_%s_seconds_sum %.6f\n"
			       "siskinlink_%s_seconds_count "
			       "%" G_GUINT64_FORMAT "\n",
			       name, (double)histogram->sum_us / G_USEC_PER_SEC,
			       name, count);
}

/* Returns the metrics in Prometheus text format; the caller unrefs them. */
GBytes *http_metrics_text(const struct counters *counters)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < COUNTER_COUNT; i++)
		append_counter(text, counters, (enum counter)i);
	for (int i = 0; i < GAUGE_COUNT; i++)
		append_gauge(text, counters, (enum gauge)i);
	for (int i = 0; i < LATENCY_COUNT; i++)
		append_histogram(text, counters, (enum latency)i);
	return g_string_free_to_bytes(text);
}
