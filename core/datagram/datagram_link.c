#include "core/datagram/datagram_link.h"

#include "codec/datagram_codec.h"
#include "core/datagram/receive_window.h"

/* Larger records go by connection; a packet fits an Ethernet frame. */
#define MAX_RECORD_BYTES 1400

/*
 * The first repetition comes before a caller's wait for a home's answer ends,
 * the last one after a machine's pause of some hundred ms.
 */
#define FIRST_RESEND_US (50 * 1000)
#define MAX_RESENDS 5

/* Unanswered hellos, and their time, after which a peer receives no packets. */
#define MAX_HELLOS 4
#define HELLO_TIMEOUT_US (1000 * 1000)

/* The same for a peer that itself sends by connection meanwhile. */
#define HELLO_STREAM_TIMEOUT_US (100 * 1000)

/* Interval of hellos to a peer that receives no packets. */
#define HELLO_INTERVAL_US (5 * G_USEC_PER_SEC)

/* Silence of a peer, while records are sent to it, until it is asked again. */
#define SILENCE_US (10 * G_USEC_PER_SEC)

#define PEER_IDLE_US (120 * G_USEC_PER_SEC)
#define SWEEP_INTERVAL_US (15 * G_USEC_PER_SEC)
#define MAX_PEERS 4096

/* Below RECEIVE_WINDOW_NUMBERS, so that the receiver knows each repetition. */
#define MAX_PENDING_PER_PEER 32

enum path {
	PATH_UNKNOWN, /* packets are sent, and hellos until one is answered */
	PATH_PACKETS,
	PATH_STREAM /* the peer receives no packets */
};

struct datagram_peer {
	char *address;
	enum path path;
	uint32_t sent_number;
	uint32_t confirmed_number;
	guint pending_count;
	struct receive_window window;
	int64_t used_us;
	int hellos;	       /* PATH_UNKNOWN: hellos sent */
	int64_t hello_us;      /* PATH_UNKNOWN: the first one;
				  PATH_STREAM: the last one */
	int64_t unanswered_us; /* first record since the peer was heard; 0: none
				*/
};

/* A record that is not confirmed yet. */
struct pending {
	struct datagram_peer *peer;
	uint32_t number;
	GBytes *record;
	int64_t due_us; /* of the next repetition */
	int64_t interval_us;
	int resends;
};

struct datagram_link {
	struct datagram_link_options options;
	GHashTable *peers; /* address to struct datagram_peer */
	GQueue pending;	   /* struct pending */
	int64_t due_us;	   /* no repetition is due earlier */
	int64_t swept_us;
};

static void peer_destroy(gpointer data)
{
	g_free(((struct datagram_peer *)data)->address);
	g_free(data);
}

static void pending_destroy(gpointer data)
{
	g_bytes_unref(((struct pending *)data)->record);
	g_free(data);
}

/* Creates a link, which the caller destroys. */
struct datagram_link *
datagram_link_create(const struct datagram_link_options *options)
{
	struct datagram_link *link = g_new0(struct datagram_link, 1);

	link->options = *options;
	link->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    peer_destroy);
	g_queue_init(&link->pending);
	link->due_us = INT64_MAX;
	return link;
}

/* Frees the link; unconfirmed records are dropped. NULL is allowed. */
void datagram_link_destroy(struct datagram_link *link)
{
	if (!link)
		return;
	g_queue_clear_full(&link->pending, pending_destroy);
	g_hash_table_unref(link->peers);
	g_free(link);
}

/* Returns the peer, or NULL if there are too many to add one. */
static struct datagram_peer *link_add_peer(struct datagram_link *link,
					   const char *address)
{
	struct datagram_peer *peer = g_hash_table_lookup(link->peers, address);

	if (peer || g_hash_table_size(link->peers) >= MAX_PEERS)
		return peer;
	peer = g_new0(struct datagram_peer, 1);
	peer->address = g_strdup(address);
	g_hash_table_insert(link->peers, peer->address, peer);
	return peer;
}

static void link_transmit(struct datagram_link *link, const char *address,
			  const struct packet *packet)
{
	GBytes *bytes = datagram_codec_encode(packet);

	link->options.transmit(link->options.data, address, bytes);
	g_bytes_unref(bytes);
}

