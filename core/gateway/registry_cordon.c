#include "core/gateway/registry_state.h"

#include <string.h>

/* Cordons of failure domains, applied to the endpoints in them. */

/* Returns the failure domains under a cordon; the registry owns the set. */
struct cordon_set *registry_cordons(const struct registry *registry)
{
	return registry->cordons;
}

/* Sets whether the endpoint is under the cordon of its failure domain. */
void endpoint_update_cordon(struct endpoint *endpoint,
			    const struct registry *registry, int64_t now_us)
{
	bool was_cordoned = endpoint->is_cordoned;

	endpoint->is_cordoned = cordon_set_covers(
		registry->cordons, endpoint->last_registration->failure_domain);
	if (was_cordoned && !endpoint->is_cordoned)
		endpoint->uncordoned_us = now_us;
}

static void update_endpoints(struct registry *registry, int64_t now_us)
{
	for (guint i = 0; i < registry->endpoints->len; i++)
		endpoint_update_cordon(
			g_ptr_array_index(registry->endpoints, i), registry,
			now_us);
}

/*
 * Applies the change of one cordon from the store or a peer, unless a newer one
 * is known. Returns whether the failure domain was put under a cordon or out of
 * it.
 */
bool registry_apply_cordon(struct registry *registry, const struct cordon *news,
			   int64_t now_us)
{
	bool changed = cordon_set_apply(registry->cordons, news, now_us);

	if (changed)
		update_endpoints(registry, now_us);
	return changed;
}

/*
 * Applies all cordons (struct cordon) that the store has as of a position.
 * Appends the failure domains that changed to changed, which owns them.
 */
void registry_apply_cordon_listing(struct registry *registry,
				   const GPtrArray *list, int64_t position,
				   int64_t now_us, GPtrArray *changed)
{
	cordon_set_apply_listing(registry->cordons, list, position, now_us,
				 changed);
	update_endpoints(registry, now_us);
}

/* Lifts cordons that are due; appends their failure domains to changed. */
void registry_step_cordons(struct registry *registry, int64_t now_us,
			   GPtrArray *changed)
{
	guint count = changed->len;

	cordon_set_step(registry->cordons, now_us, changed);
	if (changed->len > count)
		update_endpoints(registry, now_us);
}

/* Returns how many endpoints that have not left the failure domain has. */
size_t registry_count_in_domain(const struct registry *registry,
				const char *failure_domain)
{
	size_t count = 0;

	for (guint i = 0; i < registry->endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		count += !endpoint_is_leaving(endpoint) &&
			 strcmp(endpoint->last_registration->failure_domain,
				failure_domain) == 0;
	}
	return count;
}

/* Whether an endpoint of the service would be usable but for its cordon. */
bool registry_has_cordoned(const struct registry *registry, const char *service)
{
	for (guint i = 0; i < registry->endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		if (endpoint->is_cordoned && !endpoint_is_leaving(endpoint) &&
		    strcmp(endpoint->last_registration->service, service) == 0)
			return true;
	}
	return false;
}
