#include "core/gateway/route_table.h"

#include <string.h>

struct route_table {
	gatomicrefcount references;
	struct config *config;
	GHashTable *hosts;	/* host to GPtrArray of struct route */
	GHashTable *services;	/* name to struct config_service */
	GHashTable *keys;	/* key digest to struct config_organisation */
	GHashTable *urgency;	/* service to struct urgency, of generations */
	GHashTable *deferrable; /* set of struct route */
	GHashTable *mixed;	/* set of services with a deferrable route */
};

/* The shortest first_answer_us of a service's streams, by priority. */
enum { PRIORITY_LEVELS = 10 };

struct urgency {
	int64_t first_answer_us[PRIORITY_LEVELS]; /* 0: no such route */
};

static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct route *one = *(const struct route *const *)a;
	const struct route *other = *(const struct route *const *)b;
	size_t one_size = strlen(one->path_prefix);
	size_t other_size = strlen(other->path_prefix);

	return one_size < other_size ? 1 : one_size > other_size ? -1 : 0;
}

static void add_route(struct route_table *table, struct route *route)
{
	GPtrArray *host_routes = g_hash_table_lookup(table->hosts, route->host);

	if (!host_routes) {
		host_routes = g_ptr_array_new();
		g_hash_table_insert(table->hosts, route->host, host_routes);
	}
	g_ptr_array_add(host_routes, route);
}

static void sort_routes(struct route_table *table)
{
	GHashTableIter iter;
	gpointer host_routes;

	g_hash_table_iter_init(&iter, table->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &host_routes))
		g_ptr_array_sort(host_routes, compare_prefix_length);
}

static int32_t priority_level(const struct route *route)
{
	return CLAMP(route->priority, 0, PRIORITY_LEVELS - 1);
}

static bool is_timed_stream(const struct route *route)
{
	return route->kind == ROUTE_STREAM && route->first_answer_us > 0;
}

/* Notes the route with each generation service that it leads to. */
static void note_urgency(struct route_table *table, const struct route *route)
{
	for (guint i = 0; is_timed_stream(route) && i < route->targets->len;
	     i++) {
		const char *name =
			g_array_index(route->targets, struct route_target, i)
				.service;
		const struct config_service *service =
			route_table_find_service(table, name);
		struct urgency *urgency =
			g_hash_table_lookup(table->urgency, name);
		int64_t *shortest_us;

		if (!service || service->engine.slots == 0)
			continue;
		if (!urgency) {
			urgency = g_new0(struct urgency, 1);
			g_hash_table_insert(table->urgency, service->name,
					    urgency);
		}
		shortest_us = &urgency->first_answer_us[priority_level(route)];
		if (*shortest_us == 0 || route->first_answer_us < *shortest_us)
			*shortest_us = route->first_answer_us;
	}
}

static bool is_deferrable_at(const struct urgency *urgency,
			     const struct route *route)
{
	for (int32_t i = 0; urgency && i < priority_level(route); i++) {
		if (urgency->first_answer_us[i] > 0 &&
		    urgency->first_answer_us[i] < route->first_answer_us)
			return true;
	}
	return false;
}

static void note_deferrable(struct route_table *table, struct route *route)
{
	for (guint i = 0; is_timed_stream(route) && i < route->targets->len;
	     i++) {
		char *name =
			g_array_index(route->targets, struct route_target, i)
				.service;

		if (!is_deferrable_at(g_hash_table_lookup(table->urgency, name),
				      route))
			continue;
		g_hash_table_add(table->deferrable, route);
		g_hash_table_add(table->mixed, name);
	}
}

static void add_organisation(struct route_table *table,
			     struct config_organisation *organisation)
{
	if (*organisation->key_sha256)
		g_hash_table_insert(table->keys, organisation->key_sha256,
				    organisation);
	for (guint i = 0; i < organisation->more_keys->len; i++)
		g_hash_table_insert(
			table->keys,
			g_ptr_array_index(organisation->more_keys, i),
			organisation);
}

/*
 * Creates the table of a configuration, on which it takes a reference. The
 * caller owns the one reference to the table.
 */
struct route_table *route_table_create(struct config *config)
{
	struct route_table *table = g_new0(struct route_table, 1);

	g_atomic_ref_count_init(&table->references);
	table->config = config_ref(config);
	table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     (GDestroyNotify)g_ptr_array_unref);
	table->services = g_hash_table_new(g_str_hash, g_str_equal);
	table->keys = g_hash_table_new(g_str_hash, g_str_equal);
	table->urgency =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	table->deferrable = g_hash_table_new(NULL, NULL);
	table->mixed = g_hash_table_new(g_str_hash, g_str_equal);
	for (guint i = 0; i < config->routes->len; i++)
		add_route(table, g_ptr_array_index(config->routes, i));
	sort_routes(table);
	for (guint i = 0; i < config->services->len; i++) {
		struct config_service *service =
			g_ptr_array_index(config->services, i);

		g_hash_table_insert(table->services, service->name, service);
	}
	for (guint i = 0; i < config->routes->len; i++)
		note_urgency(table, g_ptr_array_index(config->routes, i));
	for (guint i = 0; i < config->routes->len; i++)
		note_deferrable(table, g_ptr_array_index(config->routes, i));
	for (guint i = 0; i < config->organisations->len; i++)
		add_organisation(table,
				 g_ptr_array_index(config->organisations, i));
	return table;
}

