#include "adapters/gateway/event_scanner.h"
#include "adapters/gateway/http_reader.h"

#include <dlfcn.h>
#include <stdint.h>
#include <stdlib.h>

/*
 * Bounds the work that the readers of the gateway do for each byte, by counting
 * calls: comparisons of names, bytes moved, pieces of a body delivered.
 */

/* A field takes three bytes, is compared with each reserved name, and searched
 * among the names in Connection. */
#define COMPARISONS_PER_BYTE 20
#define COMPARISONS_PER_MESSAGE 200

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint64_t comparisons, moved_bytes, deliveries;

/* Counts the calls of the code under test, which are bound to these first. */
gint g_ascii_strcasecmp(const gchar *a, const gchar *b)
{
	static gint (*real)(const gchar *, const gchar *);

	if (!real)
		*(void **)&real = dlsym(RTLD_NEXT, "g_ascii_strcasecmp");
	comparisons++;
	return real(a, b);
}

GByteArray *g_byte_array_remove_range(GByteArray *array, guint index,
				      guint length)
{
	static GByteArray *(*real)(GByteArray *, guint, guint);

	if (!real)
		*(void **)&real = dlsym(RTLD_NEXT, "g_byte_array_remove_range");
	moved_bytes += array->len - index - length;
	return real(array, index, length);
}

static bool on_head(void *data, const struct http_head *head)
{
	GString *out = g_string_new(NULL);

	(void)data;
	http_head_append_end_to_end(head, NULL, out);
	g_string_free(out, TRUE);
	return true;
}

static void on_body(void *data, const char *bytes, size_t size)
{
	(void)data;
	(void)bytes;
	(void)size;
	deliveries++;
}

static const struct http_reader_events events = {on_head, on_body};

static void read_message(enum http_reader_kind kind, const char *bytes,
			 size_t size, size_t piece)
{
	struct http_reader *reader =
		http_reader_create(kind, 65536, &events, NULL);
	enum http_reader_result result = HTTP_READER_INCOMPLETE;
	uint64_t feeds = 0;
	size_t consumed;

	comparisons = deliveries = 0;
	for (size_t at = 0; at < size && result == HTTP_READER_INCOMPLETE;
	     at += piece, feeds++)
		result = http_reader_feed(reader, bytes + at,
					  MIN(piece, size - at), &consumed);
	if (deliveries > feeds ||
	    comparisons > COMPARISONS_PER_BYTE * size + COMPARISONS_PER_MESSAGE)
		abort();
	http_reader_destroy(reader);
}

static bool on_event(void *data, const char *bytes, size_t size, int64_t id)
{
	(void)data;
	(void)bytes;
	(void)size;
	(void)id;
	return true;
}

static void scan_events(const char *bytes, size_t size, size_t piece)
{
	struct held_bytes held = {0};
	struct event_scanner *scanner =
		event_scanner_create(on_event, NULL, &held);

	moved_bytes = 0;
	for (size_t at = 0; at < size; at += piece)
		event_scanner_feed(scanner, bytes + at, MIN(piece, size - at));
	if (moved_bytes > size)
		abort();
	event_scanner_destroy(scanner);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *bytes = (const char *)data;
	const size_t pieces[] = {16384, size ? data[0] % 64 + 1 : 1};

	for (size_t i = 0; i < G_N_ELEMENTS(pieces); i++) {
		read_message(HTTP_READER_REQUESTS, bytes, size, pieces[i]);
		read_message(HTTP_READER_ANSWERS, bytes, size, pieces[i]);
		scan_events(bytes, size, pieces[i]);
	}
	return 0;
}
