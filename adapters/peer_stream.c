#include "adapters/peer_stream.h"

#include <string.h>
#include <zmq.h>

#define STEP_SEND "peer.send"
#define STEP_RECEIVE "peer.receive"
#define STEP_BIND "peer.bind"
#define MAX_CONNECTIONS 1024
#define MAX_SOCKETS 4096 /* also counts closed ones not yet freed */
#define MAX_RECORDS_PER_DISPATCH 64
#define MAX_SEND_QUEUE 1024
#define MAX_RECEIVE_QUEUE 4096
#define CONNECTION_IDLE_US (30 * G_USEC_PER_SEC)
#define SWEEP_INTERVAL_S 15
#define MAX_ADDRESS_BYTES 128

/* The DEALER socket that sends to one peer. */
struct connection {
	void *socket;
	int64_t used_us;
	bool full; /* the last record was dropped */
};

struct peer_stream {
	struct peer_stream_options options;
	void *context;
	void *router;
	GHashTable *connections; /* address to struct connection */
	GSource *source;
	GSource *sweep_timer;
	char address[MAX_ADDRESS_BYTES];
};

struct router_source {
	GSource source;
	struct peer_stream *stream;
};

static void connection_destroy(gpointer data)
{
	struct connection *connection = data;

	zmq_close(connection->socket);
	g_free(connection);
}

static void socket_set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

/*
 * A connection that stalls without closing would lose records for as long as
 * TCP retransmits. Heartbeats detect this, and ZeroMQ closes the connection and
 * opens it again. Their interval is long because they cost bytes on every
 * connection, and membership detects a silent peer earlier.
 */
static void socket_set_common(void *socket)
{
	socket_set_int(socket, ZMQ_LINGER, 0);
	socket_set_int(socket, ZMQ_HEARTBEAT_IVL, 15000);
	socket_set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, 10000);
	socket_set_int(socket, ZMQ_RECONNECT_IVL, 100);
	socket_set_int(socket, ZMQ_RECONNECT_IVL_MAX, 2000);
	socket_set_int(socket, ZMQ_IPV6, 1);
}

/* Reads and discards the frames after the second one; no node sends any. */
static void peer_stream_skip_frames(struct peer_stream *stream,
				    zmq_msg_t *frame)
{
	while (zmq_msg_more(frame)) {
		zmq_msg_close(frame);
		zmq_msg_init(frame);
		if (zmq_msg_recv(frame, stream->router, ZMQ_DONTWAIT) < 0)
			return;
	}
}

/*
 * Receives one message: the sender's identity, then the record. Returns false
 * if no message waits.
 */
static bool peer_stream_receive(struct peer_stream *stream)
{
	struct error error;
	zmq_msg_t frame;
	bool identity_only;

	zmq_msg_init(&frame);
	if (zmq_msg_recv(&frame, stream->router, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&frame);
		return zmq_errno() == EINTR;
	}
	identity_only = !zmq_msg_more(&frame) ||
			zmq_msg_recv(&frame, stream->router, ZMQ_DONTWAIT) < 0;
	if (identity_only || zmq_msg_more(&frame)) {
		error_set(&error, ERROR_INVALID, STEP_RECEIVE,
			  zmq_msg_gets(&frame, "Peer-Address"),
			  "record is not a single frame");
		stream->options.reject(stream->options.data, &error);
		peer_stream_skip_frames(stream, &frame);
	} else {
		stream->options.receive(stream->options.data,
					zmq_msg_gets(&frame, "Peer-Address"),
					zmq_msg_data(&frame),
					zmq_msg_size(&frame));
	}
	zmq_msg_close(&frame);
	return true;
}

static bool peer_stream_is_readable(const struct peer_stream *stream)
{
	int events = 0;
	size_t size = sizeof(events);

	zmq_getsockopt(stream->router, ZMQ_EVENTS, &events, &size);
	return events & ZMQ_POLLIN;
}

static gboolean router_source_prepare(GSource *source, int *timeout)
{
	*timeout = -1;
	return peer_stream_is_readable(
		((struct router_source *)source)->stream);
}

