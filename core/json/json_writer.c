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

/* What was built, without white space; the builder is gone then. */
GBytes *json_writer_take(JsonBuilder *builder)
{
	JsonNode *root = json_builder_get_root(builder);
	char *text = json_to_string(root, FALSE);

	json_node_unref(root);
	g_object_unref(builder);
	return g_bytes_new_take(text, strlen(text));
}
