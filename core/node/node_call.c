#include "core/node/node_state.h"

#include "core/stream/event_id.h"

#include <string.h>

/* A call whose home is silent for this long is placed by the local share. */
#define HOME_ACK_TIMEOUT_US 600000
/* Interval of repeated requests for a ticket that the home has queued. */
#define PLACE_REPEAT_US (5 * G_USEC_PER_SEC)

static void node_reject_call(struct node *node, const struct event_call *event,
			     enum refusal refusal, enum run run)
{
	int64_t retry_after_us = 0;

	if (refusal_http_status(refusal) == 503 ||
	    refusal_http_status(refusal) == 429)
		retry_after_us = NODE_RETRY_AFTER_US;
	node_refuse(node, event->call, refusal, run, retry_after_us, NULL);
	node_log(node, LOG_LEVEL_INFO, "call_refused", NULL, "reason",
		 refusal_code(refusal));
}

/*
 * A draining node accepts calls for as long as callers may use a /v1/nodes
 * answer that lists it, so that a drain causes no errors.
 */
static enum refusal node_check_ready(const struct node *node)
{
	if (!node->config)
		return REFUSAL_NO_CONFIG;
	if (node->draining &&
	    node->now_us >
		    node->drain_started_us + node->options.answer_keep_us)
		return REFUSAL_DRAINING;
	if (node_config_is_isolated(node))
		return REFUSAL_ISOLATED;
	if (g_hash_table_size(node->calls) >= (guint)node->options.max_calls)
		return REFUSAL_QUEUE_FULL;
	return REFUSAL_NONE;
}

static enum refusal
request_check_organisation(const struct request *request,
			   const struct config_organisation *organisation)
{
	if (!organisation)
		return REFUSAL_UNAUTHORIZED;
	if (request->organisation &&
	    strcmp(request->organisation, organisation->name) != 0)
		return REFUSAL_UNAUTHORIZED;
	return REFUSAL_NONE;
}

static enum refusal request_check(const struct request *request,
				  const struct config_service *service)
{
	enum service_kind kind = request->kind == REQUEST_PLAIN
					 ? SERVICE_PLAIN
					 : SERVICE_GENERATION;

	if (!service || service->kind != kind)
		return REFUSAL_UNKNOWN_SERVICE;
	if (request->non_idempotent && !request->idempotency_key)
		return REFUSAL_KEY_REQUIRED;
	return REFUSAL_NONE;
}

/*
 * Returns a hash of the service, path and body of a request. A reused id with a
 * different hash is a different request.
 */
uint64_t request_fingerprint(const struct request *request)
{
	gsize size;
	const char *data = g_bytes_get_data(request->body, &size);
	char *digest = g_compute_checksum_for_data(G_CHECKSUM_SHA256,
						   (const guchar *)data, size);
	uint64_t hash = home_hash(digest, request->path ? request->path : "",
				  home_hash(request->service, "", 0));

	g_free(digest);
	return hash;
}

/* Resumes a generation; only the event id tells its endpoint and position. */
static void call_resume(struct node *node, struct call *call)
{
	const struct config_service *service =
		config_find_service(node->config, call->request->service);
	struct event_id id;

	if (!event_id_parse(&id, call->request->last_event_id,
			    call->organisation, node->options.event_key)) {
		node_call_refuse(node, call, REFUSAL_BAD_EVENT_ID, RUN_NO, 0);
		return;
	}
	if (!config_service_find_endpoint(service, id.endpoint)) {
		node_call_refuse(node, call, REFUSAL_GENERATION_GONE, RUN_YES,
				 0);
		return;
	}
	call_set_endpoint(call, id.endpoint);
	call_set_generation(call, id.generation);
	call->next_token = id.token_count;
	call->maybe_run = true;
	counters_add(&node->counters, COUNTER_CALLS_RESUMED, 1);
	node_attempt_resume(node, call);
}

