#include "adapters/engine_event.h"
#include "adapters/sse_reader.h"

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

enum { EVENT_BYTES_MAX = 1024, NEXT_TOKEN = 100 };

static bool append_event(void *data, const struct sse_event *sse)
{
	GString *events = data;
	struct engine_event event;
	struct error error;

	g_string_append_printf(events, "%s|%s|", sse->id, sse->type);
	g_string_append_len(events, sse->data, (gssize)sse->data_length);
	if (sse->data_length > EVENT_BYTES_MAX)
		abort();
	if (engine_event_read(sse, "g1", NEXT_TOKEN, &event, &error) &&
	    (event.first_token < 0 || event.token_count < 0 ||
	     event.total_tokens < -1))
		abort();
	return true;
}

static GString *read_in_pieces(const uint8_t *data, size_t size, size_t piece)
{
	GString *events = g_string_new(NULL);
	struct sse_reader *reader =
		sse_reader_create(EVENT_BYTES_MAX, append_event, events);
	struct error error;

	for (size_t at = 0; at < size; at += piece) {
		if (!sse_reader_feed(reader, (const char *)data + at,
				     MIN(piece, size - at), &error))
			break;
	}
	sse_reader_destroy(reader);
	return events;
}

/*
 * Any division of the stream into pieces must yield the same events. When a
 * stream is rejected, the number of events before the error depends on the
 * pieces, so one result may be a prefix of the other.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t piece = size ? data[0] % 16 + 1 : 1;
	GString *unsplit = read_in_pieces(data, size, size ? size : 1);
	GString *split = read_in_pieces(data, size, piece);

	if (!g_str_has_prefix(unsplit->str, split->str) &&
	    !g_str_has_prefix(split->str, unsplit->str))
		abort();
	g_string_free(unsplit, TRUE);
	g_string_free(split, TRUE);
	return 0;
}
