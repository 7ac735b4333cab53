#include "bench/direct_state.h"

#define MAX_ATTEMPTS 3
#define NAIVE_ATTEMPTS 10

/* Creates a placement for a home or a node; the caller owns it. */
struct placement *direct_create_placement(const struct direct *direct,
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

/* The placement that decides on this call. */
struct placement *direct_call_placement(const struct direct *direct,
					const struct direct_call *call)
{
	if (call->flow.item->kind == WORKLOAD_PLAIN)
		return direct->plain_placement;
	return direct->placements[call->node % direct->placement_count];
}

/* The ticket of the current attempt of a call. */
uint64_t direct_call_ticket(const struct direct *direct,
			    const struct direct_call *call)
{
	return ((uint64_t)(call - direct->calls + 1) << ATTEMPT_BITS) |
	       (uint64_t)call->flow.attempts;
}

/* The call that a ticket belongs to, whichever attempt it is of. */
struct direct_call *direct_find_call(const struct direct *direct,
				     uint64_t ticket)
{
	return &direct->calls[(ticket >> ATTEMPT_BITS) - 1];
}

/* Starts the next attempt: requests an endpoint from the placement. */
void direct_submit(struct direct *direct, struct direct_call *call)
{
	const struct workload_item *item = call->flow.item;
	struct placement_request request = {
		.organisation = workload_organisation_name(item->organisation),
		.weight = workload_organisation_weight(item->organisation),
		.priority = item->priority,
		.prompt_tokens = item->prompt_tokens,
		.deadline_us = item->at_us + item->deadline_us,
		.prefix_hash = item->prefix_hash,
		.avoid_hash = call->avoid_hash,
		.true_tokens = item->output_tokens,
	};
	double start_us = direct_clock_us();

	call->flow.attempts++;
	request.ticket = direct_call_ticket(direct, call);
	placement_submit(direct_call_placement(direct, call), &request,
			 direct->now_us);
	direct->measure.decision_us += direct_clock_us() - start_us;
	direct->measure.decisions++;
}

/* Ends a call and records its result. */
void direct_end(struct direct *direct, struct direct_call *call,
		enum flow_end end)
{
	call->flow.end = end;
	measure_add_request(&direct->measure, &call->flow);
}

static void direct_add_waiting(struct direct *direct, struct direct_call *call)
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

/* Retries a call after a delay if attempts and budget allow, or refuses it. */
void direct_retry(struct direct *direct, struct direct_call *call)
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
	direct_add_waiting(direct, call);
}

/* Releases the ticket of a call. */
void direct_release(struct direct *direct, struct direct_call *call,
		    enum release_outcome outcome)
{
	double start_us = direct_clock_us();

	call->active = false;
	placement_release(direct_call_placement(direct, call),
			  direct_call_ticket(direct, call), outcome,
			  call->flow.tokens, direct->now_us);
	direct->measure.decision_us += direct_clock_us() - start_us;
}

static void direct_send(struct direct *direct, struct direct_call *call,
			int32_t engine)
{
	const struct workload_item *item = call->flow.item;
	struct engine_model_request request = {
		.id = direct_call_ticket(direct, call),
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
		if (!call->active)
			g_array_append_val(direct->active, index);
		call->active = true;
		return;
	}
	call->avoid_hash = home_hash(direct->engine_names[engine], "", 0);
	direct_release(direct, call, RELEASE_UNREACHABLE);
	direct_retry(direct, call);
}

/*
 * A plain endpoint serves calls beyond its slots too, more slowly in proportion
 * to their number.
 */
static void direct_send_plain(struct direct *direct, struct direct_call *call,
			      int32_t plain)
{
	int64_t duration_us = call->flow.item->output_tokens;
	int32_t running = ++direct->plain_running[plain];

	call->plain = plain;
	if (running > PLAIN_SLOTS)
		duration_us = duration_us * running / PLAIN_SLOTS;
	call->plain_done_us = direct->now_us + duration_us;
	call->active = true;
	direct_add_waiting(direct, call);
}

static int32_t direct_index(char *const *names, int32_t count, const char *name)
{
	for (int32_t i = 0; i < count; i++)
		if (strcmp(names[i], name) == 0)
			return i;
	return -1;
}

static void direct_execute_decision(struct direct *direct,
				    const struct placement_decision *decision)
{
	struct direct_call *call = direct_find_call(direct, decision->ticket);

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
	double start_us = direct_clock_us();
	GArray *decisions;

	g_array_set_size(direct->decisions, 0);
	placement_step(placement, direct->now_us, direct->decisions);
	direct->measure.decision_us += direct_clock_us() - start_us;
	if (direct->decisions->len == 0)
		return;
	decisions = direct->decisions;
	direct->decisions =
		g_array_new(FALSE, FALSE, sizeof(struct placement_decision));
	for (guint i = 0; i < decisions->len; i++)
		direct_execute_decision(
			direct, &g_array_index(decisions,
					       struct placement_decision, i));
	g_array_unref(decisions);
}

/* Steps all placements and executes their decisions. */
void direct_step_placements(struct direct *direct)
{
	for (int32_t n = 0; n < direct->placement_count; n++)
		direct_step_placement(direct, direct->placements[n]);
	direct_step_placement(direct, direct->plain_placement);
}