static struct call *call_open(struct node *node, const struct event_call *event,
			      const struct config_organisation *organisation,
			      const struct config_service *service)
{
	struct call *call =
		call_create(event->call, event->request, node->now_us);

	g_free(call->organisation);
	call->organisation = g_strdup(organisation->name);
	call->weight = organisation->weight;
	call->priority =
		event->request->priority >= 0
			? MIN(event->request->priority, organisation->priority)
			: organisation->priority;
	call->kind = service->kind;
	call->fingerprint = request_fingerprint(event->request);
	g_hash_table_insert(node->calls, &call->id, call);
	return call;
}

/*
 * Handles a new request: checks it, resolves its id, then places it at an
 * endpoint. A request that fails a check is refused.
 */
void node_call_receive(struct node *node, const struct event_call *event)
{
	const struct config_organisation *organisation = NULL;
	const struct config_service *service;
	struct call *call;
	enum refusal refusal;

	counters_add(&node->counters, COUNTER_CALLS, 1);
	refusal = node_check_ready(node);
	if (node->config)
		organisation = config_find_key_owner(node->config,
						     event->request->bearer);
	if (refusal != REFUSAL_NONE) {
		node_reject_call(node, event, refusal,
				 node_id_run_state(node, event->request,
						   organisation
							   ? organisation->name
							   : NULL));
		return;
	}
	service = config_find_service(node->config, event->request->service);
	refusal = request_check_organisation(event->request, organisation);
	if (refusal == REFUSAL_NONE)
		refusal = request_check(event->request, service);
	if (refusal != REFUSAL_NONE) {
		node_reject_call(node, event, refusal, RUN_NO);
		return;
	}
	call = call_open(node, event, organisation, service);
	if (call->request->kind == REQUEST_RESUME) {
		call_resume(node, call);
		return;
	}
	if (!node_losses_refuse(node, call) && node_limits_admit(node, call) &&
	    node_id_receive(node, call))
		node_place_call(node, call);
}

/* Returns when the current state of a call times out; INT64_MAX: never. */
static int64_t call_due_us(const struct node *node, const struct call *call)
{
	const struct node_options *options = &node->options;
	int64_t deadline_us = call->deadline_us ? call->deadline_us : INT64_MAX;

	switch (call->state) {
	case CALL_PLACING:
		return MIN(deadline_us, call->retry_us);
	case CALL_BACKOFF:
	case CALL_REATTACH:
		return call->retry_us;
	case CALL_SENT:
		if (call->kind == SERVICE_PLAIN)
			return call->state_since_us + options->plain_timeout_us;
		return call->state_since_us + options->first_token_timeout_us;
	case CALL_STREAMING:
		if (call->paused)
			return INT64_MAX;
		return call->last_active_us + options->stall_timeout_us;
	case CALL_FORWARDED:
		return call->state_since_us + options->plain_timeout_us;
	case CALL_JOINED:
		return deadline_us;
	case CALL_CLAIMING:
		return INT64_MAX; /* each key-value request gets one answer */
	}
	return INT64_MAX;
}

/* Arms the call's timer for the timeout of its current state. */
void node_call_arm_timer(struct node *node, struct call *call)
{
	int64_t due_us = call_due_us(node, call);

	if (due_us == call->timer_us)
		return;
	call->timer_us = due_us;
	if (due_us != INT64_MAX)
		timer_heap_add(node->timers, due_us, call->id);
}

/* Moves a call to a state and arms its timer. */
void node_call_set_state(struct node *node, struct call *call,
			 enum call_state state)
{
	call->state = state;
	call->state_since_us = node->now_us;
	if (state == CALL_PLACING)
		call->retry_us = node->now_us + (call->home_acknowledged
							 ? PLACE_REPEAT_US
							 : HOME_ACK_TIMEOUT_US);
	node_call_arm_timer(node, call);
}

