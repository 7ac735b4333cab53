#include "bench/world_state.h"

#include "core/config/config_json.h"

#include <string.h>

#define CONFIG_KEY "/siskinlink/config"

/*
 * Sets 8 nodes, 10 engines and 3 plain endpoints, short delays and no faults.
 * Times are in microseconds of virtual time.
 */
void world_options_default(struct world_options *options)
{
	memset(options, 0, sizeof(*options));
	options->seed = 1;
	options->node_count = 8;
	options->engine_count = 10;
	options->plain_count = 3;
	node_options_default(&options->node);
	engine_model_options_default(&options->engine);
	options->client_delay_us = 2000;
	options->peer_delay_us = 500;
	options->endpoint_delay_us = 500;
	options->kv_delay_us = 2000;
	options->hold_us = 30 * G_USEC_PER_SEC;
	options->plain_us = 20000;
	options->connect_timeout_us = G_USEC_PER_SEC;
	options->vm_list_lag_us = 2 * G_USEC_PER_SEC;
	options->vm_list_poll_us = G_USEC_PER_SEC;
	options->prefix_percent = 50;
}

/*
 * Creates a world at time 0 in which all nodes have just started. The caller
 * frees it with world_destroy. Options and listener are copied; listener may be
 * NULL.
 */
struct world *world_create(const struct world_options *options,
			   const struct world_listener *listener)
{
	struct world *world = g_new0(struct world, 1);

	world->options = *options;
	if (listener)
		world->listener = *listener;
	world->queue = event_queue_create();
	world->random = g_rand_new_with_seed((guint32)options->seed);
	world->actions = action_list_create();
	world->endpoint_count = options->engine_count + options->plain_count;
	world->party_count = options->node_count + world->endpoint_count + 1;
	world->cut = g_new0(bool, world->party_count * world->party_count);
	world->root_calls = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	g_array_set_size(world->root_calls, 1);
	world->callers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, world_caller_destroy);
	world->kv = kv_model_create();
	world->watches = g_ptr_array_new_with_free_func(world_watch_destroy);
	world_endpoints_create(world);
	world_nodes_create(world);
	return world;
}

/* Frees the world without calling the listener; NULL is allowed. */
void world_destroy(struct world *world)
{
	if (!world)
		return;
	event_queue_destroy(world->queue);
	world_nodes_destroy(world);
	g_hash_table_unref(world->callers);
	g_array_unref(world->root_calls);
	world_endpoints_destroy(world);
	g_ptr_array_unref(world->watches);
	kv_model_destroy(world->kv);
	g_free(world->cut);
	action_list_destroy(world->actions);
	g_rand_free(world->random);
	g_free(world);
}

/* Schedules run at at_us, whichever nodes are alive then. */
void world_post(struct world *world, int64_t at_us, event_callback run,
		void *data, GDestroyNotify destroy)
{
	struct queued_event item = {
		.at_us = at_us,
		.node = INDEX_NONE,
		.run = run,
		.data = data,
		.destroy = destroy,
	};

	event_queue_add(world->queue, &item);
}

/*
 * Schedules run at at_us, or at the end of the node's pause if it is paused
 * then. If the node's process has ended by then, run is not called and data is
 * destroyed.
 */
void world_post_node(struct world *world, int64_t at_us, int32_t node,
		     event_callback run, void *data, GDestroyNotify destroy)
{
	struct queued_event item = {
		.at_us = at_us,
		.node = node,
		.incarnation = world->nodes[node].incarnation,
		.run = run,
		.data = data,
		.destroy = destroy,
	};

	event_queue_add(world->queue, &item);
}

static void world_run_item(struct world *world, struct queued_event *item)
{
	struct world_node *node;

	if (item->node == INDEX_NONE) {
		item->run(world, item->data);
		queued_event_clear(item);
		return;
	}
	node = &world->nodes[item->node];
	if (!node->node || node->incarnation != item->incarnation) {
		queued_event_clear(item);
		return;
	}
	if (node->paused) {
		g_queue_push_tail(&node->deferred,
				  g_memdup2(item, sizeof(*item)));
		return;
	}
	item->run(world, item->data);
	queued_event_clear(item);
}

