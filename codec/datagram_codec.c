#include "codec/datagram_codec.h"

#include <string.h>

/*
 * The header, with numbers in little-endian order:
 *
 *     'S' 'K' 'D' version type 0 0 0 session(4) number(4)
 */
#define FORMAT_VERSION 1

static const uint8_t magic[] = {'S', 'K', 'D', FORMAT_VERSION};

static bool packet_has_record(enum packet_type type)
{
	return type == PACKET_RECORD || type == PACKET_CONFIRMED;
}

static void store_u32(uint8_t *to, uint32_t value)
{
	uint32_t ordered = GUINT32_TO_LE(value);

	memcpy(to, &ordered, sizeof(ordered));
}

static uint32_t load_u32(const uint8_t *from)
{
	uint32_t ordered;

	memcpy(&ordered, from, sizeof(ordered));
	return GUINT32_FROM_LE(ordered);
}

/* Returns the bytes of a packet, which the caller unrefs. */
GBytes *datagram_codec_encode(const struct packet *packet)
{
	size_t size = PACKET_HEADER_BYTES + packet->record_bytes;
	uint8_t *data = g_malloc0(size);

	memcpy(data, magic, sizeof(magic));
	data[4] = (uint8_t)packet->type;
	store_u32(data + 8, packet->session);
	store_u32(data + 12, packet->number);
	if (packet->record_bytes)
		memcpy(data + PACKET_HEADER_BYTES, packet->record,
		       packet->record_bytes);
	return g_bytes_new_take(data, size);
}

/*
 * Reads a packet, whose record remains part of data. Returns false if the bytes
 * are not a packet of this version.
 */
bool datagram_codec_decode(const uint8_t *data, size_t size,
			   struct packet *packet)
{
	static const uint8_t zero[3];
	bool has_record = size > PACKET_HEADER_BYTES;

	if (size < PACKET_HEADER_BYTES ||
	    memcmp(data, magic, sizeof(magic)) != 0 ||
	    data[4] >= PACKET_TYPE_COUNT ||
	    memcmp(data + 5, zero, sizeof(zero)) != 0)
		return false;
	*packet = (struct packet){
		.type = (enum packet_type)data[4],
		.session = load_u32(data + 8),
		.number = load_u32(data + 12),
		.record = has_record ? data + PACKET_HEADER_BYTES : NULL,
		.record_bytes = size - PACKET_HEADER_BYTES,
	};
	return has_record == packet_has_record(packet->type);
}
