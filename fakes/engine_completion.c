#include "fakes/engine_completion.h"

#include <string.h>

#define DEFAULT_MAX_TOKENS 16384 /* if the request has no max_tokens */

static void prompt_add(GString *prompt, JsonNode *node)
{
	if (node && JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_STRING)
		g_string_append(prompt, json_node_get_string(node));
}

static void prompt_add_messages(GString *prompt, JsonNode *node)
{
	JsonArray *messages;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return;
	messages = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(messages); i++) {
		JsonNode *message = json_array_get_element(messages, i);

		if (JSON_NODE_HOLDS_OBJECT(message))
			prompt_add(prompt,
				   json_object_get_member(
					   json_node_get_object(message),
					   "content"));
	}
}

/*
 * Reads a completion from the body of a request to path. Returns false if it
 * has no prompt or max_tokens is not positive. Either way the caller clears
 * the completion.
 */
bool engine_completion_read(struct engine_completion *completion,
			    const char *path, JsonObject *body)
{
	completion->chat = strstr(path, "/chat/") != NULL;
	completion->prompt = g_string_new(NULL);
	prompt_add(completion->prompt, json_object_get_member(body, "prompt"));
	prompt_add_messages(completion->prompt,
			    json_object_get_member(body, "messages"));
	completion->max_tokens = json_object_get_int_member_with_default(
		body, "max_tokens", DEFAULT_MAX_TOKENS);
	return completion->prompt->len && completion->max_tokens > 0;
}

/* Frees the members of the completion, but not the struct itself. */
void engine_completion_clear(struct engine_completion *completion)
{
	g_string_free(completion->prompt, TRUE);
}
