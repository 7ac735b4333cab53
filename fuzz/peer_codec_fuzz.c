#include "codec/peer_codec.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A decoded message must encode, and decode again to the same type. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	GBytes *record = g_bytes_new(data, size);
	struct error error;
	struct peer_message *message = peer_codec_decode(record, &error);

	if (message) {
		GBytes *again = peer_codec_encode(message);
		struct peer_message *copy = peer_codec_decode(again, &error);

		if (!copy || copy->type != message->type)
			abort();
		peer_message_destroy(copy);
		g_bytes_unref(again);
	}
	peer_message_destroy(message);
	g_bytes_unref(record);
	return 0;
}
