#include "adapters/http_server.h"

#include "adapters/http_answer.h"
#include "adapters/http_call.h"
#include "adapters/http_listener.h"
#include "adapters/http_route.h"
#include "adapters/http_server_state.h"
#include "adapters/http_upload.h"

#include <sys/socket.h>

/* A collected answer may have this size even if max_body_bytes is smaller. */
#define COLLECT_BYTES_MIN 1048576
#define IDLE_TIMEOUT_MS 60000 /* without a byte in either direction */

/* Delivers an event to the node. */
void http_server_deliver(struct http_server *server, const struct event *event)
{
	server->sink.deliver(server->sink.data, event);
}

static void server_log_refusal(struct http_server *server,
			       SoupServerMessage *message,
			       const struct http_problem *problem)
{
	const char *peer = soup_server_message_get_remote_host(message);

	if (server->log)
		log_write(server->log, LOG_LEVEL_INFO, "http_refused", "peer",
			  peer ? peer : "", "reason", problem->code, "detail",
			  problem->detail ? problem->detail : problem->message,
			  NULL);
}

/* Logs, counts and sends a refusal of a request that never reaches the node. */
void http_server_refuse(struct http_server *server, SoupServerMessage *message,
			const struct http_problem *problem)
{
	server_log_refusal(server, message, problem);
	counters_add(server->counters, COUNTER_REFUSED, 1);
	http_answer_problem(message, problem);
}

static void server_call_disconnected(void *data, uint64_t number)
{
	struct http_server *server = data;
	struct event event = {.type = EVENT_CALL_GONE, .call_gone = number};

	if (g_hash_table_remove(server->calls, &number))
		http_server_deliver(server, &event);
}

static void server_call_flow(void *data, uint64_t number, bool full)
{
	struct http_server *server = data;
	struct event event = {.type = EVENT_CALL_FLOW};

	event.call_flow.call = number;
	event.call_flow.full = full;
	http_server_deliver(server, &event);
}

/* Opens a call, which the node will answer, and returns its number. */
uint64_t http_server_open_call(struct http_server *server,
			       SoupServerMessage *message, bool stream,
			       bool chat)
{
	struct http_call_options options = {
		.number = ++server->last_call,
		.message = message,
		.stream = stream,
		.chat = chat,
		.stream_buffer_bytes = server->stream_buffer_bytes,
		.collect_bytes = MAX(server->max_body_bytes, COLLECT_BYTES_MIN),
		.disconnected = server_call_disconnected,
		.flow = server_call_flow,
		.data = server,
	};
	uint64_t *key = g_new(uint64_t, 1);

	*key = options.number;
	g_hash_table_insert(server->calls, key, http_call_create(&options));
	return options.number;
}

static void exchange_finished(SoupServerMessage *message, gpointer data)
{
	struct http_server *server = data;

	(void)message;
	server->open_exchanges--;
}

/*
 * Counts an exchange from the end of its head on: a process that ended while
 * the body arrives would leave the request without an answer.
 */
static void server_begin_exchange(struct http_server *server,
				  SoupServerMessage *message)
{
	g_signal_connect(message, "finished", G_CALLBACK(exchange_finished),
			 server);
	server->open_exchanges++;
}

static void call_finished(SoupServerMessage *message, gpointer data)
{
	(void)data;
	http_listener_end_call(message);
}

/*
 * Whether the caller has closed its sending side. libsoup takes a close within
 * a head or after the last chunk's size for their end, so that the request may
 * be a part of one. A whole one whose caller has closed would be abandoned.
 */
static bool message_is_closed(SoupServerMessage *message)
{
	GSocket *socket = http_listener_socket(message);
	char byte;

	return !socket || recv(g_socket_get_fd(socket), &byte, sizeof(byte),
			       MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void server_handle(SoupServer *soup, SoupServerMessage *message,
			  const char *path, GHashTable *query, gpointer data)
{
	struct http_server *server = data;

	(void)soup;
	(void)path;
	(void)query;
	g_signal_connect(message, "finished", G_CALLBACK(call_finished), NULL);
	http_listener_begin_call(message);
	if (message_is_closed(message))
		http_server_refuse(server, message, &http_problem_incomplete);
	else
		http_route_dispatch(server, message);
}

/*
 * Allows one exchange per connection. libsoup's server never releases the
 * socket of an idle connection that its caller has closed, so the node would
 * reach max_connections. With "Connection: close" in the answer, the caller
 * does not send its next request on a connection that is about to close, where
 * it could not determine whether the request ran.
 */
static void message_close_after(SoupServerMessage *message)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message), "Connection",
		"close");
}

static void server_handle_early(SoupServer *soup, SoupServerMessage *message,
				const char *path, GHashTable *query,
				gpointer data)
{
	struct http_server *server = data;

	(void)soup;
	(void)path;
	(void)query;
	server_begin_exchange(server, message);
	message_close_after(message);
	http_uploads_watch(server->uploads, message);
}

static void server_refuse_upload(void *data, SoupServerMessage *message,
				 const struct http_problem *problem)
{
	http_server_refuse(data, message, problem);
}

static void server_accept(void *data, GSocketConnection *connection,
			  GSocketAddress *local, GSocketAddress *remote)
{
	struct http_server *server = data;

	soup_server_accept_iostream(server->soup, G_IO_STREAM(connection),
				    local, remote, NULL);
}

