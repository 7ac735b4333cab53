#include "adapters/http_body.h"

#include "core/json/json_reader.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define SERVICE_NAME_MAX 128
#define MAX_TOKENS_MAX 100000000
#define BYTES_PER_TOKEN 4
#define PREFIX_BYTES 256
#define FNV_OFFSET UINT64_C(14695981039346656037)
#define FNV_PRIME UINT64_C(1099511628211)

/* Length of a prompt and its first PREFIX_BYTES bytes. */
struct prompt {
	size_t bytes;
	GString *prefix;
};

/* Returns the 64-bit FNV-1a hash; never 0, because 0 means no prefix. */
uint64_t http_body_hash(const char *text, size_t length)
{
	uint64_t hash = FNV_OFFSET;

	for (size_t i = 0; i < length; i++) {
		hash ^= (uint8_t)text[i];
		hash *= FNV_PRIME;
	}
	return hash ? hash : 1;
}

static void prompt_add(struct prompt *prompt, const char *text)
{
	size_t length = strlen(text);
	size_t free_bytes = PREFIX_BYTES - prompt->prefix->len;

	prompt->bytes += length;
	g_string_append_len(prompt->prefix, text,
			    (gssize)MIN(length, free_bytes));
}

static bool node_is_string(JsonNode *node)
{
	return node && JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == G_TYPE_STRING;
}

static bool node_is_integer(JsonNode *node)
{
	return node && JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == G_TYPE_INT64;
}

/* Adds a prompt: a string, or an array of strings or of token numbers. */
static bool prompt_add_node(struct prompt *prompt, JsonNode *node)
{
	JsonArray *array;

	if (node_is_string(node)) {
		prompt_add(prompt, json_node_get_string(node));
		return true;
	}
	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return false;
	array = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(array); i++) {
		JsonNode *part = json_array_get_element(array, i);

		if (node_is_string(part))
			prompt_add(prompt, json_node_get_string(part));
		else if (node_is_integer(part))
			prompt->bytes += BYTES_PER_TOKEN;
		else
			return false;
	}
	return true;
}

/* Adds the content of a message: a string or an array of typed parts. */
static bool prompt_add_content(struct prompt *prompt, JsonNode *content)
{
	JsonArray *parts;

	if (!content || JSON_NODE_HOLDS_NULL(content))
		return true;
	if (node_is_string(content)) {
		prompt_add(prompt, json_node_get_string(content));
		return true;
	}
	if (!JSON_NODE_HOLDS_ARRAY(content))
		return false;
	parts = json_node_get_array(content);
	for (guint i = 0; i < json_array_get_length(parts); i++) {
		JsonNode *part = json_array_get_element(parts, i);
		JsonNode *text;

		if (!JSON_NODE_HOLDS_OBJECT(part))
			return false;
		text = json_object_get_member(json_node_get_object(part),
					      "text");
		if (node_is_string(text))
			prompt_add(prompt, json_node_get_string(text));
	}
	return true;
}

static bool prompt_add_messages(struct prompt *prompt, JsonNode *node)
{
	JsonArray *messages;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return false;
	messages = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(messages); i++) {
		JsonNode *element = json_array_get_element(messages, i);
		JsonObject *message;
		JsonNode *role;

		if (!JSON_NODE_HOLDS_OBJECT(element))
			return false;
		message = json_node_get_object(element);
		role = json_object_get_member(message, "role");
		if (!node_is_string(role))
			return false;
		prompt_add(prompt, json_node_get_string(role));
		if (!prompt_add_content(
			    prompt, json_object_get_member(message, "content")))
			return false;
	}
	return true;
}

static bool body_fail(struct error *error, const char *what)
{
	error_set(error, ERROR_INVALID, "http.body", NULL, "%s", what);
	return false;
}

static bool body_read_model(struct request *request, JsonObject *body,
			    struct error *error)
{
	JsonNode *node = json_object_get_member(body, "model");
	const char *name;

	if (!node_is_string(node))
		return body_fail(error, "\"model\" must be a string");
	name = json_node_get_string(node);
	if (!*name || strlen(name) > SERVICE_NAME_MAX)
		return body_fail(error, "\"model\" has 1 to 128 bytes");
	g_free(request->service);
	request->service = g_strdup(name);
	return true;
}

static bool body_read_stream(struct request *request, JsonObject *body,
			     struct error *error)
{
	JsonNode *node = json_object_get_member(body, "stream");

	if (!node || JSON_NODE_HOLDS_NULL(node))
		return true;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_BOOLEAN)
		return body_fail(error, "\"stream\" must be true or false");
	request->stream = json_node_get_boolean(node);
	return true;
}

static bool body_read_max_tokens(struct request *request, JsonObject *body,
				 struct error *error)
{
	JsonNode *node = json_object_get_member(body, "max_tokens");

	if (!node)
		node = json_object_get_member(body, "max_completion_tokens");
	if (!node || JSON_NODE_HOLDS_NULL(node))
		return true;
	if (!node_is_integer(node) || json_node_get_int(node) < 1 ||
	    json_node_get_int(node) > MAX_TOKENS_MAX)
		return body_fail(error,
				 "\"max_tokens\" must be 1 to 100000000");
	request->max_tokens = json_node_get_int(node);
	return true;
}

static bool body_read_prompt(struct request *request, JsonObject *body,
			     struct error *error)
{
	struct prompt prompt = {0, g_string_sized_new(PREFIX_BYTES)};
	JsonNode *text = json_object_get_member(body, "prompt");
	JsonNode *messages = json_object_get_member(body, "messages");
	bool ok = text ? prompt_add_node(&prompt, text)
		       : prompt_add_messages(&prompt, messages);

	if (ok) {
		request->prompt_tokens =
			MAX(1, (int64_t)prompt.bytes / BYTES_PER_TOKEN);
		request->prefix_hash =
			http_body_hash(prompt.prefix->str, prompt.prefix->len);
	}
	g_string_free(prompt.prefix, TRUE);
	if (!ok)
		return body_fail(error, "\"prompt\" or \"messages\" is missing "
					"or malformed");
	return true;
}

static bool body_read_object(struct request *request, JsonNode *root,
			     struct error *error)
{
	JsonObject *body;

	if (!JSON_NODE_HOLDS_OBJECT(root))
		return body_fail(error, "the body must be a JSON object");
	body = json_node_get_object(root);
	return body_read_model(request, body, error) &&
	       body_read_stream(request, body, error) &&
	       body_read_max_tokens(request, body, error) &&
	       body_read_prompt(request, body, error);
}

/*
 * Sets service, stream, max_tokens, prompt_tokens and prefix_hash from the
 * request's body. Returns false with ERROR_INVALID if the body is malformed.
 */
bool http_body_read(struct request *request, struct error *error)
{
	JsonNode *root = json_reader_parse(request->body,
					   g_bytes_get_size(request->body),
					   "http.body", error);
	bool ok = root && body_read_object(request, root, error);

	g_clear_pointer(&root, json_node_unref);
	return ok;
}
