#include "core/plan/plan_describe.h"

#include "core/plan/plan_rollout.h"
#include "core/plan/plan_route.h"

#include <string.h>

/* Appends a formatted line, which the array owns, to lines. */
void plan_add_line(GPtrArray *lines, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(lines, g_strdup_vprintf(format, args));
	va_end(args);
}

static const char *text_or_none(const char *text)
{
	return *text ? text : "none";
}

/*
 * Appends "name before -> after" to a comma-separated list of changes, such as
 * "capacity_tokens 0 -> 60000, slots 4 -> 8". Equal values add nothing.
 */
void plan_add_int_change(GString *changes, const char *name, int64_t before,
			 int64_t after)
{
	if (before != after)
		g_string_append_printf(
			changes,
			"%s%s %" G_GINT64_FORMAT " -> %" G_GINT64_FORMAT,
			changes->len ? ", " : "", name, before, after);
}

/*
 * Appends a changed text like plan_add_int_change(); an empty text is shown as
 * "none".
 */
void plan_add_string_change(GString *changes, const char *name,
			    const char *before, const char *after)
{
	if (strcmp(before, after) != 0)
		g_string_append_printf(
			changes, "%s%s %s -> %s", changes->len ? ", " : "",
			name, text_or_none(before), text_or_none(after));
}

/* Appends a changed flag like plan_add_int_change(), as "yes" or "no". */
void plan_add_bool_change(GString *changes, const char *name, bool before,
			  bool after)
{
	plan_add_string_change(changes, name, before ? "yes" : "no",
			       after ? "yes" : "no");
}

static void describe_changed_endpoint(struct plan *plan, const char *service,
				      const struct config_endpoint *before,
				      const struct config_endpoint *after)
{
	GString *changes = g_string_new(NULL);

	plan_add_string_change(changes, "failure_domain",
			       before->failure_domain, after->failure_domain);
	plan_add_string_change(changes, "region", before->region,
			       after->region);
	plan_add_int_change(changes, "capacity_tokens", before->capacity_tokens,
			    after->capacity_tokens);
	plan_add_int_change(changes, "slots", before->slots, after->slots);
	plan_add_bool_change(changes, "checks_fence", before->checks_fence,
			     after->checks_fence);
	plan_add_bool_change(changes, "leaving", before->leaving,
			     after->leaving);
	if (changes->len)
		plan_add_line(plan->differences, "change endpoint %s of %s: %s",
			      after->address, service, changes->str);
	g_string_free(changes, TRUE);
}

static void describe_new_endpoint(struct plan *plan, const char *service,
				  const struct config_endpoint *endpoint)
{
	plan_add_line(plan->differences,
		      "add endpoint %s to %s: failure_domain %s, region %s%s",
		      endpoint->address, service,
		      text_or_none(endpoint->failure_domain),
		      text_or_none(endpoint->region),
		      endpoint->leaving ? ", leaving" : "");
}

/*
 * Maps addresses to the endpoints of a service. A hash table, as a service may
 * have thousands of endpoints.
 */
static GHashTable *index_endpoints(const struct config_service *service)
{
	GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < service->endpoints->len; i++) {
		struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		g_hash_table_insert(index, endpoint->address, endpoint);
	}
	return index;
}

static void describe_service_settings(struct plan *plan,
				      const struct config_service *before,
				      const struct config_service *after)
{
	const struct engine_capabilities *old = &before->engine;
	const struct engine_capabilities *engine = &after->engine;
	GString *changes = g_string_new(NULL);

	plan_add_string_change(changes, "kind", service_kind_name(before->kind),
			       service_kind_name(after->kind));
	plan_add_int_change(changes, "max_connections", before->max_connections,
			    after->max_connections);
	plan_add_int_change(changes, "engine_slots", old->slots, engine->slots);
	plan_add_int_change(changes, "engine_memory_tokens", old->memory_tokens,
			    engine->memory_tokens);
	plan_add_int_change(changes, "tokens_per_event", old->tokens_per_event,
			    engine->tokens_per_event);
	plan_add_int_change(changes, "copy_keep_ms", old->copy_keep_us / 1000,
			    engine->copy_keep_us / 1000);
	plan_add_bool_change(changes, "can_move", old->can_move,
			     engine->can_move);
	plan_add_bool_change(changes, "can_back_up", old->can_back_up,
			     engine->can_back_up);
	if (changes->len)
		plan_add_line(plan->differences, "change service %s: %s",
			      after->name, changes->str);
	g_string_free(changes, TRUE);
}

