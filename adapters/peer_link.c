#include "adapters/peer_link.h"

#include "codec/peer_codec.h"

#include <string.h>
#include <zmq.h>

#define STEP_SEND "peer.send"
#define STEP_RECEIVE "peer.receive"
#define STEP_BIND "peer.bind"
#define MAX_OUTLETS 256
#define MAX_RECORDS_AT_ONCE 64
#define MAX_SEND_QUEUE 1024
#define MAX_RECEIVE_QUEUE 4096
#define IDLE_US (120 * G_USEC_PER_SEC)
#define SWEEP_S 15
#define LOG_INTERVAL_US G_USEC_PER_SEC
#define MAX_ADDRESS_BYTES 128

/* The DEALER towards one peer. */
struct outlet {
	void *socket;
	int64_t used_us;
	bool full; /* the last record was dropped */
};

struct peer_link {
	struct peer_link_options options;
	struct event_sink sink;
	void *context;
	void *router;
	GHashTable *outlets; /* address to struct outlet */
	GSource *source;
	GSource *sweep;
	char address[MAX_ADDRESS_BYTES];
	int64_t logged_us;
	int64_t suppressed; /* rejections not logged since */
};

struct router_source {
	GSource source;
	struct peer_link *link;
};

static void outlet_destroy(gpointer data)
{
	struct outlet *outlet = data;

	zmq_close(outlet->socket);
	g_free(outlet);
}

static void socket_set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

/*
 * A link that stalls without closing would swallow records for as long as TCP
 * retries. Heartbeats close it, and it is opened again. Their interval is
 * long because they cost bytes on every connection; membership has noticed
 * the silent peer by then.
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

/* A flood of bad records must not become a flood of lines. */
static void peer_link_reject(struct peer_link *link, const struct error *error)
{
	int64_t now_us = g_get_monotonic_time();
	char suppressed[24];

	counters_add(link->options.counters, COUNTER_PEER_REJECTED, 1);
	if (link->logged_us && now_us - link->logged_us < LOG_INTERVAL_US) {
		link->suppressed++;
		return;
	}
	g_snprintf(suppressed, sizeof(suppressed), "%" G_GINT64_FORMAT,
		   link->suppressed);
	log_write(link->options.log, LOG_LEVEL_WARN, "peer_rejected", "error",
		  error_code_name(error->code), "step", error->step, "peer",
		  error->peer, "detail", error->detail, "suppressed",
		  suppressed, NULL);
	link->logged_us = now_us;
	link->suppressed = 0;
}

static void peer_link_take(struct peer_link *link, zmq_msg_t *frame)
{
	const char *peer = zmq_msg_gets(frame, "Peer-Address");
	struct event event = {.type = EVENT_PEER};
	struct peer_message *message = NULL;
	struct error error;
	GBytes *record;

	if ((int64_t)zmq_msg_size(frame) > link->options.max_record_bytes) {
		error_set(&error, ERROR_TOO_LARGE, STEP_RECEIVE, peer,
			  "record of %zu bytes", zmq_msg_size(frame));
		peer_link_reject(link, &error);
		return;
	}
	record = g_bytes_new(zmq_msg_data(frame), zmq_msg_size(frame));
	message = peer_codec_decode(record, &error);
	g_bytes_unref(record);
	if (!message) {
		if (!*error.peer)
			g_strlcpy(error.peer, peer ? peer : "",
				  sizeof(error.peer));
		peer_link_reject(link, &error);
		return;
	}
	event.peer = message;
	link->sink.deliver(link->sink.data, &event);
	peer_message_destroy(message);
}

/* Reads the frames after the second one, which no node sends, and drops them.
 */
static void peer_link_skip_frames(struct peer_link *link, zmq_msg_t *frame)
{
	while (zmq_msg_more(frame)) {
		zmq_msg_close(frame);
		zmq_msg_init(frame);
		if (zmq_msg_recv(frame, link->router, ZMQ_DONTWAIT) < 0)
			return;
	}
}

/* One record: the sender's identity, then the record. False: none waits. */
static bool peer_link_receive(struct peer_link *link)
{
	struct error error;
	zmq_msg_t frame;
	bool identity_only;

	zmq_msg_init(&frame);
	if (zmq_msg_recv(&frame, link->router, ZMQ_DONTWAIT) < 0) {
		zmq_msg_close(&frame);
		return zmq_errno() == EINTR;
	}
	identity_only = !zmq_msg_more(&frame) ||
			zmq_msg_recv(&frame, link->router, ZMQ_DONTWAIT) < 0;
	if (identity_only || zmq_msg_more(&frame)) {
		error_set(&error, ERROR_INVALID, STEP_RECEIVE,
			  zmq_msg_gets(&frame, "Peer-Address"),
			  "not one frame");
		peer_link_reject(link, &error);
		peer_link_skip_frames(link, &frame);
	} else {
		peer_link_take(link, &frame);
	}
	zmq_msg_close(&frame);
	return true;
}

