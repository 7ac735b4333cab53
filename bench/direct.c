#include "bench/direct.h"
#include "core/placement/home.h"
#include "core/placement/placement.h"
#include "core/limit/retry_budget.h"
#include "fakes/engine_model.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define ENGINES 10
#define PLAIN_ENDPOINTS 3
#define PLAIN_SLOTS 16
#define NODES 8
#define PROGRESS_US (200 * 1000)
#define POLL_US (500 * 1000)
#define CACHE_US (2 * G_USEC_PER_SEC)
#define CACHE_LOST 3
#define MAX_ATTEMPTS 3
#define NAIVE_ATTEMPTS 10
#define NOTICE_US (10 * G_USEC_PER_SEC)
#define RESTART_US (60 * G_USEC_PER_SEC)
#define STALL_US (20 * G_USEC_PER_SEC)
#define SLOWDOWN 4.0
#define LATE_US (5 * G_USEC_PER_SEC)
#define LIARS 3
#define ATTEMPT_BITS 8

/* A request on its way: what the entry node of it knows. */
struct direct_call {
	struct flow flow;
	int32_t node;
	int32_t engine; /* -1: none */
	int32_t plain;	/* -1: none */
	uint64_t avoid_hash;
	int64_t retry_us; /* when to try again; 0: not waiting to */
	int64_t plain_done_us;
	bool live; /* placed and not ended */
};

struct direct {
	const struct scenario *scenario;
	enum bench_policy policy;
	GArray *items;
	struct direct_call *calls;
	struct engine_model *engines[ENGINES];
	bool crashed[ENGINES];
	char *engine_names[ENGINES];
	int64_t cache_seen[ENGINES]; /* events handed on */
	int64_t cache_next[ENGINES]; /* to be handed on at the next look */
	char *plain_names[PLAIN_ENDPOINTS];
	int32_t plain_running[PLAIN_ENDPOINTS];
	struct placement *placements[NODES]; /* one where there is a home */
	struct placement *plain_placement;
	int32_t placement_count;
	struct retry_budget *budget;
	GRand *rand;
	GArray *outputs;
	GArray *decisions;
	GArray *live;	 /* guint: calls to report progress of */
	GArray *waiting; /* guint: calls to try again, or running plain */
	struct measure measure;
	guint next_item;
	int64_t next_progress_us;
	int64_t next_poll_us;
	int64_t next_cache_us;
	int64_t next_fault_us;
	int32_t fault_stage;
	int32_t progress_node;
	int64_t now_us;
};

static double clock_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return (double)time.tv_sec * 1e6 + (double)time.tv_nsec / 1e3;
}

static struct placement *direct_placement(const struct direct *direct,
					  enum service_kind kind, uint64_t seed)
{
	struct placement_options options = {
		.policy = bench_policy_placement(direct->policy),
		.kind = kind,
		.seed = seed,
		.max_waiting = 2000,
		.step_us = 28000,
	};

	return placement_create(&options);
}

