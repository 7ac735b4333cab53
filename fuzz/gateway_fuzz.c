#include "adapters/gateway/event_scanner.h"
#include "adapters/gateway/http_reader.h"

#include <stdint.h>
#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static bool append_head(void *data, const struct http_head *head)
{
	g_string_append_printf(data, "head %d %s %u;", head->status,
			       head->target ? head->target : "",
			       head->fields->len);
	return true;
}

static void append_body(void *data, const char *bytes, size_t size)
{
	g_string_append_len(data, bytes, (gssize)size);
}

static const struct http_reader_events events = {append_head, append_body};

static GString *read_in_pieces(enum http_reader_kind kind, const uint8_t *data,
			       size_t size, size_t piece)
{
	GString *found = g_string_new(NULL);
	struct http_reader *reader =
		http_reader_create(kind, 1024, &events, found);
	enum http_reader_result result = HTTP_READER_INCOMPLETE;

	for (size_t at = 0; at < size && result <= HTTP_READER_COMPLETE;) {
		size_t part = MIN(piece, size - at);
		size_t taken;

		result = http_reader_feed(reader, (const char *)data + at, part,
					  &taken);
		if (taken > part)
			abort();
		at += taken;
		if (taken == 0 && result != HTTP_READER_COMPLETE)
			break;
	}
	http_reader_destroy(reader);
	return found;
}

static bool check_event(void *data, const char *bytes, size_t size, int64_t id)
{
	if (size < 2 || bytes[size - 1] != '\n' || id < -1)
		abort();
	*(size_t *)data += size;
	return true;
}

static void scan_in_pieces(const uint8_t *data, size_t size, size_t piece)
{
	size_t found = 0;
	struct held_bytes held = {0};
	struct event_scanner *scanner =
		event_scanner_create(check_event, &found, &held);

	for (size_t at = 0; at < size; at += piece)
		event_scanner_feed(scanner, (const char *)data + at,
				   MIN(piece, size - at));
	if (found > size)
		abort();
	event_scanner_destroy(scanner);
}

/*
 * Any division of the input into pieces must yield the same messages, or a
 * prefix of them if the input is rejected.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t piece = size ? data[0] % 16 + 1 : 1;

	for (int kind = HTTP_READER_REQUESTS; kind <= HTTP_READER_ANSWERS;
	     kind++) {
		GString *unsplit = read_in_pieces((enum http_reader_kind)kind,
						  data, size, size ? size : 1);
		GString *split = read_in_pieces((enum http_reader_kind)kind,
						data, size, piece);

		if (!g_str_has_prefix(unsplit->str, split->str) &&
		    !g_str_has_prefix(split->str, unsplit->str))
			abort();
		g_string_free(unsplit, TRUE);
		g_string_free(split, TRUE);
	}
	scan_in_pieces(data, size, piece);
	return 0;
}
