#include "core/config/config_format.h"

#include "core/config/config_read.h"
#include "core/config/route_json.h"
#include "core/json/json_writer.h"

#include <string.h>

/*
 * The first member of every item, such as a service, an endpoint or a route, is
 * its name or address.
 */
static gint compare_names(gconstpointer a, gconstpointer b)
{
	const char *const *const *left = a;
	const char *const *const *right = b;

	return strcmp(**left, **right);
}

/* Appends an array of items, sorted by their names or addresses. */
void config_format_sorted_list(JsonBuilder *builder, const char *name,
			       const GPtrArray *items, config_format_item add)
{
	GPtrArray *sorted = g_ptr_array_sized_new(items->len);

	for (guint i = 0; i < items->len; i++)
		g_ptr_array_add(sorted, g_ptr_array_index(items, i));
	g_ptr_array_sort(sorted, compare_names);
	json_writer_begin_array(builder, name);
	for (guint i = 0; i < sorted->len; i++)
		add(builder, g_ptr_array_index(sorted, i));
	json_builder_end_array(builder);
	g_ptr_array_unref(sorted);
}

static void format_endpoint(JsonBuilder *builder, gconstpointer item)
{
	const struct config_endpoint *endpoint = item;

	json_builder_begin_object(builder);
	json_writer_add_nonempty(builder, "address", endpoint->address);
	json_writer_add_nonempty(builder, "failure_domain",
				 endpoint->failure_domain);
	json_writer_add_nonempty(builder, "region", endpoint->region);
	json_writer_add_nondefault(builder, "capacity_tokens",
				   endpoint->capacity_tokens, 0);
	json_writer_add_nondefault(builder, "slots", endpoint->slots,
				   CONFIG_DEFAULT_SLOTS);
	json_writer_add_if_true(builder, "checks_fence",
				endpoint->checks_fence);
	json_writer_add_if_true(builder, "leaving", endpoint->leaving);
	json_builder_end_object(builder);
}

static void format_capabilities(JsonBuilder *builder,
				const struct config_service *service)
{
	const struct engine_capabilities *engine = &service->engine;

	json_writer_add_nondefault(builder, "max_connections",
				   service->max_connections, 0);
	json_writer_add_nondefault(builder, "engine_slots", engine->slots, 0);
	json_writer_add_nondefault(builder, "engine_memory_tokens",
				   engine->memory_tokens, 0);
	json_writer_add_nondefault(builder, "tokens_per_event",
				   engine->tokens_per_event, 1);
	json_writer_add_nondefault(builder, "copy_keep_ms",
				   engine->copy_keep_us / 1000, 0);
	json_writer_add_if_true(builder, "can_move", engine->can_move);
	json_writer_add_if_true(builder, "can_back_up", engine->can_back_up);
}

static void format_service(JsonBuilder *builder, gconstpointer item)
{
	const struct config_service *service = item;

	json_builder_begin_object(builder);
	json_writer_add_nonempty(builder, "name", service->name);
	json_writer_add_nonempty(builder, "kind",
				 service_kind_name(service->kind));
	format_capabilities(builder, service);
	config_format_sorted_list(builder, "endpoints", service->endpoints,
				  format_endpoint);
	json_builder_end_object(builder);
}

static void format_more_keys(JsonBuilder *builder, const GPtrArray *keys)
{
	if (keys->len == 0)
		return;
	json_writer_begin_array(builder, "more_keys_sha256");
	for (guint i = 0; i < keys->len; i++)
		json_builder_add_string_value(builder,
					      g_ptr_array_index(keys, i));
	json_builder_end_array(builder);
}

static void format_organisation(JsonBuilder *builder, gconstpointer item)
{
	const struct config_organisation *organisation = item;

	json_builder_begin_object(builder);
	json_writer_add_nonempty(builder, "name", organisation->name);
	json_writer_add_nonempty(builder, "key_sha256",
				 organisation->key_sha256);
	json_writer_add_nondefault(builder, "priority", organisation->priority,
				   0);
	json_writer_add_nondefault(builder, "weight", organisation->weight, 1);
	json_writer_add_nondefault(builder, "requests_per_s",
				   organisation->requests_per_s, 0);
	json_writer_add_nondefault(builder, "concurrent_tokens",
				   organisation->concurrent_tokens, 0);
	json_writer_add_nondefault(builder, "route_priority",
				   organisation->route_priority, -1);
	format_more_keys(builder, organisation->more_keys);
	json_builder_end_object(builder);
}

static void format_rollout(JsonBuilder *builder, gconstpointer item)
{
	const struct config_rollout *rollout = item;

	json_builder_begin_object(builder);
	json_writer_add_nonempty(builder, "name", rollout->name);
	json_writer_add_nonempty(builder, "service", rollout->service);
	json_writer_add_nonempty(builder, "target", rollout->target);
	json_writer_add_nonempty(builder, "id", rollout->id);
	json_writer_add_nondefault(builder, "max_parallel",
				   rollout->max_parallel, 1);
	json_writer_add_nondefault(builder, "min_ready_percent",
				   rollout->min_ready_percent,
				   CONFIG_DEFAULT_READY_PERCENT);
	json_writer_add_nondefault(builder, "max_failures",
				   rollout->max_failures, 0);
	json_builder_end_object(builder);
}

static void format_history(JsonBuilder *builder, const GPtrArray *history)
{
	json_writer_begin_array(builder, "history");
	for (guint i = 0; i < history->len; i++) {
		const struct config_confirmation *confirmation =
			g_ptr_array_index(history, i);

		json_builder_begin_object(builder);
		json_writer_add_nondefault(builder, "base_revision",
					   confirmation->base_revision, 0);
		json_writer_add_nonempty(builder, "plan_id",
					 confirmation->plan_id);
		json_writer_add_nonempty(builder, "confirmed_by",
					 confirmation->confirmed_by);
		json_writer_add_nondefault(builder, "confirmed_s",
					   confirmation->confirmed_s, 0);
		json_writer_add_nonempty(builder, "summary",
					 confirmation->summary);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

/* Appends the configuration as a document with its items sorted by name. */
void config_format(JsonBuilder *builder, const struct config *config)
{
	json_builder_begin_object(builder);
	json_writer_add_nonempty(builder, "plan_id", config->plan_id);
	json_writer_add_nonempty(builder, "confirmed_by", config->confirmed_by);
	config_format_sorted_list(builder, "services", config->services,
				  format_service);
	config_format_sorted_list(builder, "organisations",
				  config->organisations, format_organisation);
	config_format_sorted_list(builder, "rollouts", config->rollouts,
				  format_rollout);
	route_json_format(builder, config->routes);
	if (memcmp(&config->callers, &caller_limits_default,
		   sizeof(config->callers)) != 0)
		caller_limits_json_format(builder, &config->callers);
	format_history(builder, config->history);
	json_builder_end_object(builder);
}