static bool peer_link_is_readable(const struct peer_link *link)
{
	int events = 0;
	size_t size = sizeof(events);

	zmq_getsockopt(link->router, ZMQ_EVENTS, &events, &size);
	return events & ZMQ_POLLIN;
}

static gboolean router_source_prepare(GSource *source, int *timeout)
{
	*timeout = -1;
	return peer_link_is_readable(((struct router_source *)source)->link);
}

static gboolean router_source_check(GSource *source)
{
	return peer_link_is_readable(((struct router_source *)source)->link);
}

/* A bounded number of records, so that a busy peer cannot keep the loop. */
static gboolean router_source_dispatch(GSource *source, GSourceFunc callback,
				       gpointer data)
{
	struct peer_link *link = ((struct router_source *)source)->link;

	(void)callback;
	(void)data;
	for (int i = 0; i < MAX_RECORDS_AT_ONCE; i++) {
		if (!peer_link_receive(link))
			break;
	}
	return G_SOURCE_CONTINUE;
}

/*
 * ZMQ_FD becomes readable only at the moment ZeroMQ's state changes, and any
 * call on the socket may eat that edge. A loop that trusted it alone would
 * leave records unread until the next one comes. So the socket's own state is
 * asked before and after each poll, and the descriptor only wakes the loop.
 */
static GSourceFuncs router_source_funcs = {
	.prepare = router_source_prepare,
	.check = router_source_check,
	.dispatch = router_source_dispatch,
};

static gboolean peer_link_sweep(gpointer data)
{
	struct peer_link *link = data;
	int64_t now_us = g_get_monotonic_time();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, link->outlets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_us - ((struct outlet *)value)->used_us > IDLE_US)
			g_hash_table_iter_remove(&iter);
	}
	return G_SOURCE_CONTINUE;
}

static void peer_link_attach(struct peer_link *link)
{
	int fd = -1;
	size_t size = sizeof(fd);

	zmq_getsockopt(link->router, ZMQ_FD, &fd, &size);
	link->source = g_source_new(&router_source_funcs,
				    sizeof(struct router_source));
	((struct router_source *)link->source)->link = link;
	g_source_add_unix_fd(link->source, fd, G_IO_IN);
	g_source_attach(link->source, g_main_context_get_thread_default());

	link->sweep = g_timeout_source_new_seconds(SWEEP_S);
	g_source_set_callback(link->sweep, peer_link_sweep, link, NULL);
	g_source_attach(link->sweep, g_main_context_get_thread_default());
}

/* Binds to host:port; ZeroMQ calls a free port "*". */
static bool peer_link_bind(struct peer_link *link, struct error *error)
{
	const char *address = link->options.address;
	char endpoint[MAX_ADDRESS_BYTES + 8];
	size_t size = sizeof(endpoint);

	if (g_str_has_suffix(address, ":0"))
		g_snprintf(endpoint, sizeof(endpoint), "tcp://%.*s*",
			   (int)strlen(address) - 1, address);
	else
		g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (zmq_bind(link->router, endpoint) != 0) {
		error_set(error, ERROR_UNREACHABLE, STEP_BIND, address, "%s",
			  zmq_strerror(zmq_errno()));
		return false;
	}
	zmq_getsockopt(link->router, ZMQ_LAST_ENDPOINT, endpoint, &size);
	g_strlcpy(link->address, endpoint + strlen("tcp://"),
		  sizeof(link->address));
	return true;
}

/*
 * Opens the link and attaches it to the thread's default main context. The
 * options' log and counters must outlive it. Returns NULL and an error where
 * the address cannot be bound.
 */
struct peer_link *peer_link_create(const struct peer_link_options *options,
				   const struct event_sink *sink,
				   struct error *error)
{
	struct peer_link *link = g_new0(struct peer_link, 1);
	int64_t hard_limit = options->max_record_bytes * 2 + 65536;

	link->options = *options;
	link->sink = *sink;
	link->outlets = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      outlet_destroy);
	link->context = zmq_ctx_new();
	link->router = zmq_socket(link->context, ZMQ_ROUTER);
	socket_set_common(link->router);
	socket_set_int(link->router, ZMQ_RCVHWM, MAX_RECEIVE_QUEUE);
	/*
	 * A record over the limit is read, counted and named; one far over it
	 * is not read at all, and ZeroMQ closes the connection.
	 */
	zmq_setsockopt(link->router, ZMQ_MAXMSGSIZE, &hard_limit,
		       sizeof(hard_limit));
	if (!peer_link_bind(link, error)) {
		peer_link_destroy(link);
		return NULL;
	}
	peer_link_attach(link);
	return link;
}

