#include "core/config/config_check.h"

#include <string.h>

/*
 * Adds a key with its owner to a set. If the set already holds the key, returns
 * false with an error that names both owners.
 */
static bool add_unique(GHashTable *seen, const char *what, const char *key,
		       const char *owner, const char *step, struct error *error)
{
	const char *other = g_hash_table_lookup(seen, key);

	if (!other) {
		g_hash_table_insert(seen, (gpointer)key, (gpointer)owner);
		return true;
	}
	error_set(error, ERROR_INVALID, step, "",
		  "%s: expected once, found in %s and %s", what, other, owner);
	return false;
}

static bool config_check_unique_services(const struct config *config,
					 const char *step, struct error *error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *addresses = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < config->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(config->services, i);
		char *what = g_strdup_printf("service %s", service->name);

		ok = add_unique(names, what, service->name, "\"services\"",
				step, error);
		g_free(what);
		for (guint j = 0; ok && j < service->endpoints->len; j++) {
			const struct config_endpoint *endpoint =
				g_ptr_array_index(service->endpoints, j);

			what = g_strdup_printf("endpoint %s",
					       endpoint->address);
			ok = add_unique(addresses, what, endpoint->address,
					service->name, step, error);
			g_free(what);
		}
	}
	g_hash_table_unref(names);
	g_hash_table_unref(addresses);
	return ok;
}

static bool config_check_unique_organisations(const struct config *config,
					      const char *step,
					      struct error *error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < config->organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(config->organisations, i);
		char *what =
			g_strdup_printf("organisation %s", organisation->name);

		ok = add_unique(names, what, organisation->name,
				"\"organisations\"", step, error);
		g_free(what);
		if (ok && *organisation->key_sha256)
			ok = add_unique(keys, "key", organisation->key_sha256,
					organisation->name, step, error);
		for (guint j = 0; ok && j < organisation->more_keys->len; j++)
			ok = add_unique(
				keys, "key",
				g_ptr_array_index(organisation->more_keys, j),
				organisation->name, step, error);
	}
	g_hash_table_unref(names);
	g_hash_table_unref(keys);
	return ok;
}

/*
 * A service may have one rollout only: two would order its engines back and
 * forth between their targets.
 */
static bool config_check_unique_rollouts(const struct config *config,
					 const char *step, struct error *error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < config->rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(config->rollouts, i);

		ok = add_unique(names, "rollout", rollout->name, rollout->name,
				step, error) &&
		     add_unique(services, "service of a rollout",
				rollout->service, rollout->name, step, error);
	}
	g_hash_table_unref(names);
	g_hash_table_unref(services);
	return ok;
}

static bool config_check_rollout_services(const struct config *config,
					  const char *step, struct error *error)
{
	for (guint i = 0; i < config->rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(config->rollouts, i);
		const struct config_service *service =
			config_find_service(config, rollout->service);

		if (service && service->kind == SERVICE_GENERATION)
			continue;
		error_set(error, ERROR_INVALID, step, "",
			  "rollout %s: expected a service of kind generation, "
			  "found none named %s",
			  rollout->name, rollout->service);
		return false;
	}
	return true;
}

/*
 * Each pair of host and path prefix may have one route only, as it would be
 * undefined which of two routes applies.
 */
static bool config_check_unique_routes(const struct config *config,
				       const char *step, struct error *error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *routes_by_prefix =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool ok = true;

	for (guint i = 0; ok && i < config->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(config->routes, i);
		char *host_and_prefix =
			g_strconcat(route->host, route->path_prefix, NULL);

		ok = add_unique(names, "route", route->name, route->name, step,
				error) &&
		     add_unique(routes_by_prefix, "host and path_prefix",
				host_and_prefix, route->name, step, error);
		if (!ok)
			g_free(host_and_prefix);
	}
	g_hash_table_unref(names);
	g_hash_table_unref(routes_by_prefix);
	return ok;
}

static bool config_check_route_services(const struct config *config,
					const char *step, struct error *error)
{
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(config->routes, i);

		for (guint j = 0; j < route->targets->len; j++) {
			const char *name = g_array_index(route->targets,
							 struct route_target, j)
						   .service;

			if (config_find_service(config, name))
				continue;
			error_set(error, ERROR_INVALID, step, "",
				  "route %s: expected a service, found none "
				  "named %s",
				  route->name, name);
			return false;
		}
	}
	return true;
}

/*
 * Checks that each name, endpoint address, key, service of a rollout, and pair
 * of host and path prefix occurs once. If two services shared an endpoint, two
 * independent books would place requests on it, and if two organisations shared
 * a key, one could act as the other. If one occurs twice, returns false with an
 * ERROR_INVALID of this step that names it.
 */
bool config_check_unique(const struct config *config, const char *step,
			 struct error *error)
{
	return config_check_unique_services(config, step, error) &&
	       config_check_unique_organisations(config, step, error) &&
	       config_check_unique_rollouts(config, step, error) &&
	       config_check_unique_routes(config, step, error);
}

/*
 * Checks a complete configuration: the rules of config_check_unique(), that the
 * services of all rollouts and routes exist, and that those of rollouts are of
 * kind generation. Errors are those of config_check_unique().
 */
bool config_check(const struct config *config, const char *step,
		  struct error *error)
{
	return config_check_unique(config, step, error) &&
	       config_check_rollout_services(config, step, error) &&
	       config_check_route_services(config, step, error);
}
