#include "adapters/http_listener.h"

#include "adapters/http_answer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 512
#define SWEEPS_PER_IDLE_TIMEOUT 8
/* A request may take this many idle timeouts to arrive. */
#define ARRIVAL_TIMEOUT_FACTOR 10
#define US_PER_MS 1000
#define UNACKNOWLEDGED_CLOSE_MS 60000
#define KEEPALIVE_IDLE_S 20
#define KEEPALIVE_INTERVAL_S 10
#define REFUSED_MAX 64 /* refused connections still being drained */
#define REFUSED_DRAIN_BYTES 65536
#define REFUSED_TIMEOUT_S 1
#define CONNECTION_KEY "siskinlink-connection"

/*
 * One accepted connection, which lives as long as its socket. libsoup returns
 * the socket of a message only if it accepted the connection itself. It does
 * return the remote address object that it was given, so the connection is
 * stored in the data of that object and found through it.
 */
struct connection {
	struct http_listener *listener; /* NULL once it is destroyed */
	GSocket *socket;		/* not referenced */
	GSocketAddress *remote;
	int32_t call_count;
	int64_t accepted_at_us;
	int64_t active_at_us;
};

struct http_listener {
	GSocketService *service;
	char *address;
	int64_t max_connections;
	int64_t idle_timeout_us;
	int32_t send_buffer_bytes;
	void (*accept)(void *data, GSocketConnection *connection,
		       GSocketAddress *local, GSocketAddress *remote);
	void *data;
	GHashTable *connections; /* struct connection, as a set */
	GHashTable *refused;	 /* GSocketConnection, as a set */
	guint sweep_source;
};

static void connection_free(gpointer data)
{
	struct connection *connection = data;

	if (connection->listener)
		g_hash_table_remove(connection->listener->connections,
				    connection);
	g_object_set_data(G_OBJECT(connection->remote), CONNECTION_KEY, NULL);
	g_object_unref(connection->remote);
	g_free(connection);
}

static GSocketAddress *address_copy(GSocketAddress *address)
{
	GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS(address);

	return g_inet_socket_address_new(
		g_inet_socket_address_get_address(inet),
		g_inet_socket_address_get_port(inet));
}

static void listener_add(struct http_listener *listener, GSocket *socket,
			 GSocketAddress *remote)
{
	struct connection *connection = g_new0(struct connection, 1);

	connection->listener = listener;
	connection->socket = socket;
	connection->remote = g_object_ref(remote);
	g_object_set_data(G_OBJECT(remote), CONNECTION_KEY, connection);
	connection->accepted_at_us = g_get_monotonic_time();
	connection->active_at_us = connection->accepted_at_us;
	g_hash_table_add(listener->connections, connection);
	g_object_set_data_full(G_OBJECT(socket), CONNECTION_KEY, connection,
			       connection_free);
}

static void refused_drained(GObject *source, GAsyncResult *result,
			    gpointer data)
{
	GSocketConnection *connection = data;
	GHashTable *refused =
		g_object_get_data(G_OBJECT(connection), CONNECTION_KEY);

	g_input_stream_skip_finish(G_INPUT_STREAM(source), result, NULL);
	if (refused)
		g_hash_table_remove(refused, connection);
	g_object_unref(connection);
}

/*
 * Answers by a refusal. The socket is read once before it is closed, because
 * closing it with unread bytes resets the connection and the caller would see
 * the reset instead of the answer. Above REFUSED_MAX, closes without an answer.
 */
static void listener_refuse(struct http_listener *listener,
			    GSocketConnection *connection)
{
	GSocket *socket = g_socket_connection_get_socket(connection);
	char *raw;

	if (g_hash_table_size(listener->refused) >= REFUSED_MAX)
		return;
	raw = http_problem_format_response(&http_problem_too_many_connections);
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_timeout(socket, REFUSED_TIMEOUT_S);
	g_socket_send(socket, raw, strlen(raw), NULL, NULL);
	g_socket_shutdown(socket, FALSE, TRUE, NULL);
	g_free(raw);
	g_hash_table_add(listener->refused, connection);
	g_object_set_data(G_OBJECT(connection), CONNECTION_KEY,
			  listener->refused);
	g_input_stream_skip_async(
		g_io_stream_get_input_stream(G_IO_STREAM(connection)),
		REFUSED_DRAIN_BYTES, G_PRIORITY_DEFAULT, NULL, refused_drained,
		g_object_ref(connection));
}

