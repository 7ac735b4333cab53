#include "core/json/json_reader.h"

#include "core/json/json_scan.h"

#include <stdarg.h>
#include <string.h>

/* Of any text; the parser takes some 300 bytes for each. */
#define MAX_VALUES (1 << 17)

struct member_counts {
	GHashTable *counts; /* JsonObject * to number of members parsed */
	bool duplicate_found;
};

static void on_object_member(JsonParser *parser, JsonObject *object,
			     const char *name, gpointer data)
{
	struct member_counts *members = data;
	gpointer count = g_hash_table_lookup(members->counts, object);

	(void)parser;
	(void)name;
	g_hash_table_insert(members->counts, object,
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(count) + 1));
}

static void on_object_end(JsonParser *parser, JsonObject *object, gpointer data)
{
	struct member_counts *members = data;
	gpointer count = g_hash_table_lookup(members->counts, object);

	(void)parser;
	if (GPOINTER_TO_SIZE(count) != json_object_get_size(object))
		members->duplicate_found = true;
	g_hash_table_remove(members->counts, object);
}

/*
 * Connects handlers that detect duplicate member names: they compare the number
 * of members parsed with the size of the finished object. The parser keeps only
 * the last of two members with the same name, so that a reviewer of the text
 * and the process could see different values.
 */
static void json_reader_connect_duplicate_check(JsonParser *parser,
						struct member_counts *members)
{
	members->counts = g_hash_table_new(NULL, NULL);
	g_signal_connect(parser, "object-member", G_CALLBACK(on_object_member),
			 members);
	g_signal_connect(parser, "object-end", G_CALLBACK(on_object_end),
			 members);
}

static JsonNode *json_reader_load(const char *text, size_t size,
				  bool unique_members, const char *step,
				  struct error *error)
{
	struct member_counts members = {NULL, false};
	JsonParser *parser = json_parser_new_immutable();
	GError *cause = NULL;
	JsonNode *root = NULL;

	if (unique_members)
		json_reader_connect_duplicate_check(parser, &members);
	if (!json_parser_load_from_data(parser, text, (gssize)size, &cause)) {
		error_set(error, ERROR_INVALID, step, "", "not JSON: %s",
			  cause->message);
		g_error_free(cause);
	} else if (members.duplicate_found) {
		error_set(error, ERROR_INVALID, step, "",
			  "an object has two members of one name");
	} else {
		root = json_parser_steal_root(parser);
		if (!root)
			error_set(error, ERROR_INVALID, step, "",
				  "expected a JSON text, got nothing");
	}
	g_object_unref(parser);
	g_clear_pointer(&members.counts, g_hash_table_unref);
	return root;
}

static JsonNode *json_reader_check_and_load(GBytes *document, size_t max_bytes,
					    int max_values, bool unique_members,
					    const char *step,
					    struct error *error)
{
	size_t size = 0;
	const char *text = g_bytes_get_data(document, &size);
	const char *expected;
	size_t at;

	if (size > max_bytes) {
		error_set(error, ERROR_TOO_LARGE, step, "",
			  "%zu bytes, at most %zu allowed", size, max_bytes);
		return NULL;
	}
	if (size == 0 || !g_utf8_validate(text, (gssize)size, NULL)) {
		error_set(error, ERROR_INVALID, step, "",
			  "expected JSON in UTF-8");
		return NULL;
	}
	expected = json_scan(text, size, max_values, &at);
	if (expected) {
		error_set(error, ERROR_INVALID, step, "",
			  "expected %s at byte %zu", expected, at);
		return NULL;
	}
	return json_reader_load(text, size, unique_members, step, error);
}

/*
 * Parses a JSON text of at most max_bytes. Returns a node to free with
 * json_node_unref(), or NULL with ERROR_TOO_LARGE, or with ERROR_INVALID if the
 * text is not plain JSON, is nested too deeply or has an object with two
 * members of the same name.
 */
JsonNode *json_reader_parse(GBytes *document, size_t max_bytes,
			    const char *step, struct error *error)
{
	return json_reader_check_and_load(document, max_bytes, MAX_VALUES, true,
					  step, error);
}

/*
 * Parses like json_reader_parse(), but of two members with the same name the
 * last one is used. This takes less than half the time and is meant for texts
 * that no other reader has reviewed: those of a stream or of the platform.
 */
JsonNode *json_reader_parse_lax(GBytes *document, size_t max_bytes,
				const char *step, struct error *error)
{
	return json_reader_check_and_load(document, max_bytes, MAX_VALUES,
					  false, step, error);
}

/*
 * Parses like json_reader_parse_lax() a text of few values, as of a writer that
 * is not known: with more of them it takes a hundred times the text to parse.
 */