static void describe_changed_service(struct plan *plan,
				     const struct config_service *before,
				     const struct config_service *after)
{
	GHashTable *old_index = index_endpoints(before);
	GHashTable *index = index_endpoints(after);

	describe_service_settings(plan, before, after);
	for (guint i = 0; i < after->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(after->endpoints, i);
		const struct config_endpoint *old =
			g_hash_table_lookup(old_index, endpoint->address);

		if (old)
			describe_changed_endpoint(plan, after->name, old,
						  endpoint);
		else
			describe_new_endpoint(plan, after->name, endpoint);
	}
	for (guint i = 0; i < before->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(before->endpoints, i);

		if (!g_hash_table_contains(index, endpoint->address))
			plan_add_line(plan->differences,
				      "remove endpoint %s from %s",
				      endpoint->address, after->name);
	}
	g_hash_table_unref(old_index);
	g_hash_table_unref(index);
}

static bool key_digests_are_equal(const GPtrArray *a, const GPtrArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		if (strcmp(g_ptr_array_index(a, i), g_ptr_array_index(b, i)) !=
		    0)
			return false;
	}
	return true;
}

static void
describe_changed_organisation(struct plan *plan,
			      const struct config_organisation *before,
			      const struct config_organisation *after)
{
	GString *changes = g_string_new(NULL);

	if (strcmp(before->key_sha256, after->key_sha256) != 0)
		g_string_append(changes, "key replaced");
	plan_add_int_change(changes, "priority", before->priority,
			    after->priority);
	plan_add_int_change(changes, "weight", before->weight, after->weight);
	plan_add_int_change(changes, "requests_per_s", before->requests_per_s,
			    after->requests_per_s);
	plan_add_int_change(changes, "concurrent_tokens",
			    before->concurrent_tokens,
			    after->concurrent_tokens);
	plan_add_int_change(changes, "route_priority", before->route_priority,
			    after->route_priority);
	if (!key_digests_are_equal(before->more_keys, after->more_keys))
		g_string_append_printf(changes, "%smore keys replaced",
				       changes->len ? ", " : "");
	if (changes->len)
		plan_add_line(plan->differences, "change organisation %s: %s",
			      after->name, changes->str);
	g_string_free(changes, TRUE);
}

static void describe_services(struct plan *plan, const struct config *base)
{
	const GPtrArray *services = plan->result->services;

	for (guint i = 0; i < services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(services, i);
		const struct config_service *before =
			config_find_service(base, service->name);

		if (before) {
			describe_changed_service(plan, before, service);
			continue;
		}
		plan_add_line(plan->differences,
			      "add service %s: %s, %u endpoints", service->name,
			      service_kind_name(service->kind),
			      service->endpoints->len);
		for (guint j = 0; j < service->endpoints->len; j++)
			describe_new_endpoint(
				plan, service->name,
				g_ptr_array_index(service->endpoints, j));
	}
	for (guint i = 0; i < base->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(base->services, i);

		if (!config_find_service(plan->result, service->name))
			plan_add_line(plan->differences,
				      "remove service %s: %u endpoints",
				      service->name, service->endpoints->len);
	}
}

static void describe_organisations(struct plan *plan, const struct config *base)
{
	const GPtrArray *organisations = plan->result->organisations;

	for (guint i = 0; i < organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(organisations, i);
		const struct config_organisation *before =
			config_find_organisation(base, organisation->name);

		if (before)
			describe_changed_organisation(plan, before,
						      organisation);
		else
			plan_add_line(
				plan->differences,
				"add organisation %s: priority %d, weight %d, "
				"requests_per_s %d, concurrent_tokens "
				"%" G_GINT64_FORMAT,
				organisation->name, organisation->priority,
				organisation->weight,
				organisation->requests_per_s,
				organisation->concurrent_tokens);
	}
	for (guint i = 0; i < base->organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(base->organisations, i);

		if (!config_find_organisation(plan->result, organisation->name))
			plan_add_line(plan->differences,
				      "remove organisation %s",
				      organisation->name);
	}
}

/*
 * Maps each failure domain to the number of its endpoints that take new
 * requests, which are those that are not leaving. NULL gives an empty table.
 */
static GHashTable *
count_endpoints_by_domain(const struct config_service *service)
{
	GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; service && i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);
		char *domain = endpoint->failure_domain;
		gpointer count = g_hash_table_lookup(counts, domain);

		if (!endpoint->leaving)
			g_hash_table_insert(
				counts, domain,
				GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
	}
	return counts;
}

static void sum_capacity(const struct config_service *service,
			 int32_t *endpoints, int64_t *tokens)
{
	*endpoints = 0;
	*tokens = 0;
	for (guint i = 0; service && i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (endpoint->leaving)
			continue;
		*endpoints += 1;
		*tokens += endpoint->capacity_tokens;
	}
}