static gboolean router_source_check(GSource *source)
{
	return peer_stream_is_readable(
		((struct router_source *)source)->stream);
}

/* Receives a bounded number of records: a busy peer must not block the loop. */
static gboolean router_source_dispatch(GSource *source, GSourceFunc callback,
				       gpointer data)
{
	struct peer_stream *stream = ((struct router_source *)source)->stream;

	(void)callback;
	(void)data;
	for (int i = 0; i < MAX_RECORDS_PER_DISPATCH; i++) {
		if (!peer_stream_receive(stream))
			break;
	}
	return G_SOURCE_CONTINUE;
}

/*
 * ZMQ_FD is edge-triggered: it becomes readable only when the state of the
 * ZeroMQ socket changes, and any call on the socket may consume the edge. A
 * loop that polled the descriptor alone would leave records unread until the
 * next one arrives. The state of the socket is therefore read before and after
 * each poll, and the descriptor only wakes the loop.
 */
static GSourceFuncs router_source_funcs = {
	.prepare = router_source_prepare,
	.check = router_source_check,
	.dispatch = router_source_dispatch,
};

static gboolean peer_stream_close_idle(gpointer data)
{
	struct peer_stream *stream = data;
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, stream->connections);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_us - ((struct connection *)value)->used_us >
		    CONNECTION_IDLE_US)
			g_hash_table_iter_remove(&iter);
	}
	return G_SOURCE_CONTINUE;
}

static void peer_stream_attach(struct peer_stream *stream)
{
	int fd = -1;
	size_t size = sizeof(fd);

	zmq_getsockopt(stream->router, ZMQ_FD, &fd, &size);
	stream->source = g_source_new(&router_source_funcs,
				      sizeof(struct router_source));
	((struct router_source *)stream->source)->stream = stream;
	g_source_add_unix_fd(stream->source, fd, G_IO_IN);
	g_source_attach(stream->source, g_main_context_get_thread_default());

	stream->sweep_timer = g_timeout_source_new_seconds(SWEEP_INTERVAL_S);
	g_source_set_callback(stream->sweep_timer, peer_stream_close_idle,
			      stream, NULL);
	g_source_attach(stream->sweep_timer,
			g_main_context_get_thread_default());
}

/* Binds to host:port. Port 0 becomes "*", by which ZeroMQ binds a free port. */
static bool peer_stream_bind(struct peer_stream *stream, struct error *error)
{
	const char *address = stream->options.address;
	char endpoint[MAX_ADDRESS_BYTES + 8];
	size_t size = sizeof(endpoint);

	if (g_str_has_suffix(address, ":0"))
		g_snprintf(endpoint, sizeof(endpoint), "tcp://%.*s*",
			   (int)strlen(address) - 1, address);
	else
		g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_bind(stream->router, endpoint) != 0) {
		error_set(error, ERROR_UNREACHABLE, STEP_BIND, address, "%s",
			  zmq_strerror(zmq_errno()));
		return false;
	}
	zmq_getsockopt(stream->router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	/* ZeroMQ may show an IPv4 address as an IPv6 one; the port is real. */
	g_snprintf(stream->address, sizeof(stream->address), "%.*s%s",
		   (int)(strrchr(address, ':') - address), address,
		   strrchr(endpoint, ':'));
	return true;
}

/*
 * Opens the stream and attaches it to the thread's default main context. The
 * log and the counters of the options must outlive it. Returns NULL and sets
 * error if the address cannot be bound.
 */
struct peer_stream *
peer_stream_create(const struct peer_stream_options *options,
		   struct error *error)
{
	struct peer_stream *stream = g_new0(struct peer_stream, 1);
	int64_t max_message_bytes = options->max_record_bytes * 2 + 65536;

