#include "core/node/node_state.h"

#include "core/once/request_id.h"

#include <string.h>

/*
 * Request ids. An id made from a prefix of /v1/nodes belongs to the node and
 * incarnation named in the prefix. Only that process may send a request with
 * this id to an endpoint, so its in-memory outcomes suffice, and a paused or
 * replaced node cannot run the request twice. All other ids are plain keys: see
 * node_claim.c.
 */

static char *outcome_key(const char *organisation, const char *id)
{
	return g_strconcat(organisation, "\n", id, NULL);
}

/* Whether this process is the only one that may ever run this id's request. */
static bool node_may_run_id(const struct node *node, const char *text,
			    const struct outcome *outcome)
{
	struct request_id id;

	if (!request_id_parse(&id, text))
		return outcome && outcome->claimed;
	return strcmp(id.issuer, node->options.name) == 0 &&
	       id.incarnation == node->options.incarnation &&
	       id.issued_us > node->now_us - node->options.id_memory_us;
}

static enum run outcome_run_state(const struct outcome *outcome)
{
	if (!outcome)
		return RUN_NO;
	switch (outcome->state) {
	case OUTCOME_COMPLETE:
		return RUN_YES;
	case OUTCOME_RUNNING: /* sent, but possibly not started */
	case OUTCOME_UNKNOWN:
		return RUN_UNKNOWN;
	case OUTCOME_NOT_RUN:
	case OUTCOME_PENDING:
		break;
	}
	return outcome->maybe_run ? RUN_UNKNOWN : RUN_NO;
}

/*
 * Returns the run state to put into the refusal of a request that this node
 * has not sent to an endpoint. The caller may have sent the same id to another
 * node, which ran it, and RUN_NO would then be false. RUN_NO is returned only
 * for a request without an id, or when this process is the only one that may
 * run the id and has not run this request. organisation is NULL if unknown.
 */
enum run node_id_run_state(const struct node *node,
			   const struct request *request,
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
	if (!node_may_run_id(node, id, outcome))
		return RUN_UNKNOWN;
	if (outcome && outcome->fingerprint != request_fingerprint(request))
		return RUN_NO; /* the id was used for another request */
	return outcome_run_state(outcome);
}

/*
 * Forwards the call to member, the node that issued the id or holds its claim.
 * Refuses the call with an unknown outcome when member is NULL or the request
 * has been forwarded once already.
 */
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

/*
 * Returns the member of this name, owned by the membership, or NULL when there
 * is none or its process has another incarnation.
 */
const struct member *node_find_incarnation(const struct node *node,
					   const char *name,
					   uint64_t incarnation)
{
	const struct member *member = membership_find(node->membership, name);

	if (!member || member->incarnation != incarnation)
		return NULL;
	return member;
}

/*
 * Finds or creates the outcome of the call's id. Returns true when the call
 * may be sent to an endpoint.
 */
static bool call_attach_outcome(struct node *node, struct call *call,
				int64_t expires_us)
{
	char *key =
		outcome_key(call->organisation, call->request->idempotency_key);
	struct outcome *outcome;

	outcome_store_expire(node->outcomes, node->now_us);
	outcome = outcome_store_find(node->outcomes, key);
	if (outcome) {
		g_free(key);
		return node_outcome_handle_repeat(node, call, outcome);
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
 * Handles an id that names its issuer. An id older than id_memory_us is
 * refused: its outcome may have expired, and the request could run twice. Age
 * and expiry are both computed from the time in the id and this node's clock.
 */
static bool call_receive_issued(struct node *node, struct call *call,
				const struct request_id *id)
{
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
	if (id->issued_us <= node->now_us - node->options.id_memory_us) {
		node_call_refuse(node, call, REFUSAL_ID_EXPIRED, RUN_UNKNOWN,
				 0);
		return false;
	}
	if (id->issued_us > node->now_us + node->options.id_memory_us) {
		node_call_refuse(node, call, REFUSAL_BAD_REQUEST, RUN_NO, 0);
		return false;
	}
	return call_attach_outcome(node, call,
				   id->issued_us + node->options.id_memory_us);
}

/*
 * Handles the id of a received request. Returns true when the call may be sent
 * to an endpoint now. Otherwise the call was answered or refused, was forwarded
 * to another node, or waits for a claim or for the outcome of the same id.
 */
bool node_id_receive(struct node *node, struct call *call)
{
	struct request_id id;

	if (!call->request->idempotency_key)
		return true;
	if (request_id_parse(&id, call->request->idempotency_key))
		return call_receive_issued(node, call, &id);
	if (!call_attach_outcome(node, call,
				 node->now_us + node->options.id_memory_us))
		return false;
	if (!call->request->non_idempotent || call->outcome->claimed)
		return true;
	node_claim_send(node, call);
	return false;
}

/*
 * Marks the call's outcome as running. From here on the request may run, so a
 * call that repeats its id must not be sent as well.
 */
void node_id_mark_dispatched(struct call *call)
{
	if (call->outcome)
		call->outcome->state = OUTCOME_RUNNING;
}
