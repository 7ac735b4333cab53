#ifndef CORE_JSON_JSON_MEMBER_H
#define CORE_JSON_JSON_MEMBER_H

#include <glib.h>
#include <json-glib/json-glib.h>

G_BEGIN_DECLS

/*
 * Lenient reading of JSON: a member of the wrong type is treated like one that
 * is missing. For strict reading, see json_reader.h.
 */
JsonArray *json_member_array(JsonObject *object, const char *name);
JsonObject *json_member_object(JsonObject *object, const char *name);
JsonObject *json_element_object(JsonArray *array, guint i);

G_END_DECLS

#endif
