#ifndef CODEC_DATAGRAM_CODEC_H
#define CODEC_DATAGRAM_CODEC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Packets between nodes: a header of fixed size, and for records the record.
 * Packets are untrusted input.
 */
enum packet_type {
	PACKET_HELLO,	  /* asks whether the receiver takes packets */
	PACKET_WELCOME,	  /* answer to a hello */
	PACKET_RECORD,	  /* a record that may be lost */
	PACKET_CONFIRMED, /* a record that is sent again until it is confirmed
			   */
	PACKET_CONFIRM,	  /* confirms a PACKET_CONFIRMED */
	PACKET_TYPE_COUNT
};

enum { PACKET_HEADER_BYTES = 16 };

struct packet {
	enum packet_type type;
	uint32_t session;      /* drawn at random when a process starts; for a
				  confirmation, the session that is confirmed */
	uint32_t number;       /* of the record, within its session and type */
	const uint8_t *record; /* belongs to the decoded bytes */
	size_t record_bytes;
};

GBytes *datagram_codec_encode(const struct packet *packet);
bool datagram_codec_decode(const uint8_t *data, size_t size,
			   struct packet *packet);

G_END_DECLS

#endif