static void listener_adopt(struct http_listener *listener,
			   GSocketConnection *connection)
{
	GSocket *socket = g_socket_connection_get_socket(connection);
	GSocketAddress *local = g_socket_get_local_address(socket, NULL);
	GSocketAddress *peer = g_socket_get_remote_address(socket, NULL);
	GSocketAddress *remote;

	/* A connection that is already closed has no addresses. */
	if (local && peer) {
		remote = address_copy(peer);
		listener_add(listener, socket, remote);
		listener->accept(listener->data, connection, local, remote);
		g_object_unref(remote);
	}
	g_clear_object(&local);
	g_clear_object(&peer);
}

/*
 * Without these options a caller whose link stalls without closing, or that
 * stops reading, would hold its connection and its generation's memory for
 * ever. The kernel closes the connection if the caller acknowledges no sent
 * data within UNACKNOWLEDGED_CLOSE_MS, or if a waiting caller answers no
 * keepalive probe. A slow reader acknowledges some data and keeps its
 * connection.
 */
static void listener_set_options(const struct http_listener *listener,
				 GSocket *socket)
{
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
			    UNACKNOWLEDGED_CLOSE_MS, NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S,
			    NULL);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL,
			    KEEPALIVE_INTERVAL_S, NULL);
	g_socket_set_keepalive(socket, TRUE);
	if (listener->send_buffer_bytes > 0)
		g_socket_set_option(socket, SOL_SOCKET, SO_SNDBUF,
				    listener->send_buffer_bytes, NULL);
}

static gboolean listener_incoming(GSocketService *service,
				  GSocketConnection *connection,
				  GObject *source, gpointer data)
{
	struct http_listener *listener = data;
	GSocket *socket = g_socket_connection_get_socket(connection);

	(void)service;
	(void)source;
	if (g_hash_table_size(listener->connections) >=
	    listener->max_connections) {
		listener_refuse(listener, connection);
		return TRUE;
	}
	listener_set_options(listener, socket);
	listener_adopt(listener, connection);
	return TRUE;
}

static bool connection_is_idle(const struct connection *connection,
			       int64_t idle_us, int64_t now_us)
{
	if (connection->call_count > 0)
		return false;
	return now_us - connection->active_at_us > idle_us ||
	       now_us - connection->accepted_at_us >
		       idle_us * ARRIVAL_TIMEOUT_FACTOR;
}

/*
 * Closes connections without a call that had no traffic for the idle timeout,
 * or whose request takes too long to arrive. Otherwise a caller that opens
 * connections and sends nothing, or a request byte by byte, could occupy all
 * connections for ever.
 */
static gboolean listener_sweep(gpointer data)
{
	struct http_listener *listener = data;
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, listener->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct connection *connection = key;

		if (connection_is_idle(connection, listener->idle_timeout_us,
				       now_us))
			g_socket_shutdown(connection->socket, TRUE, TRUE, NULL);
	}
	return G_SOURCE_CONTINUE;
}

static GSocketAddress *address_parse(const char *address, struct error *error)
{
	const char *colon = strrchr(address, ':');
	GSocketAddress *parsed = NULL;
	guint64 port = 0;
	char *host;

	if (colon && g_ascii_string_to_unsigned(colon + 1, 10, 0, G_MAXUINT16,
						&port, NULL)) {
		host = g_strndup(address, (gsize)(colon - address));
		parsed = g_inet_socket_address_new_from_string(host,
							       (guint)port);
		g_free(host);
	}
	if (!parsed)
		error_set(error, ERROR_INVALID, "http.listen", address,
			  "expected an IP address and a port");
	return parsed;
}

static char *address_format(GSocketAddress *address)
{
	GInetSocketAddress *inet = G_INET_SOCKET_ADDRESS(address);
	char *host = g_inet_address_to_string(
		g_inet_socket_address_get_address(inet));
	char *text = g_strdup_printf("%s:%u", host,
				     g_inet_socket_address_get_port(inet));

	g_free(host);
	return text;
}

