#ifndef CORE_JSON_JSON_WRITER_H
#define CORE_JSON_JSON_WRITER_H

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Add a member to a JSON object. */
void json_writer_add_string(JsonBuilder *builder, const char *name,
			    const char *value);
void json_writer_add_int(JsonBuilder *builder, const char *name, int64_t value);

/* Add a member unless it has its default value. */
void json_writer_add_nonempty(JsonBuilder *builder, const char *name,
			      const char *value);
void json_writer_add_nondefault(JsonBuilder *builder, const char *name,
				int64_t value, int64_t default_value);
void json_writer_add_if_true(JsonBuilder *builder, const char *name,
			     bool value);

/* Begin an array or object member; the caller ends it. */
void json_writer_add_strings(JsonBuilder *builder, const char *name,
			     const GPtrArray *strings);
void json_writer_begin_array(JsonBuilder *builder, const char *name);
void json_writer_begin_object(JsonBuilder *builder, const char *name);

GBytes *json_writer_finish(JsonBuilder *builder);
char *json_writer_finish_text(JsonBuilder *builder);

G_END_DECLS

#endif
