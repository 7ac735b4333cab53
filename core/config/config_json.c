#include "core/config/config_json.h"

#include "core/config/config_format.h"
#include "core/config/config_read.h"
#include "core/json/json_writer.h"

#include <string.h>

enum { MAX_SUMMARY_BYTES = 512 };

static void replace_string(char **field, const char *value)
{
	g_free(*field);
	*field = g_strdup(value);
}

static bool read_confirmation(struct config *config, JsonNode *node, guint i,
			      struct error *error)
{
	static const char *const names[] = {"base_revision", "plan_id",
					    "confirmed_by",  "confirmed_s",
					    "summary",	     NULL};
	struct config_confirmation *confirmation;
	struct json_fields fields;
	int64_t base_revision;
	int64_t confirmed_s;
	const char *plan_id;
	const char *confirmed_by;
	const char *summary;

	if (!json_fields_begin(&fields, node, "config.parse", error,
			       "history[%u].", i))
		return false;
	json_fields_allow_only(&fields, names);
	base_revision =
		json_fields_int(&fields, "base_revision", 0, G_MAXINT64, 0);
	confirmed_s = json_fields_int(&fields, "confirmed_s", 0, G_MAXINT64, 0);
	plan_id = json_fields_string(&fields, "plan_id", 0,
				     CONFIG_MAX_NAME_BYTES);
	confirmed_by = json_fields_string(&fields, "confirmed_by", 0,
					  CONFIG_MAX_NAME_BYTES);
	summary = json_fields_string(&fields, "summary", 0, MAX_SUMMARY_BYTES);
	if (fields.failed)
		return false;
	confirmation = config_add_confirmation(config, base_revision, plan_id,
					       confirmed_by, summary);
	confirmation->confirmed_s = confirmed_s;
	return true;
}

static bool read_document(struct config *config, JsonNode *root,
			  struct error *error)
{
	static const char *const names[] = {
		"plan_id",	 "confirmed_by", "services",
		"organisations", "rollouts",	 "routes",
		"callers",	 "history",	 NULL};
	struct json_fields fields;
	JsonArray *history;

	if (!json_fields_begin(&fields, root, "config.parse", error, "%s", ""))
		return false;
	json_fields_allow_only(&fields, names);
	replace_string(&config->plan_id,
		       json_fields_string(&fields, "plan_id", 0,
					  CONFIG_MAX_NAME_BYTES));
	replace_string(&config->confirmed_by,
		       json_fields_string(&fields, "confirmed_by", 0,
					  CONFIG_MAX_NAME_BYTES));
	history = json_fields_array(&fields, "history");
	if (!config_read_items(config, &fields, false, error))
		return false;
	for (guint i = 0; history && i < json_array_get_length(history); i++) {
		if (!read_confirmation(config,
				       json_array_get_element(history, i), i,
				       error))
			return false;
	}
	return true;
}

/*
 * Parses a stored document that was read at this revision of its key. The
 * caller owns the returned reference. Returns NULL with ERROR_INVALID, which
 * names the member and the value expected there, or with ERROR_TOO_LARGE if the
 * document exceeds CONFIG_JSON_MAX_BYTES.
 */
struct config *config_json_parse(GBytes *document, int64_t revision,
				 struct error *error)
{
	JsonNode *root = json_reader_parse(document, CONFIG_JSON_MAX_BYTES,
					   "config.parse", error);
	struct config *config;

	if (!root)
		return NULL;
	config = config_create();
	config->revision = revision;
	if (!read_document(config, root, error))
		g_clear_pointer(&config, config_unref);
	json_node_unref(root);
	return config;
}

/*
 * Returns the document to store: members in a fixed order, items sorted by
 * name, default values omitted, no white space. The revision is not part of it.
 * The caller owns the result.
 */
GBytes *config_json_format(const struct config *config)
{
	JsonBuilder *builder = json_builder_new();

	config_format(builder, config);
	return json_writer_finish(builder);
}
