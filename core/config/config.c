#include "core/config/config.h"

#include <string.h>

static void config_endpoint_destroy(gpointer data)
{
	struct config_endpoint *endpoint = data;

	g_free(endpoint->address);
	g_free(endpoint->failure_domain);
	g_free(endpoint->region);
	g_free(endpoint);
}

static void config_service_destroy(gpointer data)
{
	struct config_service *service = data;

	g_free(service->name);
	g_free(service->status_path);
	g_ptr_array_unref(service->endpoints);
	g_free(service);
}

static void config_organisation_destroy(gpointer data)
{
	struct config_organisation *organisation = data;

	g_clear_pointer(&organisation->regions, g_ptr_array_unref);
	g_free(organisation->name);
	g_free(organisation->key_sha256);
	g_ptr_array_unref(organisation->more_keys);
	g_free(organisation);
}

static void config_rollout_destroy(gpointer data)
{
	struct config_rollout *rollout = data;

	g_free(rollout->name);
	g_free(rollout->service);
	g_free(rollout->target);
	g_free(rollout->id);
	g_free(rollout);
}

static void config_confirmation_destroy(gpointer data)
{
	struct config_confirmation *confirmation = data;

	g_free(confirmation->plan_id);
	g_free(confirmation->confirmed_by);
	g_free(confirmation->summary);
	g_free(confirmation);
}

static void config_free_members(gpointer data)
{
	struct config *config = data;

	g_free(config->plan_id);
	g_free(config->confirmed_by);
	g_ptr_array_unref(config->services);
	g_ptr_array_unref(config->organisations);
	g_ptr_array_unref(config->rollouts);
	g_ptr_array_unref(config->routes);
	g_ptr_array_unref(config->history);
}

/* Returns the name of the kind used in documents, intents and plans. */
const char *service_kind_name(enum service_kind kind)
{
	return kind == SERVICE_GENERATION ? "generation" : "plain";
}

/* Defaults that admit the largest and slowest requests of common clients. */
const struct caller_limits caller_limits_default = {
	.header_bytes = 16384,
	.body_bytes = 1 << 20,
	.header_timeout_us = 5 * G_USEC_PER_SEC,
	.idle_timeout_us = 60 * G_USEC_PER_SEC,
};

/* Creates an empty configuration of revision 0 with one reference. */
struct config *config_create(void)
{
	struct config *config = g_rc_box_new0(struct config);

	config->plan_id = g_strdup("");
	config->confirmed_by = g_strdup("");
	config->services =
		g_ptr_array_new_with_free_func(config_service_destroy);
	config->organisations =
		g_ptr_array_new_with_free_func(config_organisation_destroy);
	config->rollouts =
		g_ptr_array_new_with_free_func(config_rollout_destroy);
	config->routes =
		g_ptr_array_new_with_free_func((GDestroyNotify)route_destroy);
	config->callers = caller_limits_default;
	config->requires_keys = true;
	config->history =
		g_ptr_array_new_with_free_func(config_confirmation_destroy);
	return config;
}

/* Adds a reference and returns the same configuration. */
struct config *config_ref(struct config *config)
{
	return g_rc_box_acquire(config);
}

/* Drops a reference; NULL is allowed. */
void config_unref(struct config *config)
{
	if (config)
		g_rc_box_release_full(config, config_free_members);
}

/* Appends a service without endpoints; the configuration owns it. */
struct config_service *config_add_service(struct config *config,
					  const char *name,
					  enum service_kind kind)
{
	struct config_service *service = g_new0(struct config_service, 1);

	service->name = g_strdup(name);
	service->kind = kind;
	service->engine.tokens_per_event = 1;
	service->endpoints =
		g_ptr_array_new_with_free_func(config_endpoint_destroy);
	g_ptr_array_add(config->services, service);
	return service;
}

/* Appends an endpoint with eight slots; the service owns it. */
struct config_endpoint *
config_service_add_endpoint(struct config_service *service, const char *address)
{
	struct config_endpoint *endpoint = g_new0(struct config_endpoint, 1);

	endpoint->address = g_strdup(address);
	endpoint->failure_domain = g_strdup("");
	endpoint->region = g_strdup("");
	endpoint->slots = 8;
	g_ptr_array_add(service->endpoints, endpoint);
	return endpoint;
}

/* Appends an organisation without limits; the configuration owns it. */
struct config_organisation *config_add_organisation(struct config *config,
						    const char *name)
{
	struct config_organisation *organisation =
		g_new0(struct config_organisation, 1);

	organisation->name = g_strdup(name);
	organisation->key_sha256 = g_strdup("");
	organisation->more_keys = g_ptr_array_new_with_free_func(g_free);
	organisation->route_priority = -1;
	organisation->weight = 1;
	g_ptr_array_add(config->organisations, organisation);
	return organisation;
}

/*
 * Appends a rollout with the defaults: it updates one endpoint at a time,
 * keeps at least half of the endpoints in use and stops at the first failure.
 * The configuration owns it.
 */
struct config_rollout *config_add_rollout(struct config *config,
					  const char *name)
{
	struct config_rollout *rollout = g_new0(struct config_rollout, 1);

	rollout->name = g_strdup(name);
	rollout->service = g_strdup("");
	rollout->target = g_strdup("");
	rollout->id = g_strdup("");
	rollout->max_parallel = 1;
	rollout->min_ready_percent = 50;
	g_ptr_array_add(config->rollouts, rollout);
	return rollout;
}

