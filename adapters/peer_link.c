#include "adapters/peer_link.h"

#include "adapters/datagram_socket.h"
#include "adapters/peer_stream.h"
#include "codec/peer_codec.h"
#include "core/datagram/datagram_link.h"

#define STEP_RECEIVE "peer.receive"
#define LOG_INTERVAL_US G_USEC_PER_SEC
#define SWEEP_INTERVAL_S 15

/* How a record travels. Streams keep the order of the records to a peer. */
enum delivery {
	DELIVERY_STREAM,
	DELIVERY_PACKET, /* repeated by its sender, so one may be lost */
	DELIVERY_CONFIRMED_PACKET /* sent again until it is confirmed */
};

static const enum delivery deliveries[PEER_MESSAGE_TYPE_COUNT] = {
	[PEER_PING] = DELIVERY_PACKET,
	[PEER_ACK] = DELIVERY_PACKET,
	[PEER_PROBE] = DELIVERY_PACKET,
	[PEER_STANDING] = DELIVERY_PACKET,
	[PEER_CONFIG_REQUEST] = DELIVERY_CONFIRMED_PACKET,
	[PEER_FAILURE_NOTICE] = DELIVERY_CONFIRMED_PACKET,
	[PEER_CHOOSE] = DELIVERY_CONFIRMED_PACKET,
	[PEER_CHOSEN] = DELIVERY_CONFIRMED_PACKET,
	[PEER_AWAIT] = DELIVERY_CONFIRMED_PACKET,
	[PEER_WAITING] = DELIVERY_CONFIRMED_PACKET,
	[PEER_UNAVAILABLE] = DELIVERY_CONFIRMED_PACKET,
	[PEER_WITHDRAW] = DELIVERY_CONFIRMED_PACKET,
	[PEER_ROUTES_REQUEST] = DELIVERY_CONFIRMED_PACKET,
	[PEER_CORDONS] = DELIVERY_CONFIRMED_PACKET,
	[PEER_ENDPOINT_LIMITS] = DELIVERY_PACKET,
	[PEER_ENDPOINT_SPEEDS] = DELIVERY_PACKET,
	[PEER_LOSSES] = DELIVERY_PACKET,
	[PEER_REACH] = DELIVERY_PACKET,
	[PEER_ENDPOINT_FULL] = DELIVERY_CONFIRMED_PACKET,
	[PEER_ENDPOINT_LEAVING] = DELIVERY_CONFIRMED_PACKET,
};

struct peer_link {
	struct peer_link_options options;
	struct event_sink sink;
	struct peer_stream *stream;
	struct datagram_link *datagrams; /* NULL: streams only */
	struct datagram_socket *datagram_socket;
	GSource *resend_timer; /* ready when a packet has to be sent again */
	GSource *sweep_timer;
	int64_t logged_us;
	int64_t suppressed; /* rejections since the last one logged */
};

