#include "fakes/engine_stream.h"

#include "fakes/engine_text.h"
#include "fakes/fake_server.h"

#define TOKENS_PER_EVENT 64 /* at most, when a backlog is sent */

static const char *const state_names[] = {
	[ENGINE_STREAM_WAITING] = "waiting",
	[ENGINE_STREAM_RUNNING] = "running",
	[ENGINE_STREAM_DONE] = "done",
	[ENGINE_STREAM_CANCELLED] = "cancelled",
};

/* Creates a waiting generation without a reader. */
struct engine_stream *engine_stream_create(uint64_t id, const char *generation)
{
	struct engine_stream *stream = g_new0(struct engine_stream, 1);

	stream->id = id;
	stream->generation = g_strdup(generation);
	return stream;
}

static void stream_release_reader(struct engine_stream *stream)
{
	g_source_destroy(stream->close_watch);
	g_clear_pointer(&stream->close_watch, g_source_unref);
	g_signal_handler_disconnect(stream->reader, stream->finished_signal);
	g_clear_object(&stream->reader);
}

/* Ends the reader's answer at this point, without the final event. */
static void stream_detach_reader(struct engine_stream *stream)
{
	if (!stream->reader)
		return;
	soup_message_body_complete(
		soup_server_message_get_response_body(stream->reader));
	soup_server_message_unpause(stream->reader);
	stream_release_reader(stream);
}

/* Ends the reader's answer and frees the stream, which may be NULL. */
void engine_stream_destroy(struct engine_stream *stream)
{
	if (!stream)
		return;
	stream_detach_reader(stream);
	if (stream->hold_timer)
		g_source_remove(stream->hold_timer);
	g_free(stream->generation);
	g_free(stream);
}

static gboolean hold_timer_fired(gpointer data)
{
	struct engine_stream *stream = data;

	stream->hold_timer = 0;
	stream->on_hold_expired(stream->hold_expired_data, stream);
	return G_SOURCE_REMOVE;
}

static void stream_start_hold(struct engine_stream *stream)
{
	stream->hold_timer =
		g_timeout_add(stream->hold_ms, hold_timer_fired, stream);
}

static void reader_closed(void *data)
{
	struct engine_stream *stream = data;

	stream_detach_reader(stream);
	stream_start_hold(stream);
}

static void reader_finished(SoupServerMessage *message G_GNUC_UNUSED,
			    gpointer data)
{
	struct engine_stream *stream = data;

	stream_release_reader(stream);
	stream_start_hold(stream);
}

/*
 * Attaches a reader and sends it the generation from token `from` on. A
 * previous reader is detached, and the hold timer is stopped.
 */
void engine_stream_attach(struct engine_stream *stream,
			  SoupServerMessage *reader, int64_t from)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(reader);

	stream_detach_reader(stream);
	if (stream->hold_timer)
		g_source_remove(stream->hold_timer);
	stream->hold_timer = 0;
	stream->reader = g_object_ref(reader);
	stream->sent_tokens = from;
	stream->response_complete = false;
	stream->finished_signal = g_signal_connect(
		reader, "finished", G_CALLBACK(reader_finished), stream);
	stream->close_watch =
		fake_message_on_disconnect(reader, reader_closed, stream);
	soup_server_message_set_status(reader, 200, NULL);
	soup_message_headers_append(headers, "X-Generation",
				    stream->generation);
	soup_message_headers_set_content_type(headers, "text/event-stream",
					      NULL);
	soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(reader), FALSE);
	engine_stream_flush(stream);
}

/* Appends one server-sent event with the tokens from sent_tokens to end. */
static void append_tokens(const struct engine_stream *stream, GString *out,
			  int64_t end)
{
	g_string_append_printf(
		out, "id: %s:%" G_GINT64_FORMAT "\ndata: {\"choices\":[{",
		stream->generation, end);
	g_string_append(out, stream->chat
				     ? "\"index\":0,\"delta\":{\"content\":\""
				     : "\"index\":0,\"text\":\"");
	engine_text_append(out, stream->generation, stream->sent_tokens,
			   end - stream->sent_tokens);
	g_string_append_printf(
		out, "\"%s}],\"tokens\":%" G_GINT64_FORMAT "}\n\n",
		stream->chat ? "}" : "", end - stream->sent_tokens);
}

static void append_end(const struct engine_stream *stream, GString *out)
{
	g_string_append_printf(
		out,
		"data: {\"choices\":[{\"index\":0,%s,\"finish_reason\":\"%s\"}"
		"],\"usage\":{\"completion_tokens\":%" G_GINT64_FORMAT
		"}}\n\ndata: [DONE]\n\n",
		stream->chat ? "\"delta\":{}" : "\"text\":\"\"",
		stream->length_limited ? "length" : "stop", stream->tokens);
}

/*
 * Sends the reader the tokens it has not received yet, and the final event if
 * the generation is done.
 */
void engine_stream_flush(struct engine_stream *stream)
{
	SoupMessageBody *body;
	GString *out;

	if (!stream->reader || stream->response_complete)
		return;
	body = soup_server_message_get_response_body(stream->reader);
	out = g_string_new(NULL);
	while (stream->sent_tokens < stream->tokens) {
		int64_t end = MIN(stream->tokens,
				  stream->sent_tokens + TOKENS_PER_EVENT);

		append_tokens(stream, out, end);
		stream->sent_tokens = end;
	}
	stream->response_complete = stream->state == ENGINE_STREAM_DONE;
	if (stream->response_complete)
		append_end(stream, out);
	soup_message_body_append(body, SOUP_MEMORY_COPY, out->str, out->len);
	g_string_free(out, TRUE);
	if (stream->response_complete)
		soup_message_body_complete(body);
	soup_server_message_unpause(stream->reader);
}

/* Returns the name of a state as GET /fake/runs shows it. */
const char *engine_stream_state_name(enum engine_stream_state state)
{
	return state_names[state];
}
