#include "core/gateway/registry_state.h"
#include "core/placement/home.h"
#include "ports/peer_message.h"

/* The load that one other node announced. */
struct holder_node {
	uint64_t incarnation;
	int64_t heard_us;
	GArray *held; /* struct peer_held */
};

static void holder_node_destroy(gpointer data)
{
	struct holder_node *node = data;

	g_array_unref(node->held);
	g_free(node);
}

/* Returns an empty table from node names to struct holder_node. */
GHashTable *holder_nodes_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     holder_node_destroy);
}

/*
 * Returns the hash that identifies an endpoint in the load records that nodes
 * exchange; records with full ids took three times as long to read. If two
 * endpoints share a key, the load of other nodes on both counts for the one
 * known first, and none for the other. Placement then uses wrong hints while
 * both exist; the actual load is known from each node's own requests.
 */
uint64_t endpoint_key(const char *id)
{
	return home_hash(id, "", 0);
}

static void held_add(struct held *to, const struct peer_held *held,
		     int32_t sign)
{
	to->requests += sign * held->requests;
	to->copies += sign * held->copies;
	to->tokens += sign * held->tokens;
	to->unread_tokens += sign * held->unread_tokens;
}

/* Adds the load that nodes announced before the endpoint was known. */
static void endpoint_add_known_held(struct endpoint *endpoint,
				    GHashTable *nodes)
{
	GHashTableIter iter;
	gpointer node;

	g_hash_table_iter_init(&iter, nodes);
	while (g_hash_table_iter_next(&iter, NULL, &node)) {
		const GArray *list = ((struct holder_node *)node)->held;

		for (guint i = 0; i < list->len; i++) {
			const struct peer_held *held =
				&g_array_index(list, struct peer_held, i);

			if (held->endpoint_key == endpoint->key)
				held_add(&endpoint->others, held, 1);
		}
	}
}

/*
 * Counts other nodes' load under the endpoint's key for this endpoint, unless
 * the key belongs to another one.
 */
void registry_add_key(struct registry *registry, struct endpoint *endpoint)
{
	if (g_hash_table_contains(registry->by_key, &endpoint->key))
		return;
	g_hash_table_insert(registry->by_key, &endpoint->key, endpoint);
	endpoint_add_known_held(endpoint, registry->nodes);
}

static void registry_count_node_held(struct registry *registry,
				     const struct holder_node *node,
				     int32_t sign)
{
	for (guint i = 0; i < node->held->len; i++) {
		const struct peer_held *held =
			&g_array_index(node->held, struct peer_held, i);
		struct endpoint *endpoint = g_hash_table_lookup(
			registry->by_key, &held->endpoint_key);

		if (endpoint)
			held_add(&endpoint->others, held, sign);
	}
}

/*
 * Replaces the load of another node. held has a struct peer_held for every
 * endpoint that the node uses; it is copied.
 */
void registry_set_node_held(struct registry *registry, const char *name,
			    uint64_t incarnation, const GArray *held,
			    int64_t now_us)
{
	struct holder_node *node = g_hash_table_lookup(registry->nodes, name);

	if (node) {
		registry_count_node_held(registry, node, -1);
	} else {
		node = g_new0(struct holder_node, 1);
		node->held =
			g_array_new(FALSE, FALSE, sizeof(struct peer_held));
		g_hash_table_insert(registry->nodes, g_strdup(name), node);
	}
	node->incarnation = incarnation;
	node->heard_us = now_us;
	g_array_set_size(node->held, 0);
	g_array_append_vals(node->held, held->data, held->len);
	registry_count_node_held(registry, node, 1);
}

/* Removes the load of nodes that have announced nothing since before_us. */
void registry_expire_nodes(struct registry *registry, int64_t before_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder_node *node = value;

		if (node->heard_us >= before_us)
			continue;
		registry_count_node_held(registry, node, -1);
		g_hash_table_iter_remove(&iter);
	}
}
