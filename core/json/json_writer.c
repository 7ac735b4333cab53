#include "core/json/json_writer.h"

/* A text, unless it is empty. */
void json_writer_string(JsonBuilder *builder, const char *name,
			const char *value)
{
	if (!*value)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

/* A number, unless it is the one that counts where none is given. */
void json_writer_int(JsonBuilder *builder, const char *name, int64_t value,
		     int64_t absent)
{
	if (value == absent)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

/* True, or nothing. */
void json_writer_true(JsonBuilder *builder, const char *name, bool value)
{
	if (!value)
		return;
	json_builder_set_member_name(builder, name);
	json_builder_add_boolean_value(builder, TRUE);
}
