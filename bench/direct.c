#include "bench/direct_state.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define PROGRESS_INTERVAL_US (200 * 1000)
#define CACHE_INTERVAL_US (2 * G_USEC_PER_SEC)
#define LOAD_LAG_US (5 * G_USEC_PER_SEC)

/* Monotonic clock in microseconds, for the cost of decisions. */
double direct_clock_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static void direct_add_engines(struct direct *direct, uint64_t seed)
{
	for (int32_t i = 0; i < ENGINES; i++) {
		struct engine_model_options options;

		engine_model_options_default(&options);
		options.seed = seed * ENGINES + (uint64_t)i + 1;
		if (direct->scenario->fault == FAULT_LATE_LOAD)
			options.load_lag_us = LOAD_LAG_US;
		direct->engines[i] = engine_model_create(&options);
		direct->engine_names[i] = g_strdup_printf("engine-%d", i);
	}
	for (int32_t i = 0; i < PLAIN_ENDPOINTS; i++)
		direct->plain_names[i] = g_strdup_printf("plain-%d", i);
}

static void direct_add_placements(struct direct *direct, uint64_t seed)
{
	direct->placement_count = direct->policy == BENCH_SHARES ? NODES : 1;
	for (int32_t n = 0; n < direct->placement_count; n++) {
		direct->placements[n] = direct_create_placement(
			direct, SERVICE_GENERATION, seed * NODES + (uint64_t)n);
		placement_set_share(direct->placements[n],
				    direct->placement_count);
		for (int32_t i = 0; i < ENGINES; i++) {
			struct config_endpoint endpoint = {
				.address = direct->engine_names[i],
				.capacity_tokens = 60000,
			};

			placement_set_endpoint(direct->placements[n], &endpoint,
					       0);
		}
	}
	direct->plain_placement =
		direct_create_placement(direct, SERVICE_PLAIN, seed);
	for (int32_t i = 0; i < PLAIN_ENDPOINTS; i++) {
		struct config_endpoint endpoint = {
			.address = direct->plain_names[i],
			.slots = PLAIN_SLOTS,
		};

		placement_set_endpoint(direct->plain_placement, &endpoint, 0);
	}
}

/*
 * Reports the calls of one of the eight nodes each time, as nodes do not report
 * at the same time.
 */
static void direct_report_progress(struct direct *direct)
{
	double start_us = direct_clock_us();

	for (guint i = 0; i < direct->active->len;) {
		guint index = g_array_index(direct->active, guint, i);
		struct direct_call *call = &direct->calls[index];

		if (!call->active) {
			g_array_remove_index_fast(direct->active, i);
			continue;
		}
		if (call->node == direct->progress_node)
			placement_report_progress(
				direct_call_placement(direct, call),
				direct_call_ticket(direct, call),
				call->flow.tokens, direct->now_us);
		i++;
	}
	direct->measure.decision_us += direct_clock_us() - start_us;
	direct->progress_node = (direct->progress_node + 1) % NODES;
	direct->next_progress_us += PROGRESS_INTERVAL_US / NODES;
}

