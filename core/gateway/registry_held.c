#include "core/gateway/registry_state.h"
#include "core/placement/home.h"
#include "ports/peer_message.h"

/* What one other node holds. */
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

/* Other nodes by name, and what each holds: none yet. */
GHashTable *holder_nodes_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     holder_node_destroy);
}

/*
 * How nodes name an endpoint to one another in what they hold: records with
 * names took three times as long to read. Should two endpoints share a key,
 * what other nodes hold on both counts for the one known first, and nothing
 * for the other. Placement goes by wrong hints for as long as both live; who
 * holds what in truth is known from each node's own requests.
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

/* Counts what nodes said of an endpoint before it was known. */
static void endpoint_count_held(struct endpoint *endpoint, GHashTable *nodes)
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

/* From now on other nodes' word on the key counts for this endpoint. */
void registry_add_key(struct registry *registry, struct endpoint *endpoint)
{
	if (g_hash_table_contains(registry->by_key, &endpoint->key))
		return;
	g_hash_table_insert(registry->by_key, &endpoint->key, endpoint);
	endpoint_count_held(endpoint, registry->nodes);
}

static void registry_add_node_held(struct registry *registry,
				   const struct holder_node *node, int32_t sign)
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

/* Another node says what it holds: a list of struct peer_held, all of it. */
void registry_take_held(struct registry *registry, const char *name,
			uint64_t incarnation, const GArray *held,
			int64_t now_us)
{
	struct holder_node *node = g_hash_table_lookup(registry->nodes, name);

	if (node) {
		registry_add_node_held(registry, node, -1);
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
	registry_add_node_held(registry, node, 1);
}

/* Nodes not heard of since then hold nothing any more. */
void registry_forget_silent(struct registry *registry, int64_t before_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, registry->nodes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct holder_node *node = value;

		if (node->heard_us >= before_us)
			continue;
		registry_add_node_held(registry, node, -1);
		g_hash_table_iter_remove(&iter);
	}
}
