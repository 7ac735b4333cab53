#include "adapters/http_call.h"

#include "adapters/http_collect.h"
#include "adapters/http_listener.h"
#include "adapters/http_stream.h"

#include <string.h>

struct http_call {
	uint64_t number;
	SoupServerMessage *message;
	bool begun;
	bool chat;
	int64_t collect_bytes;
	struct http_stream *stream;   /* NULL: answer by one JSON object */
	struct http_collect *collect; /* NULL before the first chunk */
	gulong finished_handler;
	GSource *watch; /* of the socket, to detect a disconnect */
	void (*disconnected)(void *data, uint64_t number);
	void (*flow)(void *data, uint64_t number, bool full);
	void *data;
};

static void call_finished(SoupServerMessage *message, gpointer data)
{
	struct http_call *call = data;

	(void)message;
	call->disconnected(call->data, call->number);
}

static void call_flow(void *data, bool full)
{
	struct http_call *call = data;

	call->flow(call->data, call->number, full);
}

/* Makes libsoup write to the closed socket, so that it drops the message. */
static void call_abandon(struct http_call *call)
{
	if (!call->begun)
		soup_server_message_set_status(
			call->message, SOUP_STATUS_INTERNAL_SERVER_ERROR, NULL);
	soup_message_body_complete(
		soup_server_message_get_response_body(call->message));
	soup_server_message_unpause(call->message);
}

/*
 * libsoup does not poll the socket of a paused message, so without this watch
 * a disconnect of a waiting caller would go unnoticed and its request would
 * continue. End of file counts as a disconnect. Bytes of a pipelined request
 * end the watch, because the socket stays readable until libsoup reads them.
 */
static gboolean call_socket_ready(GSocket *socket, GIOCondition condition,
				  gpointer data)
{
	struct http_call *call = data;
	int flags = G_SOCKET_MSG_PEEK;
	char byte;
	GInputVector vector = {&byte, sizeof(byte)};
	GError *problem = NULL;
	gssize got;

	(void)condition;
	got = g_socket_receive_message(socket, NULL, &vector, 1, NULL, NULL,
				       &flags, NULL, &problem);
	if (got < 0 &&
	    g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
		g_error_free(problem);
		return G_SOURCE_CONTINUE;
	}
	g_clear_error(&problem);
	if (got > 0)
		return G_SOURCE_REMOVE;
	g_socket_shutdown(socket, TRUE, TRUE, NULL);
	call_abandon(call);
	call->disconnected(call->data, call->number);
	return G_SOURCE_REMOVE;
}

static void call_watch_socket(struct http_call *call)
{
	GSocket *socket = http_listener_socket(call->message);

	if (!socket)
		return;
	call->watch = g_socket_create_source(
		socket, G_IO_IN | G_IO_HUP | G_IO_ERR, NULL);
	g_source_set_callback(call->watch, G_SOURCE_FUNC(call_socket_ready),
			      call, NULL);
	g_source_attach(call->watch, g_main_context_get_thread_default());
}

/* Creates a call and pauses its message until the call is answered. */
struct http_call *http_call_create(const struct http_call_options *options)
{
	struct http_call *call = g_new0(struct http_call, 1);
	struct http_stream_options stream = {
		.message = options->message,
		.buffer_bytes = options->stream_buffer_bytes,
		.flow = call_flow,
		.data = call,
		.chat = options->chat,
	};

	call->number = options->number;
	call->message = g_object_ref(options->message);
	call->chat = options->chat;
	call->collect_bytes = options->collect_bytes;
	call->disconnected = options->disconnected;
	call->flow = options->flow;
	call->data = options->data;
	if (options->stream)
		call->stream = http_stream_create(&stream);
	call->finished_handler = g_signal_connect(
		call->message, "finished", G_CALLBACK(call_finished), call);
	http_answer_set_request_id(call->message, call->number);
	soup_server_message_pause(call->message);
	call_watch_socket(call);
	return call;
}

