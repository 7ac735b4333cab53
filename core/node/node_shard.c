#include "core/node/node_state.h"

#include <string.h>

/*
 * The shards of this node's region: the endpoints in each, the node that is
 * its home, and the changes of both.
 */

/* How long a new home waits for the other nodes' holdings. */
#define HOLDINGS_TIMEOUT_US 1000000

/* Frees a shard. */
void shard_destroy(gpointer data)
{
	struct shard *shard = data;

	g_free(shard->service);
	g_free(shard->home);
	g_clear_pointer(&shard->awaited_reports, g_hash_table_destroy);
	placement_destroy(shard->placement);
	g_ptr_array_unref(shard->endpoints);
	g_free(shard);
}

/* Frees a list of shards, but not the shards in it. */
void shard_list_destroy(gpointer data)
{
	g_ptr_array_unref(data);
}

/* The shard of this service with this index, or NULL. */
struct shard *node_shard_find(struct node *node, const char *service,
			      uint32_t index)
{
	GPtrArray *shards = g_hash_table_lookup(node->service_shards, service);

	if (!shards || index >= shards->len)
		return NULL;
	return g_ptr_array_index(shards, index);
}

/* The shard of the service that contains this endpoint, or NULL. */
struct shard *node_shard_of_endpoint(struct node *node, const char *service,
				     const char *endpoint)
{
	GPtrArray *shards = g_hash_table_lookup(node->service_shards, service);
	struct shard *shard;

	if (!shards)
		return NULL;
	shard = g_ptr_array_index(shards, home_shard_of(endpoint, shards->len));
	if (!g_ptr_array_find_with_equal_func(shard->endpoints, endpoint,
					      g_str_equal, NULL))
		return NULL;
	return shard;
}

/*
 * Picks at random a shard of the service from which to request an endpoint,
 * among those that have endpoints. NULL if there is none.
 */
struct shard *node_shard_pick(struct node *node, const char *service)
{
	GPtrArray *shards = g_hash_table_lookup(node->service_shards, service);
	struct shard *picked = NULL;
	int32_t seen = 0;

	for (guint i = 0; shards && i < shards->len; i++) {
		struct shard *shard = g_ptr_array_index(shards, i);

		if (shard->endpoints->len == 0)
			continue;
		seen++;
		if (seen == 1 || g_rand_int_range(node->random, 0, seen) == 0)
			picked = shard;
	}
	return picked;
}

static struct shard *shard_create(const struct config_service *service,
				  uint32_t index)
{
	struct shard *shard = g_new0(struct shard, 1);

	shard->service = g_strdup(service->name);
	shard->index = index;
	shard->kind = service->kind;
	shard->endpoints = g_ptr_array_new_with_free_func(g_free);
	shard->awaited_reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return shard;
}

/*
 * A new home does not know yet which requests run on its endpoints. It grants
 * nothing until every other live node has sent its holdings, or a second has
 * passed: immediate grants would fill the endpoints a second time and preempt
 * the requests that run there.
 */
static void shard_await_holdings(struct node *node, struct shard *shard)
{
	g_hash_table_remove_all(shard->awaited_reports);
	shard->grant_from_us = node->now_us + HOLDINGS_TIMEOUT_US;
	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);

		if (strcmp(member->name, node->options.name) != 0)
			g_hash_table_add(shard->awaited_reports,
					 g_strdup(member->name));
	}
	if (g_hash_table_size(shard->awaited_reports) == 0)
		shard->grant_from_us = node->now_us;
}

static void node_drop_shard_tickets(struct node *node,
				    const struct shard *shard)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, node->home_tickets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct home_ticket *ticket = value;

		if (ticket->shard == shard)
			g_hash_table_iter_remove(&iter);
	}
}

static void shard_become_home(struct node *node, struct shard *shard)
{
	struct placement_options options = {
		.policy = node->options.policy,
		.kind = shard->kind,
		.seed = home_hash(shard->service, node->options.name,
				  shard->index ^ node->options.seed),
		.max_waiting = node->options.max_waiting,
		.step_us = PLACEMENT_TOKEN_INTERVAL_US,
		.lengths = node_length_estimate(node, shard->service),
	};

	shard->is_home = true;
	shard->dirty = true;
	shard->placement = placement_create(&options);
	shard_await_holdings(node, shard);
}

static void shard_stop_home(struct node *node, struct shard *shard)
{
	node_drop_shard_tickets(node, shard);
	g_clear_pointer(&shard->placement, placement_destroy);
	shard->is_home = false;
}

