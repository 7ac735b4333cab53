#include "core/gateway/route_table.h"

#include <string.h>

struct route_table {
	gatomicrefcount references;
	int64_t version;
	bool requires_keys;
	struct caller_limits limits;
	GHashTable *hosts;	  /* host to GPtrArray of struct route */
	GPtrArray *routes;	  /* owns struct route */
	GHashTable *services;	  /* name to struct route_service */
	GPtrArray *organisations; /* owns struct route_organisation */
	GHashTable *keys;	  /* key to struct route_organisation */
};

static void target_clear(gpointer data)
{
	g_free(((struct route_target *)data)->service);
}

static void route_destroy(gpointer data)
{
	struct route *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->path_prefix);
	g_array_unref(route->targets);
	g_free(route);
}

static void service_destroy(gpointer data)
{
	g_free(((struct route_service *)data)->name);
	g_free(data);
}

static void organisation_destroy(gpointer data)
{
	g_free(((struct route_organisation *)data)->name);
	g_free(data);
}

/* An empty table of that version, held once. */
struct route_table *route_table_create(int64_t version)
{
	struct route_table *table = g_new0(struct route_table, 1);

	g_atomic_ref_count_init(&table->references);
	table->version = version;
	table->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     (GDestroyNotify)g_ptr_array_unref);
	table->routes = g_ptr_array_new_with_free_func(route_destroy);
	table->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						service_destroy);
	table->organisations =
		g_ptr_array_new_with_free_func(organisation_destroy);
	table->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return table;
}

/* Holds a table once more. */
struct route_table *route_table_ref(struct route_table *table)
{
	g_atomic_ref_count_inc(&table->references);
	return table;
}

/* Lets go of a table; the last one frees it. NULL is allowed. */
void route_table_unref(struct route_table *table)
{
	if (!table || !g_atomic_ref_count_dec(&table->references))
		return;
	g_hash_table_unref(table->hosts);
	g_ptr_array_unref(table->routes);
	g_hash_table_unref(table->services);
	g_hash_table_unref(table->keys);
	g_ptr_array_unref(table->organisations);
	g_free(table);
}

static gint compare_prefix_length(gconstpointer a, gconstpointer b)
{
	const struct route *one = *(const struct route *const *)a;
	const struct route *other = *(const struct route *const *)b;
	size_t one_size = strlen(one->path_prefix);
	size_t other_size = strlen(other->path_prefix);

	return one_size < other_size ? 1 : one_size > other_size ? -1 : 0;
}

/* Adds a route; the caller fills in the rest. Hosts are kept in small letters.
 */
struct route *route_table_add_route(struct route_table *table, const char *name,
				    const char *host, const char *path_prefix)
{
	struct route *route = g_new0(struct route, 1);
	GPtrArray *of_host;

	route->name = g_strdup(name);
	route->host = g_ascii_strdown(host, -1);
	route->path_prefix = g_strdup(path_prefix);
	route->max_attempts = 1;
	route->targets = g_array_new(FALSE, FALSE, sizeof(struct route_target));
	g_array_set_clear_func(route->targets, target_clear);
	g_ptr_array_add(table->routes, route);
	of_host = g_hash_table_lookup(table->hosts, route->host);
	if (!of_host) {
		of_host = g_ptr_array_new();
		g_hash_table_insert(table->hosts, g_strdup(route->host),
				    of_host);
	}
	g_ptr_array_add(of_host, route);
	g_ptr_array_sort(of_host, compare_prefix_length);
	return route;
}

/* Adds a service to which the route sends a share of its requests. */
void route_add_target(struct route *route, const char *service, int32_t weight)
{
	struct route_target target = {.service = g_strdup(service),
				      .weight = weight};

	g_array_append_val(route->targets, target);
}

/* Adds a service, plain until its engine says otherwise. */
struct route_service *route_table_add_service(struct route_table *table,
					      const char *name)
{
	struct route_service *service = g_new0(struct route_service, 1);

	service->name = g_strdup(name);
	g_hash_table_replace(table->services, service->name, service);
	return service;
}

/* Adds an organisation without keys. */
struct route_organisation *
route_table_add_organisation(struct route_table *table, const char *name)
{
	struct route_organisation *organisation =
		g_new0(struct route_organisation, 1);

	organisation->name = g_strdup(name);
	organisation->priority = -1;
	g_ptr_array_add(table->organisations, organisation);
	return organisation;
}

/* Requests with this key are the organisation's. */
void route_table_add_key(struct route_table *table, const char *key,
			 const struct route_organisation *organisation)
{
	g_hash_table_replace(table->keys, g_strdup(key),
			     (gpointer)organisation);
}

/* What callers may send, to be filled in. */
struct caller_limits *route_table_limits(struct route_table *table)
{
	return &table->limits;
}

/* From now on requests on routes that aren't public need a key. */
void route_table_require_keys(struct route_table *table)
{
	table->requires_keys = true;
}

/* The configuration's version. */
int64_t route_table_version(const struct route_table *table)
{
	return table->version;
}

/* Whether routes that aren't public need a key. */
bool route_table_requires_keys(const struct route_table *table)
{
	return table->requires_keys;
}

/* How many routes there are, for logs. */
size_t route_table_route_count(const struct route_table *table)
{
	return table->routes->len;
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
 * The route with the longest prefix of the target's path among those of the
 * host, which may carry a port. NULL: none.
 */
const struct route *route_table_find(const struct route_table *table,
				     const char *host, const char *target)
{
	char *name = host_without_port(host);
	const GPtrArray *of_host = g_hash_table_lookup(table->hosts, name);
	size_t path_size = strcspn(target, "?#");

	g_free(name);
	for (guint i = 0; of_host && i < of_host->len; i++) {
		const struct route *route = g_ptr_array_index(of_host, i);
		size_t size = strlen(route->path_prefix);

		if (size <= path_size &&
		    strncmp(target, route->path_prefix, size) == 0)
			return route;
	}
	return NULL;
}

/* The service of that name; NULL: none. */
const struct route_service *
route_table_find_service(const struct route_table *table, const char *name)
{
	return g_hash_table_lookup(table->services, name);
}

/* Whose key it is; NULL: nobody's. */
const struct route_organisation *
route_table_find_organisation(const struct route_table *table, const char *key)
{
	return g_hash_table_lookup(table->keys, key);
}

/* A service of the route by weight; draw is from 0 up to 1. NULL: none. */
const char *route_pick_service(const struct route *route, double draw)
{
	int64_t total = 0;
	double at;

	for (guint i = 0; i < route->targets->len; i++)
		total += g_array_index(route->targets, struct route_target, i)
				 .weight;
	at = draw * (double)total;
	for (guint i = 0; i < route->targets->len; i++) {
		const struct route_target *target =
			&g_array_index(route->targets, struct route_target, i);

		at -= target->weight;
		if (at < 0)
			return target->service;
	}
	return NULL;
}