/* Frees the call; an answer already set is still sent. NULL is allowed. */
void http_call_destroy(struct http_call *call)
{
	if (!call)
		return;
	g_signal_handler_disconnect(call->message, call->finished_handler);
	if (call->watch) {
		g_source_destroy(call->watch);
		g_source_unref(call->watch);
	}
	http_stream_destroy(call->stream);
	http_collect_destroy(call->collect);
	g_object_unref(call->message);
	g_free(call);
}

static bool call_answer_problem(struct http_call *call,
				const struct http_problem *problem)
{
	http_answer_problem(call->message, problem);
	soup_server_message_unpause(call->message);
	return true;
}

/* Sends a complete answer. Returns true: the call has ended. */
bool http_call_answer(struct http_call *call,
		      const struct action_call_answer *answer)
{
	if (answer->replayed)
		soup_message_headers_replace(
			soup_server_message_get_response_headers(call->message),
			"Idempotent-Replayed", "true");
	http_answer_bytes(call->message, answer->status, answer->content_type,
			  answer->body);
	soup_server_message_unpause(call->message);
	return true;
}

/*
 * Sends a refusal, or an error event if the stream has begun. Returns true: the
 * call has ended.
 */
bool http_call_refuse(struct http_call *call,
		      const struct action_call_refuse *refuse)
{
	struct http_problem problem = http_problem_from_refusal(
		refuse->refusal, refuse->run, refuse->retry_after_us,
		refuse->detail);

	if (call->stream && call->begun) {
		http_stream_end_problem(call->stream, &problem);
		return true;
	}
	return call_answer_problem(call, &problem);
}

/* Marks the answer as begun and sends the status and headers of a stream. */
void http_call_begin(struct http_call *call)
{
	if (call->begun)
		return;
	call->begun = true;
	if (call->stream)
		http_stream_begin(call->stream);
}

static bool call_collect(struct http_call *call, GBytes *data)
{
	struct http_problem problem;

	if (!call->collect)
		call->collect =
			http_collect_create(call->chat, call->collect_bytes);
	if (http_collect_add(call->collect, data))
		return false;
	problem = http_problem_from_refusal(
		REFUSAL_ENDPOINT_FAILED, RUN_YES, 0,
		"its answer is malformed, or too large to send as one object");
	return call_answer_problem(call, &problem);
}

/*
 * Sends or collects one chunk. Returns true if the chunk could not be collected
 * and the call was therefore ended by a refusal.
 */
bool http_call_chunk(struct http_call *call,
		     const struct action_call_chunk *chunk)
{
	http_call_begin(call);
	if (!call->stream)
		return call_collect(call, chunk->data);
	http_stream_chunk(call->stream, chunk->event_id, chunk->data);
	return false;
}

static bool call_end_collected(struct http_call *call,
			       const struct action_call_end *end)
{
	GBytes *body;

	if (!call->collect)
		call->collect =
			http_collect_create(call->chat, call->collect_bytes);
	body = http_collect_finish(call->collect, call->number,
				   end->token_count, end->finish_reason);
	http_answer_bytes(call->message, SOUP_STATUS_OK, "application/json",
			  body);
	g_bytes_unref(body);
	soup_server_message_unpause(call->message);
	return true;
}

/*
 * Ends the call: with a complete answer, or with an error if end->refusal is
 * set. Returns true: the call has ended.
 */
bool http_call_end(struct http_call *call, const struct action_call_end *end)
{
	struct http_problem problem = http_problem_from_refusal(
		end->refusal, end->run, end->retry_after_us, NULL);

	if (end->refusal != REFUSAL_NONE) {
		if (!call->stream || !call->begun)
			return call_answer_problem(call, &problem);
		http_stream_end_problem(call->stream, &problem);
		return true;
	}
	if (!call->stream)
		return call_end_collected(call, end);
	http_call_begin(call);
	http_stream_end_complete(call->stream, end->token_count,
				 end->finish_reason);
	return true;
}