static const struct plan_capacity *
add_capacity_change(struct plan *plan, const char *name,
		    const struct config_service *before,
		    const struct config_service *after)
{
	struct plan_capacity *capacity = g_new0(struct plan_capacity, 1);

	capacity->service = g_strdup(name);
	sum_capacity(before, &capacity->endpoints_before,
		     &capacity->tokens_before);
	sum_capacity(after, &capacity->endpoints_after,
		     &capacity->tokens_after);
	g_ptr_array_add(plan->capacities, capacity);
	return capacity;
}

static void warn_about_emptied_domains(struct plan *plan, const char *name,
				       GHashTable *before, GHashTable *after)
{
	GList *domains = g_list_sort(g_hash_table_get_keys(before),
				     (GCompareFunc)strcmp);

	for (GList *l = domains; l; l = l->next) {
		if (!g_hash_table_contains(after, l->data))
			plan_add_line(
				plan->warnings,
				"failure domain %s has no endpoint of service "
				"%s left",
				text_or_none(l->data), name);
	}
	g_list_free(domains);
}

static void warn_about_service(struct plan *plan, const char *name,
			       const struct config_service *before,
			       const struct config_service *after)
{
	const struct plan_capacity *capacity =
		add_capacity_change(plan, name, before, after);
	GHashTable *old_domains = count_endpoints_by_domain(before);
	GHashTable *domains = count_endpoints_by_domain(after);

	if (!after)
		plan_add_line(plan->warnings,
			      "service %s is removed: its requests are refused",
			      name);
	else if (capacity->endpoints_after == 0)
		plan_add_line(plan->warnings,
			      "service %s has no endpoint that takes new work",
			      name);
	else if (g_hash_table_size(domains) == 1)
		plan_add_line(
			plan->warnings,
			"service %s has every endpoint in one failure domain",
			name);
	if (capacity->endpoints_after > 0)
		warn_about_emptied_domains(plan, name, old_domains, domains);
	if (capacity->tokens_after < capacity->tokens_before)
		plan_add_line(plan->warnings,
			      "service %s loses %" G_GINT64_FORMAT
			      " of %" G_GINT64_FORMAT " tokens of capacity",
			      name,
			      capacity->tokens_before - capacity->tokens_after,
			      capacity->tokens_before);
	g_hash_table_unref(old_domains);
	g_hash_table_unref(domains);
}

/* A limit of 0 means no limit, so setting a first limit lowers it as well. */
static bool limit_is_lowered(int64_t before, int64_t after)
{
	return after > 0 && (before == 0 || after < before);
}

static void warn_about_limit(struct plan *plan, const char *organisation,
			     const char *limit, int64_t before, int64_t after)
{
	if (!limit_is_lowered(before, after))
		return;
	if (before == 0)
		plan_add_line(plan->warnings,
			      "organisation %s: %s falls from no limit to "
			      "%" G_GINT64_FORMAT,
			      organisation, limit, after);
	else
		plan_add_line(plan->warnings,
			      "organisation %s: %s falls from %" G_GINT64_FORMAT
			      " to %" G_GINT64_FORMAT,
			      organisation, limit, before, after);
}

static void warn_about_organisation(struct plan *plan,
				    const struct config_organisation *before)
{
	const struct config_organisation *after =
		config_find_organisation(plan->result, before->name);

	if (!after) {
		plan_add_line(
			plan->warnings,
			"organisation %s is removed: its requests are refused",
			before->name);
		return;
	}
	warn_about_limit(plan, before->name, "requests_per_s",
			 before->requests_per_s, after->requests_per_s);
	warn_about_limit(plan, before->name, "concurrent_tokens",
			 before->concurrent_tokens, after->concurrent_tokens);
	if (strcmp(before->key_sha256, after->key_sha256) != 0 ||
	    !key_digests_are_equal(before->more_keys, after->more_keys))
		plan_add_line(plan->warnings,
			      "organisation %s: requests with its old key are "
			      "refused",
			      before->name);
}

static void add_warnings(struct plan *plan, const struct config *base)
{
	for (guint i = 0; i < base->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(base->services, i);

		warn_about_service(
			plan, service->name, service,
			config_find_service(plan->result, service->name));
	}
	for (guint i = 0; i < plan->result->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(plan->result->services, i);

		if (!config_find_service(base, service->name))
			warn_about_service(plan, service->name, NULL, service);
	}
	for (guint i = 0; i < base->organisations->len; i++)
		warn_about_organisation(
			plan, g_ptr_array_index(base->organisations, i));
	if (plan->differences->len == 0)
		plan_add_line(plan->warnings, "nothing changes");
}

/*
 * Fills in the differences, warnings and capacities of a plan. Its result must
 * be complete; base is the configuration that the plan was made on.
 */
void plan_describe(struct plan *plan, const struct config *base)
{
	describe_services(plan, base);
	describe_organisations(plan, base);
	plan_describe_rollouts(plan, base);
	plan_describe_routes(plan, base);
	add_warnings(plan, base);
}
