#include "adapters/engine_event.h"

#include "core/json/json_reader.h"
#include "core/stream/event_id.h"

#include <json-glib/json-glib.h>
#include <string.h>

#define EVENT_TOKENS_MAX 1000000
#define TOTAL_TOKENS_MAX INT64_C(1000000000000)

static bool event_fail(struct error *error, const char *what)
{
	error_set(error, ERROR_INVALID, "engine.event", NULL, "%s", what);
	return false;
}

/*
 * Whether a generation's handle is safe to use in paths, headers and event
 * ids, see event_id.h.
 */
bool engine_generation_valid(const char *generation)
{
	return event_id_is_safe_name(generation, GENERATION_BYTES_MAX);
}

static bool object_read_count(JsonObject *object, const char *name,
			      int64_t most, int64_t *out)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || JSON_NODE_HOLDS_NULL(node))
		return true;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	*out = json_node_get_int(node);
	return *out >= 0 && *out <= most;
}

static const char *object_read_text(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return NULL;
	return json_node_get_string(node);
}

static JsonObject *array_read_object(JsonNode *node)
{
	JsonNode *first;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node) ||
	    json_array_get_length(json_node_get_array(node)) == 0)
		return NULL;
	first = json_array_get_element(json_node_get_array(node), 0);
	return JSON_NODE_HOLDS_OBJECT(first) ? json_node_get_object(first)
					     : NULL;
}

static bool choice_has_text(JsonObject *choice)
{
	const char *text = object_read_text(choice, "text");
	JsonNode *delta = json_object_get_member(choice, "delta");

	if (delta && JSON_NODE_HOLDS_OBJECT(delta))
		text = object_read_text(json_node_get_object(delta), "content");
	return text && *text;
}

static bool event_read_usage(struct engine_event *event, JsonObject *root,
			     struct error *error)
{
	JsonNode *usage = json_object_get_member(root, "usage");

	if (!usage || JSON_NODE_HOLDS_NULL(usage))
		return true;
	if (!JSON_NODE_HOLDS_OBJECT(usage) ||
	    !object_read_count(json_node_get_object(usage), "completion_tokens",
			       TOTAL_TOKENS_MAX, &event->total_tokens))
		return event_fail(error, "malformed usage");
	return true;
}

/* An event without "tokens" has one token, unless it only marks the end. */
static bool event_read_object(struct engine_event *event, JsonNode *node,
			      struct error *error)
{
	JsonObject *root;
	JsonObject *choice;
	const char *reason;
	bool has_text;

	if (!JSON_NODE_HOLDS_OBJECT(node))
		return event_fail(error, "data is not a JSON object");
	root = json_node_get_object(node);
	choice = array_read_object(json_object_get_member(root, "choices"));
	has_text = choice && choice_has_text(choice);
	event->has_text = has_text;
	reason = choice ? object_read_text(choice, "finish_reason") : NULL;
	if (reason)
		g_strlcpy(event->finish_reason, reason,
			  sizeof(event->finish_reason));
	event->token_count = reason && !has_text ? 0 : 1;
	if (!choice)
		event->token_count = 0;
	if (!object_read_count(root, "tokens", EVENT_TOKENS_MAX,
			       &event->token_count))
		return event_fail(error, "malformed token count");
	return event_read_usage(event, root, error);
}

static bool event_read_data(struct engine_event *event,
			    const struct sse_event *sse, struct error *error)
{
	GBytes *data = g_bytes_new_static(sse->data, sse->data_length);
	JsonNode *root = json_reader_parse_lax(data, sse->data_length,
					       "engine.event", error);
	bool ok = root && event_read_object(event, root, error);

	g_clear_pointer(&root, json_node_unref);
	g_bytes_unref(data);
	return ok;
}

/*
 * Parses an id of the form ID:END. An event of another generation is marked:
 * if it were forwarded, one answer would mix the output of two generations.
 */
static bool event_read_id(struct engine_event *event, const char *id,
			  const char *generation, struct error *error)
{
	const char *colon = strrchr(id, ':');
	gint64 end = 0;

	if (!colon || !g_ascii_string_to_signed(colon + 1, 10, 0,
						TOTAL_TOKENS_MAX, &end, NULL))
		return event_fail(error, "malformed event id");
	event->other_generation =
		strncmp(id, generation, (size_t)(colon - id)) != 0 ||
		generation[colon - id] != '\0';
	event->first_token = end - event->token_count;
	if (event->first_token < 0)
		return event_fail(error,
				  "more tokens than the event id allows");
	return true;
}

/*
 * Parses one event of the stream of a generation. An event without an id
 * starts at token offset next_token. Returns false with ERROR_INVALID if the
 * event is malformed or is an error event.
 */
bool engine_event_read(const struct sse_event *sse, const char *generation,
		       int64_t next_token, struct engine_event *event,
		       struct error *error)
{
	memset(event, 0, sizeof(*event));
	event->total_tokens = -1;
	event->first_token = next_token;
	if (g_str_equal(sse->type, "error"))
		return event_fail(error, "the engine sent an error event");
	if (g_str_equal(sse->data, "[DONE]")) {
		event->done = true;
		return true;
	}
	if (!event_read_data(event, sse, error))
		return false;
	if (!*sse->id)
		return true;
	return event_read_id(event, sse->id, generation, error);
}

/* Start of the last event; NULL if the text does not end in an empty line. */
static const char *find_last_event(const GByteArray *text)
{
	const char *start = (const char *)text->data;
	size_t at = text->len;

	if (at < 2 || memcmp(start + at - 2, "\n\n", 2) != 0)
		return NULL;
	for (at -= 2; at > 1; at--) {
		if (memcmp(start + at - 2, "\n\n", 2) == 0)
			return start + at;
	}
	return start;
}

static bool event_starts_with(const GByteArray *text, const char *event,
			      const char *prefix)
{
	size_t left = (size_t)((const char *)text->data + text->len - event);

	return left >= strlen(prefix) &&
	       memcmp(event, prefix, strlen(prefix)) == 0;
}

/*
 * Whether the text of a stream is complete: its last event is [DONE] or the
 * error event sent instead.
 */
bool engine_stream_is_complete(const GByteArray *text)
{
	const char *event = find_last_event(text);

	return event && (event_starts_with(text, event, "data: [DONE]\n") ||
			 event_starts_with(text, event, "event: error\n"));
}