/* Appends a route without targets; the configuration owns it. */
struct route *config_add_route(struct config *config, const char *name,
			       const char *host, const char *path_prefix)
{
	struct route *route = route_create(name, host, path_prefix);

	g_ptr_array_add(config->routes, route);
	return route;
}

/* Returns the route of this name, or NULL. */
const struct route *config_find_route(const struct config *config,
				      const char *name)
{
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(config->routes, i);

		if (strcmp(route->name, name) == 0)
			return route;
	}
	return NULL;
}

/*
 * Adds a further valid key to the organisation. Only the SHA-256 digest of the
 * key is stored.
 */
void config_organisation_add_key(struct config_organisation *organisation,
				 const char *key)
{
	g_ptr_array_add(
		organisation->more_keys,
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1));
}

/* Returns the rollout of this name, or NULL. */
const struct config_rollout *config_find_rollout(const struct config *config,
						 const char *name)
{
	for (guint i = 0; i < config->rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(config->rollouts, i);

		if (strcmp(rollout->name, name) == 0)
			return rollout;
	}
	return NULL;
}

/*
 * Appends an entry to the history: who confirmed which plan on which revision.
 * The oldest entry is removed when there are more than CONFIG_HISTORY_MAX. The
 * configuration owns the returned entry.
 */
struct config_confirmation *config_add_confirmation(struct config *config,
						    int64_t base_revision,
						    const char *plan_id,
						    const char *confirmed_by,
						    const char *summary)
{
	struct config_confirmation *confirmation =
		g_new0(struct config_confirmation, 1);

	confirmation->base_revision = base_revision;
	confirmation->plan_id = g_strdup(plan_id);
	confirmation->confirmed_by = g_strdup(confirmed_by);
	confirmation->summary = g_strdup(summary);
	g_ptr_array_add(config->history, confirmation);
	if (config->history->len > CONFIG_HISTORY_MAX)
		g_ptr_array_remove_index(config->history, 0);
	return confirmation;
}

/*
 * Returns the revision that confirmation i of the history produced. This is the
 * base of the next confirmation, or the current revision for the last one.
 */
int64_t config_confirmation_revision(const struct config *config, guint i)
{
	const struct config_confirmation *next;

	if (i + 1 >= config->history->len)
		return config->revision;
	next = g_ptr_array_index(config->history, i + 1);
	return next->base_revision;
}

/*
 * Returns whether a plan made on base_revision took effect; if it did, sets
 * *revision to the revision that it produced. Each confirmation is a
 * compare-and-swap on its base revision, so a plan that is missing from the
 * history of a later document can never take effect. The result is unknown if
 * config is NULL or not later than base_revision, or if its history no longer
 * reaches back to base_revision.
 */
enum plan_effect config_find_plan_effect(const struct config *config,
					 const char *plan_id,
					 int64_t base_revision,
					 int64_t *revision)
{
	const struct config_confirmation *oldest = NULL;

	if (!config)
		return PLAN_EFFECT_UNKNOWN;
	for (guint i = 0; i < config->history->len; i++) {
		const struct config_confirmation *confirmation =
			g_ptr_array_index(config->history, i);

		if (!oldest)
			oldest = confirmation;
		if (strcmp(confirmation->plan_id, plan_id) != 0)
			continue;
		*revision = config_confirmation_revision(config, i);
		return PLAN_EFFECT_YES;
	}
	if (base_revision < 0 || config->revision <= base_revision)
		return PLAN_EFFECT_UNKNOWN;
	if (config->history->len < CONFIG_HISTORY_MAX ||
	    oldest->base_revision <= base_revision)
		return PLAN_EFFECT_NO;
	return PLAN_EFFECT_UNKNOWN;
}

/* Returns the service of this name, or NULL. */
const struct config_service *config_find_service(const struct config *config,
						 const char *name)
{
	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(config->services, i);

		if (g_strcmp0(service->name, name) == 0)
			return service;
	}
	return NULL;
}

/* Returns the service's endpoint at this address, or NULL. */
const struct config_endpoint *
config_service_find_endpoint(const struct config_service *service,
			     const char *address)
{
	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (strcmp(endpoint->address, address) == 0)
			return endpoint;
	}
	return NULL;
}

/* Returns the organisation of this name, or NULL. */
const struct config_organisation *
config_find_organisation(const struct config *config, const char *name)
{
	for (guint i = 0; i < config->organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(config->organisations, i);

		if (strcmp(organisation->name, name) == 0)
			return organisation;
	}
	return NULL;
}

/*
 * Returns the organisation that owns this bearer key, or NULL. Only digests are
 * compared, so how far two of them match, and thus how long the comparison
 * takes, reveals nothing about the key itself.
 */
const struct config_organisation *
config_find_key_owner(const struct config *config, const char *bearer)
{
	const struct config_organisation *found = NULL;
	char *digest;

	if (!bearer)
		return NULL;
	digest = g_compute_checksum_for_string(G_CHECKSUM_SHA256, bearer, -1);
	for (guint i = 0; i < config->organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(config->organisations, i);

		if (strcmp(organisation->key_sha256, digest) == 0 ||
		    g_ptr_array_find_with_equal_func(organisation->more_keys,
						     digest, g_str_equal, NULL))
			found = organisation;
	}
	g_free(digest);
	return found;
}