	stream->options = *options;
	stream->connections = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, connection_destroy);
	stream->context = zmq_ctx_new();
	zmq_ctx_set(stream->context, ZMQ_MAX_SOCKETS, MAX_SOCKETS);
	stream->router = zmq_socket(stream->context, ZMQ_ROUTER);
	socket_set_common(stream->router);
	socket_set_int(stream->router, ZMQ_RCVHWM, MAX_RECEIVE_QUEUE);
	/*
	 * A record that exceeds the size limit is read, counted and logged.
	 * For one that exceeds this second limit, ZeroMQ closes the connection
	 * without reading the record.
	 */
	zmq_setsockopt(stream->router, ZMQ_MAXMSGSIZE, &max_message_bytes,
		       sizeof(max_message_bytes));
	if (!peer_stream_bind(stream, error)) {
		peer_stream_destroy(stream);
		return NULL;
	}
	peer_stream_attach(stream);
	return stream;
}

static void source_clear(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

/* Closes and frees the stream; unsent records are dropped. NULL is allowed. */
void peer_stream_destroy(struct peer_stream *stream)
{
	if (!stream)
		return;
	source_clear(&stream->source);
	source_clear(&stream->sweep_timer);
	g_hash_table_unref(stream->connections);
	zmq_close(stream->router);
	zmq_ctx_term(stream->context);
	g_free(stream);
}

/* Returns the bound address, with the actual port if port 0 was given. */
const char *peer_stream_address(const struct peer_stream *stream)
{
	return stream->address;
}

static void peer_stream_evict(struct peer_stream *stream)
{
	const char *oldest = NULL;
	int64_t used_us = INT64_MAX;
	GHashTableIter iter;
	gpointer key, value;

	if (g_hash_table_size(stream->connections) < MAX_CONNECTIONS)
		return;
	g_hash_table_iter_init(&iter, stream->connections);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct connection *connection = value;

		if (connection->used_us < used_us) {
			used_us = connection->used_us;
			oldest = key;
		}
	}
	g_hash_table_remove(stream->connections, oldest);
}

static struct connection *peer_stream_connect(struct peer_stream *stream,
					      const char *address,
					      struct error *error)
{
	struct connection *connection =
		g_hash_table_lookup(stream->connections, address);
	char endpoint[MAX_ADDRESS_BYTES + 8];

	if (connection)
		return connection;
	peer_stream_evict(stream);
	connection = g_new0(struct connection, 1);
	connection->socket = zmq_socket(stream->context, ZMQ_DEALER);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (!connection->socket) {
		error_set(error, ERROR_INTERNAL, STEP_SEND, address, "%s",
			  zmq_strerror(zmq_errno()));
		g_free(connection);
		return NULL;
	}
	socket_set_common(connection->socket);
	socket_set_int(connection->socket, ZMQ_SNDHWM, MAX_SEND_QUEUE);
	/* Never read: what a peer sends here occupies one slot at most. */
	socket_set_int(connection->socket, ZMQ_RCVHWM, 1);
	if (zmq_connect(connection->socket, endpoint) != 0) {
		error_set(error, ERROR_INVALID, STEP_SEND, address, "%s",
			  zmq_strerror(zmq_errno()));
		connection_destroy(connection);
		return NULL;
	}
	g_hash_table_insert(stream->connections, g_strdup(address), connection);
	counters_add(stream->options.counters, COUNTER_PEER_CONNECTIONS, 1);
	return connection;
}

/*
 * Sends a record, or drops it if the connection to the address is full; the
 * first one dropped is logged.
 */
void peer_stream_send(struct peer_stream *stream, const char *address,
		      GBytes *record)
{
	struct error error;
	struct connection *connection =
		peer_stream_connect(stream, address, &error);
	gsize size;
	const void *data;

	if (!connection) {
		log_write_error(stream->options.log, LOG_LEVEL_WARN,
				"peer_unsent", &error);
		return;
	}
	connection->used_us = g_get_monotonic_time();
	data = g_bytes_get_data(record, &size);
	if (zmq_send(connection->socket, data, size, ZMQ_DONTWAIT) >= 0) {
		counters_add(stream->options.counters, COUNTER_PEER_BYTES_SENT,
			     size);
		connection->full = false;
	} else if (!connection->full) {
		error_set(&error, ERROR_UNREACHABLE, STEP_SEND, address, "%s",
			  zmq_strerror(zmq_errno()));
		log_write_error(stream->options.log, LOG_LEVEL_WARN,
				"peer_unsent", &error);
		connection->full = true;
	}
}
