#include "core/node/node_state.h"

#include <string.h>

/*
 * Claims: a non-idempotent request with a plain key is claimed in the
 * key-value service before it is sent, and the claim names the one node that
 * may run it.
 */

#define CLAIM_PREFIX "/siskinlink/claims/"
#define CLAIM_TTL_S 86400 /* a key is guarded for a day after its claim */
#define CLAIM_LEASE_RENEW_US (3600ll * G_USEC_PER_SEC) /* 24 writes a day */

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

/* The answer to this request of the key-value service is for the call. */
static void call_await_kv(struct node *node, const struct call *call,
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

	call_await_kv(
		node, call,
		node_kv_send(node, KV_CAS, key, value, 0, node->claim_lease));
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

/* Claims the call's key; the call waits for node_claim_kv meanwhile. */
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
 * Another node may have run it: those who wait here learn just that. The id
 * is then as never seen here, since the claim itself guards every later run.
 */
static void call_give_up_claim(struct node *node, struct call *call)
{
	struct outcome *outcome = call->outcome;

	outcome->state = OUTCOME_UNKNOWN;
	node_outcome_settle(node, call);
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
		node_id_forward(node, call, holder);
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
	call_await_kv(node, call, node_kv_send(node, KV_GET, key, NULL, 0, 0));
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