static void link_transmit_control(struct datagram_link *link,
				  const char *address, enum packet_type type,
				  uint32_t session, uint32_t number)
{
	const struct packet packet = {
		.type = type, .session = session, .number = number};

	link_transmit(link, address, &packet);
}

static void link_transmit_record(struct datagram_link *link,
				 const struct datagram_peer *peer,
				 enum packet_type type, uint32_t number,
				 GBytes *record)
{
	struct packet packet = {.type = type,
				.session = link->options.session,
				.number = number};

	packet.record = g_bytes_get_data(record, &packet.record_bytes);
	link_transmit(link, peer->address, &packet);
}

static void link_transmit_hello(struct datagram_link *link,
				const struct datagram_peer *peer)
{
	link_transmit_control(link, peer->address, PACKET_HELLO,
			      link->options.session, 0);
}

/*
 * Whether records to the peer go in packets now. Sends the hellos that find it
 * out.
 */
static bool link_probe_path(struct datagram_link *link,
			    struct datagram_peer *peer, int64_t now_us)
{
	if (peer->path == PATH_PACKETS && peer->unanswered_us &&
	    now_us - peer->unanswered_us > SILENCE_US) {
		peer->path = PATH_UNKNOWN;
		peer->hellos = 0;
	}
	switch (peer->path) {
	case PATH_PACKETS:
		return true;
	case PATH_UNKNOWN:
		if (peer->hellos == 0)
			peer->hello_us = now_us;
		if (peer->hellos >= MAX_HELLOS &&
		    now_us - peer->hello_us > HELLO_TIMEOUT_US) {
			peer->path = PATH_STREAM;
			peer->hello_us = now_us;
			return false;
		}
		peer->hellos++;
		link_transmit_hello(link, peer);
		return true;
	case PATH_STREAM:
		if (now_us - peer->hello_us < HELLO_INTERVAL_US)
			return false;
		peer->hello_us = now_us;
		link_transmit_hello(link, peer);
		return false;
	}
	return false;
}

static void link_add_pending(struct datagram_link *link,
			     struct datagram_peer *peer, GBytes *record,
			     int64_t now_us)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->peer = peer;
	pending->number = ++peer->confirmed_number;
	pending->record = g_bytes_ref(record);
	pending->interval_us = FIRST_RESEND_US;
	pending->due_us = now_us + FIRST_RESEND_US;
	peer->pending_count++;
	link->due_us = MIN(link->due_us, pending->due_us);
	g_queue_push_tail(&link->pending, pending);
	link_transmit_record(link, peer, PACKET_CONFIRMED, pending->number,
			     record);
}

/*
 * Sends a record to a peer. Returns false if the caller has to send it by
 * connection: it is too large, or the peer is not known to receive packets, or
 * does not confirm them as fast as they are sent.
 */
bool datagram_link_send(struct datagram_link *link, const char *address,
			GBytes *record, bool confirmed, int64_t now_us)
{
	struct datagram_peer *peer;

	if (g_bytes_get_size(record) > MAX_RECORD_BYTES)
		return false;
	peer = link_add_peer(link, address);
	if (!peer)
		return false;
	peer->used_us = now_us;
	if (!link_probe_path(link, peer, now_us) ||
	    (confirmed && peer->pending_count >= MAX_PENDING_PER_PEER))
		return false;
	if (peer->unanswered_us == 0)
		peer->unanswered_us = now_us;
	if (confirmed)
		link_add_pending(link, peer, record, now_us);
	else
		link_transmit_record(link, peer, PACKET_RECORD,
				     ++peer->sent_number, record);
	return true;
}

static void link_remove_pending(struct datagram_link *link, GList *item)
{
	struct pending *pending = item->data;

	pending->peer->pending_count--;
	g_queue_delete_link(&link->pending, item);
	pending_destroy(pending);
}

static void link_confirm(struct datagram_link *link,
			 const struct datagram_peer *peer, uint32_t number)
{
	for (GList *item = link->pending.head; item; item = item->next) {
		const struct pending *pending = item->data;

		if (pending->peer != peer || pending->number != number)
			continue;
		link_remove_pending(link, item);
		return;
	}
}

