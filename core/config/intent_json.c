#include "core/config/intent_json.h"

#include "core/config/config_json.h"
#include "core/config/config_read.h"

enum { MAX_ROLLBACK_BYTES = 256 };

static bool read_removals(GPtrArray *removals, struct json_fields *fields,
			  const char *name)
{
	JsonArray *array = json_fields_array(fields, name);

	for (guint i = 0; array && i < json_array_get_length(array); i++) {
		JsonNode *node = json_array_get_element(array, i);

		if (json_node_get_value_type(node) != G_TYPE_STRING) {
			json_fields_fail(fields, name, "an array of names");
			break;
		}
		g_ptr_array_add(removals, g_strdup(json_node_get_string(node)));
	}
	return !fields->failed;
}

/*
 * Parses an intent: an object with any of "services", "organisations",
 * "rollouts", "routes", the same names prefixed with "remove_", and "callers".
 * The caller owns the result. Returns NULL with the errors of
 * config_json_parse(); they never contain the text of a key.
 */
struct intent *intent_json_parse(GBytes *document, struct error *error)
{
	static const char *const names[] = {
		"services",	   "organisations",
		"remove_services", "remove_organisations",
		"rollouts",	   "remove_rollouts",
		"routes",	   "remove_routes",
		"callers",	   NULL};
	JsonNode *root = json_reader_parse(document, CONFIG_JSON_MAX_BYTES,
					   "intent.parse", error);
	struct intent *intent;
	struct json_fields fields;
	bool ok;

	if (!root)
		return NULL;
	intent = g_new0(struct intent, 1);
	intent->items = config_create();
	intent->remove_services = g_ptr_array_new_with_free_func(g_free);
	intent->remove_organisations = g_ptr_array_new_with_free_func(g_free);
	intent->remove_rollouts = g_ptr_array_new_with_free_func(g_free);
	intent->remove_routes = g_ptr_array_new_with_free_func(g_free);
	ok = json_fields_begin(&fields, root, "intent.parse", error, "%s", "");
	if (ok)
		json_fields_allow_only(&fields, names);
	ok = ok &&
	     read_removals(intent->remove_services, &fields,
			   "remove_services") &&
	     read_removals(intent->remove_organisations, &fields,
			   "remove_organisations") &&
	     read_removals(intent->remove_rollouts, &fields,
			   "remove_rollouts") &&
	     read_removals(intent->remove_routes, &fields, "remove_routes") &&
	     config_read_items(intent->items, &fields, true, error);
	intent->has_caller_limits = ok && json_fields_has(&fields, "callers");
	json_node_unref(root);
	if (!ok)
		g_clear_pointer(&intent, intent_destroy);
	return intent;
}

/*
 * Returns whether an intent requests a rollback to the configuration of an
 * earlier revision, and sets *revision to it. Such an intent has the single
 * member {"rollback_to": N}.
 */
bool intent_json_parse_rollback(GBytes *document, int64_t *revision)
{
	static const char *const names[] = {"rollback_to", NULL};
	JsonNode *root = json_reader_parse(document, MAX_ROLLBACK_BYTES,
					   "intent.parse", NULL);
	struct json_fields fields;
	bool ok = root && json_fields_begin(&fields, root, "intent.parse", NULL,
					    "%s", "");

	if (ok) {
		json_fields_allow_only(&fields, names);
		*revision = json_fields_int(&fields, "rollback_to", 1,
					    G_MAXINT64, 0);
		ok = !fields.failed && *revision != 0;
	}
	g_clear_pointer(&root, json_node_unref);
	return ok;
}

/* Frees an intent; NULL is allowed. */
void intent_destroy(struct intent *intent)
{
	if (!intent)
		return;
	config_unref(intent->items);
	g_ptr_array_unref(intent->remove_services);
	g_ptr_array_unref(intent->remove_organisations);
	g_ptr_array_unref(intent->remove_rollouts);
	g_ptr_array_unref(intent->remove_routes);
	g_free(intent);
}
