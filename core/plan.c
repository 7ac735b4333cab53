#include "core/plan.h"

#include "codec/config_json.h"

#include <json-glib/json-glib.h>
#include <string.h>

static void plan_capacity_destroy(gpointer data)
{
	struct plan_capacity *capacity = data;

	g_free(capacity->service);
	g_free(capacity);
}

static void add_line(GPtrArray *lines, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

static void add_line(GPtrArray *lines, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	g_ptr_array_add(lines, g_strdup_vprintf(format, args));
	va_end(args);
}

static const char *kind_name(enum service_kind kind)
{
	return kind == SERVICE_GENERATION ? "generation" : "plain";
}

static const char *or_none(const char *text)
{
	return *text ? text : "none";
}

static void copy_endpoint(struct config_service *service,
			  const struct config_endpoint *from)
{
	struct config_endpoint *endpoint =
		config_service_add_endpoint(service, from->address);

	g_free(endpoint->failure_domain);
	g_free(endpoint->region);
	endpoint->failure_domain = g_strdup(from->failure_domain);
	endpoint->region = g_strdup(from->region);
	endpoint->capacity_tokens = from->capacity_tokens;
	endpoint->slots = from->slots;
	endpoint->checks_fence = from->checks_fence;
	endpoint->leaving = from->leaving;
}

static void copy_service(struct config *config,
			 const struct config_service *from)
{
	struct config_service *service =
		config_add_service(config, from->name, from->kind);

	for (guint i = 0; i < from->endpoints->len; i++)
		copy_endpoint(service, g_ptr_array_index(from->endpoints, i));
}

static struct config_organisation *
copy_organisation(struct config *config, const struct config_organisation *from)
{
	struct config_organisation *organisation =
		config_add_organisation(config, from->name);

	g_free(organisation->key_sha256);
	organisation->key_sha256 = g_strdup(from->key_sha256);
	organisation->priority = from->priority;
	organisation->weight = from->weight;
	organisation->requests_per_s = from->requests_per_s;
	organisation->concurrent_tokens = from->concurrent_tokens;
	return organisation;
}

static bool is_named(GPtrArray *names, const char *name)
{
	return g_ptr_array_find_with_equal_func(names, name, g_str_equal, NULL);
}

/* A removal must name what is there and not also be replaced. */
static bool check_removals(const struct config *base,
			   const struct intent *intent, struct error *error)
{
	for (guint i = 0; i < intent->remove_services->len; i++) {
		const char *name =
			g_ptr_array_index(intent->remove_services, i);

		if (config_find_service(base, name) &&
		    !config_find_service(intent->items, name))
			continue;
		error_set(error, ERROR_INVALID, "plan.create", "",
			  "remove_services[%u]: expected the name of a service "
			  "that is there and not also in \"services\"",
			  i);
		return false;
	}
	for (guint i = 0; i < intent->remove_organisations->len; i++) {
		const char *name =
			g_ptr_array_index(intent->remove_organisations, i);

		if (config_find_organisation(base, name) &&
		    !config_find_organisation(intent->items, name))
			continue;
		error_set(error, ERROR_INVALID, "plan.create", "",
			  "remove_organisations[%u]: expected the name of an "
			  "organisation that is there and not also in "
			  "\"organisations\"",
			  i);
		return false;
	}
	return true;
}

static void merge_services(struct config *result, const struct config *base,
			   const struct intent *intent)
{
	for (guint i = 0; i < base->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(base->services, i);

		if (!config_find_service(intent->items, service->name) &&
		    !is_named(intent->remove_services, service->name))
			copy_service(result, service);
	}
	for (guint i = 0; i < intent->items->services->len; i++)
		copy_service(result,
			     g_ptr_array_index(intent->items->services, i));
}

/* An organisation that is there keeps its key if the intent gives none. */
static bool merge_organisation(struct config *result, const struct config *base,
			       const struct config_organisation *wanted,
			       struct error *error)
{
	const struct config_organisation *before =
		config_find_organisation(base, wanted->name);
	struct config_organisation *organisation =
		copy_organisation(result, wanted);

	if (*wanted->key_sha256)
		return true;
	if (!before) {
		error_set(error, ERROR_INVALID, "plan.create", "",
			  "organisation %s: expected \"key_sha256\" or \"key\"",
			  wanted->name);
		return false;
	}
	g_free(organisation->key_sha256);
	organisation->key_sha256 = g_strdup(before->key_sha256);
	return true;
}

static bool merge_organisations(struct config *result,
				const struct config *base,
				const struct intent *intent,
				struct error *error)
{
	const GPtrArray *wanted = intent->items->organisations;

	for (guint i = 0; i < base->organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(base->organisations, i);

		if (!config_find_organisation(intent->items,
					      organisation->name) &&
		    !is_named(intent->remove_organisations, organisation->name))
			copy_organisation(result, organisation);
	}
	for (guint i = 0; i < wanted->len; i++) {
		if (!merge_organisation(result, base,
					g_ptr_array_index(wanted, i), error))
			return false;
	}
	return true;
}

/* Collects what changed of one item, as "capacity_tokens 0 -> 60000, ...". */
static void add_int_change(GString *changes, const char *name, int64_t before,
			   int64_t after)
{
	if (before != after)
		g_string_append_printf(
			changes,
			"%s%s %" G_GINT64_FORMAT " -> %" G_GINT64_FORMAT,
			changes->len ? ", " : "", name, before, after);
}

static void add_string_change(GString *changes, const char *name,
			      const char *before, const char *after)
{
	if (strcmp(before, after) != 0)
		g_string_append_printf(changes, "%s%s %s -> %s",
				       changes->len ? ", " : "", name,
				       or_none(before), or_none(after));
}

static void add_bool_change(GString *changes, const char *name, bool before,
			    bool after)
{
	add_string_change(changes, name, before ? "yes" : "no",
			  after ? "yes" : "no");
}

static void compare_endpoint(struct plan *plan, const char *service,
			     const struct config_endpoint *before,
			     const struct config_endpoint *after)
{
	GString *changes = g_string_new(NULL);

	add_string_change(changes, "failure_domain", before->failure_domain,
			  after->failure_domain);
	add_string_change(changes, "region", before->region, after->region);
	add_int_change(changes, "capacity_tokens", before->capacity_tokens,
		       after->capacity_tokens);
	add_int_change(changes, "slots", before->slots, after->slots);
	add_bool_change(changes, "checks_fence", before->checks_fence,
			after->checks_fence);
	add_bool_change(changes, "leaving", before->leaving, after->leaving);
	if (changes->len)
		add_line(plan->differences, "change endpoint %s of %s: %s",
			 after->address, service, changes->str);
	g_string_free(changes, TRUE);
}

static void add_endpoint_line(struct plan *plan, const char *service,
			      const struct config_endpoint *endpoint)
{
	add_line(plan->differences,
		 "add endpoint %s to %s: failure_domain %s, region %s%s",
		 endpoint->address, service, or_none(endpoint->failure_domain),
		 or_none(endpoint->region),
		 endpoint->leaving ? ", leaving" : "");
}

/* Endpoints by address; a service may have thousands of them. */
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

static void compare_services(struct plan *plan,
			     const struct config_service *before,
			     const struct config_service *after)
{
	GHashTable *old_index = index_endpoints(before);
	GHashTable *index = index_endpoints(after);

	if (before->kind != after->kind)
		add_line(plan->differences, "change service %s: kind %s -> %s",
			 after->name, kind_name(before->kind),
			 kind_name(after->kind));
	for (guint i = 0; i < after->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(after->endpoints, i);
		const struct config_endpoint *old =
			g_hash_table_lookup(old_index, endpoint->address);

		if (old)
			compare_endpoint(plan, after->name, old, endpoint);
		else
			add_endpoint_line(plan, after->name, endpoint);
	}
	for (guint i = 0; i < before->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(before->endpoints, i);

		if (!g_hash_table_contains(index, endpoint->address))
			add_line(plan->differences,
				 "remove endpoint %s from %s",
				 endpoint->address, after->name);
	}
	g_hash_table_unref(old_index);
	g_hash_table_unref(index);
}

static void compare_organisation(struct plan *plan,
				 const struct config_organisation *before,
				 const struct config_organisation *after)
{
	GString *changes = g_string_new(NULL);

	if (strcmp(before->key_sha256, after->key_sha256) != 0)
		g_string_append(changes, "key replaced");
	add_int_change(changes, "priority", before->priority, after->priority);
	add_int_change(changes, "weight", before->weight, after->weight);
	add_int_change(changes, "requests_per_s", before->requests_per_s,
		       after->requests_per_s);
	add_int_change(changes, "concurrent_tokens", before->concurrent_tokens,
		       after->concurrent_tokens);
	if (changes->len)
		add_line(plan->differences, "change organisation %s: %s",
			 after->name, changes->str);
	g_string_free(changes, TRUE);
}

static void add_service_differences(struct plan *plan,
				    const struct config *base)
{
	const GPtrArray *services = plan->result->services;

	for (guint i = 0; i < services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(services, i);
		const struct config_service *before =
			config_find_service(base, service->name);

		if (before) {
			compare_services(plan, before, service);
			continue;
		}
		add_line(plan->differences, "add service %s: %s, %u endpoints",
			 service->name, kind_name(service->kind),
			 service->endpoints->len);
		for (guint j = 0; j < service->endpoints->len; j++)
			add_endpoint_line(
				plan, service->name,
				g_ptr_array_index(service->endpoints, j));
	}
	for (guint i = 0; i < base->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(base->services, i);

		if (!config_find_service(plan->result, service->name))
			add_line(plan->differences,
				 "remove service %s: %u endpoints",
				 service->name, service->endpoints->len);
	}
}

static void add_organisation_differences(struct plan *plan,
					 const struct config *base)
{
	const GPtrArray *organisations = plan->result->organisations;

	for (guint i = 0; i < organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(organisations, i);
		const struct config_organisation *before =
			config_find_organisation(base, organisation->name);

		if (before)
			compare_organisation(plan, before, organisation);
		else
			add_line(plan->differences,
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
			add_line(plan->differences, "remove organisation %s",
				 organisation->name);
	}
}

/* How many endpoints of each failure domain take new work. */
static GHashTable *count_domains(const struct config_service *service)
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
add_capacity(struct plan *plan, const char *name,
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

static void warn_of_emptied_domains(struct plan *plan, const char *name,
				    GHashTable *before, GHashTable *after)
{
	GList *domains = g_list_sort(g_hash_table_get_keys(before),
				     (GCompareFunc)strcmp);

	for (GList *l = domains; l; l = l->next) {
		if (!g_hash_table_contains(after, l->data))
			add_line(plan->warnings,
				 "failure domain %s has no endpoint of service "
				 "%s left",
				 or_none(l->data), name);
	}
	g_list_free(domains);
}

static void warn_of_service(struct plan *plan, const char *name,
			    const struct config_service *before,
			    const struct config_service *after)
{
	const struct plan_capacity *capacity =
		add_capacity(plan, name, before, after);
	GHashTable *old_domains = count_domains(before);
	GHashTable *domains = count_domains(after);

	if (!after)
		add_line(plan->warnings,
			 "service %s is removed: its requests are refused",
			 name);
	else if (capacity->endpoints_after == 0)
		add_line(plan->warnings,
			 "service %s has no endpoint that takes new work",
			 name);
	else if (g_hash_table_size(domains) == 1)
		add_line(plan->warnings,
			 "service %s has every endpoint in one failure domain",
			 name);
	if (capacity->endpoints_after > 0)
		warn_of_emptied_domains(plan, name, old_domains, domains);
	if (capacity->tokens_after < capacity->tokens_before)
		add_line(plan->warnings,
			 "service %s loses %" G_GINT64_FORMAT
			 " of %" G_GINT64_FORMAT " tokens of capacity",
			 name, capacity->tokens_before - capacity->tokens_after,
			 capacity->tokens_before);
	g_hash_table_unref(old_domains);
	g_hash_table_unref(domains);
}

/* A limit of 0 is none, so a first limit is a fall as well. */
static bool limit_falls(int64_t before, int64_t after)
{
	return after > 0 && (before == 0 || after < before);
}

static void warn_of_limit(struct plan *plan, const char *organisation,
			  const char *limit, int64_t before, int64_t after)
{
	if (!limit_falls(before, after))
		return;
	if (before == 0)
		add_line(plan->warnings,
			 "organisation %s: %s falls from no limit to "
			 "%" G_GINT64_FORMAT,
			 organisation, limit, after);
	else
		add_line(plan->warnings,
			 "organisation %s: %s falls from %" G_GINT64_FORMAT
			 " to %" G_GINT64_FORMAT,
			 organisation, limit, before, after);
}

static void warn_of_organisation(struct plan *plan,
				 const struct config_organisation *before)
{
	const struct config_organisation *after =
		config_find_organisation(plan->result, before->name);

	if (!after) {
		add_line(plan->warnings,
			 "organisation %s is removed: its requests are refused",
			 before->name);
		return;
	}
	warn_of_limit(plan, before->name, "requests_per_s",
		      before->requests_per_s, after->requests_per_s);
	warn_of_limit(plan, before->name, "concurrent_tokens",
		      before->concurrent_tokens, after->concurrent_tokens);
	if (strcmp(before->key_sha256, after->key_sha256) != 0)
		add_line(plan->warnings,
			 "organisation %s: requests with its old key are "
			 "refused",
			 before->name);
}

static void add_warnings(struct plan *plan, const struct config *base)
{
	for (guint i = 0; i < base->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(base->services, i);

		warn_of_service(
			plan, service->name, service,
			config_find_service(plan->result, service->name));
	}
	for (guint i = 0; i < plan->result->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(plan->result->services, i);

		if (!config_find_service(base, service->name))
			warn_of_service(plan, service->name, NULL, service);
	}
	for (guint i = 0; i < base->organisations->len; i++)
		warn_of_organisation(plan,
				     g_ptr_array_index(base->organisations, i));
	if (plan->differences->len == 0)
		add_line(plan->warnings, "nothing changes");
}

/* What the history shows of a plan: its first differences, cut to fit. */
static char *plan_summarise(const struct plan *plan)
{
	GString *summary = g_string_new(NULL);
	guint i = 0;

	for (; i < plan->differences->len && summary->len < 160; i++)
		g_string_append_printf(
			summary, "%s%s", i ? "; " : "",
			(char *)g_ptr_array_index(plan->differences, i));
	if (summary->len > 240) {
		g_string_truncate(summary, 240);
		g_string_append(summary, "...");
	}
	if (i < plan->differences->len)
		g_string_append_printf(summary, "; and %u more",
				       plan->differences->len - i);
	return g_string_free(summary, FALSE);
}

/* The result carries its own confirmation as the last of the history. */
static void plan_add_history(struct plan *plan, const struct config *base)
{
	char *summary = plan_summarise(plan);

	g_free(plan->result->plan_id);
	plan->result->plan_id = g_strdup(plan->id);
	for (guint i = 0; i < base->history->len; i++) {
		const struct config_confirmation *earlier =
			g_ptr_array_index(base->history, i);

		config_add_confirmation(plan->result, earlier->base_revision,
					earlier->plan_id, earlier->confirmed_by,
					earlier->summary)
			->confirmed_s = earlier->confirmed_s;
	}
	config_add_confirmation(plan->result, base->revision, plan->id,
				plan->operator_name, summary);
	g_free(summary);
}

/* Makes the document say who confirms it and when. */
void plan_sign(struct plan *plan, const char *confirmed_by, int64_t now_us)
{
	GPtrArray *history = plan->result->history;
	struct config_confirmation *own =
		g_ptr_array_index(history, history->len - 1);

	g_free(plan->result->confirmed_by);
	g_free(own->confirmed_by);
	plan->result->confirmed_by = g_strdup(confirmed_by);
	own->confirmed_by = g_strdup(confirmed_by);
	own->confirmed_s = now_us / G_USEC_PER_SEC;
	g_clear_pointer(&plan->document, g_bytes_unref);
	plan->document = config_json_format(plan->result);
}

/*
 * Reads the document as every node will. One that they refuse, such as one
 * over the size that the service holds, must fail here: once written, it would
 * keep all nodes at the configuration before it.
 */
static bool plan_check_document(const struct plan *plan, struct error *error)
{
	struct config *config = config_json_parse(
		plan->document, plan->base_revision + 1, error);

	config_unref(config);
	return config != NULL;
}

static bool plan_merge(struct plan *plan, const struct config *base,
		       const struct intent *intent, struct error *error)
{
	if (!check_removals(base, intent, error))
		return false;
	merge_services(plan->result, base, intent);
	if (!merge_organisations(plan->result, base, intent, error) ||
	    !config_check(plan->result, "plan.create", error))
		return false;
	add_service_differences(plan, base);
	add_organisation_differences(plan, base);
	add_warnings(plan, base);
	plan_add_history(plan, base);
	plan_sign(plan, plan->operator_name, plan->created_us);
	return plan_check_document(plan, error);
}

/*
 * Turns an intent into a plan on base; NULL is an empty base of revision 0.
 * Returns NULL with ERROR_INVALID or ERROR_TOO_LARGE, which say what was
 * wrong with the intent or with the configuration it would lead to.
 */
struct plan *plan_create(const struct config *base, GBytes *intent,
			 const char *id, const char *operator_name,
			 int64_t now_us, struct error *error)
{
	struct intent *wanted = intent_json_parse(intent, error);
	struct config *empty = config_create();
	struct plan *plan;

	if (!base)
		base = empty;
	plan = g_new0(struct plan, 1);
	plan->id = g_strdup(id);
	plan->operator_name = g_strdup(operator_name);
	plan->base_revision = base->revision;
	plan->created_us = now_us;
	plan->differences = g_ptr_array_new_with_free_func(g_free);
	plan->warnings = g_ptr_array_new_with_free_func(g_free);
	plan->capacities =
		g_ptr_array_new_with_free_func(plan_capacity_destroy);
	plan->result = config_create();
	if (!wanted || !plan_merge(plan, base, wanted, error))
		g_clear_pointer(&plan, plan_destroy);
	intent_destroy(wanted);
	config_unref(empty);
	return plan;
}

/* Frees a plan; NULL is allowed. */
void plan_destroy(struct plan *plan)
{
	if (!plan)
		return;
	g_free(plan->id);
	g_free(plan->operator_name);
	g_ptr_array_unref(plan->differences);
	g_ptr_array_unref(plan->warnings);
	g_ptr_array_unref(plan->capacities);
	config_unref(plan->result);
	g_clear_pointer(&plan->document, g_bytes_unref);
	g_free(plan);
}

static void add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void add_string(JsonBuilder *builder, const char *name,
		       const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

static void add_lines(JsonBuilder *builder, const char *name,
		      const GPtrArray *lines)
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
	for (guint i = 0; i < lines->len; i++)
		json_builder_add_string_value(builder,
					      g_ptr_array_index(lines, i));
	json_builder_end_array(builder);
}

static void add_capacities(JsonBuilder *builder, const GPtrArray *capacities)
{
	json_builder_set_member_name(builder, "capacity");
	json_builder_begin_array(builder);
	for (guint i = 0; i < capacities->len; i++) {
		const struct plan_capacity *capacity =
			g_ptr_array_index(capacities, i);

		json_builder_begin_object(builder);
		add_string(builder, "service", capacity->service);
		add_int(builder, "endpoints_before",
			capacity->endpoints_before);
		add_int(builder, "endpoints_after", capacity->endpoints_after);
		add_int(builder, "tokens_before", capacity->tokens_before);
		add_int(builder, "tokens_after", capacity->tokens_after);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

/* The plan as operators see it; holds no key and no digest of one. */
GBytes *plan_format_json(const struct plan *plan)
{
	JsonBuilder *builder = json_builder_new();
	JsonNode *root;
	char *text;

	json_builder_begin_object(builder);
	add_string(builder, "plan_id", plan->id);
	add_string(builder, "operator", plan->operator_name);
	add_int(builder, "base_revision", plan->base_revision);
	if (plan->keep_us > 0)
		add_int(builder, "stale_after_s",
			plan->keep_us / G_USEC_PER_SEC);
	add_lines(builder, "differences", plan->differences);
	add_lines(builder, "warnings", plan->warnings);
	add_capacities(builder, plan->capacities);
	json_builder_end_object(builder);
	root = json_builder_get_root(builder);
	text = json_to_string(root, FALSE);
	json_node_unref(root);
	g_object_unref(builder);
	return g_bytes_new_take(text, strlen(text));
}