static void source_clear(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_source_unref(*source);
	*source = NULL;
}

/* Closes the link; records not yet sent are dropped. NULL is allowed. */
void peer_link_destroy(struct peer_link *link)
{
	if (!link)
		return;
	source_clear(&link->source);
	source_clear(&link->sweep);
	g_hash_table_unref(link->outlets);
	zmq_close(link->router);
	zmq_ctx_term(link->context);
	g_free(link);
}

/* The address bound, with the port that was free where 0 was asked for. */
const char *peer_link_address(const struct peer_link *link)
{
	return link->address;
}

static void peer_link_evict(struct peer_link *link)
{
	const char *oldest = NULL;
	int64_t used_us = INT64_MAX;
	GHashTableIter iter;
	gpointer key, value;

	if (g_hash_table_size(link->outlets) < MAX_OUTLETS)
		return;
	g_hash_table_iter_init(&iter, link->outlets);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct outlet *outlet = value;

		if (outlet->used_us < used_us) {
			used_us = outlet->used_us;
			oldest = key;
		}
	}
	g_hash_table_remove(link->outlets, oldest);
}

static struct outlet *peer_link_open(struct peer_link *link,
				     const char *address, struct error *error)
{
	struct outlet *outlet = g_hash_table_lookup(link->outlets, address);
	char endpoint[MAX_ADDRESS_BYTES + 8];

	if (outlet)
		return outlet;
	peer_link_evict(link);
	outlet = g_new0(struct outlet, 1);
	outlet->socket = zmq_socket(link->context, ZMQ_DEALER);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
	if (!outlet->socket) {
		error_set(error, ERROR_INTERNAL, STEP_SEND, address, "%s",
			  zmq_strerror(zmq_errno()));
		g_free(outlet);
		return NULL;
	}
	socket_set_common(outlet->socket);
	socket_set_int(outlet->socket, ZMQ_SNDHWM, MAX_SEND_QUEUE);
	/* Nothing is ever read here; a peer that sends fills one slot. */
	socket_set_int(outlet->socket, ZMQ_RCVHWM, 1);
	if (zmq_connect(outlet->socket, endpoint) != 0) {
		error_set(error, ERROR_INVALID, STEP_SEND, address, "%s",
			  zmq_strerror(zmq_errno()));
		outlet_destroy(outlet);
		return NULL;
	}
	g_hash_table_insert(link->outlets, g_strdup(address), outlet);
	return outlet;
}

static void peer_link_send_record(struct peer_link *link, const char *address,
				  GBytes *record)
{
	struct error error;
	struct outlet *outlet = peer_link_open(link, address, &error);
	gsize size;
	const void *data;

	if (!outlet) {
		log_write_error(link->options.log, LOG_LEVEL_WARN,
				"peer_unsent", &error);
		return;
	}
	outlet->used_us = g_get_monotonic_time();
	data = g_bytes_get_data(record, &size);
	if (zmq_send(outlet->socket, data, size, ZMQ_DONTWAIT) >= 0) {
		counters_add(link->options.counters, COUNTER_PEER_BYTES_SENT,
			     size);
		outlet->full = false;
	} else if (!outlet->full) {
		error_set(&error, ERROR_UNREACHABLE, STEP_SEND, address, "%s",
			  zmq_strerror(zmq_errno()));
		log_write_error(link->options.log, LOG_LEVEL_WARN,
				"peer_unsent", &error);
		outlet->full = true;
	}
}

/*
 * Sends one message to each of the addresses, char *. It is written once: with
 * 87 peers writing it for each was half of what telling them cost.
 */
void peer_link_send(struct peer_link *link, const GPtrArray *addresses,
		    const struct peer_message *message)
{
	GBytes *record = peer_codec_encode(message);

	for (guint i = 0; i < addresses->len; i++)
		peer_link_send_record(link, g_ptr_array_index(addresses, i),
				      record);
	g_bytes_unref(record);
}

/* Carries ACTION_PEER_SEND out; other actions are not its own. */
void peer_link_apply(struct peer_link *link, const struct action *action)
{
	GBytes *record;

	if (action->type != ACTION_PEER_SEND)
		return;
	record = peer_codec_encode(action->peer_send.message);
	peer_link_send_record(link, action->peer_send.peer_address, record);
	g_bytes_unref(record);
}