/* Handles what arrived in one packet; ignores what is not a packet. */
void datagram_link_receive(struct datagram_link *link, const char *address,
			   const uint8_t *data, size_t size, int64_t now_us)
{
	struct datagram_peer *peer;
	struct packet packet;

	if (!datagram_codec_decode(data, size, &packet))
		return;
	peer = link_add_peer(link, address);
	if (!peer)
		return;
	peer->path = PATH_PACKETS;
	peer->used_us = now_us;
	peer->unanswered_us = 0;
	switch (packet.type) {
	case PACKET_HELLO:
		link_transmit_control(link, address, PACKET_WELCOME,
				      link->options.session, 0);
		return;
	case PACKET_RECORD:
		link->options.deliver(link->options.data, address,
				      packet.record, packet.record_bytes);
		return;
	case PACKET_CONFIRMED:
		link_transmit_control(link, address, PACKET_CONFIRM,
				      packet.session, packet.number);
		if (receive_window_add(&peer->window, packet.session,
				       packet.number))
			link->options.deliver(link->options.data, address,
					      packet.record,
					      packet.record_bytes);
		return;
	case PACKET_CONFIRM:
		if (packet.session == link->options.session)
			link_confirm(link, peer, packet.number);
		return;
	case PACKET_WELCOME:
	case PACKET_TYPE_COUNT:
		return;
	}
}

/*
 * Notes that a record of the peer came by connection. An earlier build always
 * sends so; its answers would be waited for until the hello times out.
 */
void datagram_link_note_stream(struct datagram_link *link, const char *address,
			       int64_t now_us)
{
	struct datagram_peer *peer = g_hash_table_lookup(link->peers, address);

	if (!peer || peer->path != PATH_UNKNOWN || peer->hellos == 0 ||
	    now_us - peer->hello_us < HELLO_STREAM_TIMEOUT_US)
		return;
	peer->path = PATH_STREAM;
	peer->hello_us = now_us;
}

/* Gives a record up, or leaves it to a connection if no packet ever arrived. */
static void link_give_up(struct datagram_link *link, GList *item)
{
	struct pending *pending = item->data;
	struct datagram_peer *peer = pending->peer;

	if (peer->path == PATH_PACKETS)
		counters_add(link->options.counters, COUNTER_PEER_UNCONFIRMED,
			     1);
	else
		link->options.hand_back(link->options.data, peer->address,
					pending->record);
	link_remove_pending(link, item);
}

static void link_resend(struct datagram_link *link, struct pending *pending,
			int64_t now_us)
{
	pending->resends++;
	pending->interval_us *= 2;
	pending->due_us = now_us + pending->interval_us;
	counters_add(link->options.counters, COUNTER_PEER_RESENT, 1);
	link_transmit_record(link, pending->peer, PACKET_CONFIRMED,
			     pending->number, pending->record);
}

static void link_sweep(struct datagram_link *link, int64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us - link->swept_us < SWEEP_INTERVAL_US)
		return;
	link->swept_us = now_us;
	g_hash_table_iter_init(&iter, link->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct datagram_peer *peer = value;

		if (peer->pending_count == 0 &&
		    now_us - peer->used_us > PEER_IDLE_US)
			g_hash_table_iter_remove(&iter);
	}
}

/* Sends unconfirmed records again, and forgets peers that are idle. */
void datagram_link_step(struct datagram_link *link, int64_t now_us)
{
	GList *next;

	link_sweep(link, now_us);
	link->due_us = INT64_MAX;
	for (GList *item = link->pending.head; item; item = next) {
		struct pending *pending = item->data;

		next = item->next;
		if (now_us >= pending->due_us &&
		    pending->resends >= MAX_RESENDS) {
			link_give_up(link, item);
			continue;
		}
		if (now_us >= pending->due_us)
			link_resend(link, pending, now_us);
		link->due_us = MIN(link->due_us, pending->due_us);
	}
}

/* Returns when the next step is due; INT64_MAX: nothing is unconfirmed. */
int64_t datagram_link_due_us(const struct datagram_link *link)
{
	return link->due_us;
}

/* Returns the number of peers that the link keeps state for. */
size_t datagram_link_peer_count(const struct datagram_link *link)
{
	return g_hash_table_size(link->peers);
}
