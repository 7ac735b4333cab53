#include "daemons/gateway_wiring.h"

#include "adapters/gateway/gateway.h"
#include "adapters/gateway/store_follower.h"
#include "core/config/config_json.h"
#include "core/gateway/route_table.h"
#include "platform/platform.h"

#define MIB (INT64_C(1) << 20)

struct gateway_wiring {
	struct gateway *gateway;
	struct store_follower *document;
	struct store_follower *entries;
	struct log *log;
	bool has_store; /* false: uses the product's own configuration */
	/* The entries come from other nodes that reach the store. */
	bool entries_from_nodes;
};

/*
 * Decodes a configuration in the platform's format if the node has its store,
 * else in the product's own format.
 */
static struct route_table *wiring_decode_table(void *data, GBytes *document,
					       int64_t revision)
{
	struct gateway_wiring *wiring = data;
	struct route_table *table;
	struct config *config;
	struct error error;

	config = wiring->has_store
			 ? platform_read_document(document, &error)
			 : config_json_parse(document, revision, &error);
	if (!config) {
		log_write_error(wiring->log, LOG_LEVEL_ERROR, "routes_rejected",
				&error);
		return NULL;
	}
	table = route_table_create(config);
	config_unref(config);
	return table;
}

/* Reads the cordons of a page, struct cordon; the caller owns the list. */
static GPtrArray *read_cordons(const struct gateway_wiring *wiring,
			       const struct store_page *page)
{
	GPtrArray *list = cordon_list_create();

	for (guint i = 0; i < page->items->len; i++) {
		const struct store_item *item =
			g_ptr_array_index(page->items, i);
		struct cordon *cordon;

		if (!platform_is_cordon(item->key))
			continue;
		cordon = platform_read_cordon(item);
		if (cordon)
			g_ptr_array_add(list, cordon);
		else
			log_write(wiring->log, LOG_LEVEL_WARN,
				  "cordon_rejected", "key", item->key, NULL);
	}
	return list;
}

static void apply_document(struct gateway_wiring *wiring,
			   const struct store_page *page)
{
	for (guint i = 0; i < page->items->len; i++) {
		const struct store_item *item =
			g_ptr_array_index(page->items, i);
		struct route_table *table;

		if (!item->value || !platform_is_document(item->key))
			continue;
		table = wiring_decode_table(wiring, item->value,
					    item->position);
		if (!table)
			continue;
		gateway_apply_table(wiring->gateway, table, item->value,
				    "store");
		route_table_unref(table);
	}
}

static void on_document_listed(void *data, const struct store_page *page)
{
	struct gateway_wiring *wiring = data;
	GPtrArray *cordons = read_cordons(wiring, page);

	gateway_apply_cordon_listing(wiring->gateway, cordons, page->position);
	apply_document(wiring, page);
	g_ptr_array_unref(cordons);
}

static void on_document_changed(void *data, const struct store_page *page)
{
	struct gateway_wiring *wiring = data;
	GPtrArray *cordons = read_cordons(wiring, page);

	for (guint i = 0; i < cordons->len; i++)
		gateway_apply_cordon(wiring->gateway, cordons->pdata[i]);
	apply_document(wiring, page);
	g_ptr_array_unref(cordons);
}

/*
 * Reads the entries of a page. An entry that can't be read names no endpoint
 * and is logged, so that operators can see why the endpoint is not used.
 */
static GPtrArray *read_entries(const struct gateway_wiring *wiring,
			       const struct store_page *page)
{
	GPtrArray *list = registration_list_create();

	for (guint i = 0; i < page->items->len; i++) {
		const struct store_item *item =
			g_ptr_array_index(page->items, i);
		struct registration *record = platform_read_entry(item);

		if (item->value && (!record || record->is_removed))
			log_write(wiring->log, LOG_LEVEL_WARN, "entry_rejected",
				  "endpoint", record ? record->id : "", "key",
				  item->key, NULL);
		if (record)
			g_ptr_array_add(list, record);
	}
	return list;
}

static void on_entries_listed(void *data, const struct store_page *page)
{
	struct gateway_wiring *wiring = data;
	GPtrArray *list = read_entries(wiring, page);

	gateway_apply_listing(wiring->gateway, list, page->position);
	g_ptr_array_unref(list);
}

static void on_entries_changed(void *data, const struct store_page *page)
{
	struct gateway_wiring *wiring = data;
	GPtrArray *list = read_entries(wiring, page);

	gateway_apply_changes(wiring->gateway, list);
	g_ptr_array_unref(list);
}

