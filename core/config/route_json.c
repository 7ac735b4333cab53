#include "core/config/route_json.h"

#include "core/config/config_format.h"
#include "core/config/config_read.h"
#include "core/json/json_writer.h"

#include <string.h>

#define STEP "config.parse"
#define US_PER_MS 1000

enum {
	MAX_PATH_BYTES = 256,
	MAX_WEIGHT = 1000000,
	MAX_ATTEMPTS = 10,
	MAX_ROUTE_PRIORITY = 9,
	MAX_DURATION_MS = 3600 * 1000,
	MIN_HEADER_BYTES = 256,
	MAX_HEADER_BYTES = 1 << 20,
	MAX_BODY_BYTES = 1 << 30,
	MIN_TIMEOUT_MS = 10
};

static enum route_kind read_kind(struct json_fields *fields)
{
	const char *value = json_fields_string(fields, "kind", 1, 16);

	for (int kind = ROUTE_IDEMPOTENT; kind <= ROUTE_STREAM; kind++) {
		if (strcmp(value, route_kind_name(kind)) == 0)
			return (enum route_kind)kind;
	}
	json_fields_fail(fields, "kind",
			 "\"idempotent\", \"once\" or \"stream\"");
	return ROUTE_ONCE;
}

/* A prefix ends with a slash, so that /a/ never matches requests to /ab. */
static const char *read_path_prefix(struct json_fields *fields)
{
	const char *value =
		json_fields_string(fields, "path_prefix", 1, MAX_PATH_BYTES);

	if (*value != '/' || !g_str_has_suffix(value, "/") ||
	    strpbrk(value, "?# \t\r\n"))
		json_fields_fail(fields, "path_prefix",
				 "a path that begins and ends with a slash");
	return value;
}

static bool read_target(struct route *route, JsonNode *node, guint i, guint j,
			struct error *error)
{
	static const char *const names[] = {"service", "weight", NULL};
	struct json_fields fields;
	const char *service;
	int64_t weight;

	if (!json_fields_begin(&fields, node, STEP, error,
			       "routes[%u].targets[%u].", i, j))
		return false;
	json_fields_allow_only(&fields, names);
	service = config_read_name(&fields, "service", 1);
	weight = json_fields_int(&fields, "weight", 0, MAX_WEIGHT, 1);
	if (!fields.failed)
		route_add_target(route, service, (int32_t)weight);
	return !fields.failed;
}

static bool read_targets(struct route *route, struct json_fields *fields,
			 guint i, struct error *error)
{
	JsonArray *targets = json_fields_array(fields, "targets");

	if (!fields->failed &&
	    (!targets || json_array_get_length(targets) == 0))
		json_fields_fail(fields, "targets", "at least one service");
	if (fields->failed)
		return false;
	for (guint j = 0; j < json_array_get_length(targets); j++) {
		if (!read_target(route, json_array_get_element(targets, j), i,
				 j, error))
			return false;
	}
	if (route_pick_service(route, 0))
		return true;
	json_fields_fail(fields, "targets", "a weight above 0");
	return false;
}

static int64_t read_duration_us(struct json_fields *fields, const char *name,
				int64_t min_ms, int64_t absent_ms)
{
	return US_PER_MS * json_fields_int(fields, name, min_ms,
					   MAX_DURATION_MS, absent_ms);
}

/*
 * Reads element i of "routes" into the configuration. Returns false with an
 * error that names the member and the reason.
 */
bool route_json_read(struct config *config, JsonNode *node, guint i,
		     struct error *error)
{
	static const char *const names[] = {"name",
					    "host",
					    "path_prefix",
					    "kind",
					    "resumable",
					    "public",
					    "priority",
					    "max_attempts",
					    "timeout_ms",
					    "first_answer_ms",
					    "longest_pause_ms",
					    "targets",
					    NULL};
	struct json_fields fields;
	struct route *route;
	const char *name, *host;