/* Starts to listen. Returns NULL and sets error if the bind fails. */
struct http_server *
http_server_create(const struct http_server_options *options,
		   const struct event_sink *sink, struct error *error)
{
	struct http_server *server = g_new0(struct http_server, 1);
	struct http_listener_options listener = {
		.address = options->address,
		.max_connections = options->max_connections,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.send_buffer_bytes =
			(int32_t)MIN(options->stream_buffer_bytes, G_MAXINT32),
		.accept = server_accept,
		.data = server,
	};
	struct http_uploads_options uploads = {
		.max_header_bytes = options->max_header_bytes,
		.max_body_bytes = options->max_body_bytes,
		.refuse = server_refuse_upload,
		.data = server,
	};

	server->sink = *sink;
	server->log = options->log;
	server->counters = options->counters;
	server->operator_key =
		g_strdup(options->operator_key ? options->operator_key : "");
	server->max_body_bytes = options->max_body_bytes;
	server->stream_buffer_bytes = options->stream_buffer_bytes;
	server->calls =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
				      (GDestroyNotify)http_call_destroy);
	server->uploads = http_uploads_create(&uploads);
	server->ended_calls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	server->soup = soup_server_new("server-header", "siskinlink",
				       "raw-paths", TRUE, NULL);
	soup_server_add_early_handler(server->soup, NULL, server_handle_early,
				      server, NULL);
	soup_server_add_handler(server->soup, NULL, server_handle, server,
				NULL);
	server->listener = http_listener_create(&listener, error);
	if (!server->listener) {
		http_server_destroy(server);
		return NULL;
	}
	return server;
}

/* Closes all connections and delivers no events. NULL is allowed. */
void http_server_destroy(struct http_server *server)
{
	if (!server)
		return;
	g_hash_table_unref(server->calls);
	http_listener_destroy(server->listener);
	soup_server_disconnect(server->soup);
	g_object_unref(server->soup);
	http_uploads_destroy(server->uploads);
	if (server->ended_calls_source)
		g_source_remove(server->ended_calls_source);
	g_array_unref(server->ended_calls);
	g_free(server->operator_key);
	g_free(server);
}

/* Returns host:port with the actual port; owned by the server. */
const char *http_server_address(const struct http_server *server)
{
	return http_listener_address(server->listener);
}

/*
 * Returns the number of exchanges whose head has arrived and whose answer is
 * not completely written.
 */
size_t http_server_count_exchanges(const struct http_server *server)
{
	return server->open_exchanges;
}

static gboolean server_deliver_ended_calls(gpointer data)
{
	struct http_server *server = data;
	GArray *numbers = server->ended_calls;

	server->ended_calls = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	server->ended_calls_source = 0;
	for (guint i = 0; i < numbers->len; i++) {
		struct event event = {.type = EVENT_CALL_GONE};

		event.call_gone = g_array_index(numbers, uint64_t, i);
		http_server_deliver(server, &event);
	}
	g_array_unref(numbers);
	return G_SOURCE_REMOVE;
}

/*
 * Schedules EVENT_CALL_GONE for a call that the server itself ended. The event
 * is delivered from the main loop, because the core may be executing an action.
 */
static void server_defer_ended_call(struct http_server *server, uint64_t number)
{
	g_array_append_val(server->ended_calls, number);
	if (!server->ended_calls_source)
		server->ended_calls_source = g_idle_add_full(
			G_PRIORITY_DEFAULT, server_deliver_ended_calls, server,
			NULL);
}

static struct http_call *server_find_call(struct http_server *server,
					  uint64_t number)
{
	struct http_call *call = g_hash_table_lookup(server->calls, &number);

	if (!call)
		counters_add(server->counters, COUNTER_EVENTS_UNKNOWN, 1);
	return call;
}

static void server_close_call(struct http_server *server, uint64_t number)
{
	g_hash_table_remove(server->calls, &number);
}

static void server_apply_answer(struct http_server *server,
				const struct action *action)
{
	struct http_call *call = server_find_call(server, action->answer.call);

	if (call && http_call_answer(call, &action->answer))
		server_close_call(server, action->answer.call);
}

static void server_apply_refuse(struct http_server *server,
				const struct action *action)
{
	struct http_call *call = server_find_call(server, action->refuse.call);

	if (call && http_call_refuse(call, &action->refuse))
		server_close_call(server, action->refuse.call);
}

static void server_apply_begin(struct http_server *server,
			       const struct action *action)
{
	struct http_call *call = server_find_call(server, action->call_begin);

	if (call)
		http_call_begin(call);
}

static void server_apply_chunk(struct http_server *server,
			       const struct action *action)
{
	uint64_t number = action->chunk.call;
	struct http_call *call = server_find_call(server, number);

	if (call && http_call_chunk(call, &action->chunk)) {
		server_close_call(server, number);
		server_defer_ended_call(server, number);
	}
}

static void server_apply_end(struct http_server *server,
			     const struct action *action)
{
	struct http_call *call = server_find_call(server, action->end.call);

	if (call && http_call_end(call, &action->end))
		server_close_call(server, action->end.call);
}

typedef void (*apply_function)(struct http_server *server,
			       const struct action *action);

static const apply_function apply_functions[ACTION_TYPES] = {
	[ACTION_CALL_ANSWER] = server_apply_answer,
	[ACTION_CALL_REFUSE] = server_apply_refuse,
	[ACTION_CALL_BEGIN] = server_apply_begin,
	[ACTION_CALL_CHUNK] = server_apply_chunk,
	[ACTION_CALL_END] = server_apply_end,
};

/*
 * Executes one ACTION_CALL_* and ignores all other actions. An action for a
 * call that is not open is counted in COUNTER_EVENTS_UNKNOWN and has no effect.
 */
void http_server_apply(struct http_server *server, const struct action *action)
{
	if (action->type < ACTION_TYPES && apply_functions[action->type])
		apply_functions[action->type](server, action);
}
