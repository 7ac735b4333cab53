#include "core/plan/plan.h"

#include "core/config/config_check.h"
#include "core/config/config_json.h"
#include "core/config/intent_json.h"
#include "core/plan/plan_describe.h"
#include "core/plan/plan_rollout.h"
#include "core/plan/plan_route.h"
#include "core/json/json_writer.h"

#include <json-glib/json-glib.h>
#include <string.h>

static void plan_capacity_destroy(gpointer data)
{
	struct plan_capacity *capacity = data;

	g_free(capacity->service);
	g_free(capacity);
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

	service->max_connections = from->max_connections;
	service->engine = from->engine;
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
	organisation->route_priority = from->route_priority;
	for (guint i = 0; i < from->more_keys->len; i++)
		g_ptr_array_add(
			organisation->more_keys,
			g_strdup(g_ptr_array_index(from->more_keys, i)));
	return organisation;
}

static bool is_named(GPtrArray *names, const char *name)
{
	return g_ptr_array_find_with_equal_func(names, name, g_str_equal, NULL);
}

static bool has_service(const struct config *config, const char *name)
{
	return config_find_service(config, name) != NULL;
}

static bool has_organisation(const struct config *config, const char *name)
{
	return config_find_organisation(config, name) != NULL;
}

static bool has_rollout(const struct config *config, const char *name)
{
	return config_find_rollout(config, name) != NULL;
}

static bool has_route(const struct config *config, const char *name)
{
	return config_find_route(config, name) != NULL;
}

/* The items of one kind that an intent removes. */
struct removals {
	const GPtrArray *names; /* char * */
	const char *noun;	/* with its article, for messages */
	const char *member;	/* member of the intent that sets such items */
	bool (*has)(const struct config *config, const char *name);
};

static bool removal_fails(const struct removals *removals, guint i,
			  struct error *error)
{
	error_set(error, ERROR_INVALID, "plan.create", "",
		  "remove_%s[%u]: expected the name of %s that is there and "
		  "not also in \"%s\"",
		  removals->member, i, removals->noun, removals->member);
	return false;
}

/*
 * Each name to remove must exist in the base configuration, and the intent must
 * not also replace the item.
 */