/* Counts a rejected record; the rate of log lines is limited. */
static void peer_link_reject(void *data, const struct error *error)
{
	struct peer_link *link = data;
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

/*
 * Decodes a record, or counts and logs it if it is invalid. The caller destroys
 * the result, which may be NULL.
 */
static struct peer_message *peer_link_decode(struct peer_link *link,
					     const char *peer, const void *data,
					     size_t size)
{
	struct peer_message *message;
	struct error error;
	GBytes *record;

	if ((int64_t)size > link->options.max_record_bytes) {
		error_set(&error, ERROR_TOO_LARGE, STEP_RECEIVE, peer,
			  "record of %zu bytes exceeds the size limit", size);
		peer_link_reject(link, &error);
		return NULL;
	}
	record = g_bytes_new(data, size);
	message = peer_codec_decode(record, &error);
	g_bytes_unref(record);
	if (!message) {
		if (!*error.peer)
			g_strlcpy(error.peer, peer ? peer : "",
				  sizeof(error.peer));
		peer_link_reject(link, &error);
	}
	return message;
}

static void peer_link_deliver(struct peer_link *link,
			      struct peer_message *message)
{
	const struct event event = {.type = EVENT_PEER, .peer = message};

	link->sink.deliver(link->sink.data, &event);
	peer_message_destroy(message);
}

static void peer_link_receive_stream(void *data, const char *peer,
				     const void *record, size_t record_bytes)
{
	struct peer_link *link = data;
	struct peer_message *message =
		peer_link_decode(link, peer, record, record_bytes);

	if (!message)
		return;
	if (link->datagrams && message->from_address)
		datagram_link_note_stream(link->datagrams,
					  message->from_address,
					  g_get_monotonic_time());
	peer_link_deliver(link, message);
}

static void peer_link_receive_datagram(void *data, const char *address,
				       const uint8_t *record,
				       size_t record_bytes)
{
	struct peer_link *link = data;
	struct peer_message *message =
		peer_link_decode(link, address, record, record_bytes);

	if (message)
		peer_link_deliver(link, message);
}

static void peer_link_receive_packet(void *data, const char *address,
				     const uint8_t *packet, size_t size)
{
	struct peer_link *link = data;

	datagram_link_receive(link->datagrams, address, packet, size,
			      g_get_monotonic_time());
}

static void peer_link_transmit(void *data, const char *address, GBytes *packet)
{
	datagram_socket_send(((struct peer_link *)data)->datagram_socket,
			     address, packet);
}

static void peer_link_hand_back(void *data, const char *address, GBytes *record)
{
	peer_stream_send(((struct peer_link *)data)->stream, address, record);
}

static void peer_link_schedule_resend(struct peer_link *link)
{
	int64_t due_us = datagram_link_due_us(link->datagrams);

	g_source_set_ready_time(link->resend_timer,
				due_us == INT64_MAX ? -1 : due_us);
}

static void peer_link_step_datagrams(struct peer_link *link)
{
	datagram_link_step(link->datagrams, g_get_monotonic_time());
	peer_link_schedule_resend(link);
}

static gboolean peer_link_sweep(gpointer data)
{
	peer_link_step_datagrams(data);
	return G_SOURCE_CONTINUE;
}

static gboolean resend_timer_dispatch(GSource *source, GSourceFunc callback,
				      gpointer data)
{
	(void)source;
	(void)callback;
	peer_link_step_datagrams(data);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs resend_timer_funcs = {.dispatch = resend_timer_dispatch};

/*
 * Binds the port of the link for packets too. A node where this fails uses
 * connections only, and so do other nodes towards it.
 */
static void peer_link_open_datagrams(struct peer_link *link)
{
	const struct datagram_socket_sink sink = {
		.data = link,
		.receive = peer_link_receive_packet,
	};
	const struct datagram_link_options options = {
		.session = link->options.session,
		.counters = link->options.counters,
		.data = link,
		.transmit = peer_link_transmit,
		.deliver = peer_link_receive_datagram,
		.hand_back = peer_link_hand_back,
	};
	struct error error;

	link->datagram_socket = datagram_socket_create(
		peer_stream_address(link->stream), &sink, &error);
	if (!link->datagram_socket) {
		log_write_error(link->options.log, LOG_LEVEL_WARN,
				"peer_without_datagrams", &error);
		return;
	}
	link->datagrams = datagram_link_create(&options);
	link->resend_timer = g_source_new(&resend_timer_funcs, sizeof(GSource));
	g_source_set_callback(link->resend_timer, NULL, link, NULL);
	g_source_attach(link->resend_timer,
			g_main_context_get_thread_default());
	link->sweep_timer = g_timeout_source_new_seconds(SWEEP_INTERVAL_S);
	g_source_set_callback(link->sweep_timer, peer_link_sweep, link, NULL);
	g_source_attach(link->sweep_timer, g_main_context_get_thread_default());
}

/*
 * Opens the link and attaches it to the thread's default main context. The log
 * and the counters of the options must outlive the link. Returns NULL and sets
 * error if the address cannot be bound.
 */
struct peer_link *peer_link_create(const struct peer_link_options *options,
				   const struct event_sink *sink,
				   struct error *error)
{
	struct peer_link *link = g_new0(struct peer_link, 1);
	const struct peer_stream_options stream_options = {
		.address = options->address,
		.max_record_bytes = options->max_record_bytes,
		.log = options->log,
		.counters = options->counters,
		.data = link,
		.receive = peer_link_receive_stream,
		.reject = peer_link_reject,
	};

	link->options = *options;
	link->sink = *sink;
	link->stream = peer_stream_create(&stream_options, error);
	if (!link->stream) {
		peer_link_destroy(link);
		return NULL;
	}
	if (options->transport == PEER_TRANSPORT_DATAGRAMS)
		peer_link_open_datagrams(link);
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

/* Closes and frees the link; unsent records are dropped. NULL is allowed. */
void peer_link_destroy(struct peer_link *link)
{
	if (!link)
		return;
	source_clear(&link->sweep_timer);
	source_clear(&link->resend_timer);
	datagram_socket_destroy(link->datagram_socket);
	datagram_link_destroy(link->datagrams);
	peer_stream_destroy(link->stream);
	g_free(link);
}

/* Returns the bound address, with the actual port if port 0 was given. */
const char *peer_link_address(const struct peer_link *link)
{
	return peer_stream_address(link->stream);
}

/* Updates of endpoints are sent once, unlike the rest of a standing. */
static enum delivery message_delivery(const struct peer_message *message)
{
	if (message->type == PEER_STANDING &&
	    message->standing.registrations->len > 0)
		return DELIVERY_CONFIRMED_PACKET;
	return deliveries[message->type];
}

static bool peer_link_send_packet(struct peer_link *link, const char *address,
				  enum delivery delivery, GBytes *record)
{
	bool sent;

	if (delivery == DELIVERY_STREAM || !link->datagrams)
		return false;
	sent = datagram_link_send(link->datagrams, address, record,
				  delivery == DELIVERY_CONFIRMED_PACKET,
				  g_get_monotonic_time());
	if (sent)
		counters_add(link->options.counters, COUNTER_PEER_BYTES_SENT,
			     (int64_t)g_bytes_get_size(record));
	return sent;
}

static void peer_link_send_record(struct peer_link *link, const char *address,
				  enum delivery delivery, GBytes *record)
{
	if (!peer_link_send_packet(link, address, delivery, record))
		peer_stream_send(link->stream, address, record);
}

/*
 * Sends one message to each of the addresses (char *). The message is encoded
 * once: with 87 peers, encoding it for each was half of the cost of sending.
 */
void peer_link_send(struct peer_link *link, const GPtrArray *addresses,
		    const struct peer_message *message)
{
	GBytes *record = peer_codec_encode(message);

	for (guint i = 0; i < addresses->len; i++)
		peer_link_send_record(link, g_ptr_array_index(addresses, i),
				      message_delivery(message), record);
	g_bytes_unref(record);
	if (link->datagrams)
		peer_link_schedule_resend(link);
}

/* Executes ACTION_PEER_SEND; ignores actions of other types. */
void peer_link_apply(struct peer_link *link, const struct action *action)
{
	GPtrArray *addresses;

	if (action->type != ACTION_PEER_SEND)
		return;
	addresses = g_ptr_array_new();
	g_ptr_array_add(addresses, action->peer_send.peer_address);
	peer_link_send(link, addresses, action->peer_send.message);
	g_ptr_array_unref(addresses);
}