/* Runs all events due up to until_us and advances the time to it. */
void world_run_until(struct world *world, int64_t until_us)
{
	struct queued_event item;

	while (event_queue_next_us(world->queue) <= until_us) {
		event_queue_pop(world->queue, &item);
		world->now_us = MAX(world->now_us, item.at_us);
		world_run_item(world, &item);
	}
	world->now_us = MAX(world->now_us, until_us);
}

/* Returns the virtual time in microseconds; it is 0 at creation. */
int64_t world_now_us(const struct world *world)
{
	return world->now_us;
}

/* Calls callback once at at_us. The caller keeps ownership of data. */
void world_schedule(struct world *world, int64_t at_us, world_callback callback,
		    void *data)
{
	world_post(world, at_us, callback, data, NULL);
}

/* Draws a delay between half and twice mean_us; below 2 it is not varied. */
int64_t world_delay_us(struct world *world, int64_t mean_us)
{
	if (mean_us < 2)
		return mean_us;
	return mean_us / 2 +
	       (int64_t)(g_rand_double(world->random) * 1.5 * mean_us);
}

/* Returns true with a probability of permille in a thousand. */
bool world_chance(struct world *world, int32_t permille)
{
	return permille > 0 &&
	       g_rand_int_range(world->random, 0, 1000) < permille;
}

/* Returns the number of a node as one end of a link. */
int32_t world_party_node(const struct world *world G_GNUC_UNUSED, int32_t node)
{
	return node;
}

/* Returns the number of an endpoint as one end of a link. */
int32_t world_party_endpoint(const struct world *world, int32_t endpoint)
{
	return world->options.node_count + endpoint;
}

/* Returns the number of the key-value service as one end of a link. */
int32_t world_party_kv(const struct world *world)
{
	return world->party_count - 1;
}

/* Returns whether the link is cut in this direction. */
bool world_link_cut(const struct world *world, int32_t from, int32_t to)
{
	return world->cut[from * world->party_count + to];
}

/*
 * Cuts or restores one direction of a link. Answers on a connection are delayed
 * until the link is restored, as TCP would resend them; messages between nodes
 * are lost.
 */
void world_cut_link(struct world *world, int32_t from, int32_t to, bool cut)
{
	world->cut[from * world->party_count + to] = cut;
}

/*
 * Creates a configuration with all engines in the service "model" and all plain
 * endpoints in the service "portal". The caller unrefs it.
 */
struct config *world_create_config(const struct world *world)
{
	struct config *config = config_create();
	struct config_service *model =
		config_add_service(config, "model", SERVICE_GENERATION);
	struct config_service *portal =
		config_add_service(config, "portal", SERVICE_PLAIN);

	for (int32_t i = 0; i < world->endpoint_count; i++) {
		const struct world_endpoint *endpoint = &world->endpoints[i];
		struct config_endpoint *entry = config_service_add_endpoint(
			endpoint->is_engine ? model : portal,
			endpoint->address);

		g_free(entry->failure_domain);
		g_free(entry->region);
		entry->failure_domain = g_strdup_printf("fd%d", i % 3);
		entry->region = g_strdup("r");
		entry->slots = 64;
		if (endpoint->is_engine)
			entry->capacity_tokens =
				world->options.engine.capacity_tokens;
	}
	return config;
}

/*
 * Adds an organisation without limits, whose bearer key is its name. The
 * configuration owns the result.
 */
struct config_organisation *world_add_organisation(struct config *config,
						   const char *name)
{
	struct config_organisation *organisation =
		config_add_organisation(config, name);

	g_free(organisation->key_sha256);
	organisation->key_sha256 =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, name, -1);
	organisation->priority = 9;
	return organisation;
}

/*
 * Writes a configuration to the key-value service, as the confirmation of an
 * operator would, and returns its revision.
 */
int64_t world_put_config(struct world *world, const struct config *config)
{
	GBytes *document = config_json_format(config);

	kv_model_begin_transaction(world->kv);
	kv_model_put(world->kv, CONFIG_KEY, document, 0);
	g_bytes_unref(document);
	world_kv_notify(world);
	return kv_model_revision(world->kv);
}

/* Returns all struct world_run in order of arrival; the world owns them. */
const GPtrArray *world_runs(const struct world *world)
{
	return world->runs;
}