	if (!json_fields_begin(&fields, node, STEP, error, "routes[%u].", i))
		return false;
	json_fields_allow_only(&fields, names);
	name = config_read_name(&fields, "name", 1);
	host = config_read_name(&fields, "host", 1);
	route = config_add_route(config, name, host, read_path_prefix(&fields));
	route->kind = read_kind(&fields);
	route->is_resumable = json_fields_bool(&fields, "resumable", false);
	if (route->is_resumable && route->kind != ROUTE_STREAM)
		json_fields_fail(&fields, "resumable",
				 "false, as the kind is not \"stream\"");
	route->is_public = json_fields_bool(&fields, "public", false);
	route->priority = (int32_t)json_fields_int(&fields, "priority", 0,
						   MAX_ROUTE_PRIORITY, 0);
	route->max_attempts = (int32_t)json_fields_int(&fields, "max_attempts",
						       1, MAX_ATTEMPTS, 1);
	route->timeout_us =
		read_duration_us(&fields, "timeout_ms", MIN_TIMEOUT_MS, 30000);
	route->first_answer_us =
		read_duration_us(&fields, "first_answer_ms", 0, 0);
	route->longest_pause_us =
		read_duration_us(&fields, "longest_pause_ms", 0, 0);
	return !fields.failed && read_targets(route, &fields, i, error);
}

static void format_targets(JsonBuilder *builder, const struct route *route)
{
	json_writer_begin_array(builder, "targets");
	for (guint i = 0; i < route->targets->len; i++) {
		const struct route_target *target =
			&g_array_index(route->targets, struct route_target, i);

		json_builder_begin_object(builder);
		json_writer_add_nonempty(builder, "service", target->service);
		json_writer_add_nondefault(builder, "weight", target->weight,
					   1);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
}

static void format_route(JsonBuilder *builder, gconstpointer item)
{
	const struct route *route = item;

	json_builder_begin_object(builder);
	json_writer_add_nonempty(builder, "name", route->name);
	json_writer_add_nonempty(builder, "host", route->host);
	json_writer_add_nonempty(builder, "path_prefix", route->path_prefix);
	json_writer_add_nonempty(builder, "kind", route_kind_name(route->kind));
	json_writer_add_if_true(builder, "resumable", route->is_resumable);
	json_writer_add_if_true(builder, "public", route->is_public);
	json_writer_add_nondefault(builder, "priority", route->priority, 0);
	json_writer_add_nondefault(builder, "max_attempts", route->max_attempts,
				   1);
	json_writer_add_nondefault(builder, "timeout_ms",
				   route->timeout_us / US_PER_MS, 30000);
	json_writer_add_nondefault(builder, "first_answer_ms",
				   route->first_answer_us / US_PER_MS, 0);
	json_writer_add_nondefault(builder, "longest_pause_ms",
				   route->longest_pause_us / US_PER_MS, 0);
	format_targets(builder, route);
	json_builder_end_object(builder);
}

/* Appends the member "routes", sorted by name; omitted if there are none. */
void route_json_format(JsonBuilder *builder, const GPtrArray *routes)
{
	if (routes->len > 0)
		config_format_sorted_list(builder, "routes", routes,
					  format_route);
}

/*
 * Reads callers' limits; a limit that is left out keeps its value. Returns
 * false with an error that names the member and the reason.
 */
bool caller_limits_json_read(struct caller_limits *limits, JsonNode *node,
			     struct error *error)
{
	static const char *const names[] = {"header_bytes", "body_bytes",
					    "header_timeout_ms",
					    "idle_timeout_ms", NULL};
	struct json_fields fields;

	if (!json_fields_begin(&fields, node, STEP, error, "callers."))
		return false;
	json_fields_allow_only(&fields, names);
	limits->header_bytes =
		json_fields_int(&fields, "header_bytes", MIN_HEADER_BYTES,
				MAX_HEADER_BYTES, limits->header_bytes);
	limits->body_bytes = json_fields_int(
		&fields, "body_bytes", 0, MAX_BODY_BYTES, limits->body_bytes);
	limits->header_timeout_us =
		read_duration_us(&fields, "header_timeout_ms", MIN_TIMEOUT_MS,
				 limits->header_timeout_us / US_PER_MS);
	limits->idle_timeout_us =
		read_duration_us(&fields, "idle_timeout_ms", MIN_TIMEOUT_MS,
				 limits->idle_timeout_us / US_PER_MS);
	return !fields.failed;
}

/* Appends the member "callers" with all limits, including defaults. */
void caller_limits_json_format(JsonBuilder *builder,
			       const struct caller_limits *limits)
{
	json_writer_begin_object(builder, "callers");
	json_writer_add_nondefault(builder, "header_bytes",
				   limits->header_bytes, -1);
	json_writer_add_nondefault(builder, "body_bytes", limits->body_bytes,
				   -1);
	json_writer_add_nondefault(builder, "header_timeout_ms",
				   limits->header_timeout_us / US_PER_MS, -1);
	json_writer_add_nondefault(builder, "idle_timeout_ms",
				   limits->idle_timeout_us / US_PER_MS, -1);
	json_builder_end_object(builder);
}
