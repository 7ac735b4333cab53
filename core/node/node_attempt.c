#include "core/node/node_state.h"

#include "core/stream/event_id.h"

#include <string.h>

/*
 * Attempts of a call at endpoints, and their results. A request is sent again
 * only while nothing was delivered to the caller, and only if it certainly did
 * not run or is idempotent. Once a token was delivered, the node reattaches to
 * the same generation or ends the stream with a typed error.
 */

#define MAX_GENERATION_LENGTH 95
#define MAX_CHUNK_TOKENS 1000000
#define MAX_REATTACHES 4

static struct call *node_find_attempt(struct node *node, uint64_t attempt)
{
	struct call *call = g_hash_table_lookup(node->attempts, &attempt);

	if (!call)
		counters_add(&node->counters, COUNTER_EVENTS_UNKNOWN, 1);
	return call;
}

static void call_new_attempt(struct node *node, struct call *call)
{
	call->attempt = node->next_attempt++;
	g_hash_table_insert(node->attempts, &call->attempt, call);
}

static void call_end_attempt(struct node *node, struct call *call)
{
	if (call->attempt)
		g_hash_table_remove(node->attempts, &call->attempt);
	call->attempt = 0;
}

/* Sends a call to the endpoint that was granted to it. */
void node_attempt_send(struct node *node, struct call *call)
{
	struct action *action;

	call_new_attempt(node, call);
	node_losses_begin(node, call);
	call->attempts++;
	if (call->attempts == 1)
		retry_budget_count_request(node->retries);
	call_set_generation(call, NULL);
	node_id_mark_dispatched(call);
	node_call_set_state(node, call, CALL_SENT);
	counters_add(&node->counters, COUNTER_ATTEMPTS, 1);
	if (call->attempts > 1)
		counters_add(&node->counters, COUNTER_RETRIES, 1);
	action = action_list_add(node->actions, ACTION_ATTEMPT_SEND);
	action->send.attempt = call->attempt;
	action->send.call = call->id;
	action->send.endpoint = g_strdup(call->endpoint);
	action->send.request = request_ref(call->request);
	action->send.priority = call->priority;
	if (call->kind == SERVICE_PLAIN)
		action->send.timeout_us = node->options.plain_timeout_us;
	node_log(node, LOG_LEVEL_INFO, "attempt_send", call, "endpoint",
		 call->endpoint);
}

/*
 * Attaches to the call's generation at its endpoint, from the first token that
 * the caller does not have yet.
 */
void node_attempt_resume(struct node *node, struct call *call)
{
	struct action *action;

	call_new_attempt(node, call);
	node_losses_begin(node, call);
	call->last_active_us = node->now_us;
	node_call_set_state(node, call, CALL_STREAMING);
	action = action_list_add(node->actions, ACTION_ATTEMPT_RESUME);
	action->resume.attempt = call->attempt;
	action->resume.call = call->id;
	action->resume.endpoint = g_strdup(call->endpoint);
	action->resume.generation = g_strdup(call->generation);
	action->resume.next_token = call->next_token;
	node_log(node, LOG_LEVEL_INFO, "attempt_resume", call, "endpoint",
		 call->endpoint);
}

/*
 * Ends the call's attempt, if there is one. With keep_running the endpoint
 * continues the generation for a while, so that it can be resumed.
 */
void node_attempt_cancel(struct node *node, struct call *call,
			 bool keep_running)
{
	struct action *action;

	if (!call->attempt)
		return;
	action = action_list_add(node->actions, ACTION_ATTEMPT_CANCEL);
	action->cancel.attempt = call->attempt;
	action->cancel.keep_running = keep_running;
	call_end_attempt(node, call);
}

/*
 * Schedules another attempt after a backoff. Refuses the call at once if its
 * request is in quarantine, if the caller of an idempotent request is gone, or
 * if the attempts or the retry budget are used up.
 */
void node_attempt_retry(struct node *node, struct call *call)
{
	enum run run = call->maybe_run ? RUN_UNKNOWN : RUN_NO;

	if (node_losses_refuse(node, call))
		return;
	if (call->caller_gone && !call->request->non_idempotent) {
		node_call_refuse(node, call, REFUSAL_ENDPOINT_FAILED, run, 0);
		return;
	}
	if (call->attempts >= node->options.max_attempts ||
	    (call->attempts > 0 && !retry_budget_take(node->retries))) {
		node_call_refuse(node, call,
				 call->maybe_run ? REFUSAL_ENDPOINT_FAILED
						 : REFUSAL_NO_ENDPOINT,
				 run, NODE_RETRY_AFTER_US);
		return;
	}
	if (call->outcome) {
		outcome_clear_chunks(call->outcome);
		call->outcome->state = OUTCOME_PENDING;
	}
	call->retry_us = node->now_us + retry_budget_delay_us(node->retries,
							      call->attempts,
							      node->random);
	node_call_set_state(node, call, CALL_BACKOFF);
}

