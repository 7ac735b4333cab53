#include "bench/slope.h"
#include "bench/workload.h"
#include "core/placement/placement.h"

#include <stdio.h>
#include <time.h>

#define CALLS_PER_ENGINE 35
#define DECISIONS 4000
#define DECISIONS_PER_ENGINE_S 3.2 /* 38,000/s on 12,000 engines */
#define PROGRESS_PERIOD_US 250000
#define TOKEN_INTERVAL_US 15000
#define CAPACITY_TOKENS 60000
#define PROMPT_TOKENS 600

struct slope {
	struct placement *placement;
	GArray *tickets;       /* uint64_t, in order of placement */
	GArray *started_at_us; /* int64_t, time of placement */
	GArray *decisions;
	guint next_progress;
	uint64_t next_ticket;
	int64_t now_us;
	double decide_us;
	double progress_us;
};

static const int32_t sizes[] = {10, 30, 100, 300, 1000, 2000};

static double clock_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static void slope_add_engines(const struct slope *slope, int32_t engines)
{
	for (int32_t i = 0; i < engines; i++) {
		char *address =
			g_strdup_printf("10.0.%d.%d:9000", i / 250, i % 250);
		struct config_endpoint endpoint = {
			.address = address,
			.capacity_tokens = CAPACITY_TOKENS,
		};

		placement_set_endpoint(slope->placement, &endpoint, 0);
		g_free(address);
	}
}

static void slope_submit(struct slope *slope)
{
	struct placement_request request = {
		.ticket = slope->next_ticket++,
		.organisation = workload_organisation_name(
			(int32_t)(slope->next_ticket % WORKLOAD_ORGANISATIONS)),
		.weight = 1,
		.prompt_tokens = PROMPT_TOKENS,
		.deadline_us = slope->now_us + 180 * G_USEC_PER_SEC,
	};

	placement_submit(slope->placement, &request, slope->now_us);
	g_array_set_size(slope->decisions, 0);
	placement_step(slope->placement, slope->now_us, slope->decisions);
	for (guint i = 0; i < slope->decisions->len; i++) {
		const struct placement_decision *decision = &g_array_index(
			slope->decisions, struct placement_decision, i);

		if (decision->verdict != PLACEMENT_PLACED)
			continue;
		g_array_append_val(slope->tickets, decision->ticket);
		g_array_append_val(slope->started_at_us, slope->now_us);
	}
}

static int64_t slope_output_tokens(const struct slope *slope, guint index)
{
	int64_t started_us =
		g_array_index(slope->started_at_us, int64_t, index);

	return (slope->now_us - started_us) / TOKEN_INTERVAL_US;
}

static void slope_release_oldest(struct slope *slope, guint *first)
{
	uint64_t ticket = g_array_index(slope->tickets, uint64_t, *first);

	placement_release(slope->placement, ticket, RELEASE_COMPLETE,
			  slope_output_tokens(slope, *first), slope->now_us);
	(*first)++;
}

static void slope_report_progress(struct slope *slope, guint first,
				  int32_t count)
{
	guint running = slope->tickets->len - first;

	for (int32_t i = 0; i < count && running > 0; i++) {
		guint index = first + slope->next_progress++ % running;

		placement_report_progress(
			slope->placement,
			g_array_index(slope->tickets, uint64_t, index),
			slope_output_tokens(slope, index), slope->now_us);
	}
}

static void slope_measure(struct slope *slope, int32_t engines)
{
	int64_t gap_us =
		(int64_t)(G_USEC_PER_SEC / (DECISIONS_PER_ENGINE_S * engines));
	int32_t reports = (int32_t)(CALLS_PER_ENGINE * engines * gap_us /
				    PROGRESS_PERIOD_US);
	guint first = 0;

	for (int32_t i = 0; i < CALLS_PER_ENGINE * engines; i++) {
		slope->now_us += gap_us;
		slope_submit(slope);
		slope_report_progress(slope, first, 2);
	}
	slope->decide_us = 0;
	slope->progress_us = 0;
	for (int32_t i = 0; i < DECISIONS; i++) {
		double from_us = clock_us();
		double decided_us;

		slope->now_us += gap_us;
		if (first < slope->tickets->len)
			slope_release_oldest(slope, &first);
		slope_submit(slope);
		decided_us = clock_us();
		slope->decide_us += decided_us - from_us;
		slope_report_progress(slope, first, reports);
		slope->progress_us += clock_us() - decided_us;
	}
}

/* Prints the mean times and the waiting requests for each number of engines. */
void slope_print(void)
{
	printf("%8s %12s %12s %10s\n", "engines", "decide_us", "progress_us",
	       "waiting");
	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct placement_options options = {
			.policy = PLACEMENT_PEAK,
			.kind = SERVICE_GENERATION,
			.seed = 1,
			.max_waiting = 1000,
		};
		struct slope slope = {.next_ticket = 1};

		slope.placement = placement_create(&options);
		slope.tickets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		slope.started_at_us =
			g_array_new(FALSE, FALSE, sizeof(int64_t));
		slope.decisions = g_array_new(
			FALSE, FALSE, sizeof(struct placement_decision));
		slope_add_engines(&slope, sizes[i]);
		slope_measure(&slope, sizes[i]);
		printf("%8d %12.2f %12.2f %10u\n", sizes[i],
		       slope.decide_us / DECISIONS,
		       slope.progress_us / DECISIONS,
		       placement_waiting_count(slope.placement));
		g_array_unref(slope.tickets);
		g_array_unref(slope.started_at_us);
		g_array_unref(slope.decisions);
		placement_destroy(slope.placement);
	}
}
