#include "core/json/json_writer.h"

#include <string.h>

/* Adds a string member, even if it is empty. */
void json_writer_add_string(JsonBuilder *builder, const char *name,
			    const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

/* Adds an integer member. */
void json_writer_add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

/* Adds a string member unless the string is empty. */
void json_writer_add_nonempty(JsonBuilder *builder, const char *name,
			      const char *value)
{
	if (*value)
		json_writer_add_string(builder, name, value);
}

/* Adds an integer member unless it equals the default of a missing member. */
void json_writer_add_nondefault(JsonBuilder *builder, const char *name,
				int64_t value, int64_t default_value)
{
	if (value != default_value)
		json_writer_add_int(builder, name, value);
}

/* Adds a true member if value is true; otherwise adds nothing. */
void json_writer_add_if_true(JsonBuilder *builder, const char *name, bool value)
{
	if (!value)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, TRUE);
}

/* Adds an array of strings, char *. */
void json_writer_add_strings(JsonBuilder *builder, const char *name,
			     const GPtrArray *strings)
{
	json_writer_begin_array(builder, name);
	for (guint i = 0; i < strings->len; i++)
		json_builder_add_string_value(builder,
					      g_ptr_array_index(strings, i));
	json_builder_end_array(builder);
}

/* Begins an array member, which the caller ends. */
void json_writer_begin_array(JsonBuilder *builder, const char *name)
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
}

/* Begins an object member, which the caller ends. */
void json_writer_begin_object(JsonBuilder *builder, const char *name)
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_object(builder);
}

/*
 * Returns the text without white space, to be freed with g_free(). Drops the
 * reference to the builder.
 */
char *json_writer_finish_text(JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

/* Returns the text as bytes, which the caller owns, and drops the builder. */
GBytes *json_writer_finish(JsonBuilder *builder)
{
	char *text = json_writer_finish_text(builder);

	return g_bytes_new_take(text, strlen(text));
}
