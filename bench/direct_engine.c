#include "bench/direct_state.h"

#include <string.h>

#define CACHE_LOST_EVERY 3
#define IMPLAUSIBLE_ENGINES 3
#define NOTICE_US (10 * G_USEC_PER_SEC)
#define FAULT_DURATION_US (60 * G_USEC_PER_SEC)
#define STALL_DURATION_US (20 * G_USEC_PER_SEC)
#define SLOWDOWN_FACTOR 4.0

static void direct_handle_output(struct direct *direct,
				 const struct engine_output *output)
{
	struct direct_call *call = direct_find_call(direct, output->id);

	switch (output->type) {
	case ENGINE_TOKENS:
		measure_add_tokens(&direct->measure, &call->flow,
				   output->token_count, output->at_us);
		break;
	case ENGINE_DONE:
		direct_release(direct, call, RELEASE_COMPLETE);
		direct_end(direct, call, FLOW_COMPLETE);
		break;
	case ENGINE_PREEMPTED:
		break;
	case ENGINE_FAILED:
		call->avoid_hash =
			home_hash(direct->engine_names[call->engine], "", 0);
		direct_release(direct, call, RELEASE_FAILED);
		if (call->flow.tokens > 0)
			direct_end(direct, call, FLOW_BROKEN);
		else
			direct_retry(direct, call);
		break;
	}
}

/* Steps the engines that are due and handles their output. */
void direct_step_engines(struct direct *direct)
{
	g_array_set_size(direct->outputs, 0);
	for (int32_t i = 0; i < ENGINES; i++)
		if (engine_model_next_due_us(direct->engines[i]) <=
		    direct->now_us)
			engine_model_advance(direct->engines[i], direct->now_us,
					     direct->outputs);
	for (guint i = 0; i < direct->outputs->len; i++)
		direct_handle_output(direct,
				     &g_array_index(direct->outputs,
						    struct engine_output, i));
}

static void direct_distort_load(const struct direct *direct, int32_t engine,
				struct load_report *report)
{
	if (direct->scenario->fault != FAULT_WRONG_LOAD ||
	    engine >= IMPLAUSIBLE_ENGINES)
		return;
	switch (engine) {
	case 0:
		report->tokens_used = -5;
		break;
	case 1:
		report->tokens_used = INT64_MAX;
		report->tokens_capacity = INT64_MAX;
		break;
	default:
		report->tokens_used = 0;
		report->running = 0;
		report->tokens_capacity = 10000000;
		break;
	}
}

/* Polls the load of the engines; some report implausible values. */
void direct_poll(struct direct *direct)
{
	for (int32_t i = 0; i < ENGINES; i++) {
		struct load_report report;

		engine_model_report(direct->engines[i], direct->now_us,
				    &report);
		direct_distort_load(direct, i, &report);
		for (int32_t n = 0; n < direct->placement_count; n++) {
			if (direct->crashed[i])
				placement_report_unreachable(
					direct->placements[n],
					direct->engine_names[i],
					direct->now_us);
			else
				placement_report_load(direct->placements[n],
						      direct->engine_names[i],
						      &report, direct->now_us);
		}
	}
	direct->next_poll_us += POLL_INTERVAL_US;
}

/*
 * Forwards the cache events of an engine to the placements: two seconds late,
 * with a third of them lost.
 */
void direct_forward_cache_events(struct direct *direct, int32_t engine)
{
	GArray *events =
		g_array_new(FALSE, FALSE, sizeof(struct prefix_cache_event));
	int64_t newest = direct->cache_pending[engine];

	engine_model_cache_events(direct->engines[engine],
				  direct->cache_forwarded[engine], events);
	for (guint i = 0; i < events->len; i++) {
		const struct prefix_cache_event *event =
			&g_array_index(events, struct prefix_cache_event, i);

		newest = event->number;
		if (event->number > direct->cache_pending[engine] ||
		    event->number % CACHE_LOST_EVERY == 0)
			continue;
		for (int32_t n = 0; n < direct->placement_count; n++)
			placement_report_prefix(direct->placements[n],
						direct->engine_names[engine],
						event->prefix_hash,
						event->stored);
	}
	direct->cache_forwarded[engine] = direct->cache_pending[engine];
	direct->cache_pending[engine] = newest;
	g_array_unref(events);
}

static void direct_set_leaving(struct direct *direct, bool leaving)
{
	for (int32_t i = 0; i < 2; i++) {
		engine_model_set_leaving(direct->engines[i], leaving);
		for (int32_t n = 0; n < direct->placement_count; n++)
			placement_set_leaving(direct->placements[n],
					      direct->engine_names[i], leaving);
	}
}

static void direct_crash(struct direct *direct, int32_t engine)
{
	direct->crashed[engine] = true;
	g_array_set_size(direct->outputs, 0);
	engine_model_crash(direct->engines[engine], direct->now_us,
			   direct->outputs);
	for (guint i = 0; i < direct->outputs->len; i++)
		direct_handle_output(direct,
				     &g_array_index(direct->outputs,
						    struct engine_output, i));
}

static void direct_restart(struct direct *direct, int32_t engine)
{
	direct->crashed[engine] = false;
	engine_model_restart(direct->engines[engine], direct->now_us);
}

/* Applies the next stage of the scenario's fault. */
void direct_step_fault(struct direct *direct)
{
	int32_t stage = direct->fault_stage++;

	direct->next_fault_us = INT64_MAX;
	switch (direct->scenario->fault) {
	case FAULT_CRASH:
		if (stage == 0) {
			direct_crash(direct, 0);
			direct->next_fault_us =
				direct->now_us + FAULT_DURATION_US;
		} else {
			direct_restart(direct, 0);
		}
		break;
	case FAULT_RECLAIM:
		if (stage == 0) {
			direct_set_leaving(direct, true);
			direct->next_fault_us = direct->now_us + NOTICE_US;
		} else {
			direct_crash(direct, 0);
			direct_crash(direct, 1);
		}
		break;
	case FAULT_STALL:
		engine_model_stall(direct->engines[0],
				   direct->now_us + STALL_DURATION_US);
		break;
	case FAULT_SLOW:
		engine_model_set_slowdown(direct->engines[0],
					  stage == 0 ? SLOWDOWN_FACTOR : 1);
		if (stage == 0)
			direct->next_fault_us =
				direct->now_us + FAULT_DURATION_US;
		break;
	case FAULT_NONE:
	case FAULT_LATE_LOAD:
	case FAULT_WRONG_LOAD:
	case FAULT_NODE_LOST:
	case FAULT_HOME_LOST:
	case FAULT_HOME_PAUSED:
	case FAULT_KV_OUTAGE:
	case FAULTS:
		break;
	}
}
