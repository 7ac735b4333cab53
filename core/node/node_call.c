#include "core/node/node_state.h"

#include "core/stream/event_id.h"

#include <string.h>

#define PLACE_PATIENCE_US 600000	     /* without a word from the home */
#define PLACE_REPEAT_US (5 * G_USEC_PER_SEC) /* once it is known to queue */

/* Answers a caller that has no call of its own. */
void node_refuse(struct node *node, uint64_t call, enum refusal refusal,
		 enum run run, int64_t retry_after_us, const char *detail)
{
	struct action *action =
		action_list_add(node->actions, ACTION_CALL_REFUSE);

	action->refuse.call = call;
	action->refuse.refusal = refusal;
	action->refuse.run = run;
	action->refuse.retry_after_us = retry_after_us;
	action->refuse.detail = g_strdup(detail);
	counters_add(&node->counters, COUNTER_REFUSED, 1);
}

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

static void call_emit_end(struct node *node, const struct call *call,
			  enum refusal refusal, enum run run,
			  int64_t retry_after_us, const char *finish_reason)
{
	struct action *action;

	if (call->caller_gone)
		return;
	action = action_list_add(node->actions, ACTION_CALL_END);
	action->end.call = call->id;
	action->end.refusal = refusal;
	action->end.run = run;
	action->end.retry_after_us = retry_after_us;
	action->end.token_count = call->next_token;
	action->end.finish_reason = g_strdup(finish_reason);
}

/*
 * What a repeated id may do after this. An idempotent request may be run
 * again whatever became of the first; any other only if nothing was sent.
 */
static void call_note_refusal(struct call *call, enum run run)
{
	bool may_run = run == RUN_NO || !call->request->non_idempotent;

	if (call->outcome && call->state != CALL_JOINED)
		call->outcome->state =
			may_run ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
	if (call->outcome && run != RUN_NO)
		call->outcome->maybe_run = true;
}

/* A request refused for what it is, not for what this node can do now. */
static bool refusal_is_about_request(enum refusal refusal)
{
	return refusal == REFUSAL_BAD_REQUEST ||
	       refusal == REFUSAL_BAD_EVENT_ID;
}

/*
 * Gives the caller its final answer. Once tokens were delivered that is the
 * stream's typed end; before, a refusal. run says what is known of its runs.
 */
void node_call_refuse(struct node *node, struct call *call,
		      enum refusal refusal, enum run run,
		      int64_t retry_after_us)
{
	call_note_refusal(call, run);
	if (run == RUN_NO && !refusal_is_about_request(refusal))
		run = node_id_run(node, call->request, call->organisation);
	if (call->begun) {
		counters_add(&node->counters, COUNTER_CALLS_BROKEN, 1);
		call_emit_end(node, call, refusal, run, retry_after_us, "");
	} else if (!call->caller_gone) {
		node_refuse(node, call->id, refusal, run, retry_after_us, NULL);
	}
	node_log(node, LOG_LEVEL_INFO, "call_refused", call, "reason",
		 refusal_code(refusal));
	node_outcome_settle(node, call);
	node_call_drop(node, call);
}

static void call_begin(struct node *node, struct call *call)
{
	if (call->begun)
		return;
	call->begun = true;
	if (!call->caller_gone)
		action_list_add(node->actions, ACTION_CALL_BEGIN)->call_begin =
			call->id;
}

/*
 * Passes a chunk on to the caller with the id it may resume from. The caller
 * of this has checked that the chunk is the next one of this generation.
 */
void node_call_chunk(struct node *node, struct call *call, GBytes *data,
		     int64_t token_count)
{
	struct event_id id;
	struct action *action;

	call_begin(node, call);
	call->next_token += token_count;
	if (call->outcome)
		outcome_add_chunk(node->outcomes, call->outcome, data,
				  token_count);
	counters_add(&node->counters, COUNTER_CHUNKS, 1);
	counters_add(&node->counters, COUNTER_TOKENS, (uint64_t)token_count);
	node_limits_add_tokens(node, call, token_count);
	if (call->caller_gone)
		return;
	g_strlcpy(id.endpoint, call->endpoint, sizeof(id.endpoint));
	g_strlcpy(id.generation, call->generation, sizeof(id.generation));
	id.token_count = call->next_token;
	action = action_list_add(node->actions, ACTION_CALL_CHUNK);
	action->chunk.call = call->id;
	action->chunk.event_id = event_id_format(&id, call->organisation,
						 node->options.event_key);
	action->chunk.data = g_bytes_ref(data);
}

static void outcome_set_stream(struct outcome *outcome, const struct call *call,
			       const char *finish_reason)
{
	g_free(outcome->endpoint);
	g_free(outcome->generation);
	g_free(outcome->finish_reason);
	outcome->endpoint = g_strdup(call->endpoint);
	outcome->generation = g_strdup(call->generation);
	outcome->finish_reason = g_strdup(finish_reason);
	outcome->state = OUTCOME_WHOLE;
}

/* Ends a stream that came whole. */
void node_call_end(struct node *node, struct call *call, enum refusal refusal,
		   const char *finish_reason)
{
	call_begin(node, call);
	if (call->outcome)
		outcome_set_stream(call->outcome, call, finish_reason);
	call_emit_end(node, call, refusal, RUN_YES, 0, finish_reason);
	counters_add(&node->counters, COUNTER_CALLS_WHOLE, 1);
	node_log(node, LOG_LEVEL_INFO, "call_end", call, "finish",
		 finish_reason);
	node_outcome_settle(node, call);
	node_call_drop(node, call);
}

/* Gives the caller a plain endpoint's whole answer. */
void node_call_answer(struct node *node, struct call *call,
		      const struct event_attempt_answer *answer)
{
	struct action *action;

	if (call->outcome && call->state != CALL_FORWARDED) {
		outcome_set_answer(node->outcomes, call->outcome,
				   answer->status, answer->content_type,
				   answer->body);
		call->outcome->state = OUTCOME_WHOLE;
	}
	if (!call->caller_gone) {
		action = action_list_add(node->actions, ACTION_CALL_ANSWER);
		action->answer.call = call->id;
		action->answer.status = answer->status;
		action->answer.content_type = g_strdup(answer->content_type);
		action->answer.body = g_bytes_ref(answer->body);
		action->answer.replayed = answer->replayed;
	}
	counters_add(&node->counters, COUNTER_CALLS_WHOLE, 1);
	node_log(node, LOG_LEVEL_INFO, "call_end", call, "finish", "answer");
	node_outcome_settle(node, call);
	node_call_drop(node, call);
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