static void call_reattach(struct node *node, struct call *call)
{
	call_end_attempt(node, call);
	if (call->reattaches >= MAX_REATTACHES) {
		node_place_release(node, call, RELEASE_FAILED);
		node_call_refuse(node, call, REFUSAL_ENDPOINT_FAILED, RUN_YES,
				 NODE_RETRY_AFTER_US);
		return;
	}
	call->reattaches++;
	call->retry_us = node->now_us + retry_budget_delay_us(node->retries,
							      call->reattaches,
							      node->random);
	node_call_set_state(node, call, CALL_REATTACH);
}

/*
 * Handles a failed attempt whose request may have run or may still run, but of
 * which nothing was delivered to the caller.
 */
static void call_fail_undelivered(struct node *node, struct call *call,
				  enum refusal refusal)
{
	call->maybe_run = true;
	node_place_release(node, call, RELEASE_FAILED);
	if (call->request->non_idempotent) {
		node_call_refuse(node, call, refusal, RUN_UNKNOWN, 0);
		return;
	}
	call->avoid_hash = home_hash(call->endpoint, "", 0);
	node_attempt_retry(node, call);
}

static void call_fail_not_run(struct node *node, struct call *call,
			      enum attempt_stage stage)
{
	node_place_release(node, call,
			   stage == ATTEMPT_NOT_SENT ? RELEASE_UNREACHABLE
						     : RELEASE_NOT_SENT);
	call->avoid_hash = home_hash(call->endpoint, "", 0);
	node_attempt_retry(node, call);
}

/* Whether part of an answer is with the caller or in the stored outcome. */
static bool call_has_tokens(const struct call *call)
{
	return call->state == CALL_STREAMING || call->state == CALL_REATTACH;
}

/* What a failed attempt tells of its endpoint. */
static void note_failure(struct node *node, const struct call *call,
			 enum attempt_stage stage)
{
	switch (stage) {
	case ATTEMPT_NOT_SENT:
		node_losses_note_refused(node, call->endpoint);
		break;
	case ATTEMPT_SENT:
		node_losses_record(node, call);
		break;
	case ATTEMPT_REFUSED:
	case ATTEMPT_NOT_FOUND:
		node_losses_note_heard(node, call->endpoint);
		break;
	}
}

/* Handles an attempt that ended without a complete answer. */
void node_attempt_failed(struct node *node,
			 const struct event_attempt_failed *event)
{
	struct call *call = node_find_attempt(node, event->attempt);

	if (!call)
		return;
	counters_add(&node->counters, COUNTER_ATTEMPTS_FAILED, 1);
	node_log(node, LOG_LEVEL_WARN, "attempt_failed", call, "detail",
		 event->error.detail);
	call_end_attempt(node, call);
	if (call->state == CALL_FORWARDED) {
		node_call_refuse(node, call, REFUSAL_UNKNOWN_OUTCOME,
				 RUN_UNKNOWN, NODE_RETRY_AFTER_US);
		return;
	}
	note_failure(node, call, event->stage);
	if (call_has_tokens(call) && event->stage == ATTEMPT_NOT_FOUND) {
		node_place_release(node, call, RELEASE_FAILED);
		node_call_refuse(node, call, REFUSAL_GENERATION_GONE, RUN_YES,
				 NODE_RETRY_AFTER_US);
		return;
	}
	if (call_has_tokens(call)) {
		call_reattach(node, call);
		return;
	}
	switch (event->stage) {
	case ATTEMPT_NOT_SENT:
	case ATTEMPT_REFUSED:
		call_fail_not_run(node, call, event->stage);
		break;
	case ATTEMPT_NOT_FOUND:
	case ATTEMPT_SENT:
		call_fail_undelivered(node, call, REFUSAL_ENDPOINT_FAILED);
		break;
	}
}