static void direct_add_engines(struct direct *direct, uint64_t seed)
{
	for (int32_t i = 0; i < ENGINES; i++) {
		struct engine_model_options options;

		engine_model_options_default(&options);
		options.seed = seed * ENGINES + (uint64_t)i + 1;
		if (direct->scenario->fault == FAULT_LATE_LOAD)
			options.load_lag_us = LATE_US;
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
		direct->placements[n] = direct_placement(
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
	direct->plain_placement = direct_placement(direct, SERVICE_PLAIN, seed);
	for (int32_t i = 0; i < PLAIN_ENDPOINTS; i++) {
		struct config_endpoint endpoint = {
			.address = direct->plain_names[i],
			.slots = PLAIN_SLOTS,
		};

		placement_set_endpoint(direct->plain_placement, &endpoint, 0);
	}
}

static struct placement *call_placement(const struct direct *direct,
					const struct direct_call *call)
{
	if (call->flow.item->kind == WORKLOAD_PLAIN)
		return direct->plain_placement;
	return direct->placements[call->node % direct->placement_count];
}

static uint64_t call_ticket(const struct direct *direct,
			    const struct direct_call *call)
{
	return ((uint64_t)(call - direct->calls + 1) << ATTEMPT_BITS) |
	       (uint64_t)call->flow.attempts;
}

static struct direct_call *direct_find(const struct direct *direct,
				       uint64_t ticket)
{
	return &direct->calls[(ticket >> ATTEMPT_BITS) - 1];
}

static void direct_submit(struct direct *direct, struct direct_call *call)
{
	const struct workload_item *item = call->flow.item;
	struct placement_request request = {
		.organisation = workload_organisation(item->organisation),
		.weight = workload_weight(item->organisation),
		.priority = item->priority,
		.prompt_tokens = item->prompt_tokens,
		.deadline_us = item->at_us + item->deadline_us,
		.prefix_hash = item->prefix_hash,
		.avoid_hash = call->avoid_hash,
		.true_tokens = item->output_tokens,
	};
	double from_us = clock_us();

	call->flow.attempts++;
	request.ticket = call_ticket(direct, call);
	placement_submit(call_placement(direct, call), &request,
			 direct->now_us);
	direct->measure.decision_us += clock_us() - from_us;
	direct->measure.decisions++;
}

static void direct_end(struct direct *direct, struct direct_call *call,
		       enum flow_end end)
{
	call->flow.end = end;
	measure_flow(&direct->measure, &call->flow);
}

static void direct_wait(struct direct *direct, struct direct_call *call)
{
	guint index = (guint)(call - direct->calls);

	g_array_append_val(direct->waiting, index);
}

static bool direct_may_retry(struct direct *direct,
			     const struct direct_call *call)
{
	if (direct->policy == BENCH_NAIVE)
		return call->flow.attempts < NAIVE_ATTEMPTS;
	return call->flow.attempts < MAX_ATTEMPTS &&
	       retry_budget_take(direct->budget);
}

static void direct_retry(struct direct *direct, struct direct_call *call)
{
	if (!direct_may_retry(direct, call)) {
		call->flow.refusal = REFUSAL_ENDPOINT_FAILED;
		direct_end(direct, call, FLOW_REFUSED);
		return;
	}
	call->retry_us = direct->now_us + 1;
	if (direct->policy != BENCH_NAIVE)
		call->retry_us += retry_budget_delay_us(
			direct->budget, call->flow.attempts - 1, direct->rand);
	direct_wait(direct, call);
}

static void direct_release(struct direct *direct, struct direct_call *call,
			   enum release_outcome outcome)
{
	double from_us = clock_us();

	call->live = false;
	placement_release(call_placement(direct, call),
			  call_ticket(direct, call), outcome, call->flow.tokens,
			  direct->now_us);
	direct->measure.decision_us += clock_us() - from_us;
}

static void direct_send(struct direct *direct, struct direct_call *call,
			int32_t engine)
{
	const struct workload_item *item = call->flow.item;
	struct engine_model_request request = {
		.id = call_ticket(direct, call),
		.prompt_tokens = item->prompt_tokens,
		.output_tokens = item->output_tokens,
		.priority = item->priority,
		.prefix_hash = item->prefix_hash,
		.prefix_tokens = item->prefix_tokens,
	};
	guint index = (guint)(call - direct->calls);

	call->engine = engine;
	if (!direct->crashed[engine] &&
	    engine_model_submit(direct->engines[engine], &request,
				direct->now_us)) {
		if (!call->live)
			g_array_append_val(direct->live, index);
		call->live = true;
		return;
	}
	call->avoid_hash = home_hash(direct->engine_names[engine], "", 0);
	direct_release(direct, call, RELEASE_LOST);
	direct_retry(direct, call);
}

/* Beyond its slots a plain endpoint serves all, as much more slowly. */
static void direct_send_plain(struct direct *direct, struct direct_call *call,
			      int32_t plain)
{
	int64_t takes_us = call->flow.item->output_tokens;
	int32_t running = ++direct->plain_running[plain];

	call->plain = plain;
	if (running > PLAIN_SLOTS)
		takes_us = takes_us * running / PLAIN_SLOTS;
	call->plain_done_us = direct->now_us + takes_us;
	call->live = true;
	direct_wait(direct, call);
}

static int32_t direct_index(char *const *names, int32_t count, const char *name)
{
	for (int32_t i = 0; i < count; i++)
		if (strcmp(names[i], name) == 0)
			return i;
	return -1;
}

static void direct_decided(struct direct *direct,
			   const struct placement_decision *decision)
{
	struct direct_call *call = direct_find(direct, decision->ticket);

	if (decision->verdict == PLACEMENT_REFUSED) {
		call->flow.refusal = decision->refusal;
		direct_end(direct, call, FLOW_REFUSED);
		return;
	}
	if (call->flow.placed_us == 0)
		call->flow.placed_us = direct->now_us;
	if (call->flow.item->kind == WORKLOAD_PLAIN)
		direct_send_plain(direct, call,
				  direct_index(direct->plain_names,
					       PLAIN_ENDPOINTS,
					       decision->endpoint));
	else
		direct_send(direct, call,
			    direct_index(direct->engine_names, ENGINES,
					 decision->endpoint));
}

static void direct_step_placement(struct direct *direct,
				  struct placement *placement)
{
	double from_us = clock_us();
	GArray *decisions;

	g_array_set_size(direct->decisions, 0);
	placement_step(placement, direct->now_us, direct->decisions);
	direct->measure.decision_us += clock_us() - from_us;
	if (direct->decisions->len == 0)
		return;
	decisions = direct->decisions;
	direct->decisions =
		g_array_new(FALSE, FALSE, sizeof(struct placement_decision));
	for (guint i = 0; i < decisions->len; i++)
		direct_decided(direct,
			       &g_array_index(decisions,
					      struct placement_decision, i));
	g_array_unref(decisions);
}

static void direct_step_placements(struct direct *direct)
{
	for (int32_t n = 0; n < direct->placement_count; n++)
		direct_step_placement(direct, direct->placements[n]);
	direct_step_placement(direct, direct->plain_placement);
}

static void direct_output(struct direct *direct,
			  const struct engine_output *output)
{
	struct direct_call *call = direct_find(direct, output->id);

	switch (output->type) {
	case ENGINE_TOKENS:
		measure_tokens(&direct->measure, &call->flow,
			       output->token_count, output->at_us);
		break;
	case ENGINE_DONE:
		direct_release(direct, call, RELEASE_WHOLE);
		direct_end(direct, call, FLOW_WHOLE);
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

static void direct_step_engines(struct direct *direct)
{
	g_array_set_size(direct->outputs, 0);
	for (int32_t i = 0; i < ENGINES; i++)
		if (engine_model_next_due_us(direct->engines[i]) <=
		    direct->now_us)
			engine_model_step(direct->engines[i], direct->now_us,
					  direct->outputs);
	for (guint i = 0; i < direct->outputs->len; i++)
		direct_output(direct, &g_array_index(direct->outputs,
						     struct engine_output, i));
}

/* An eighth of the nodes' calls each time: nodes do not report in step. */
static void direct_report_progress(struct direct *direct)
{
	double from_us = clock_us();

	for (guint i = 0; i < direct->live->len;) {
		guint index = g_array_index(direct->live, guint, i);
		struct direct_call *call = &direct->calls[index];

		if (!call->live) {
			g_array_remove_index_fast(direct->live, i);
			continue;
		}
		if (call->node == direct->progress_node)
			placement_progress(call_placement(direct, call),
					   call_ticket(direct, call),
					   call->flow.tokens, direct->now_us);
		i++;
	}
	direct->measure.decision_us += clock_us() - from_us;
	direct->progress_node = (direct->progress_node + 1) % NODES;
	direct->next_progress_us += PROGRESS_US / NODES;
}

static void direct_lie(const struct direct *direct, int32_t engine,
		       struct load_report *report)
{
	if (direct->scenario->fault != FAULT_LYING_LOAD || engine >= LIARS)
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

static void direct_poll(struct direct *direct)
{
	for (int32_t i = 0; i < ENGINES; i++) {
		struct load_report report;

		engine_model_report(direct->engines[i], direct->now_us,
				    &report);
		direct_lie(direct, i, &report);
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
	direct->next_poll_us += POLL_US;
}

/*
 * Cache events as engines publish them: two seconds late, a third of them
 * lost.
 */
static void direct_read_cache(struct direct *direct, int32_t engine)
{
	GArray *events =
		g_array_new(FALSE, FALSE, sizeof(struct engine_cache_event));
	int64_t newest = direct->cache_next[engine];

	engine_model_cache_events(direct->engines[engine],
				  direct->cache_seen[engine], events);
	for (guint i = 0; i < events->len; i++) {
		const struct engine_cache_event *event =
			&g_array_index(events, struct engine_cache_event, i);

		newest = event->number;
		if (event->number > direct->cache_next[engine] ||
		    event->number % CACHE_LOST == 0)
			continue;
		for (int32_t n = 0; n < direct->placement_count; n++)
			placement_prefix_cached(direct->placements[n],
						direct->engine_names[engine],
						event->prefix_hash,
						event->stored);
	}
	direct->cache_seen[engine] = direct->cache_next[engine];
	direct->cache_next[engine] = newest;
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
		direct_output(direct, &g_array_index(direct->outputs,
						     struct engine_output, i));
}

static void direct_restart(struct direct *direct, int32_t engine)
{
	direct->crashed[engine] = false;
	engine_model_restart(direct->engines[engine], direct->now_us);
}

static void direct_fault(struct direct *direct)
{
	int32_t stage = direct->fault_stage++;

	direct->next_fault_us = INT64_MAX;
	switch (direct->scenario->fault) {
	case FAULT_CRASH:
		if (stage == 0) {
			direct_crash(direct, 0);
			direct->next_fault_us = direct->now_us + RESTART_US;
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
				   direct->now_us + STALL_US);
		break;
	case FAULT_SLOW:
		engine_model_set_slowdown(direct->engines[0],
					  stage == 0 ? SLOWDOWN : 1);
		if (stage == 0)
			direct->next_fault_us = direct->now_us + RESTART_US;
		break;
	case FAULT_NONE:
	case FAULT_LATE_LOAD:
	case FAULT_LYING_LOAD:
	case FAULT_NODE_LOST:
	case FAULT_HOME_LOST:
	case FAULT_HOME_PAUSED:
	case FAULT_KV_OUTAGE:
	case FAULTS:
		break;
	}
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
		direct_release(direct, call, RELEASE_WHOLE);
		direct_end(direct, call, FLOW_WHOLE);
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
		retry_budget_count_first(direct->budget);
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
		direct_fault(direct);
	direct_step_engines(direct);
	direct_step_waiting(direct);
	direct_arrive(direct);
	if (direct->now_us >= direct->next_progress_us)
		direct_report_progress(direct);
	if (direct->now_us >= direct->next_poll_us)
		direct_poll(direct);
	if (direct->now_us >= direct->next_cache_us) {
		for (int32_t i = 0; i < ENGINES; i++)
			direct_read_cache(direct, i);
		direct->next_cache_us += CACHE_US;
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
	scenario_workload(scenario, seed, &workload);
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
	direct->live = g_array_new(FALSE, FALSE, sizeof(guint));
	direct->waiting = g_array_new(FALSE, FALSE, sizeof(guint));
	direct->next_fault_us =
		scenario->fault == FAULT_NONE ? INT64_MAX : SCENARIO_MID_US;
	direct_add_engines(direct, seed);
	direct_add_placements(direct, seed);
	measure_init(&direct->measure, SCENARIO_WARM_US, SCENARIO_END_US);
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
	g_array_unref(direct->live);
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

void direct_run(const struct scenario *scenario, enum bench_policy policy,
		uint64_t seed, double figures[FIGURES])
{
	struct direct *direct = g_new(struct direct, 1);

	direct_create(direct, scenario, policy, seed);
	while (direct->now_us < SCENARIO_END_US ||
	       (direct->now_us < SCENARIO_END_US + SCENARIO_DRAIN_US &&
		direct->live->len + direct->waiting->len > 0))
		direct_step(direct);
	for (guint i = 0; i < direct->items->len; i++)
		if (direct->calls[i].flow.end == FLOW_OPEN)
			measure_flow(&direct->measure, &direct->calls[i].flow);
	direct_count_engines(direct);
	measure_figures(&direct->measure,
			scenario->fault == FAULT_NONE ? 0 : SCENARIO_MID_US,
			figures);
	direct_clear(direct);
	g_free(direct);
}