/* Handles the timer of a call; arms it again if the timeout has moved. */
void node_call_handle_timer(struct node *node, struct call *call)
{
	int64_t due_us = call_due_us(node, call);

	if (call->timer_us > node->now_us)
		return;
	call->timer_us = INT64_MAX;
	if (due_us > node->now_us) {
		node_call_arm_timer(node, call);
		return;
	}
	switch (call->state) {
	case CALL_PLACING:
		node_place_wake(node, call);
		break;
	case CALL_BACKOFF:
		node_place_call(node, call);
		break;
	case CALL_REATTACH:
		node_attempt_resume(node, call);
		break;
	case CALL_SENT:
	case CALL_STREAMING:
	case CALL_FORWARDED:
		node_attempt_timeout(node, call);
		break;
	case CALL_JOINED:
		/* The first call of this id may be running or waiting. */
		node_call_refuse(node, call, REFUSAL_IN_PROGRESS, RUN_UNKNOWN,
				 NODE_RETRY_AFTER_US);
		break;
	case CALL_CLAIMING:
		break;
	}
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Visits all calls in order of id, oldest first. A visit may end other calls
 * that wait for the same outcome, so this iterates over a copy of the ids and
 * skips calls that no longer exist.
 */
void node_call_each(struct node *node,
		    void (*visit)(struct node *node, struct call *call))
{
	GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	gpointer id;

	g_hash_table_iter_init(&iter, node->calls);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		g_array_append_vals(ids, id, 1);
	g_array_sort(ids, compare_ids);
	for (guint i = 0; i < ids->len; i++) {
		struct call *call = g_hash_table_lookup(
			node->calls, &g_array_index(ids, uint64_t, i));

		if (call)
			visit(node, call);
	}
	g_array_unref(ids);
}

/*
 * Removes and frees a call: cancels its attempt, releases its ticket and its
 * share of the organisation's limits. Sends nothing to the caller.
 */
void node_call_remove(struct node *node, struct call *call)
{
	if (call->attempt)
		node_attempt_cancel(node, call, false);
	node_place_withdraw(node, call);
	node_limits_release(node, call);
	g_hash_table_remove(node->calls, &call->id);
}

/*
 * Handles the disconnect of a caller. A request that must not be repeated runs
 * to its end, so that a later call with the same id gets its outcome. A stream
 * that the caller may resume is detached but keeps running at its endpoint. All
 * other calls are cancelled.
 */
void node_call_disconnect(struct node *node, uint64_t id)
{
	struct call *call = g_hash_table_lookup(node->calls, &id);

	if (!call || call->caller_gone)
		return;
	counters_add(&node->counters, COUNTER_CALLS_GONE, 1);
	node_log(node, LOG_LEVEL_INFO, "call_gone", call, "state",
		 call_state_name(call->state));
	if (call->outcome && call->state != CALL_JOINED &&
	    call->state != CALL_FORWARDED &&
	    call->outcome->state == OUTCOME_RUNNING) {
		call->caller_gone = true;
		if (call->paused)
			node_call_flow(node,
				       &(struct event_call_flow){.call = id});
		return;
	}
	call->caller_gone = true;
	if (call->outcome && call->state != CALL_JOINED)
		call->outcome->state = OUTCOME_NOT_RUN;
	if (call->attempt && call->begun)
		node_attempt_cancel(node, call, true);
	node_outcome_answer_waiting(node, call);
	node_call_remove(node, call);
}

/*
 * Pauses reading from the endpoint when the caller's buffer is full, and
 * resumes it when there is room again.
 */
void node_call_flow(struct node *node, const struct event_call_flow *event)
{
	struct call *call = g_hash_table_lookup(node->calls, &event->call);
	struct action *action;

	if (!call || call->paused == event->full)
		return;
	call->paused = event->full;
	call->last_active_us = node->now_us;
	node_call_arm_timer(node, call);
	if (!call->attempt)
		return;
	action = action_list_add(node->actions, ACTION_ATTEMPT_FLOW);
	action->flow.attempt = call->attempt;
	action->flow.pause = event->full;
}