static void direct_step_waiting(struct direct *direct)
{
	for (guint i = 0; i < direct->waiting->len;) {
		guint index = g_array_index(direct->waiting, guint, i);
		struct direct_call *call = &direct->calls[index];
		int64_t due_us =
			call->retry_us ? call->retry_us : call->plain_done_us;

		if (due_us > direct->now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(direct->waiting, i);
		if (call->retry_us) {
			call->retry_us = 0;
			direct_submit(direct, call);
			continue;
		}
		direct->plain_running[call->plain]--;
		call->flow.last_us = direct->now_us;
		direct_release(direct, call, RELEASE_COMPLETE);
		direct_end(direct, call, FLOW_COMPLETE);
	}
}

static void direct_arrive(struct direct *direct)
{
	struct direct_call *call;

	while (direct->next_item < direct->items->len) {
		const struct workload_item *item = &g_array_index(
			direct->items, struct workload_item, direct->next_item);

		if (item->at_us > direct->now_us)
			return;
		call = &direct->calls[direct->next_item++];
		retry_budget_count_request(direct->budget);
		direct_submit(direct, call);
	}
}

static int64_t direct_next_us(const struct direct *direct)
{
	int64_t due = MIN(direct->next_progress_us, direct->next_poll_us);

	due = MIN(due, MIN(direct->next_cache_us, direct->next_fault_us));
	if (direct->next_item < direct->items->len)
		due = MIN(due,
			  g_array_index(direct->items, struct workload_item,
					direct->next_item)
				  .at_us);
	for (int32_t i = 0; i < ENGINES; i++)
		due = MIN(due, engine_model_next_due_us(direct->engines[i]));
	for (guint i = 0; i < direct->waiting->len; i++) {
		const struct direct_call *call = &direct->calls[g_array_index(
			direct->waiting, guint, i)];

		due = MIN(due, call->retry_us ? call->retry_us
					      : call->plain_done_us);
	}
	for (int32_t n = 0; n < direct->placement_count; n++)
		due = MIN(due, placement_next_due_us(direct->placements[n]));
	return MAX(MIN(due, placement_next_due_us(direct->plain_placement)),
		   direct->now_us + 1);
}

static void direct_step(struct direct *direct)
{
	direct->now_us = direct_next_us(direct);
	if (direct->now_us >= direct->next_fault_us)
		direct_step_fault(direct);
	direct_step_engines(direct);
	direct_step_waiting(direct);
	direct_arrive(direct);
	if (direct->now_us >= direct->next_progress_us)
		direct_report_progress(direct);
	if (direct->now_us >= direct->next_poll_us)
		direct_poll(direct);
	if (direct->now_us >= direct->next_cache_us) {
		for (int32_t i = 0; i < ENGINES; i++)
			direct_forward_cache_events(direct, i);
		direct->next_cache_us += CACHE_INTERVAL_US;
	}
	direct_step_placements(direct);
}

static void direct_create(struct direct *direct,
			  const struct scenario *scenario,
			  enum bench_policy policy, uint64_t seed)
{
	struct workload_options workload;
	struct retry_budget_options budget;

	memset(direct, 0, sizeof(*direct));
	direct->scenario = scenario;
	direct->policy = policy;
	scenario_fill_workload(scenario, seed, &workload);
	direct->items = workload_generate(&workload);
	direct->calls = g_new0(struct direct_call, direct->items->len);
	direct->rand = g_rand_new_with_seed((guint32)seed);
	for (guint i = 0; i < direct->items->len; i++) {
		direct->calls[i].flow.item =
			&g_array_index(direct->items, struct workload_item, i);
		direct->calls[i].node =
			g_rand_int_range(direct->rand, 0, NODES);
	}
	retry_budget_options_default(&budget);
	direct->budget = retry_budget_create(&budget);
	direct->outputs =
		g_array_new(FALSE, FALSE, sizeof(struct engine_output));
	direct->decisions =
		g_array_new(FALSE, FALSE, sizeof(struct placement_decision));
	direct->active = g_array_new(FALSE, FALSE, sizeof(guint));
	direct->waiting = g_array_new(FALSE, FALSE, sizeof(guint));
	direct->next_fault_us =
		scenario->fault == FAULT_NONE ? INT64_MAX : SCENARIO_MID_US;
	direct_add_engines(direct, seed);
	direct_add_placements(direct, seed);
	measure_init(&direct->measure, SCENARIO_WARMUP_US, SCENARIO_END_US);
}

static void direct_clear(struct direct *direct)
{
	for (int32_t i = 0; i < ENGINES; i++) {
		engine_model_destroy(direct->engines[i]);
		g_free(direct->engine_names[i]);
	}
	for (int32_t i = 0; i < PLAIN_ENDPOINTS; i++)
		g_free(direct->plain_names[i]);
	for (int32_t n = 0; n < direct->placement_count; n++)
		placement_destroy(direct->placements[n]);
	placement_destroy(direct->plain_placement);
	retry_budget_destroy(direct->budget);
	g_rand_free(direct->rand);
	g_array_unref(direct->outputs);
	g_array_unref(direct->decisions);
	g_array_unref(direct->active);
	g_array_unref(direct->waiting);
	g_array_unref(direct->items);
	g_free(direct->calls);
	measure_clear(&direct->measure);
}

static void direct_count_engines(struct direct *direct)
{
	for (int32_t i = 0; i < ENGINES; i++) {
		const struct engine_totals *totals =
			engine_model_totals(direct->engines[i]);

		direct->measure.preemptions += totals->preemptions;
		direct->measure.recomputed_tokens += totals->recomputed_tokens;
	}
}

/*
 * Runs one scenario to its end and fills in its figures. The same seed gives
 * the same arrivals.
 */
void direct_run(const struct scenario *scenario, enum bench_policy policy,
		uint64_t seed, double figures[FIGURES])
{
	struct direct *direct = g_new(struct direct, 1);

	direct_create(direct, scenario, policy, seed);
	while (direct->now_us < SCENARIO_END_US ||
	       (direct->now_us < SCENARIO_END_US + SCENARIO_DRAIN_US &&
		direct->active->len + direct->waiting->len > 0))
		direct_step(direct);
	for (guint i = 0; i < direct->items->len; i++)
		if (direct->calls[i].flow.end == FLOW_OPEN)
			measure_add_request(&direct->measure,
					    &direct->calls[i].flow);
	direct_count_engines(direct);
	measure_figures(&direct->measure,
			scenario->fault == FAULT_NONE ? 0 : SCENARIO_MID_US,
			figures);
	direct_clear(direct);
	g_free(direct);
}
