#include "core/node/node_state.h"

#include "core/once/request_id.h"

#include <string.h>

/*
 * Request ids. An id made from a prefix of /v1/nodes belongs to the node and
 * incarnation that the prefix names: only that process may ever send a request
 * of this id to an endpoint, so its memory is enough and a paused or replaced
 * node cannot double it. Other ids are plain keys: see node_claim.c.
 */

static char *outcome_key(const char *organisation, const char *id)
{
	return g_strconcat(organisation, "\n", id, NULL);
}

/* Whether this process is the only one that may ever run the id. */
static bool node_answers_for(const struct node *node, const char *text,
			     const struct outcome *outcome)
{
	struct request_id id;

	if (!request_id_parse(&id, text))
		return outcome && outcome->claimed;
	return strcmp(id.issuer, node->options.name) == 0 &&
	       id.incarnation == node->options.incarnation &&
	       id.issued_us + node->options.id_memory_us > node->now_us;
}

static enum run outcome_run(const struct outcome *outcome)
{
	if (!outcome)
		return RUN_NO;
	switch (outcome->state) {
	case OUTCOME_WHOLE:
		return RUN_YES;
	case OUTCOME_RUNNING: /* sent: it may not have begun */
	case OUTCOME_UNKNOWN:
		return RUN_UNKNOWN;
	case OUTCOME_NOT_RUN:
	case OUTCOME_PENDING:
		break;
	}
	return outcome->maybe_run ? RUN_UNKNOWN : RUN_NO;
}

/*
 * What a refusal may say of a request that this node has not sent. The caller
 * may have sent the same id before, to another node, where it ran; "not run"
 * would then be false. It is said only without an id, or by the one process
 * that may run the id and knows that it did not.
 */
enum run node_id_run(const struct node *node, const struct request *request,
		     const char *organisation)
{
	const char *id = request->idempotency_key;
	const struct outcome *outcome;
	char *key;

	if (!id)
		return RUN_NO;
	if (!organisation)
		return RUN_UNKNOWN;
	key = outcome_key(organisation, id);
	outcome = outcome_store_find(node->outcomes, key);
	g_free(key);
	if (!node_answers_for(node, id, outcome))
		return RUN_UNKNOWN;
	if (outcome && outcome->fingerprint != node_fingerprint(request))
		return RUN_NO; /* what ran by this id is another request */
	return outcome_run(outcome);
}

/* Asks the node that issued the id, or holds its claim, for the answer. */
void node_id_forward(struct node *node, struct call *call,
		     const struct member *member)
{
	struct action *action;

	if (!member || call->request->forwarded) {
		node_outcome_refuse(node, call, REFUSAL_UNKNOWN_OUTCOME,
				    RUN_UNKNOWN, 0);
		return;
	}
	call->outcome = NULL;
	call->attempt = node->next_attempt++;
	g_hash_table_insert(node->attempts, &call->attempt, call);
	call_set_endpoint(call, member->http_address);
	node_call_set_state(node, call, CALL_FORWARDED);
	action = action_list_add(node->actions, ACTION_ATTEMPT_SEND);
	action->send.attempt = call->attempt;
	action->send.call = call->id;
	action->send.endpoint = g_strdup(member->http_address);
	action->send.request = request_ref(call->request);
	action->send.priority = call->priority;
	action->send.to_node = true;
	action->send.timeout_us = node->options.plain_timeout_us;
	node_log(node, LOG_LEVEL_INFO, "call_forwarded", call, "to",
		 member->name);
}

/* The member of this name, if it is still the process that is meant. */
const struct member *node_find_incarnation(const struct node *node,
					   const char *name,
					   uint64_t incarnation)
{
	const struct member *member = membership_find(node->membership, name);

	if (!member || member->incarnation != incarnation)
		return NULL;
	return member;
}

/* Finds or makes the outcome of an id this node may answer for. */
static bool call_enter(struct node *node, struct call *call, int64_t expires_us)
{
	char *key =
		outcome_key(call->organisation, call->request->idempotency_key);
	struct outcome *outcome;

	outcome_store_expire(node->outcomes, node->now_us);
	outcome = outcome_store_find(node->outcomes, key);
	if (outcome) {
		g_free(key);
		return node_outcome_repeat(node, call, outcome);
	}
	outcome = outcome_store_add(node->outcomes, key, expires_us);
	g_free(key);
	if (!outcome) {
		node_call_refuse(node, call, REFUSAL_QUEUE_FULL, RUN_NO,
				 NODE_RETRY_AFTER_US);
		return false;
	}
	outcome->state = OUTCOME_PENDING;
	outcome->fingerprint = call->fingerprint;
	outcome->nonce = g_rand_int(node->random);
	outcome->nonce = (outcome->nonce << 32) | g_rand_int(node->random);
	call->outcome = outcome;
	return true;
}

/*
 * An id with an issuer. Ids older than outcomes are remembered are refused:
 * such an id may have run and been forgotten, so running it would double it.
 * Age and expiry are both counted from the time in the id on this clock.
 */
static bool call_receive_issued(struct node *node, struct call *call,
				const struct request_id *id)
{
	int64_t expires_us = id->issued_us + node->options.id_memory_us;

	if (strcmp(id->issuer, node->options.name) != 0) {
		node_id_forward(node, call,
				node_find_incarnation(node, id->issuer,
						      id->incarnation));
		return false;
	}
	if (id->incarnation != node->options.incarnation) {
		node_call_refuse(node, call, REFUSAL_UNKNOWN_OUTCOME,
				 RUN_UNKNOWN, 0);
		return false;
	}
	if (expires_us <= node->now_us) {
		node_call_refuse(node, call, REFUSAL_ID_EXPIRED, RUN_UNKNOWN,
				 0);
		return false;
	}
	if (id->issued_us > node->now_us + node->options.id_memory_us) {
		node_call_refuse(node, call, REFUSAL_BAD_REQUEST, RUN_NO, 0);
		return false;
	}
	return call_enter(node, call, expires_us);
}

/*
 * Looks at the request's id. True when the call may go on to an endpoint now;
 * otherwise it was answered, waits, or was handed to another node.
 */
bool node_id_receive(struct node *node, struct call *call)
{
	struct request_id id;

	if (!call->request->idempotency_key)
		return true;
	if (request_id_parse(&id, call->request->idempotency_key))
		return call_receive_issued(node, call, &id);
	if (!call_enter(node, call, node->now_us + node->options.id_memory_us))
		return false;
	if (!call->request->non_idempotent || call->outcome->claimed)
		return true;
	node_claim_send(node, call);
	return false;
}

/* From here on the request may run: a repeated id must not start another. */
void node_id_dispatched(struct call *call)
{
	if (call->outcome)
		call->outcome->state = OUTCOME_RUNNING;
}