static void wiring_update_store_reached(struct gateway_wiring *wiring)
{
	if (!wiring->document || !wiring->entries)
		return;
	gateway_set_store_reached(
		wiring->gateway,
		store_follower_is_reached(wiring->document) &&
			(wiring->entries_from_nodes ||
			 store_follower_is_reached(wiring->entries)));
}

static void on_reached_changed(void *data, bool is_reached)
{
	(void)is_reached; /* the state of only one of the two followers */
	wiring_update_store_reached(data);
}

static void on_store_answered(void *data)
{
	const struct gateway_wiring *wiring = data;

	gateway_store_answered(wiring->gateway);
}

static void on_store_rewound(void *data)
{
	const struct gateway_wiring *wiring = data;

	gateway_store_rewound(wiring->gateway);
}

static void wiring_refresh_document(void *data)
{
	struct gateway_wiring *wiring = data;

	if (wiring->document)
		store_follower_refresh(wiring->document);
}

static bool wiring_is_reading(void *data)
{
	const struct gateway_wiring *wiring = data;

	return wiring->document &&
	       store_follower_is_receiving(wiring->document);
}

static void wiring_watch(void *data, const struct store_watch *watch)
{
	struct gateway_wiring *wiring = data;

	if (!wiring->entries)
		return;
	/*
	 * With slow retries the node waits for a lost store: its entries then
	 * do not come from other nodes, even if it does not watch them itself.
	 */
	wiring->entries_from_nodes = !watch->entries && !watch->slow_retry;
	store_follower_set_active(wiring->entries, watch->entries);
	store_follower_set_probing(wiring->entries, watch->probes_store);
	store_follower_set_slow_retry(wiring->entries, watch->slow_retry);
	store_follower_set_slow_retry(wiring->document, watch->slow_retry);
	wiring_update_store_reached(wiring);
}

static bool wiring_create_gateway(struct gateway_wiring *wiring,
				  const struct gateway_wiring_options *options,
				  struct error *error)
{
	const struct settings *settings = options->settings;
	const struct gateway_options gateway = {
		.node_name = settings->node.name,
		.failure_domain = settings->node.failure_domain,
		.domain_regions = (const char *const *)settings->domain_regions,
		.address = settings->gateway.address,
		.ready_address = settings->gateway.ready_address,
		.directory_address = settings->gateway.directory_address,
		.max_connections = options->max_connections,
		.drain_us = settings->gateway.drain_us,
		.directory_ttl_us = settings->gateway.directory_ttl_us,
		.retry_percent = settings->gateway.retry_percent,
		.retry_extra = settings->gateway.retry_extra,
		.home_from_nodes = settings->gateway.home_from_nodes,
		.warmup_excess_percent =
			settings->gateway.warmup_excess_percent,
		.warmup_slack = settings->gateway.warmup_slack,
		.retry_window_us = settings->gateway.retry_window_us,
		.max_answer_bytes = settings->gateway.max_answer_bytes,
		.memory_bytes = settings->memory_mb * MIB,
		.seed = options->seed,
		.log = options->log,
		.counters = options->counters,
		.dialect = &platform_dialect,
	};
	const struct gateway_host host = {
		.send = options->send,
		.message = options->message,
		.members = options->members,
		.decode = wiring_decode_table,
		.read_store = wiring_refresh_document,
		.is_reading = wiring_is_reading,
		.watch = wiring_watch,
		.stopped = options->stopped,
		.data = options->data,
		.store_data = wiring,
	};

	wiring->gateway = gateway_create(&gateway, &host, error);
	return wiring->gateway != NULL;
}

static struct store_follower *
wiring_create_follower(struct gateway_wiring *wiring,
		       const struct gateway_wiring_options *options,
		       const char *prefix,
		       void (*listed)(void *, const struct store_page *),
		       void (*changed)(void *, const struct store_page *))
{
	const struct store_follower_options follower = {
		.address = options->settings->gateway.store_address,
		.prefix = prefix,
		.dialect = &platform_store_dialect,
		.log = options->log,
		.seed = options->seed,
	};
	const struct store_follower_events events = {
		.listed = listed,
		.changed = changed,
		.reached = on_reached_changed,
		.answered = on_store_answered,
		.rewound = on_store_rewound,
		.data = wiring,
	};

	return store_follower_create(&follower, &events);
}

/*
 * Opens the gateway and begins to follow the store. Returns NULL and an error
 * if the gateway can't be opened. The caller owns the result.
 */
struct gateway_wiring *
gateway_wiring_create(const struct gateway_wiring_options *options,
		      struct error *error)
{
	struct gateway_wiring *wiring = g_new0(struct gateway_wiring, 1);

