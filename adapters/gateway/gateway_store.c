#include "adapters/gateway/gateway_state.h"

/*
 * Applies the configuration and the endpoints of the platform's store, and
 * decides whether a missing entry was removed or has only expired.
 */

/* Fewer removals at once are never treated as an expiry of leases. */
#define EXPIRED_MIN 3

/* The reason to doubt a removal at this time, for logs. */
static const char *gateway_doubt_cause(const struct gateway *gateway)
{
	return store_doubt_is_active(&gateway->store_doubt, gateway->now_us)
		       ? gateway->store_doubt.cause
		       : "store_restored";
}

/*
 * Logs the state of an endpoint, the newest entry it is based on, the source of
 * the change, and the reason if its removal is in doubt.
 */
void gateway_log_endpoint(struct gateway *gateway, const char *id,
			  const char *source)
{
	const struct endpoint *endpoint = registry_find(gateway->registry, id);
	const struct registration *last = endpoint->last_registration;
	char revision[24], started[24], reports[24];
	const char *doubt = "";

	if (endpoint->presence == PRESENCE_DOUBTED)
		doubt = gateway_doubt_cause(gateway);
	g_snprintf(revision, sizeof(revision), "%" G_GINT64_FORMAT,
		   last->position);
	g_snprintf(started, sizeof(started), "%" G_GINT64_FORMAT,
		   last->started_ms);
	g_snprintf(reports, sizeof(reports), "%" G_GINT64_FORMAT,
		   last->report_count);
	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint", "endpoint", id,
		  "service", last->service, "address", last->address, "state",
		  endpoint_presence_name(endpoint->presence), "revision",
		  revision, "started_ms", started, "reports", reports, "source",
		  source, "doubt", doubt, NULL);
}

static void log_set_aside(struct gateway *gateway, struct endpoint *endpoint,
			  const char *source)
{
	const struct registration *last = endpoint->last_registration;
	const struct entry_aside *aside = &endpoint->aside;
	char revision[24], started[24], reports[24], known_started[24],
		known_reports[24];

	g_snprintf(revision, sizeof(revision), "%" G_GINT64_FORMAT,
		   aside->position);
	g_snprintf(started, sizeof(started), "%" G_GINT64_FORMAT,
		   aside->started_ms);
	g_snprintf(reports, sizeof(reports), "%" G_GINT64_FORMAT,
		   aside->report_count);
	g_snprintf(known_started, sizeof(known_started), "%" G_GINT64_FORMAT,
		   last->started_ms);
	g_snprintf(known_reports, sizeof(known_reports), "%" G_GINT64_FORMAT,
		   last->report_count);
	log_write(gateway->log, LOG_LEVEL_INFO, "entry_set_aside", "endpoint",
		  last->id, "reason", aside->reason, "revision", revision,
		  "started_ms", started, "reports", reports, "state",
		  endpoint_presence_name(endpoint->presence),
		  "known_started_ms", known_started, "known_reports",
		  known_reports, "asked",
		  endpoint_is_unconfirmed(endpoint) ? "true" : "false",
		  "source", source, NULL);
}

/*
 * Logs which of these entries (struct registration) were not applied: one of an
 * endpoint in a second.
 */
void gateway_log_set_aside(struct gateway *gateway, const GPtrArray *list,
			   const char *source)
{
	for (guint i = 0; i < list->len; i++) {
		const struct registration *entry = g_ptr_array_index(list, i);
		struct endpoint *endpoint =
			registry_find(gateway->registry, entry->id);

		if (!endpoint || entry->is_removed ||
		    endpoint->aside.position != entry->position ||
		    endpoint->aside.logged_position == entry->position ||
		    gateway->now_us - endpoint->aside.logged_us <
			    G_USEC_PER_SEC)
			continue;
		endpoint->aside.logged_position = entry->position;
		endpoint->aside.logged_us = gateway->now_us;
		log_set_aside(gateway, endpoint, source);
	}
}

/*
 * Resolves doubts: removes endpoints that did not register again in time.
 * Endpoints that left long ago are dropped from the registry.
 */
void gateway_step_registry(struct gateway *gateway)
{
	GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);
	struct store_view view = gateway_store_view(gateway);

	store_doubt_update(&gateway->store_doubt, &view, gateway->now_us);
	registry_step(gateway->registry,
		      store_doubt_ended_before_us(&gateway->store_doubt,
						  gateway->now_us),
		      gateway->now_us, changed);
	for (guint i = 0; i < changed->len; i++) {
		const char *id = g_ptr_array_index(changed, i);

		gateway_log_endpoint(gateway, id, "end of the doubt");
		gateway_peers_announce_endpoint(gateway, id);
	}
	g_ptr_array_unref(changed);
}

/*
 * Applies a configuration; the source is the store or a node's name. Only a
 * higher version is applied, so that a late answer or a lagging peer can't
 * restore an older one. Takes its own references.
 */
