#include "core/node/node_state.h"

#include "core/stream/event_id.h"

/*
 * Replies to callers: the chunks of a stream, a complete answer, or a refusal
 * with its reason.
 */

/*
 * Refuses a request by its id, without a struct call. detail is copied and may
 * be NULL; retry_after_us 0 means no Retry-After.
 */
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
 * Records in the outcome whether a repeat of the id may run. An idempotent
 * request may always run again, any other only if nothing was sent.
 */
static void call_record_refusal(struct call *call, enum run run)
{
	bool may_rerun = run == RUN_NO || !call->request->non_idempotent;

	if (call->outcome && call->state != CALL_JOINED)
		call->outcome->state =
			may_rerun ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
	if (call->outcome && run != RUN_NO)
		call->outcome->maybe_run = true;
}

/* Whether the request itself is at fault, not the state of this node. */
static bool refusal_is_about_request(enum refusal refusal)
{
	return refusal == REFUSAL_BAD_REQUEST ||
	       refusal == REFUSAL_BAD_EVENT_ID;
}

/*
 * Refuses a call and frees it. Once its stream has begun, the caller gets a
 * typed end of the stream, before that a refusal. run tells whether the request
 * has run, as far as the node knows.
 */
void node_call_refuse(struct node *node, struct call *call,
		      enum refusal refusal, enum run run,
		      int64_t retry_after_us)
{
	call_record_refusal(call, run);
	if (run == RUN_NO && !refusal_is_about_request(refusal))
		run = node_id_run_state(node, call->request,
					call->organisation);
	if (call->begun) {
		counters_add(&node->counters, COUNTER_CALLS_BROKEN, 1);
		call_emit_end(node, call, refusal, run, retry_after_us, "");
	} else if (!call->caller_gone) {
		node_refuse(node, call->id, refusal, run, retry_after_us, NULL);
	}
	node_log(node, LOG_LEVEL_INFO, "call_refused", call, "reason",
		 refusal_code(refusal));
	node_outcome_answer_waiting(node, call);
	node_call_remove(node, call);
}

static void call_begin_stream(struct node *node, struct call *call)
{
	if (call->begun)
		return;
	call->begun = true;
	if (!call->caller_gone)
		action_list_add(node->actions, ACTION_CALL_BEGIN)->call_begin =
			call->id;
}

/*
 * Forwards a chunk to the caller with the event id to resume from. The chunk
 * must be the next one of this generation.
 */
void node_call_chunk(struct node *node, struct call *call, GBytes *data,
		     int64_t token_count)
{
	struct event_id id;
	struct action *action;

	call_begin_stream(node, call);
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
	outcome->state = OUTCOME_COMPLETE;
}

/* Ends a stream that is complete, and frees the call. */
void node_call_end(struct node *node, struct call *call, enum refusal refusal,
		   const char *finish_reason)
{
	call_begin_stream(node, call);
	if (call->outcome)
		outcome_set_stream(call->outcome, call, finish_reason);
	call_emit_end(node, call, refusal, RUN_YES, 0, finish_reason);
	counters_add(&node->counters, COUNTER_CALLS_WHOLE, 1);
	node_log(node, LOG_LEVEL_INFO, "call_end", call, "finish",
		 finish_reason);
	node_outcome_answer_waiting(node, call);
	node_call_remove(node, call);
}

/* Sends the complete answer of an endpoint to the caller; frees the call. */
void node_call_answer(struct node *node, struct call *call,
		      const struct event_attempt_answer *answer)
{
	struct action *action;

	if (call->outcome && call->state != CALL_FORWARDED) {
		outcome_set_answer(node->outcomes, call->outcome,
				   answer->status, answer->content_type,
				   answer->body);
		call->outcome->state = OUTCOME_COMPLETE;
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
	node_outcome_answer_waiting(node, call);
	node_call_remove(node, call);
}