	wiring->log = options->log;
	wiring->has_store = *options->settings->gateway.store_address;
	if (!wiring_create_gateway(wiring, options, error)) {
		g_free(wiring);
		return NULL;
	}
	if (!wiring->has_store) {
		gateway_set_store_reached(wiring->gateway, true);
		return wiring;
	}
	wiring->document = wiring_create_follower(
		wiring, options, platform_document_prefix, on_document_listed,
		on_document_changed);
	wiring->entries =
		wiring_create_follower(wiring, options, platform_entries_prefix,
				       on_entries_listed, on_entries_changed);
	return wiring;
}

/*
 * Opens the platform's store as the key-value service of a node. The caller
 * owns the result.
 */
struct store_calls *gateway_wiring_open_store(const struct settings *settings,
					      struct log *log, uint64_t seed,
					      const struct event_sink *sink)
{
	const struct store_calls_options options = {
		.address = settings->gateway.store_address,
		.dialect = &platform_kv_dialect,
		.watch_dialect = &platform_store_dialect,
		.seed = seed,
		.log = log,
	};

	return store_calls_create(&options, sink);
}

/* Closes the gateway and the store followers. NULL is allowed. */
void gateway_wiring_destroy(struct gateway_wiring *wiring)
{
	if (!wiring)
		return;
	store_follower_destroy(wiring->document);
	store_follower_destroy(wiring->entries);
	gateway_destroy(wiring->gateway);
	g_free(wiring);
}

/*
 * Lists the endpoints of the product's own configuration, with their addresses
 * as ids.
 */
static GPtrArray *list_endpoints(const struct config *config)
{
	GPtrArray *list = registration_list_create();

	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(config->services, i);

		for (guint k = 0; k < service->endpoints->len; k++) {
			const struct config_endpoint *endpoint =
				g_ptr_array_index(service->endpoints, k);
			struct registration *record =
				g_new0(struct registration, 1);

			record->id = g_strdup(endpoint->address);
			record->service = g_strdup(service->name);
			record->address = g_strdup(endpoint->address);
			record->failure_domain =
				g_strdup(endpoint->failure_domain);
			record->position = config->revision;
			record->slots = service->engine.slots
						? service->engine.slots
						: endpoint->slots;
			record->is_leaving = endpoint->leaving;
			g_ptr_array_add(list, record);
		}
	}
	return list;
}

/*
 * Applies the routes and endpoints of the product's own configuration in force
 * to the gateway. Does nothing if the gateway reads both from the platform.
 */
void gateway_wiring_apply_config(struct gateway_wiring *wiring,
				 const struct action_config *action)
{
	struct config *config;
	struct route_table *table;
	GPtrArray *list, *cordons;

	if (wiring->has_store)
		return;
	config = config_json_parse(action->document, action->revision, NULL);
	if (!config)
		return; /* the node logged the reason when it read it */
	table = route_table_create(config);
	list = list_endpoints(config);
	cordons = cordon_list_create();
	/* The product's own configuration has no cordons. */
	gateway_apply_cordon_listing(wiring->gateway, cordons,
				     config->revision);
	gateway_apply_table(wiring->gateway, table, action->document, "plan");
	gateway_apply_listing(wiring->gateway, list, config->revision);
	g_ptr_array_unref(cordons);
	g_ptr_array_unref(list);
	route_table_unref(table);
	config_unref(config);
}

/* Hands the gateway a message of another node's gateway. */
void gateway_wiring_receive_peer(struct gateway_wiring *wiring,
				 const struct peer_message *message)
{
	gateway_receive_peer(wiring->gateway, message);
}

/*
 * Applies the settings that a running gateway can change: times, retries and
 * the limit on answers.
 */
void gateway_wiring_reload(struct gateway_wiring *wiring,
			   const struct settings *settings)
{
	const struct gateway_settings *gateway = &settings->gateway;

	gateway_set_limits(wiring->gateway, gateway->drain_us,
			   gateway->directory_ttl_us, gateway->retry_percent,
			   gateway->retry_extra);
	gateway_set_answer_limit(wiring->gateway, gateway->max_answer_bytes);
	gateway_set_memory(wiring->gateway, settings->memory_mb * MIB);
}

/* Begins to drain the gateway; the stopped callback is called at the end. */
void gateway_wiring_drain(struct gateway_wiring *wiring)
{
	gateway_drain(wiring->gateway);
}

/* Appends the answer to an operator's query to the actions. */
void gateway_wiring_answer_query(struct gateway_wiring *wiring,
				 const struct event_query *query,
				 struct action_list *actions)
{
	gateway_answer_query(wiring->gateway, query, actions);
}
