#include "adapters/http_stream.h"

#include <json-glib/json-glib.h>
#include <string.h>

struct http_stream {
	SoupServerMessage *message;
	int64_t buffer_bytes;
	void (*flow)(void *data, bool full);
	void *data;
	bool chat;
	bool ended;
	bool full;	   /* last value passed to flow() */
	guint flow_source; /* 0: no call of flow() is scheduled */
	int64_t pending_bytes;
	gulong wrote_handler;
};

static bool stream_is_full(const struct http_stream *stream)
{
	if (stream->pending_bytes > stream->buffer_bytes)
		return true;
	if (stream->pending_bytes < stream->buffer_bytes / 2)
		return false;
	return stream->full;
}

static gboolean stream_notify_flow(gpointer data)
{
	struct http_stream *stream = data;
	bool full = stream_is_full(stream);

	stream->flow_source = 0;
	if (full != stream->full && !stream->ended) {
		stream->full = full;
		stream->flow(stream->data, full);
	}
	return G_SOURCE_REMOVE;
}

/*
 * Schedules flow() if the stream became full or no longer is. flow() runs from
 * the main loop, because pending_bytes also changes during the core's own
 * actions.
 */
static void stream_check_flow(struct http_stream *stream)
{
	if (stream->ended || stream->flow_source ||
	    stream_is_full(stream) == stream->full)
		return;
	stream->flow_source = g_idle_add_full(G_PRIORITY_DEFAULT,
					      stream_notify_flow, stream, NULL);
}

static void stream_wrote(SoupServerMessage *message, guint size, gpointer data)
{
	struct http_stream *stream = data;

	(void)message;
	stream->pending_bytes -= size;
	stream_check_flow(stream);
}

/* Creates a stream on a paused message. http_stream_begin starts to send. */
struct http_stream *
http_stream_create(const struct http_stream_options *options)
{
	struct http_stream *stream = g_new0(struct http_stream, 1);

	stream->message = g_object_ref(options->message);
	stream->buffer_bytes = options->buffer_bytes;
	stream->flow = options->flow;
	stream->data = options->data;
	stream->chat = options->chat;
	stream->wrote_handler =
		g_signal_connect(stream->message, "wrote-body-data",
				 G_CALLBACK(stream_wrote), stream);
	return stream;
}

/* Frees the stream; libsoup still sends its message. NULL is allowed. */
void http_stream_destroy(struct http_stream *stream)
{
	if (!stream)
		return;
	g_signal_handler_disconnect(stream->message, stream->wrote_handler);
	if (stream->flow_source)
		g_source_remove(stream->flow_source);
	g_object_unref(stream->message);
	g_free(stream);
}

static void stream_write(struct http_stream *stream, GString *text)
{
	SoupMessageBody *body =
		soup_server_message_get_response_body(stream->message);
	GBytes *bytes = g_string_free_to_bytes(text);

	stream->pending_bytes += (int64_t)g_bytes_get_size(bytes);
	soup_message_body_append_bytes(body, bytes);
	g_bytes_unref(bytes);
	soup_server_message_unpause(stream->message);
	stream_check_flow(stream);
}

/* Sends status and headers. The body is not chunked for HTTP/1.0 callers. */
void http_stream_begin(struct http_stream *stream)
{
	SoupServerMessage *message = stream->message;
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	bool chunked =
		soup_server_message_get_http_version(message) != SOUP_HTTP_1_0;

	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_headers_replace(headers, "Cache-Control", "no-store");
	soup_message_headers_set_encoding(
		headers, chunked ? SOUP_ENCODING_CHUNKED : SOUP_ENCODING_EOF);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	soup_server_message_unpause(message);
}

/*
 * Writes each line of data as its own data field, so that a line of an
 * engine's text is never parsed as another field or event.
 */
static void text_append_data(GString *text, const char *data, size_t length)
{
	const char *end = data + length;

	while (data <= end) {
		const char *line_end = data;

		while (line_end < end && *line_end != '\n' && *line_end != '\r')
			line_end++;
		g_string_append(text, "data: ");
		g_string_append_len(text, data, line_end - data);
		g_string_append_c(text, '\n');
		data = line_end + 1;
	}
	g_string_append_c(text, '\n');
}

/* Sends one event; without an id field if event_id is NULL. */
void http_stream_chunk(struct http_stream *stream, const char *event_id,
		       GBytes *data)
{
	gsize length = 0;
	const char *bytes = g_bytes_get_data(data, &length);
	GString *text = g_string_sized_new(length + 128);

	if (event_id)
		g_string_append_printf(text, "id: %s\n", event_id);
	text_append_data(text, bytes ? bytes : "", length);
	stream_write(stream, text);
}

static void stream_finish(struct http_stream *stream, GString *text)
{
	stream_write(stream, text);
	stream->ended = true;
	soup_message_body_complete(
		soup_server_message_get_response_body(stream->message));
	soup_server_message_unpause(stream->message);
}

static char *stream_last_json(const struct http_stream *stream,
			      int64_t token_count, const char *finish_reason)
{
	JsonNode *reason = json_node_new(JSON_NODE_VALUE);
	char *quoted;
	char *json;

	json_node_set_string(reason, finish_reason ? finish_reason : "stop");
	quoted = json_to_string(reason, FALSE);
	json = g_strdup_printf(
		"{\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}],"
		"\"usage\":{\"completion_tokens\":%" G_GINT64_FORMAT "}}",
		stream->chat ? "\"delta\":{}" : "\"text\":\"\"", quoted,
		token_count);
	json_node_unref(reason);
	g_free(quoted);
	return json;
}

/* Ends a complete stream with the finish reason, the usage and [DONE]. */
void http_stream_end_complete(struct http_stream *stream, int64_t token_count,
			      const char *finish_reason)
{
	char *json = stream_last_json(stream, token_count, finish_reason);
	GString *text = g_string_new(NULL);

	text_append_data(text, json, strlen(json));
	g_string_append(text, "data: [DONE]\n\n");
	stream_finish(stream, text);
	g_free(json);
}

/* Ends the stream with an error event instead of [DONE]. */
void http_stream_end_problem(struct http_stream *stream,
			     const struct http_problem *problem)
{
	char *json = http_problem_json(problem);
	GString *text = g_string_new("event: error\n");

	text_append_data(text, json, strlen(json));
	stream_finish(stream, text);
	g_free(json);
}
