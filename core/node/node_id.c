#include "core/node/node_state.h"

#include "core/stream/event_id.h"
#include "core/once/request_id.h"

#include <string.h>

/*
 * Request ids. An id made from a prefix of /v1/nodes belongs to the node and
 * incarnation that the prefix names: only that process may ever send a request
 * of this id to an endpoint, so its memory is enough and a paused or replaced
 * node cannot double it. A non-idempotent request with a plain key is claimed
 * in the key-value service first, and the claim names the one node that may
 * run it.
 */

#define COME_BACK_US 1000000
#define CLAIM_PREFIX "/siskinlink/claims/"
#define CLAIM_TTL_S 86400
#define CLAIM_LEASE_RENEW_US (3600ll * G_USEC_PER_SEC)

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

/* Gives a repeated id the first outcome; the call is gone afterwards. */
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
	node_call_drop(node, call);
}

static void call_join(struct node *node, struct call *call,
		      struct outcome *outcome)
{
	call->outcome = outcome;
	g_array_append_val(outcome->waiting, call->id);
	node_call_set_state(node, call, CALL_JOINED);
}

static void call_refuse_without(struct node *node, struct call *call,
				enum refusal refusal, enum run run,
				int64_t retry_after_us)
{
	call->outcome = NULL;
	node_call_refuse(node, call, refusal, run, retry_after_us);
}

/* An id seen before. True when the call may go on to an endpoint. */
static bool call_repeat(struct node *node, struct call *call,
			struct outcome *outcome)
{
	/* Nothing ran here by this id yet: whose body it is, is still open. */
	if (outcome->state == OUTCOME_NOT_RUN)
		outcome->fingerprint = call->fingerprint;
	if (outcome->fingerprint != call->fingerprint) {
		call_refuse_without(node, call, REFUSAL_KEY_REUSED, RUN_NO, 0);
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
	case OUTCOME_WHOLE:
		call_replay(node, call, outcome);
		return false;
	case OUTCOME_UNKNOWN:
		call_refuse_without(node, call, REFUSAL_UNKNOWN_OUTCOME,
				    RUN_UNKNOWN, 0);
		return false;
	}
	return false;
}

