#include "fakes/engine_stream.h"

#include "fakes/engine_text.h"
#include "fakes/fake_server.h"

#define TOKENS_PER_EVENT 64 /* of a backlog */

static const char *const state_names[] = {
	[ENGINE_STREAM_WAITING] = "waiting",
	[ENGINE_STREAM_RUNNING] = "running",
	[ENGINE_STREAM_DONE] = "done",
	[ENGINE_STREAM_CANCELLED] = "cancelled",
};

/* A generation that waits, without a reader. */
struct engine_stream *engine_stream_create(uint64_t id, const char *generation)
{
	struct engine_stream *stream = g_new0(struct engine_stream, 1);

	stream->id = id;
	stream->generation = g_strdup(generation);
	return stream;
}

static void stream_drop_reader(struct engine_stream *stream)
{
	g_source_destroy(stream->close_watch);
	g_clear_pointer(&stream->close_watch, g_source_unref);
	g_signal_handler_disconnect(stream->reader, stream->finished_signal);
	g_clear_object(&stream->reader);
}

/* Ends the reader's answer where it is, without saying that it was whole. */
static void stream_let_go(struct engine_stream *stream)
{
	if (!stream->reader)
		return;
	soup_message_body_complete(
		soup_server_message_get_response_body(stream->reader));
	soup_server_message_unpause(stream->reader);
	stream_drop_reader(stream);
}

/* Ends the reader's answer and frees the generation; NULL is allowed. */
void engine_stream_destroy(struct engine_stream *stream)
{
	if (!stream)
		return;
	stream_let_go(stream);
	if (stream->hold_timer)
		g_source_remove(stream->hold_timer);
	g_free(stream->generation);
	g_free(stream);
}

static gboolean hold_ended(gpointer data)
{
	struct engine_stream *stream = data;

	stream->hold_timer = 0;
	stream->abandoned(stream->abandoned_data, stream);
	return G_SOURCE_REMOVE;
}

static void stream_hold(struct engine_stream *stream)
{
	stream->hold_timer = g_timeout_add(stream->hold_ms, hold_ended, stream);
}

static void reader_closed(void *data)
{
	struct engine_stream *stream = data;

	stream_let_go(stream);
	stream_hold(stream);
}

static void reader_finished(SoupServerMessage *message G_GNUC_UNUSED,
			    gpointer data)
{
	struct engine_stream *stream = data;

	stream_drop_reader(stream);
	stream_hold(stream);
}

/*
 * Gives the generation to a reader, from token `from` on; an earlier reader
 * is let go.
 */
void engine_stream_attach(struct engine_stream *stream,
			  SoupServerMessage *reader, int64_t from)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(reader);

	stream_let_go(stream);
	if (stream->hold_timer)
		g_source_remove(stream->hold_timer);
	stream->hold_timer = 0;
	stream->reader = g_object_ref(reader);
	stream->sent = from;
	stream->ended = false;
	stream->finished_signal = g_signal_connect(
		reader, "finished", G_CALLBACK(reader_finished), stream);
	stream->close_watch =
		fake_message_on_close(reader, reader_closed, stream);
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

/* One server-sent event with the tokens from sent to end. */
static void append_tokens(const struct engine_stream *stream, GString *out,
			  int64_t end)
{
	g_string_append_printf(
		out, "id: %s:%" G_GINT64_FORMAT "\ndata: {\"choices\":[{",
		stream->generation, end);
	g_string_append(out, stream->chat
				     ? "\"index\":0,\"delta\":{\"content\":\""
				     : "\"index\":0,\"text\":\"");
	engine_text_append(out, stream->generation, stream->sent,
			   end - stream->sent);
	g_string_append_printf(out,
			       "\"%s}],\"tokens\":%" G_GINT64_FORMAT "}\n\n",
			       stream->chat ? "}" : "", end - stream->sent);
}

static void append_end(const struct engine_stream *stream, GString *out)
{
	g_string_append_printf(
		out,
		"data: {\"choices\":[{\"index\":0,%s,\"finish_reason\":\"%s\"}"
		"],\"usage\":{\"completion_tokens\":%" G_GINT64_FORMAT
		"}}\n\ndata: [DONE]\n\n",
		stream->chat ? "\"delta\":{}" : "\"text\":\"\"",
		stream->cut ? "length" : "stop", stream->tokens);
}

/* Sends the reader what it has not been given yet, and the end once done. */
void engine_stream_flush(struct engine_stream *stream)
{
	SoupMessageBody *body;
	GString *out;

	if (!stream->reader || stream->ended)
		return;
	body = soup_server_message_get_response_body(stream->reader);
	out = g_string_new(NULL);
	while (stream->sent < stream->tokens) {
		int64_t end =
			MIN(stream->tokens, stream->sent + TOKENS_PER_EVENT);

		append_tokens(stream, out, end);
		stream->sent = end;
	}
	stream->ended = stream->state == ENGINE_STREAM_DONE;
	if (stream->ended)
		append_end(stream, out);
	soup_message_body_append(body, SOUP_MEMORY_COPY, out->str, out->len);
	g_string_free(out, TRUE);
	if (stream->ended)
		soup_message_body_complete(body);
	soup_server_message_unpause(stream->reader);
}

/* Name of a state, as in GET /fake/runs. */
const char *engine_stream_state_name(enum engine_stream_state state)
{
	return state_names[state];
}
