#include "core/node/node_state.h"

#include "core/stream/event_id.h"

#include <string.h>

#define PLACE_PATIENCE_US 600000	     /* without a word from the home */
#define PLACE_REPEAT_US (5 * G_USEC_PER_SEC) /* once it is known to queue */

static void node_refuse_at_once(struct node *node,
				const struct event_call *event,
				enum refusal refusal, enum run run)
{
	int64_t retry_after_us = 0;

	if (refusal_status(refusal) == 503 || refusal_status(refusal) == 429)
		retry_after_us = NODE_RETRY_AFTER_US;
	node_refuse(node, event->call, refusal, run, retry_after_us, NULL);
	node_log(node, LOG_LEVEL_INFO, "call_refused", NULL, "reason",
		 refusal_code(refusal));
}

/*
 * A draining node goes on taking calls for as long as callers may hold an
 * answer of /v1/nodes that names it, so that leaving costs nobody an error.
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

/* A hash of what an endpoint would get: another body is another request. */
uint64_t node_fingerprint(const struct request *request)
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

/* The rest of a generation: only the event id says where it is. */
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
	call->fingerprint = node_fingerprint(event->request);
	g_hash_table_insert(node->calls, &call->id, call);
	return call;
}

/* Takes a caller's request: checks, its id, then an endpoint for it. */
void node_call_receive(struct node *node, const struct event_call *event)
{
	const struct config_organisation *organisation = NULL;
	const struct config_service *service;
	struct call *call;
	enum refusal refusal;

	counters_add(&node->counters, COUNTER_CALLS, 1);
	refusal = node_check_ready(node);
	if (node->config)
		organisation =
			config_find_key(node->config, event->request->bearer);
	if (refusal != REFUSAL_NONE) {
		node_refuse_at_once(
			node, event, refusal,
			node_id_run(node, event->request,
				    organisation ? organisation->name : NULL));
		return;
	}
	service = config_find_service(node->config, event->request->service);
	refusal = request_check_organisation(event->request, organisation);
	if (refusal == REFUSAL_NONE)
		refusal = request_check(event->request, service);
	if (refusal != REFUSAL_NONE) {
		node_refuse_at_once(node, event, refusal, RUN_NO);
		return;
	}
	call = call_open(node, event, organisation, service);
	if (call->request->kind == REQUEST_RESUME) {
		call_resume(node, call);
		return;
	}
	if (!node_attempt_is_quarantined(node, call) &&
	    node_limits_admit(node, call) && node_id_receive(node, call))
		node_place_call(node, call);
}

/* When the call's timers want it looked at next. */
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
			return call->state_us + options->plain_timeout_us;
		return call->state_us + options->first_token_timeout_us;
	case CALL_STREAMING:
		if (call->paused)
			return INT64_MAX;
		return call->last_heard_us + options->stall_timeout_us;
	case CALL_FORWARDED:
		return call->state_us + options->plain_timeout_us;
	case CALL_JOINED:
		return deadline_us;
	case CALL_CLAIMING:
		return INT64_MAX; /* every key-value call is answered once */
	}
	return INT64_MAX;
}

/* Sets the call's next wake-up. */
void node_call_arm(struct node *node, struct call *call)
{
	int64_t due_us = call_due_us(node, call);

	if (due_us == call->wake_us)
		return;
	call->wake_us = due_us;
	if (due_us != INT64_MAX)
		timer_heap_add(node->timers, due_us, call->id);
}

/* Moves a call to a state and sets its timer. */
void node_call_set_state(struct node *node, struct call *call,
			 enum call_state state)
{
	call->state = state;
	call->state_us = node->now_us;
	if (state == CALL_PLACING)
		call->retry_us =
			node->now_us + (call->home_heard ? PLACE_REPEAT_US
							 : PLACE_PATIENCE_US);
	node_call_arm(node, call);
}

/* Looks at a call whose timer has fired. */
void node_call_wake(struct node *node, struct call *call)
{
	int64_t due_us = call_due_us(node, call);

	if (call->wake_us > node->now_us)
		return;
	call->wake_us = INT64_MAX;
	if (due_us > node->now_us) {
		node_call_arm(node, call);
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
		/* The first of its id may run, or still wait for a place. */
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
 * Visits all calls, oldest first. Ending one may end others that wait for the
 * same outcome, so the walk goes by number and skips those that are gone by
 * then.
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

/* Forgets a call; whatever it holds is let go. */
void node_call_drop(struct node *node, struct call *call)
{
	if (call->attempt)
		node_attempt_cancel(node, call, false);
	node_place_withdraw(node, call);
	node_limits_release(node, call);
	g_hash_table_remove(node->calls, &call->id);
}

/*
 * The caller closed. A request that may not be repeated goes on to its end,
 * so that a caller that comes back with the same id gets its outcome; a
 * stream it may resume is only let go; anything else is cancelled.
 */
void node_call_gone(struct node *node, uint64_t id)
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
	node_outcome_settle(node, call);
	node_call_drop(node, call);
}

/* Stops or restarts reading from the endpoint as the caller keeps up. */
void node_call_flow(struct node *node, const struct event_call_flow *event)
{
	struct call *call = g_hash_table_lookup(node->calls, &event->call);
	struct action *action;

	if (!call || call->paused == event->full)
		return;
	call->paused = event->full;
	call->last_heard_us = node->now_us;
	node_call_arm(node, call);
	if (!call->attempt)
		return;
	action = action_list_add(node->actions, ACTION_ATTEMPT_FLOW);
	action->flow.attempt = call->attempt;
	action->flow.pause = event->full;
}