JsonNode *json_reader_parse_small(GBytes *document, int max_values,
				  const char *step, struct error *error)
{
	return json_reader_check_and_load(document, g_bytes_get_size(document),
					  max_values, false, step, error);
}

/*
 * Starts to read an object. The path, such as "services[2].", precedes the
 * name of the member in errors. Returns false if the node is no object. The
 * node must outlive the fields.
 */
bool json_fields_begin(struct json_fields *fields, JsonNode *node,
		       const char *step, struct error *error,
		       const char *path_format, ...)
{
	va_list args;

	memset(fields, 0, sizeof(*fields));
	fields->step = step;
	fields->error = error;
	va_start(args, path_format);
	g_vsnprintf(fields->path, sizeof(fields->path), path_format, args);
	va_end(args);
	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		json_fields_fail(fields, "", "an object");
		return false;
	}
	fields->object = json_node_get_object(node);
	return true;
}

/*
 * Sets the error, unless an earlier one is set. The name "" refers to the
 * object itself.
 */
void json_fields_fail(struct json_fields *fields, const char *name,
		      const char *expected)
{
	if (fields->failed)
		return;
	fields->failed = true;
	error_set(fields->error, ERROR_INVALID, fields->step, "",
		  "%s%s: expected %s", fields->path, name, expected);
}

/* Fails if the object has a member that is not in the NULL-terminated names. */
void json_fields_allow_only(struct json_fields *fields,
			    const char *const *names)
{
	GList *members;

	if (fields->failed)
		return;
	members = json_object_get_members(fields->object);
	for (GList *l = members; l; l = l->next) {
		const char *name = l->data;
		char *escaped;

		if (g_strv_contains(names, name))
			continue;
		escaped = g_strescape(name, NULL);
		if (strlen(escaped) > 48)
			escaped[48] = '\0';
		json_fields_fail(fields, escaped, "no such key");
		g_free(escaped);
		break;
	}
	g_list_free(members);
}

/* Returns whether the object has this member; false after an error. */
bool json_fields_has(const struct json_fields *fields, const char *name)
{
	return !fields->failed && json_object_has_member(fields->object, name);
}

static JsonNode *json_fields_get(struct json_fields *fields, const char *name)
{
	return json_fields_has(fields, name)
		       ? json_object_get_member(fields->object, name)
		       : NULL;
}

/*
 * Returns a string of min_bytes to max_bytes, valid as long as the object, or
 * "" after an error; never NULL. A missing string is read as "", which is an
 * error unless min_bytes is 0.
 */
const char *json_fields_string(struct json_fields *fields, const char *name,
			       size_t min_bytes, size_t max_bytes)
{
	JsonNode *node = json_fields_get(fields, name);
	const char *value = "";
	char expected[64];

	if (node && json_node_get_value_type(node) == G_TYPE_STRING)
		value = json_node_get_string(node);
	else if (node)
		json_fields_fail(fields, name, "a string");
	if (strlen(value) >= min_bytes && strlen(value) <= max_bytes)
		return value;
	g_snprintf(expected, sizeof(expected),
		   "a string of %zu to %zu characters", min_bytes, max_bytes);
	json_fields_fail(fields, name, expected);
	return "";
}

/*
 * Returns a whole number from min to max, or default_value if it is missing or
 * invalid.
 */
int64_t json_fields_int(struct json_fields *fields, const char *name,
			int64_t min, int64_t max, int64_t default_value)
{
	JsonNode *node = json_fields_get(fields, name);
	char expected[96];

	if (!node)
		return default_value;
	if (json_node_get_value_type(node) == G_TYPE_INT64 &&
	    json_node_get_int(node) >= min && json_node_get_int(node) <= max)
		return json_node_get_int(node);
	g_snprintf(expected, sizeof(expected),
		   "a whole number from %" G_GINT64_FORMAT
		   " to %" G_GINT64_FORMAT,
		   min, max);
	json_fields_fail(fields, name, expected);
	return default_value;
}

/* Returns a boolean, or default_value if it is missing or invalid. */
bool json_fields_bool(struct json_fields *fields, const char *name,
		      bool default_value)
{
	JsonNode *node = json_fields_get(fields, name);

	if (!node)
		return default_value;
	if (json_node_get_value_type(node) == G_TYPE_BOOLEAN)
		return json_node_get_boolean(node);
	json_fields_fail(fields, name, "true or false");
	return default_value;
}

/*
 * Returns an array, valid as long as the object, or NULL if it is missing or
 * invalid.
 */
JsonArray *json_fields_array(struct json_fields *fields, const char *name)
{
	JsonNode *node = json_fields_get(fields, name);

	if (!node)
		return NULL;
	if (JSON_NODE_HOLDS_ARRAY(node))
		return json_node_get_array(node);
	json_fields_fail(fields, name, "an array");
	return NULL;
}