static void shard_set_home(struct node *node, struct shard *shard)
{
	const struct member *home =
		home_find(node->membership, node->options.region,
			  shard->service, shard->index);
	bool is_home = home && strcmp(home->name, node->options.name) == 0 &&
		       node->options.placement == NODE_PLACEMENT_HOME;

	g_free(shard->home);
	shard->home = home ? g_strdup(home->name) : NULL;
	if (is_home && !shard->is_home)
		shard_become_home(node, shard);
	else if (!is_home && shard->is_home)
		shard_stop_home(node, shard);
}

static bool endpoint_is_leaving(const struct node *node,
				const struct config_endpoint *endpoint)
{
	return endpoint->leaving ||
	       g_hash_table_contains(node->leaving, endpoint->address);
}

static void shard_set_endpoints(struct node *node, struct shard *shard,
				const struct config_service *service,
				uint32_t shard_count)
{
	GPtrArray *old = shard->endpoints;

	shard->endpoints = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (home_shard_of(endpoint->address, shard_count) !=
		    shard->index)
			continue;
		g_ptr_array_add(shard->endpoints, g_strdup(endpoint->address));
		if (!shard->placement)
			continue;
		placement_set_endpoint(shard->placement, endpoint,
				       node->now_us);
		placement_set_leaving(shard->placement, endpoint->address,
				      endpoint_is_leaving(node, endpoint));
	}
	for (guint i = 0; shard->placement && i < old->len; i++) {
		char *address = g_ptr_array_index(old, i);

		if (!g_ptr_array_find_with_equal_func(shard->endpoints, address,
						      g_str_equal, NULL))
			placement_remove_endpoint(shard->placement, address,
						  node->now_us);
	}
	shard->dirty = true;
	g_ptr_array_unref(old);
}

static void node_rebuild_service(struct node *node, GPtrArray *shards,
				 GHashTable *by_service,
				 const struct config_service *service)
{
	GPtrArray *service_shards = g_ptr_array_new();
	uint32_t count = home_shard_count(service->endpoints->len,
					  node->options.engines_per_shard);

	for (uint32_t i = 0; i < count; i++) {
		struct shard *shard = node_shard_find(node, service->name, i);

		if (shard && shard->kind == service->kind)
			g_ptr_array_remove(node->shards, shard);
		else
			shard = shard_create(service, i);
		shard_set_home(node, shard);
		shard_set_endpoints(node, shard, service, count);
		g_ptr_array_add(shards, shard);
		g_ptr_array_add(service_shards, shard);
	}
	g_hash_table_insert(by_service, g_strdup(service->name),
			    service_shards);
}

/*
 * Rebuilds the shards from the configuration and the members. A shard that
 * remains keeps its placement state unless its home moves; the tickets of a
 * removed one are dropped.
 */
void node_shard_rebuild(struct node *node)
{
	GPtrArray *shards = g_ptr_array_new();
	GHashTable *by_service = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, shard_list_destroy);

	g_ptr_array_set_free_func(node->shards, NULL);
	for (guint i = 0; node->config && i < node->config->services->len; i++)
		node_rebuild_service(
			node, shards, by_service,
			g_ptr_array_index(node->config->services, i));
	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);

		node_drop_shard_tickets(node, shard);
		shard_destroy(shard);
	}
	g_ptr_array_unref(node->shards);
	g_ptr_array_set_free_func(shards, shard_destroy);
	node->shards = shards;
	g_hash_table_destroy(node->service_shards);
	node->service_shards = by_service;
}

static bool member_is_gone(const struct node *node, const char *name)
{
	return !membership_find(node->membership, name);
}

/*
 * Handles a change of members: homes move, new homes are sent the holdings
 * again, and nodes that have gone are no longer awaited.
 */
void node_shard_members_changed(struct node *node)
{
	node_shard_rebuild(node);
	node_share_resize(node);
	for (guint i = 0; i < node->shards->len; i++) {
		struct shard *shard = g_ptr_array_index(node->shards, i);
		GHashTableIter iter;
		gpointer name;

		g_hash_table_iter_init(&iter, shard->awaited_reports);
		while (g_hash_table_iter_next(&iter, &name, NULL)) {
			if (member_is_gone(node, name))
				g_hash_table_iter_remove(&iter);
		}
	}
	node_place_rehome(node);
}
