#include "core/node/node_state.h"

#include <string.h>

/*
 * Endpoints that leave get no new work. Several sources can mark an endpoint
 * as leaving. Each source's mark is kept separately, and the marks are
 * announced to the other nodes.
 */

#define ANNOUNCE_INTERVAL_US (10 * G_USEC_PER_SEC)

/*
 * Applies the mark to the shards whose home is this node and to the local
 * shares.
 */
static void node_apply_leaving(struct node *node, const char *endpoint)
{
	bool leaving = g_hash_table_contains(node->leaving, endpoint);
	GHashTableIter iter;
	gpointer share;

	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);

		if (!shard->is_home)
			continue;
		placement_set_leaving(shard->placement, endpoint, leaving);
		shard->dirty = true;
	}
	g_hash_table_iter_init(&iter, node->shares);
	while (g_hash_table_iter_next(&iter, NULL, &share))
		placement_set_leaving(share, endpoint, leaving);
}

/*
 * Announces to the other nodes which endpoints leave, by the sources of this
 * node. Repeated every ANNOUNCE_INTERVAL_US, since a peer's mark expires.
 */
void node_leaving_announce(struct node *node)
{
	const uint32_t local_sources =
		LEAVING_VM_LIST | LEAVING_LOAD | LEAVING_ROLLOUT;

	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);
		struct peer_message *message;
		GHashTableIter iter;
		gpointer key, value;

		if (strcmp(member->name, node->options.name) == 0)
			continue;
		message = node_message_create(node, PEER_LEAVING);
		g_hash_table_iter_init(&iter, node->leaving);
		while (g_hash_table_iter_next(&iter, &key, &value)) {
			const struct leaving_mark *mark = value;

			if (mark->sources & local_sources)
				g_ptr_array_add(message->leaving.endpoints,
						g_strdup(key));
		}
		if (message->leaving.endpoints->len)
			node_send(node, member->peer_address, message);
		else
			peer_message_destroy(message);
	}
	node->next_announce_us = node->now_us + ANNOUNCE_INTERVAL_US;
}

/*
 * Sets or clears one source's mark on an endpoint. It leaves as long as any
 * source marks it: the VM list lags, a load report may be lost, and either may
 * be the only source that still reaches some node.
 */
void node_leaving_set(struct node *node, const char *endpoint,
		      enum leaving_source source, bool leaving)
{
	struct leaving_mark *mark =
		g_hash_table_lookup(node->leaving, endpoint);
	bool was_leaving = mark != NULL;

	if (!mark && !leaving)
		return;
	if (!mark) {
		mark = g_new0(struct leaving_mark, 1);
		g_hash_table_insert(node->leaving, g_strdup(endpoint), mark);
	}
	if (leaving)
		mark->sources |= source;
	else
		mark->sources &= ~(uint32_t)source;
	if (source == LEAVING_PEER && leaving)
		mark->peer_expires_us = node->now_us + PEER_LEAVING_TTL_US;
	if (!mark->sources)
		g_hash_table_remove(node->leaving, endpoint);
	if (was_leaving == g_hash_table_contains(node->leaving, endpoint))
		return;
	node_log(node, LOG_LEVEL_INFO,
		 was_leaving ? "endpoint_stays" : "endpoint_leaving", NULL,
		 "endpoint", endpoint);
	node_apply_leaving(node, endpoint);
	if (!was_leaving && source != LEAVING_PEER)
		node_leaving_announce(node);
}

/* Applies the VM list. Endpoints that are not in it keep their mark. */
void node_leaving_vm_list(struct node *node, const struct event_vm_list *event)
{
	for (size_t i = 0; i < event->vm_count; i++)
		node_leaving_set(node, event->vms[i].address, LEAVING_VM_LIST,
				 event->vms[i].leaving);
}

/* Applies a peer's announcement, which expires after 30 s unless repeated. */
void node_leaving_peer(struct node *node, const struct peer_leaving *leaving)
{
	for (guint i = 0; i < leaving->endpoints->len; i++)
		node_leaving_set(node, g_ptr_array_index(leaving->endpoints, i),
				 LEAVING_PEER, true);
}

/* Clears the peers' marks that have expired. */
void node_leaving_expire(struct node *node)
{
	GPtrArray *expired = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, node->leaving);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct leaving_mark *mark = value;

		if ((mark->sources & LEAVING_PEER) &&
		    mark->peer_expires_us <= node->now_us)
			g_ptr_array_add(expired, g_strdup(key));
	}
	for (guint i = 0; i < expired->len; i++)
		node_leaving_set(node, g_ptr_array_index(expired, i),
				 LEAVING_PEER, false);
	g_ptr_array_unref(expired);
}