/* Handles an attempt whose endpoint, or node, sent nothing for too long. */
void node_attempt_timeout(struct node *node, struct call *call)
{
	node_log(node, LOG_LEVEL_WARN, "attempt_timeout", call, "state",
		 call_state_name(call->state));
	counters_add(&node->counters, COUNTER_ATTEMPTS_FAILED, 1);
	if (call->state == CALL_FORWARDED) {
		node_attempt_cancel(node, call, false);
		node_call_refuse(node, call, REFUSAL_UNKNOWN_OUTCOME,
				 RUN_UNKNOWN, NODE_RETRY_AFTER_US);
		return;
	}
	if (call->state == CALL_STREAMING) {
		node_attempt_cancel(node, call, true);
		call_reattach(node, call);
		return;
	}
	node_attempt_cancel(node, call, false);
	call_fail_undelivered(node, call, REFUSAL_ENDPOINT_TIMEOUT);
}

/* Handles the engine's id for the generation of an attempt. */
void node_attempt_started(struct node *node,
			  const struct event_attempt_started *event)
{
	struct call *call = node_find_attempt(node, event->attempt);

	if (!call)
		return;
	if (!event_id_is_safe_name(event->generation, MAX_GENERATION_LENGTH) ||
	    (call->generation &&
	     strcmp(call->generation, event->generation) != 0)) {
		/*
		 * The generation cannot be resumed by this name, or it is not
		 * the one that the call had.
		 */
		node_attempt_cancel(node, call, false);
		if (call_has_tokens(call))
			call_reattach(node, call);
		else
			call_fail_undelivered(node, call,
					      REFUSAL_ENDPOINT_FAILED);
		return;
	}
	if (!call->generation)
		call_set_generation(call, event->generation);
}

static bool chunk_is_valid(const struct call *call,
			   const struct event_attempt_chunk *event)
{
	return call->generation && event->token_count >= 0 &&
	       event->token_count <= MAX_CHUNK_TOKENS &&
	       event->first_token >= 0;
}

/*
 * Handles tokens from an engine. Only the chunk that directly follows the last
 * one is forwarded. An earlier chunk was already delivered and is dropped.
 * After a gap the caller would miss tokens, so the node reattaches to the
 * generation.
 */
void node_attempt_chunk(struct node *node,
			const struct event_attempt_chunk *event)
{
	struct call *call = node_find_attempt(node, event->attempt);

	if (!call)
		return;
	call->last_active_us = node->now_us;
	node_losses_note_heard(node, call->endpoint);
	if (!chunk_is_valid(call, event) ||
	    event->first_token < call->next_token) {
		counters_add(&node->counters, COUNTER_CHUNKS_DROPPED, 1);
		return;
	}
	if (event->first_token > call->next_token) {
		counters_add(&node->counters, COUNTER_CHUNKS_DROPPED, 1);
		node_attempt_cancel(node, call, true);
		if (call_has_tokens(call))
			call_reattach(node, call);
		else
			call_fail_undelivered(node, call,
					      REFUSAL_ENDPOINT_FAILED);
		return;
	}
	call->reattaches = 0;
	if (call->state == CALL_SENT)
		node_call_set_state(node, call, CALL_STREAMING);
	node_call_chunk(node, call, event->data, event->token_count);
}

/* Handles the engine's message that the generation is complete. */
void node_attempt_done(struct node *node,
		       const struct event_attempt_done *event)
{
	struct call *call = node_find_attempt(node, event->attempt);

	if (!call)
		return;
	call_end_attempt(node, call);
	if (!call->generation || (event->token_count >= 0 &&
				  event->token_count != call->next_token)) {
		/* The token counts differ, so some tokens were lost. */
		if (call_has_tokens(call))
			call_reattach(node, call);
		else
			call_fail_undelivered(node, call,
					      REFUSAL_ENDPOINT_FAILED);
		return;
	}
	node_losses_note_whole(node, call);
	node_place_release(node, call, RELEASE_COMPLETE);
	node_call_end(node, call, REFUSAL_NONE, event->finish_reason);
}

/*
 * Handles a complete answer of a plain endpoint or of another node. An engine
 * answers this way only to refuse a request that it cannot read, so its answer
 * is not counted as the length of an answer.
 */
void node_attempt_answer(struct node *node,
			 const struct event_attempt_answer *event)
{
	struct call *call = node_find_attempt(node, event->attempt);

	if (!call)
		return;
	if (call_has_tokens(call)) {
		call_reattach(node, call);
		return;
	}
	call_end_attempt(node, call);
	if (call->kind == SERVICE_PLAIN && call->state != CALL_FORWARDED)
		node_losses_note_whole(node, call);
	node_place_release(node, call,
			   call->kind == SERVICE_PLAIN ? RELEASE_COMPLETE
						       : RELEASE_CANCELLED);
	node_call_answer(node, call, event);
}