void gateway_apply_table(struct gateway *gateway, struct route_table *table,
			 GBytes *document, const char *source)
{
	char version[24], routes[24], bytes[24];

	if (route_table_version(table) <= gateway_table_version(gateway))
		return;
	route_table_unref(gateway->table);
	gateway->table = route_table_ref(table);
	if (gateway->document)
		g_bytes_unref(gateway->document);
	gateway->document = g_bytes_ref(document);
	caller_set_apply_limits(gateway->callers, route_table_limits(table));
	gateway->announce_pending = true;
	counters_add(gateway->options.counters, COUNTER_GATEWAY_TABLES, 1);
	g_snprintf(version, sizeof(version), "%" G_GINT64_FORMAT,
		   route_table_version(table));
	g_snprintf(routes, sizeof(routes), "%zu",
		   route_table_route_count(table));
	g_snprintf(bytes, sizeof(bytes), "%zu", g_bytes_get_size(document));
	log_write(gateway->log, LOG_LEVEL_INFO, "routes_in_force", "version",
		  version, "routes", routes, "bytes", bytes, "source", source,
		  NULL);
}

/*
 * Whether the number of removals at once suggests a short outage of the store
 * in which leases expired. Endpoints normally leave a few at a time; removing
 * all of them would refuse every request until they have registered again.
 * Entries that name no known endpoint, such as odd ones, don't count.
 */
static bool changes_look_expired(const struct gateway *gateway,
				 const GPtrArray *list)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	guint removed = 0, serving = 0;

	for (guint i = 0; i < list->len; i++) {
		const struct registration *news = g_ptr_array_index(list, i);
		const struct endpoint *endpoint =
			registry_find(gateway->registry, news->id);

		removed += news->is_removed && endpoint &&
			   !endpoint_is_leaving(endpoint);
	}
	for (guint i = 0; i < endpoints->len; i++)
		serving +=
			!endpoint_is_leaving(g_ptr_array_index(endpoints, i));
	return removed >= EXPIRED_MIN && 2 * removed >= serving;
}

/* Records that the store answered a call of this node. */
void gateway_store_answered(struct gateway *gateway)
{
	gateway->now_us = gateway_now_us();
	store_doubt_store_answered(&gateway->store_doubt, gateway->now_us);
}

/*
 * Logs and announces the endpoints that an answer of the store changed. The
 * first ones that a node learns of are no news to the others: a node without
 * endpoints reads them itself. If each node that starts announced each endpoint
 * to each other node, a fleet that starts would fill its memory and its links.
 */
static void gateway_note_changes(struct gateway *gateway, const GPtrArray *ids,
				 bool is_first)
{
	for (guint i = 0; i < ids->len; i++)
		gateway_log_endpoint(gateway, ids->pdata[i], "store");
	if (!is_first)
		gateway_peers_announce_changes(gateway, ids);
}

/* Applies changes from the store: struct registration, oldest first. */
void gateway_apply_changes(struct gateway *gateway, const GPtrArray *list)
{
	GPtrArray *changed = g_ptr_array_new();
	bool is_first = !registry_has_usable(gateway->registry);
	bool is_doubtful;

	gateway_store_answered(gateway);
	if (changes_look_expired(gateway, list))
		store_doubt_many_vanished(&gateway->store_doubt,
					  gateway->now_us);
	is_doubtful =
		store_doubt_is_active(&gateway->store_doubt, gateway->now_us);
	for (guint i = 0; i < list->len; i++) {
		const struct registration *news = g_ptr_array_index(list, i);

		if (registry_apply(gateway->registry, news, is_doubtful,
				   gateway->now_us))
			g_ptr_array_add(changed, news->id);
	}
	gateway_log_set_aside(gateway, list, "store");
	gateway_note_changes(gateway, changed, is_first);
	g_ptr_array_unref(changed);
}

/* Records that the store's revisions went back without a new era. */
void gateway_store_rewound(struct gateway *gateway)
{
	registry_rewind(gateway->registry, gateway_now_us());
}

/* Applies a complete listing of the store as of a position. */
void gateway_apply_listing(struct gateway *gateway, const GPtrArray *list,
			   int64_t position)
{
	GPtrArray *changed = g_ptr_array_new_with_free_func(g_free);
	bool is_first = !registry_has_usable(gateway->registry);

	gateway_store_answered(gateway);
	registry_apply_listing(
		gateway->registry, list, position,
		store_doubt_is_active(&gateway->store_doubt, gateway->now_us),
		gateway->now_us, changed);
	gateway_log_set_aside(gateway, list, "store");
	gateway_note_changes(gateway, changed, is_first);
	g_ptr_array_unref(changed);
}

/* Records whether the store is reachable, and logs a change. */
void gateway_set_store_reached(struct gateway *gateway, bool is_reached)
{
	if (gateway->store_is_reached == is_reached)
		return;
	gateway->store_is_reached = is_reached;
	if (is_reached)
		gateway_store_answered(gateway);
	log_write(gateway->log, LOG_LEVEL_INFO,
		  is_reached ? "store_reached" : "store_lost", NULL);
}
