#include "core/json/json_member.h"

/* An array member; NULL: it is none. */
JsonArray *json_member_array(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
						   : NULL;
}

/* An object member; NULL: it is none. */
JsonObject *json_member_object(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node)
						    : NULL;
}

/* An object in an array; NULL: it is none. */
JsonObject *json_element_object(JsonArray *array, guint i)
{
	JsonNode *node = json_array_get_element(array, i);

	return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}