static bool check_removals(const struct config *base,
			   const struct intent *intent, struct error *error)
{
	const struct removals kinds[] = {
		{intent->remove_services, "a service", "services", has_service},
		{intent->remove_organisations, "an organisation",
		 "organisations", has_organisation},
		{intent->remove_rollouts, "a rollout", "rollouts", has_rollout},
		{intent->remove_routes, "a route", "routes", has_route},
	};

	for (size_t kind = 0; kind < G_N_ELEMENTS(kinds); kind++) {
		const struct removals *removals = &kinds[kind];

		for (guint i = 0; i < removals->names->len; i++) {
			const char *name =
				g_ptr_array_index(removals->names, i);

			if (!removals->has(base, name) ||
			    removals->has(intent->items, name))
				return removal_fails(removals, i, error);
		}
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

/* An existing organisation keeps its key if the intent contains none. */
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

/*
 * Summarises a plan for the history: its first differences, as many as begin
 * within 160 bytes and cut off after 240 bytes, and the number of differences
 * left out.
 */
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

/*
 * Copies the history of the base configuration to the result and appends the
 * confirmation of this plan as its last entry.
 */
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

/*
 * Records the confirming operator and the time in the result and serialises the
 * document anew.
 */
void plan_set_confirmer(struct plan *plan, const char *confirmed_by,
			int64_t now_us)
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
 * Parses the document as every node does when it loads it. A document that
 * nodes would reject, such as one larger than the key-value service stores,
 * must fail here: once written, it would keep all nodes at the previous
 * configuration.
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
	plan_merge_rollouts(plan, base, intent);
	plan_merge_routes(plan, base, intent);
	return merge_organisations(plan->result, base, intent, error) &&
	       config_check(plan->result, "plan.create", error);
}

static void plan_copy_config(struct plan *plan, const struct config *base,
			     const struct config *earlier)
{
	for (guint i = 0; i < earlier->services->len; i++)
		copy_service(plan->result,
			     g_ptr_array_index(earlier->services, i));
	for (guint i = 0; i < earlier->organisations->len; i++)
		copy_organisation(plan->result,
				  g_ptr_array_index(earlier->organisations, i));
	plan_copy_rollouts(plan, base, earlier);
	plan_copy_routes(plan, earlier);
}

static bool plan_finish(struct plan *plan, const struct config *base,
			struct error *error)
{
	plan_describe(plan, base);
	plan_add_history(plan, base);
	plan_set_confirmer(plan, plan->operator_name, plan->created_us);
	return plan_check_document(plan, error);
}

static struct plan *plan_alloc(const struct config *base, const char *id,
			       const char *operator_name, int64_t now_us)
{
	struct plan *plan = g_new0(struct plan, 1);

	plan->id = g_strdup(id);
	plan->operator_name = g_strdup(operator_name);
	plan->base_revision = base->revision;
	plan->created_us = now_us;
	plan->differences = g_ptr_array_new_with_free_func(g_free);
	plan->warnings = g_ptr_array_new_with_free_func(g_free);
	plan->capacities =
		g_ptr_array_new_with_free_func(plan_capacity_destroy);
	plan->result = config_create();
	return plan;
}

/*
 * Creates a plan that applies an intent to base; a base of NULL stands for an
 * empty configuration of revision 0. The caller frees the plan with
 * plan_destroy(). Returns NULL with ERROR_INVALID or ERROR_TOO_LARGE if the
 * intent or the resulting configuration is not valid.
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
	plan = plan_alloc(base, id, operator_name, now_us);
	if (!wanted || !plan_merge(plan, base, wanted, error) ||
	    !plan_finish(plan, base, error))
		g_clear_pointer(&plan, plan_destroy);
	intent_destroy(wanted);
	config_unref(empty);
	return plan;
}

/*
 * Creates a plan that restores the services, organisations, rollouts and routes
 * of an earlier configuration, including the organisations' keys. A rollback is
 * an ordinary change: its history continues that of base. Ownership and errors
 * are those of plan_create().
 */
struct plan *plan_create_rollback(const struct config *base,
				  const struct config *earlier, const char *id,
				  const char *operator_name, int64_t now_us,
				  struct error *error)
{
	struct plan *plan = plan_alloc(base, id, operator_name, now_us);

	plan_copy_config(plan, base, earlier);
	g_ptr_array_add(plan->differences,
			g_strdup_printf("roll back to the configuration of "
					"revision %" G_GINT64_FORMAT,
					earlier->revision));
	if (!plan_finish(plan, base, error))
		g_clear_pointer(&plan, plan_destroy);
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

static void add_capacities(JsonBuilder *builder, const GPtrArray *capacities)
{
	json_writer_begin_array(builder, "capacity");
	for (guint i = 0; i < capacities->len; i++) {
		const struct plan_capacity *capacity =
			g_ptr_array_index(capacities, i);

		json_builder_begin_object(builder);
		json_writer_add_string(builder, "service", capacity->service);
		json_writer_add_int(builder, "endpoints_before",
				    capacity->endpoints_before);
		json_writer_add_int(builder, "endpoints_after",
				    capacity->endpoints_after);
		json_writer_add_int(builder, "tokens_before",
				    capacity->tokens_before);
		json_writer_add_int(builder, "tokens_after",
				    capacity->tokens_after);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

/*
 * Formats the plan as JSON for operators. The text contains no key and no
 * digest of one. The caller owns the result.
 */
GBytes *plan_format_json(const struct plan *plan)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_writer_add_string(builder, "plan_id", plan->id);
	json_writer_add_string(builder, "operator", plan->operator_name);
	json_writer_add_int(builder, "base_revision", plan->base_revision);
	if (plan->keep_us > 0)
		json_writer_add_int(builder, "stale_after_s",
				    plan->keep_us / G_USEC_PER_SEC);
	json_writer_add_strings(builder, "differences", plan->differences);
	json_writer_add_strings(builder, "warnings", plan->warnings);
	add_capacities(builder, plan->capacities);
	json_builder_end_object(builder);
	return json_writer_finish(builder);
}
