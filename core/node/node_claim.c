#include "core/node/node_state.h"

#include <string.h>

/*
 * Claims. Before a non-idempotent request with a plain key is sent, the node
 * creates an entry for the key in the key-value service. The entry names the
 * only node that may run the request.
 */

#define CLAIM_PREFIX "/siskinlink/claims/"
#define CLAIM_TTL_S 86400 /* a claim lasts a day, less the age of its lease */
/* At most 24 leases a day. */
#define CLAIM_LEASE_REPLACE_US (3600ll * G_USEC_PER_SEC)

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

/* Records that the answer to key-value request kv_id belongs to the call. */
static void call_expect_kv_answer(struct node *node, const struct call *call,
				  uint64_t kv_id)
{
	g_hash_table_insert(node->claims, g_memdup2(&kv_id, sizeof(kv_id)),
			    g_memdup2(&call->id, sizeof(call->id)));
}

static void call_send_claim(struct node *node, struct call *call)
{
	char *key = claim_key(call);
	char *text = g_strdup_printf(
		"%s %016" G_GINT64_MODIFIER "x %016" G_GINT64_MODIFIER "x",
		node->options.name, node->options.incarnation,
		call->outcome->nonce);
	GBytes *value = g_bytes_new_take(text, strlen(text));

	call_expect_kv_answer(
		node, call,
		node_kv_send(node, KV_CAS, key, value, 0, node->claim_lease));
	g_bytes_unref(value);
	g_free(key);
}

/*
 * A claim exists as long as the lease it is attached to. All claims that a node
 * makes within an hour share one lease, which is granted for a day and never
 * renewed. Claims thus expire without a write for each of them.
 */
static bool node_claim_lease_is_fresh(const struct node *node)
{
	return node->claim_lease &&
	       node->now_us - node->claim_lease_granted_us <
		       CLAIM_LEASE_REPLACE_US;
}

/*
 * Claims the call's key, after requesting a lease if there is no recent one.
 * The call stays in CALL_CLAIMING until node_claim_kv gets the answer.
 */
void node_claim_send(struct node *node, struct call *call)
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

static void call_claimed(struct node *node, struct call *call)
{
	call->outcome->claimed = true;
	node_place_call(node, call);
}

static void call_claim_failed(struct node *node, struct call *call)
{
	node_call_refuse(node, call, REFUSAL_KV_UNAVAILABLE, RUN_NO,
			 NODE_RETRY_AFTER_US);
}

/*
 * The key has another claim, under which the request may have run, so the calls
 * that wait for this outcome are refused with an unknown outcome. The outcome
 * is then reset to not run, since that claim prevents any later run.
 */
static void call_give_up_claim(struct node *node, struct call *call)
{
	struct outcome *outcome = call->outcome;

	outcome->state = OUTCOME_UNKNOWN;
	node_outcome_answer_waiting(node, call);
	outcome->state = OUTCOME_NOT_RUN;
}

/*
 * The key is already claimed. A claim with this outcome's nonce was written by
 * this call, and the answer to that write was lost. If another node holds the
 * claim, the call is forwarded to that node. A claim with this incarnation and
 * another nonce belongs to an outcome that has expired here, so the request may
 * have run.
 */
static void call_claim_taken(struct node *node, struct call *call,
			     const struct kv_entry *entry)
{
	gsize size;
	const char *data = g_bytes_get_data(entry->value, &size);
	char *text = g_strndup(data, size);
	char **fields = g_strsplit(text, " ", 4);
	const struct member *holder = NULL;
	guint64 incarnation = 0;
	guint64 nonce = 0;

	if (g_strv_length(fields) == 3 &&
	    g_ascii_string_to_unsigned(fields[1], 16, 0, G_MAXUINT64,
				       &incarnation, NULL) &&
	    g_ascii_string_to_unsigned(fields[2], 16, 0, G_MAXUINT64, &nonce,
				       NULL))
		holder = node_find_incarnation(node, fields[0], incarnation);
	if (incarnation == node->options.incarnation &&
	    nonce == call->outcome->nonce) {
		call_claimed(node, call);
	} else {
		if (incarnation == node->options.incarnation)
			holder = NULL;
		call_give_up_claim(node, call);
		node_id_forward(node, call, holder);
	}
	g_strfreev(fields);
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
	/* The write may have succeeded, so the claim is read back. */
	key = claim_key(call);
	call_expect_kv_answer(node, call,
			      node_kv_send(node, KV_GET, key, NULL, 0, 0));
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
 * A key-value service may shorten a lease to its own maximum. Claims
 * that expire within the day would let a key's request run a second time, so a
 * shorter lease is not used and the calls that wait for it are refused.
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
	node->claim_lease_granted_us = node->now_us;
	node_call_each(node, call_lease_granted);
}

/*
 * Handles an answer of the key-value service to a claim or to the grant of a
 * claim lease. Returns false when the answer belongs to neither.
 */
bool node_claim_kv(struct node *node, const struct kv_answer *answer)
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
