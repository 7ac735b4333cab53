#include "core/config/config_format.h"

#include "core/config/config_read.h"
#include "core/config/route_json.h"
#include "core/json/json_writer.h"

#include <string.h>

static void add_endpoint(JsonBuilder *builder,
			 const struct config_endpoint *endpoint)
{
	json_builder_begin_object(builder);
	json_writer_string(builder, "address", endpoint->address);
	json_writer_string(builder, "failure_domain", endpoint->failure_domain);
	json_writer_string(builder, "region", endpoint->region);
	json_writer_int(builder, "capacity_tokens", endpoint->capacity_tokens,
			0);
	json_writer_int(builder, "slots", endpoint->slots,
			CONFIG_DEFAULT_SLOTS);
	json_writer_true(builder, "checks_fence", endpoint->checks_fence);
	json_writer_true(builder, "leaving", endpoint->leaving);
	json_builder_end_object(builder);
}

static gint compare_endpoints(gconstpointer a, gconstpointer b)
{
	const struct config_endpoint *const *left = a;
	const struct config_endpoint *const *right = b;

	return strcmp((*left)->address, (*right)->address);
}

static gint compare_services(gconstpointer a, gconstpointer b)
{
	const struct config_service *const *left = a;
	const struct config_service *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static gint compare_organisations(gconstpointer a, gconstpointer b)
{
	const struct config_organisation *const *left = a;
	const struct config_organisation *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

/* A sorted view of items that others own. */
static GPtrArray *sorted_view(const GPtrArray *items, GCompareFunc compare)
{
	GPtrArray *view = g_ptr_array_sized_new(items->len);

	for (guint i = 0; i < items->len; i++)
		g_ptr_array_add(view, g_ptr_array_index(items, i));
	g_ptr_array_sort(view, compare);
	return view;
}

static void format_ability(JsonBuilder *builder,
			   const struct config_service *service)
{
	const struct engine_ability *engine = &service->engine;

	json_writer_int(builder, "max_connections", service->max_connections,
			0);
	json_writer_int(builder, "engine_slots", engine->slots, 0);
	json_writer_int(builder, "engine_memory_tokens", engine->memory_tokens,
			0);
	json_writer_int(builder, "tokens_per_event", engine->tokens_per_event,
			1);
	json_writer_int(builder, "copy_keep_ms", engine->copy_keep_us / 1000,
			0);
	json_writer_true(builder, "can_move", engine->can_move);
	json_writer_true(builder, "can_back_up", engine->can_back_up);
}

static void add_service(JsonBuilder *builder,
			const struct config_service *service)
{
	GPtrArray *endpoints =
		sorted_view(service->endpoints, compare_endpoints);

	json_builder_begin_object(builder);
	json_writer_string(builder, "name", service->name);
	json_writer_string(builder, "kind", service_kind_name(service->kind));
	format_ability(builder, service);
	json_builder_set_member_name(builder, "endpoints");
	json_builder_begin_array(builder);
	for (guint i = 0; i < endpoints->len; i++)
		add_endpoint(builder, g_ptr_array_index(endpoints, i));
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	g_ptr_array_unref(endpoints);
}

static void format_more_keys(JsonBuilder *builder, const GPtrArray *keys)
{
	if (keys->len == 0)
		return;
	json_builder_set_member_name(builder, "more_keys_sha256");
	json_builder_begin_array(builder);
	for (guint i = 0; i < keys->len; i++)
		json_builder_add_string_value(builder,
					      g_ptr_array_index(keys, i));
	json_builder_end_array(builder);
}

static void add_organisation(JsonBuilder *builder,
			     const struct config_organisation *organisation)
{
	json_builder_begin_object(builder);
	json_writer_string(builder, "name", organisation->name);
	json_writer_string(builder, "key_sha256", organisation->key_sha256);
	json_writer_int(builder, "priority", organisation->priority, 0);
	json_writer_int(builder, "weight", organisation->weight, 1);
	json_writer_int(builder, "requests_per_s", organisation->requests_per_s,
			0);
	json_writer_int(builder, "concurrent_tokens",
			organisation->concurrent_tokens, 0);
	json_writer_int(builder, "route_priority", organisation->route_priority,
			-1);
	format_more_keys(builder, organisation->more_keys);
	json_builder_end_object(builder);
}

static gint compare_rollouts(gconstpointer a, gconstpointer b)
{
	const struct config_rollout *const *left = a;
	const struct config_rollout *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static void add_rollouts(JsonBuilder *builder, const GPtrArray *items)
{
	GPtrArray *rollouts = sorted_view(items, compare_rollouts);

	json_builder_set_member_name(builder, "rollouts");
	json_builder_begin_array(builder);
	for (guint i = 0; i < rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(rollouts, i);

		json_builder_begin_object(builder);
		json_writer_string(builder, "name", rollout->name);
		json_writer_string(builder, "service", rollout->service);
		json_writer_string(builder, "target", rollout->target);
		json_writer_string(builder, "id", rollout->id);
		json_writer_int(builder, "max_parallel", rollout->max_parallel,
				1);
		json_writer_int(builder, "min_ready_percent",
				rollout->min_ready_percent,
				CONFIG_DEFAULT_READY_PERCENT);
		json_writer_int(builder, "max_failures", rollout->max_failures,
				0);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	g_ptr_array_unref(rollouts);
}

static void add_history(JsonBuilder *builder, const GPtrArray *history)
{
	json_builder_set_member_name(builder, "history");
	json_builder_begin_array(builder);
	for (guint i = 0; i < history->len; i++) {
		const struct config_confirmation *confirmation =
			g_ptr_array_index(history, i);

		json_builder_begin_object(builder);
		json_writer_int(builder, "base_revision",
				confirmation->base_revision, 0);
		json_writer_string(builder, "plan_id", confirmation->plan_id);
		json_writer_string(builder, "confirmed_by",
				   confirmation->confirmed_by);
		json_writer_int(builder, "confirmed_s",
				confirmation->confirmed_s, 0);
		json_writer_string(builder, "summary", confirmation->summary);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

/* Appends the document; its items are sorted by name. */
void config_format(JsonBuilder *builder, const struct config *config)
{
	GPtrArray *services = sorted_view(config->services, compare_services);
	GPtrArray *organisations =
		sorted_view(config->organisations, compare_organisations);

	json_builder_begin_object(builder);
	json_writer_string(builder, "plan_id", config->plan_id);
	json_writer_string(builder, "confirmed_by", config->confirmed_by);
	json_builder_set_member_name(builder, "services");
	json_builder_begin_array(builder);
	for (guint i = 0; i < services->len; i++)
		add_service(builder, g_ptr_array_index(services, i));
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "organisations");
	json_builder_begin_array(builder);
	for (guint i = 0; i < organisations->len; i++)
		add_organisation(builder, g_ptr_array_index(organisations, i));
	json_builder_end_array(builder);
	add_rollouts(builder, config->rollouts);
	route_json_format(builder, config->routes);
	if (memcmp(&config->callers, &caller_limits_default,
		   sizeof(config->callers)) != 0)
		caller_limits_json_format(builder, &config->callers);
	add_history(builder, config->history);
	json_builder_end_object(builder);
	g_ptr_array_unref(services);
	g_ptr_array_unref(organisations);
}