/* Asks the node that issued the id, or holds its claim, for the answer. */
static void call_forward(struct node *node, struct call *call,
			 const struct member *member)
{
	struct action *action;

	if (!member || call->request->forwarded) {
		call_refuse_without(node, call, REFUSAL_UNKNOWN_OUTCOME,
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

static const struct member *node_find_incarnation(const struct node *node,
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
		return call_repeat(node, call, outcome);
	}
	outcome = outcome_store_add(node->outcomes, key, expires_us);
	g_free(key);
	if (!outcome) {
		node_call_refuse(node, call, REFUSAL_QUEUE_FULL, RUN_NO,
				 COME_BACK_US);
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
		call_forward(node, call,
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

static char *claim_key(const struct call *call)
{
	char *digest = g_compute_checksum_for_string(
		G_CHECKSUM_SHA256, call->request->idempotency_key, -1);
	char *organisation =
		g_uri_escape_string(call->organisation, NULL, FALSE);
	char *key = g_strconcat(CLAIM_PREFIX, organisation, "/", digest, NULL);

	g_free(organisation);
	g_free(digest);
	return key;
}

static void call_send_claim(struct node *node, struct call *call)
{
	char *key = claim_key(call);
	char *text = g_strdup_printf(
		"%s %016" G_GINT64_MODIFIER "x %016" G_GINT64_MODIFIER "x",
		node->options.name, node->options.incarnation,
		call->outcome->nonce);
	GBytes *value = g_bytes_new_take(text, strlen(text));
	uint64_t id =
		node_kv_send(node, KV_CAS, key, value, 0, node->claim_lease);

	g_hash_table_insert(node->claims, g_memdup2(&id, sizeof(id)),
			    g_memdup2(&call->id, sizeof(call->id)));
	g_bytes_unref(value);
	g_free(key);
}

/*
 * Claims live as long as the lease they hang on: one lease an hour for all of
 * a node's claims, granted for a day and never renewed, so that they vanish
 * by themselves without a write each.
 */
static bool node_claim_lease_is_fresh(const struct node *node)
{
	return node->claim_lease &&
	       node->now_us - node->claim_lease_us < CLAIM_LEASE_RENEW_US;
}

static void call_claim(struct node *node, struct call *call)
{
	node_call_set_state(node, call, CALL_CLAIMING);
	if (node_claim_lease_is_fresh(node)) {
		call_send_claim(node, call);
		return;
	}
	call->awaits_lease = true;
	if (!node->claim_lease_kv_id)
		node->claim_lease_kv_id = node_kv_send(
			node, KV_LEASE_GRANT, NULL, NULL, CLAIM_TTL_S, 0);
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
	call_claim(node, call);
	return false;
}

static void call_claimed(struct node *node, struct call *call)
{
	call->outcome->claimed = true;
	node_place_call(node, call);
}

static void call_claim_failed(struct node *node, struct call *call)
{
	node_call_refuse(node, call, REFUSAL_KV_UNAVAILABLE, RUN_NO,
			 COME_BACK_US);
}

/*
 * Another node may have run it: those who wait here learn just that. The id
 * is then as never seen here, since the claim itself guards every later run.
 */
static void call_give_up_claim(struct node *node, struct call *call)
{
	struct outcome *outcome = call->outcome;

	outcome->state = OUTCOME_UNKNOWN;
	node_id_settle(node, call);
	outcome->state = OUTCOME_NOT_RUN;
}

/*
 * Somebody's claim stands. With our nonce it is ours: an earlier answer was
 * lost. Another node's is asked of that node; one of our own incarnation with
 * another nonce was forgotten, so it may have run.
 */
static void call_claim_taken(struct node *node, struct call *call,
			     const struct kv_entry *entry)
{
	gsize size;
	const char *data = g_bytes_get_data(entry->value, &size);
	char *text = g_strndup(data, size);
	char **parts = g_strsplit(text, " ", 4);
	const struct member *holder = NULL;
	guint64 incarnation = 0;
	guint64 nonce = 0;

	if (g_strv_length(parts) == 3 &&
	    g_ascii_string_to_unsigned(parts[1], 16, 0, G_MAXUINT64,
				       &incarnation, NULL) &&
	    g_ascii_string_to_unsigned(parts[2], 16, 0, G_MAXUINT64, &nonce,
				       NULL))
		holder = node_find_incarnation(node, parts[0], incarnation);
	if (incarnation == node->options.incarnation &&
	    nonce == call->outcome->nonce) {
		call_claimed(node, call);
	} else {
		if (incarnation == node->options.incarnation)
			holder = NULL;
		call_give_up_claim(node, call);
		call_forward(node, call, holder);
	}
	g_strfreev(parts);
	g_free(text);
}

static void call_claim_answered(struct node *node, struct call *call,
				const struct kv_answer *answer)
{
	const struct kv_entry *entry =
		answer->entries && answer->entries->len
			? g_ptr_array_index(answer->entries, 0)
			: NULL;
	char *key;
	uint64_t id;

	if (answer->op == KV_CAS && answer->outcome == KV_OK) {
		call_claimed(node, call);
		return;
	}
	if (entry &&
	    (answer->outcome == KV_CONFLICT || answer->outcome == KV_OK)) {
		call_claim_taken(node, call, entry);
		return;
	}
	if (answer->op == KV_GET || answer->outcome != KV_ANSWER_LOST) {
		call_claim_failed(node, call);
		return;
	}
	/* The write may stand: only reading it back tells. */
	key = claim_key(call);
	id = node_kv_send(node, KV_GET, key, NULL, 0, 0);
	g_hash_table_insert(node->claims, g_memdup2(&id, sizeof(id)),
			    g_memdup2(&call->id, sizeof(call->id)));
	g_free(key);
}

static void call_lease_granted(struct node *node, struct call *call)
{
	if (!call->awaits_lease)
		return;
	call->awaits_lease = false;
	call_send_claim(node, call);
}

static void call_lease_failed(struct node *node, struct call *call)
{
	if (call->awaits_lease)
		call_claim_failed(node, call);
}

/*
 * A service may cut a lease to the longest it has. Claims that vanish within
 * the day would let a key's request run a second time; so none is made, and
 * its callers are refused.
 */
static bool claim_lease_is_long_enough(struct node *node,
				       const struct kv_answer *answer)
{
	char ttl_s[24];

	if (answer->ttl_s >= CLAIM_TTL_S)
		return true;
	g_snprintf(ttl_s, sizeof(ttl_s), "%" G_GINT64_FORMAT, answer->ttl_s);
	node_log(node, LOG_LEVEL_ERROR, "claim_lease_too_short", NULL,
		 "granted_s", ttl_s);
	return false;
}

static void node_claim_lease_granted(struct node *node,
				     const struct kv_answer *answer)
{
	node->claim_lease_kv_id = 0;
	if (answer->outcome != KV_OK ||
	    !claim_lease_is_long_enough(node, answer)) {
		node_call_each(node, call_lease_failed);
		return;
	}
	node->claim_lease = answer->lease;
	node->claim_lease_us = node->now_us;
	node_call_each(node, call_lease_granted);
}

/* Takes the answers to claims; false when the answer is not one. */
bool node_id_kv(struct node *node, const struct kv_answer *answer)
{
	const uint64_t *id;
	struct call *call;

	if (answer->id == node->claim_lease_kv_id) {
		node_claim_lease_granted(node, answer);
		return true;
	}
	id = g_hash_table_lookup(node->claims, &answer->id);
	if (!id)
		return false;
	call = g_hash_table_lookup(node->calls, id);
	g_hash_table_remove(node->claims, &answer->id);
	if (call && call->state == CALL_CLAIMING)
		call_claim_answered(node, call, answer);
	return true;
}

/* From here on the request may run: a repeated id must not start another. */
void node_id_dispatched(struct call *call)
{
	if (call->outcome)
		call->outcome->state = OUTCOME_RUNNING;
}

static void node_settle_waiting(struct node *node, struct call *call,
				struct outcome *outcome)
{
	switch (outcome->state) {
	case OUTCOME_WHOLE:
		call_replay(node, call, outcome);
		break;
	case OUTCOME_NOT_RUN:
		call_refuse_without(node, call, REFUSAL_NO_ENDPOINT, RUN_NO,
				    COME_BACK_US);
		break;
	case OUTCOME_PENDING:
	case OUTCOME_RUNNING:
	case OUTCOME_UNKNOWN:
		call_refuse_without(node, call, REFUSAL_UNKNOWN_OUTCOME,
				    RUN_UNKNOWN, 0);
		break;
	}
}

/* Answers the calls that waited for the outcome of this one's id. */
void node_id_settle(struct node *node, struct call *call)
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
			node_settle_waiting(node, other, outcome);
	}
	g_array_unref(waiting);
}
