#include "core/node/node_state.h"

#include "core/stream/event_id.h"

/*
 * Answers calls that repeat a request id. They get the outcome of the first
 * run, at once if it is known and otherwise when that run has ended.
 */

static void call_replay_stream(struct node *node, struct call *call,
			       const struct outcome *outcome)
{
	struct action *action;
	struct event_id id;

	g_strlcpy(id.endpoint, outcome->endpoint, sizeof(id.endpoint));
	g_strlcpy(id.generation, outcome->generation, sizeof(id.generation));
	id.token_count = 0;
	action_list_add(node->actions, ACTION_CALL_BEGIN)->call_begin =
		call->id;
	for (guint i = 0; i < outcome->chunks->len; i++) {
		const struct outcome_chunk *chunk = &g_array_index(
			outcome->chunks, struct outcome_chunk, i);

		id.token_count += chunk->token_count;
		action = action_list_add(node->actions, ACTION_CALL_CHUNK);
		action->chunk.call = call->id;
		action->chunk.event_id = event_id_format(
			&id, call->organisation, node->options.event_key);
		action->chunk.data = g_bytes_ref(chunk->data);
	}
	action = action_list_add(node->actions, ACTION_CALL_END);
	action->end.call = call->id;
	action->end.run = RUN_YES;
	action->end.token_count = id.token_count;
	action->end.finish_reason = g_strdup(outcome->finish_reason);
}

static void call_replay_answer(struct node *node, struct call *call,
			       const struct outcome *outcome)
{
	struct action *action =
		action_list_add(node->actions, ACTION_CALL_ANSWER);

	action->answer.call = call->id;
	action->answer.status = outcome->status;
	action->answer.content_type = g_strdup(outcome->content_type);
	action->answer.body = g_bytes_ref(outcome->body);
	action->answer.replayed = true;
}

/*
 * Answers the call with the outcome of the first run, or refuses it when the
 * answer was too large to keep. Frees the call.
 */
static void call_replay(struct node *node, struct call *call,
			const struct outcome *outcome)
{
	call->outcome = NULL;
	if (outcome->truncated) {
		node_call_refuse(node, call, REFUSAL_ALREADY_RUN, RUN_YES, 0);
		return;
	}
	counters_add(&node->counters, COUNTER_REPLAYED, 1);
	node_log(node, LOG_LEVEL_INFO, "call_replayed", call, "id",
		 call->request->idempotency_key);
	if (outcome->status)
		call_replay_answer(node, call, outcome);
	else
		call_replay_stream(node, call, outcome);
	node_call_remove(node, call);
}

static void call_join(struct node *node, struct call *call,
		      struct outcome *outcome)
{
	call->outcome = outcome;
	g_array_append_val(outcome->waiting, call->id);
	node_call_set_state(node, call, CALL_JOINED);
}

/*
 * Refuses only this call. The call is detached from its outcome first, since
 * node_call_refuse would otherwise answer every call that waits for the same
 * id. retry_after_us is 0 when a retry does not help. Frees the call.
 */
void node_outcome_refuse(struct node *node, struct call *call,
			 enum refusal refusal, enum run run,
			 int64_t retry_after_us)
{
	call->outcome = NULL;
	node_call_refuse(node, call, refusal, run, retry_after_us);
}

/*
 * Handles a call whose id already has an outcome. Returns true when the call
 * may be sent to an endpoint. Otherwise it waits for the outcome, or has been
 * answered or refused and is freed.
 */
bool node_outcome_handle_repeat(struct node *node, struct call *call,
				struct outcome *outcome)
{
	/* Nothing has run with this id, so it is not bound to a body yet. */
	if (outcome->state == OUTCOME_NOT_RUN)
		outcome->fingerprint = call->fingerprint;
	if (outcome->fingerprint != call->fingerprint) {
		node_outcome_refuse(node, call, REFUSAL_KEY_REUSED, RUN_NO, 0);
		return false;
	}
	switch (outcome->state) {
	case OUTCOME_NOT_RUN:
		outcome->state = OUTCOME_PENDING;
		outcome_clear_chunks(outcome);
		call->outcome = outcome;
		return true;
	case OUTCOME_PENDING:
	case OUTCOME_RUNNING:
		call_join(node, call, outcome);
		return false;
	case OUTCOME_COMPLETE:
		call_replay(node, call, outcome);
		return false;
	case OUTCOME_UNKNOWN:
		node_outcome_refuse(node, call, REFUSAL_UNKNOWN_OUTCOME,
				    RUN_UNKNOWN, 0);
		return false;
	}
	return false;
}

static void call_answer_joined(struct node *node, struct call *call,
			       struct outcome *outcome)
{
	switch (outcome->state) {
	case OUTCOME_COMPLETE:
		call_replay(node, call, outcome);
		break;
	case OUTCOME_NOT_RUN:
		node_outcome_refuse(node, call, REFUSAL_NO_ENDPOINT, RUN_NO,
				    NODE_RETRY_AFTER_US);
		break;
	case OUTCOME_PENDING:
	case OUTCOME_RUNNING:
	case OUTCOME_UNKNOWN:
		node_outcome_refuse(node, call, REFUSAL_UNKNOWN_OUTCOME,
				    RUN_UNKNOWN, 0);
		break;
	}
}

/*
 * Answers the calls that wait for the outcome of this call's id, and detaches
 * this call from the outcome. Does nothing for a call that itself waits.
 */
void node_outcome_answer_waiting(struct node *node, struct call *call)
{
	struct outcome *outcome = call->outcome;
	GArray *waiting;

	if (!outcome || call->state == CALL_JOINED)
		return;
	call->outcome = NULL;
	waiting = outcome->waiting;
	outcome->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	for (guint i = 0; i < waiting->len; i++) {
		struct call *other = g_hash_table_lookup(
			node->calls, &g_array_index(waiting, uint64_t, i));

		if (other && other->state == CALL_JOINED)
			call_answer_joined(node, other, outcome);
	}
	g_array_unref(waiting);
}
