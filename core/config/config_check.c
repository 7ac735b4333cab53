#include "core/config/config_check.h"

#include <string.h>

/* Adds a key to a set; if it is there already, names both of its owners. */
static bool config_check_once(GHashTable *seen, const char *what,
			      const char *key, const char *owner,
			      const char *step, struct error *error)
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

static bool config_check_services(const struct config *config, const char *step,
				  struct error *error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *addresses = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < config->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(config->services, i);
		char *what = g_strdup_printf("service %s", service->name);

		ok = config_check_once(names, what, service->name,
				       "\"services\"", step, error);
		g_free(what);
		for (guint j = 0; ok && j < service->endpoints->len; j++) {
			const struct config_endpoint *endpoint =
				g_ptr_array_index(service->endpoints, j);

			what = g_strdup_printf("endpoint %s",
					       endpoint->address);
			ok = config_check_once(addresses, what,
					       endpoint->address, service->name,
					       step, error);
			g_free(what);
		}
	}
	g_hash_table_unref(names);
	g_hash_table_unref(addresses);
	return ok;
}

static bool config_check_organisations(const struct config *config,
				       const char *step, struct error *error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < config->organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(config->organisations, i);
		char *what =
			g_strdup_printf("organisation %s", organisation->name);

		ok = config_check_once(names, what, organisation->name,
				       "\"organisations\"", step, error);
		g_free(what);
		if (ok && *organisation->key_sha256)
			ok = config_check_once(keys, "key",
					       organisation->key_sha256,
					       organisation->name, step, error);
		for (guint j = 0; ok && j < organisation->more_keys->len; j++)
			ok = config_check_once(
				keys, "key",
				g_ptr_array_index(organisation->more_keys, j),
				organisation->name, step, error);
	}
	g_hash_table_unref(names);
	g_hash_table_unref(keys);
	return ok;
}

/* Two rollouts of one service would each order its engines back. */
static bool config_check_rollout_names(const struct config *config,
				       const char *step, struct error *error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);
	bool ok = true;

	for (guint i = 0; ok && i < config->rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(config->rollouts, i);

		ok = config_check_once(names, "rollout", rollout->name,
				       rollout->name, step, error) &&
		     config_check_once(services, "service of a rollout",
				       rollout->service, rollout->name, step,
				       error);
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

/* Two routes of one host and prefix: which one counts would be by chance. */
static bool config_check_route_names(const struct config *config,
				     const char *step, struct error *error)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *places =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool ok = true;

	for (guint i = 0; ok && i < config->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(config->routes, i);
		char *place =
			g_strconcat(route->host, route->path_prefix, NULL);

		ok = config_check_once(names, "route", route->name, route->name,
				       step, error) &&
		     config_check_once(places, "host and path_prefix", place,
				       route->name, step, error);
		if (!ok)
			g_free(place);
	}
	g_hash_table_unref(names);
	g_hash_table_unref(places);
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
 * Checks that names, endpoints and keys occur once. An endpoint of two
 * services would be placed on by two books that know nothing of each other,
 * and a key of two organisations would let one act as the other. ERROR_INVALID
 * under this step names the item.
 */
bool config_check_names(const struct config *config, const char *step,
			struct error *error)
{
	return config_check_services(config, step, error) &&
	       config_check_organisations(config, step, error) &&
	       config_check_rollout_names(config, step, error) &&
	       config_check_route_names(config, step, error);
}

/* Checks what must hold over a whole configuration; errors as above. */
bool config_check(const struct config *config, const char *step,
		  struct error *error)
{
	return config_check_names(config, step, error) &&
	       config_check_rollout_services(config, step, error) &&
	       config_check_route_services(config, step, error);
}