/* Takes a reference and returns the table. */
struct route_table *route_table_ref(struct route_table *table)
{
	g_atomic_ref_count_inc(&table->references);
	return table;
}

/* Drops a reference; the last one frees the table. NULL is allowed. */
void route_table_unref(struct route_table *table)
{
	if (!table || !g_atomic_ref_count_dec(&table->references))
		return;
	g_hash_table_unref(table->hosts);
	g_hash_table_unref(table->services);
	g_hash_table_unref(table->urgency);
	g_hash_table_unref(table->deferrable);
	g_hash_table_unref(table->mixed);
	g_hash_table_unref(table->keys);
	config_unref(table->config);
	g_free(table);
}

/* Returns the configuration's revision. */
int64_t route_table_version(const struct route_table *table)
{
	return table->config->revision;
}

/* Whether routes that aren't public require a key. */
bool route_table_requires_keys(const struct route_table *table)
{
	return table->config->requires_keys;
}

/* Returns the number of routes, for logs. */
size_t route_table_route_count(const struct route_table *table)
{
	return table->config->routes->len;
}

/* Returns the limits on what callers may send; the table owns them. */
const struct caller_limits *route_table_limits(const struct route_table *table)
{
	return &table->config->callers;
}

static char *host_without_port(const char *host)
{
	char *lower = g_ascii_strdown(host, -1);
	char *colon = strrchr(lower, ':');

	if (colon)
		*colon = '\0';
	return lower;
}

/*
 * Returns the host's route with the longest path prefix that matches the
 * target's path, or NULL. The host may carry a port. The table owns the route.
 */
const struct route *route_table_find(const struct route_table *table,
				     const char *host, const char *target)
{
	char *name = host_without_port(host);
	const GPtrArray *host_routes = g_hash_table_lookup(table->hosts, name);
	size_t path_size = strcspn(target, "?#");

	g_free(name);
	for (guint i = 0; host_routes && i < host_routes->len; i++) {
		const struct route *route = g_ptr_array_index(host_routes, i);
		size_t size = strlen(route->path_prefix);

		if (size <= path_size &&
		    strncmp(target, route->path_prefix, size) == 0)
			return route;
	}
	return NULL;
}

/* Returns the service of that name, or NULL; the table owns it. */
const struct config_service *
route_table_find_service(const struct route_table *table, const char *name)
{
	return g_hash_table_lookup(table->services, name);
}

/*
 * Returns the organisation that the key belongs to, or NULL; the table owns it.
 * The configuration holds only the digests of keys.
 */
const struct config_organisation *
route_table_find_organisation(const struct route_table *table, const char *key)
{
	char *digest =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
	const struct config_organisation *organisation =
		g_hash_table_lookup(table->keys, digest);

	g_free(digest);
	return organisation;
}

/* Returns the organisation's share of a wait queue; 1 if it is unknown. */
int32_t route_table_find_weight(const struct route_table *table,
				const char *organisation)
{
	const struct config_organisation *known =
		config_find_organisation(table->config, organisation);

	return known ? known->weight : 1;
}

/*
 * Returns whether requests of the route can wait in favour of others: a more
 * urgent stream of the same generation service is due sooner.
 */
bool route_table_is_deferrable(const struct route_table *table,
			       const struct route *route)
{
	return g_hash_table_contains(table->deferrable, route);
}

/* Returns whether the service has a deferrable route. */
bool route_table_gives_way(const struct route_table *table, const char *service)
{
	return g_hash_table_contains(table->mixed, service);
}

static bool route_leads_to(const struct route *route, const char *service)
{
	for (guint i = 0; i < route->targets->len; i++) {
		if (strcmp(g_array_index(route->targets, struct route_target, i)
				   .service,
			   service) == 0)
			return true;
	}
	return false;
}

/*
 * Returns the shortest first_answer_us of the service's deferrable routes, for
 * a request whose route is not known; 0: it has none.
 */
int64_t route_table_deferrable_begin_us(const struct route_table *table,
					const char *service)
{
	const GPtrArray *routes = table->config->routes;
	int64_t shortest_us = 0;

	for (guint i = 0; i < routes->len; i++) {
		const struct route *route = g_ptr_array_index(routes, i);

		if (!route_table_is_deferrable(table, route) ||
		    !route_leads_to(route, service))
			continue;
		if (!shortest_us || route->first_answer_us < shortest_us)
			shortest_us = route->first_answer_us;
	}
	return shortest_us;
}

/*
 * Returns the shortest longest_pause_us of the service's streams, for a request
 * whose route is not known; 0: none has one.
 */
int64_t route_table_longest_pause_us(const struct route_table *table,
				     const char *service)
{
	const GPtrArray *routes = table->config->routes;
	int64_t shortest_us = 0;

	for (guint i = 0; i < routes->len; i++) {
		const struct route *route = g_ptr_array_index(routes, i);

		if (route->kind != ROUTE_STREAM ||
		    route->longest_pause_us == 0 ||
		    !route_leads_to(route, service))
			continue;
		if (!shortest_us || route->longest_pause_us < shortest_us)
			shortest_us = route->longest_pause_us;
	}
	return shortest_us;
}