static bool listener_bind(struct http_listener *listener, const char *address,
			  struct error *error)
{
	GSocketAddress *requested = address_parse(address, error);
	GSocketAddress *effective = NULL;
	GError *problem = NULL;

	if (!requested)
		return false;
	g_socket_listener_set_backlog(G_SOCKET_LISTENER(listener->service),
				      LISTEN_BACKLOG);
	if (!g_socket_listener_add_address(G_SOCKET_LISTENER(listener->service),
					   requested, G_SOCKET_TYPE_STREAM,
					   G_SOCKET_PROTOCOL_TCP, NULL,
					   &effective, &problem)) {
		error_set(error, ERROR_INTERNAL, "http.listen", address, "%s",
			  problem->message);
		g_error_free(problem);
		g_object_unref(requested);
		return false;
	}
	listener->address = address_format(effective);
	g_object_unref(effective);
	g_object_unref(requested);
	return true;
}

/* Starts to listen. Returns NULL and sets error if the bind fails. */
struct http_listener *
http_listener_create(const struct http_listener_options *options,
		     struct error *error)
{
	struct http_listener *listener = g_new0(struct http_listener, 1);

	listener->service = g_socket_service_new();
	listener->max_connections = options->max_connections;
	listener->idle_timeout_us = options->idle_timeout_ms * US_PER_MS;
	listener->send_buffer_bytes = options->send_buffer_bytes;
	listener->accept = options->accept;
	listener->data = options->data;
	listener->connections = g_hash_table_new(NULL, NULL);
	listener->refused = g_hash_table_new(NULL, NULL);
	if (!listener_bind(listener, options->address, error)) {
		http_listener_destroy(listener);
		return NULL;
	}
	g_signal_connect(listener->service, "incoming",
			 G_CALLBACK(listener_incoming), listener);
	listener->sweep_source = g_timeout_add(
		(guint)(options->idle_timeout_ms / SWEEPS_PER_IDLE_TIMEOUT),
		listener_sweep, listener);
	g_socket_service_start(listener->service);
	return listener;
}

static void listener_detach_connections(struct http_listener *listener)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, listener->connections);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		((struct connection *)key)->listener = NULL;
	g_hash_table_iter_init(&iter, listener->refused);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		g_object_set_data(key, CONNECTION_KEY, NULL);
	g_hash_table_unref(listener->connections);
	g_hash_table_unref(listener->refused);
}

/* Stops listening; open connections stay with their owner. NULL is allowed. */
void http_listener_destroy(struct http_listener *listener)
{
	if (!listener)
		return;
	if (listener->sweep_source)
		g_source_remove(listener->sweep_source);
	g_signal_handlers_disconnect_by_data(listener->service, listener);
	g_socket_service_stop(listener->service);
	g_socket_listener_close(G_SOCKET_LISTENER(listener->service));
	g_object_unref(listener->service);
	listener_detach_connections(listener);
	g_free(listener->address);
	g_free(listener);
}

/* Returns host:port with the actual port; owned by the listener. */
const char *http_listener_address(const struct http_listener *listener)
{
	return listener->address;
}

static struct connection *connection_of(SoupServerMessage *message)
{
	GSocketAddress *remote =
		soup_server_message_get_remote_address(message);

	return remote ? g_object_get_data(G_OBJECT(remote), CONNECTION_KEY)
		      : NULL;
}

static void connection_record_activity(SoupServerMessage *message,
				       int32_t calls)
{
	struct connection *connection = connection_of(message);

	if (!connection)
		return;
	connection->call_count += calls;
	connection->active_at_us = g_get_monotonic_time();
}

/* Records the start of a call: its connection does not count as idle. */
void http_listener_begin_call(SoupServerMessage *message)
{
	connection_record_activity(message, 1);
}

/* Records the arrival of bytes, which restarts the idle timeout. */
void http_listener_record_bytes(SoupServerMessage *message)
{
	connection_record_activity(message, 0);
}

/* Records the end of a call; the idle timeout starts. */
void http_listener_end_call(SoupServerMessage *message)
{
	connection_record_activity(message, -1);
}

/* Returns the socket of a message, not referenced; NULL if it is closed. */
GSocket *http_listener_socket(SoupServerMessage *message)
{
	struct connection *connection = connection_of(message);

	return connection ? connection->socket : NULL;
}
