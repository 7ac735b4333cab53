#include "core/json/json_writer.h"

#include <string.h>

/* A text, also an empty one. */
void json_writer_text(JsonBuilder *builder, const char *name, const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

/* A number, whatever it is. */
void json_writer_number(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

/* A text, unless it is empty. */
void json_writer_string(JsonBuilder *builder, const char *name,
			const char *value)
{
	if (*value)
		json_writer_text(builder, name, value);
}

/* A number, unless it is the one that counts where none is given. */
void json_writer_int(JsonBuilder *builder, const char *name, int64_t value,
		     int64_t absent)
{
	if (value != absent)
		json_writer_number(builder, name, value);
}

/* True, or nothing. */
void json_writer_true(JsonBuilder *builder, const char *name, bool value)
{
	if (!value)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, TRUE);
}

/* Begins a list as a member. */
void json_writer_begin_array(JsonBuilder *builder, const char *name)
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
}

/* Begins an object as a member. */
void json_writer_begin_object(JsonBuilder *builder, const char *name)
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_object(builder);
}

/* What was built, without white space; the builder is gone then. */
char *json_writer_take_text(JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	g_object_unref(builder);
	return text;
}

/* The same as bytes. */
GBytes *json_writer_take(JsonBuilder *builder)
{
	char *text = json_writer_take_text(builder);

	return g_bytes_new_take(text, strlen(text));
}
