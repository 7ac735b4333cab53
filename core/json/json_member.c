#include "core/json/json_member.h"

/* Returns an array member, or NULL if it is missing or no array. */
JsonArray *json_member_array(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node)
						   : NULL;
}

/* Returns an object member, or NULL if it is missing or no object. */
JsonObject *json_member_object(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	return node && JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node)
						    : NULL;
}

/* Returns element i of an array, or NULL if it is no object. */
JsonObject *json_element_object(JsonArray *array, guint i)
{
	JsonNode *node = json_array_get_element(array, i);

	return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}
