#ifndef CORE_DATAGRAM_DATAGRAM_LINK_H
#define CORE_DATAGRAM_DATAGRAM_LINK_H

#include "core/base/counters.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Exchanges small records between nodes in single packets. Unlike connections,
 * packets cost no memory, descriptor or handshake for each peer, so that a node
 * of a large fleet can send to all others. A record is either sent once and may
 * be lost, or sent again until the receiver confirms it. Records may overtake
 * each other.
 *
 * A peer may be unable to receive packets, as a build without them or a network
 * that drops them. A hello asks for it; while no answer has come, records to
 * that peer are left to the caller's connections.
 */
struct datagram_link_options {
	uint32_t session; /* drawn at random */
	struct counters *counters;
	void *data;
	/* Sends a packet; it may be lost. */
	void (*transmit)(void *data, const char *address, GBytes *packet);
	/* Delivers a received record. */
	void (*deliver)(void *data, const char *address, const uint8_t *record,
			size_t record_bytes);
	/* Returns a record to a peer that turned out to receive no packets. */
	void (*hand_back)(void *data, const char *address, GBytes *record);
};

struct datagram_link;

struct datagram_link *
datagram_link_create(const struct datagram_link_options *options);
void datagram_link_destroy(struct datagram_link *link);
bool datagram_link_send(struct datagram_link *link, const char *address,
			GBytes *record, bool confirmed, int64_t now_us);
void datagram_link_receive(struct datagram_link *link, const char *address,
			   const uint8_t *data, size_t size, int64_t now_us);
void datagram_link_note_stream(struct datagram_link *link, const char *address,
			       int64_t now_us);
void datagram_link_step(struct datagram_link *link, int64_t now_us);
int64_t datagram_link_due_us(const struct datagram_link *link);
size_t datagram_link_peer_count(const struct datagram_link *link);

G_END_DECLS

#endif
