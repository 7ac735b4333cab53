#include "adapters/http_collect.h"

#include "core/json/json_reader.h"
#include "core/json/json_writer.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define CHOICES_MAX 16

struct http_collect {
	bool chat;
	int64_t bytes_max;
	int64_t bytes;
	guint choice_count;
	GString *choices[CHOICES_MAX];
};

/* Creates an empty buffer for up to bytes_max bytes of text. */
struct http_collect *http_collect_create(bool chat, int64_t bytes_max)
{
	struct http_collect *collect = g_new0(struct http_collect, 1);

	collect->chat = chat;
	collect->bytes_max = bytes_max;
	return collect;
}

/* Frees the buffer; NULL is allowed. */
void http_collect_destroy(struct http_collect *collect)
{
	if (!collect)
		return;
	for (guint i = 0; i < collect->choice_count; i++)
		g_string_free(collect->choices[i], TRUE);
	g_free(collect);
}

static const char *object_get_text(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(node);
}

static const char *choice_text(JsonObject *choice)
{
	JsonNode *delta = json_object_get_member(choice, "delta");

	if (delta && JSON_NODE_HOLDS_OBJECT(delta))
		return object_get_text(json_node_get_object(delta), "content");
	return object_get_text(choice, "text");
}

static bool collect_add_choice(struct http_collect *collect, JsonNode *node)
{
	JsonObject *choice;
	const char *text;
	JsonNode *number;
	int64_t index;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return false;
	choice = json_node_get_object(node);
	number = json_object_get_member(choice, "index");
	index = number && JSON_NODE_HOLDS_VALUE(number)
			? json_node_get_int(number)
			: 0;
	if (index < 0 || index >= CHOICES_MAX)
		return false;
	while (collect->choice_count <= index)
		collect->choices[collect->choice_count++] = g_string_new(NULL);
	text = choice_text(choice);
	if (!text)
		return true;
	collect->bytes += (int64_t)strlen(text);
	if (collect->bytes > collect->bytes_max)
		return false;
	g_string_append(collect->choices[index], text);
	return true;
}

static bool collect_add_root(struct http_collect *collect, JsonNode *root)
{
	JsonNode *node;
	JsonArray *choices;

	if (!JSON_NODE_HOLDS_OBJECT(root))
		return false;
	node = json_object_get_member(json_node_get_object(root), "choices");
	if (!node)
		return true;
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	choices = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(choices); i++) {
		if (!collect_add_choice(collect,
					json_array_get_element(choices, i)))
			return false;
	}
	return true;
}

/* Adds one chunk. Returns false if it is malformed or the buffer is full. */
bool http_collect_add(struct http_collect *collect, GBytes *data)
{
	struct error error;
	JsonNode *root = json_reader_parse_lax(data, g_bytes_get_size(data),
					       "http.collect", &error);
	bool ok = root && collect_add_root(collect, root);

	g_clear_pointer(&root, json_node_unref);
	return ok;
}

static void builder_add_choice(JsonBuilder *builder, bool chat, guint index,
			       const char *text, const char *finish_reason)
{
	json_builder_begin_object(builder);
	json_writer_add_int(builder, "index", index);
	if (chat) {
		json_writer_begin_object(builder, "message");
		json_writer_add_string(builder, "role", "assistant");
		json_writer_add_string(builder, "content", text);
		json_builder_end_object(builder);
	} else {
		json_writer_add_string(builder, "text", text);
	}
	json_writer_add_string(builder, "finish_reason",
			       finish_reason ? finish_reason : "stop");
	json_builder_end_object(builder);
}

/* Returns the complete answer as one JSON object; the caller unrefs it. */
GBytes *http_collect_finish(struct http_collect *collect, uint64_t call,
			    int64_t token_count, const char *finish_reason)
{
	JsonBuilder *builder = json_builder_new_immutable();
	char *id = g_strdup_printf("%" G_GUINT64_FORMAT, call);

	json_builder_begin_object(builder);
	json_writer_add_string(builder, "id", id);
	json_writer_add_string(builder, "object",
			       collect->chat ? "chat.completion"
					     : "text_completion");
	json_writer_begin_array(builder, "choices");
	for (guint i = 0; i < MAX(collect->choice_count, 1); i++)
		builder_add_choice(builder, collect->chat, i,
				   i < collect->choice_count
					   ? collect->choices[i]->str
					   : "",
				   finish_reason);
	json_builder_end_array(builder);
	json_writer_begin_object(builder, "usage");
	json_writer_add_int(builder, "completion_tokens", token_count);
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	g_free(id);
	return json_writer_finish(builder);
}
