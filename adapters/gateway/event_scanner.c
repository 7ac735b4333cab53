#include "adapters/gateway/event_scanner.h"

#include <string.h>

/* An engine that sends no end of an event must not fill the memory. */
#define MAX_EVENT_BYTES (1 << 20)

struct event_scanner {
	event_scanner_function found;
	void *data;
	GByteArray *part; /* of an event that isn't whole yet */
};

/* A scanner that tells its owner of each whole event. */
struct event_scanner *event_scanner_create(event_scanner_function found,
					   void *data)
{
	struct event_scanner *scanner = g_new0(struct event_scanner, 1);

	scanner->found = found;
	scanner->data = data;
	scanner->part = g_byte_array_new();
	return scanner;
}

/* Frees a scanner; NULL is allowed. */
void event_scanner_destroy(struct event_scanner *scanner)
{
	if (!scanner)
		return;
	g_byte_array_unref(scanner->part);
	g_free(scanner);
}

static int64_t line_id(const char *line, size_t size)
{
	int64_t id = 0;
	size_t i = 3;

	if (size < 4 || memcmp(line, "id:", 3) != 0)
		return -1;
	if (line[i] == ' ')
		i++;
	if (i == size)
		return -1;
	for (; i < size && line[i] != '\r'; i++) {
		if (!g_ascii_isdigit(line[i]) || id > INT64_MAX / 16)
			return -1;
		id = id * 10 + (line[i] - '0');
	}
	return id;
}

static int64_t event_id(const char *bytes, size_t size)
{
	int64_t id = -1;

	while (size > 0) {
		const char *end = memchr(bytes, '\n', size);
		size_t line = end ? (size_t)(end - bytes) : size;
		int64_t found = line_id(bytes, line);

		if (found >= 0)
			id = found;
		bytes += MIN(line + 1, size);
		size -= MIN(line + 1, size);
	}
	return id;
}

/* Bytes up to the end of the first whole event; 0: there is none. */
static size_t event_size(const char *bytes, size_t size, size_t from)
{
	for (size_t i = from; i + 1 < size; i++) {
		if (bytes[i] != '\n')
			continue;
		if (bytes[i + 1] == '\n')
			return i + 2;
		if (bytes[i + 1] == '\r' && i + 2 < size &&
		    bytes[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/*
 * Takes bytes as they come. False: an event is larger than any engine's, or
 * the owner wants no more.
 */
bool event_scanner_feed(struct event_scanner *scanner, const char *bytes,
			size_t size)
{
	size_t from = scanner->part->len > 3 ? scanner->part->len - 3 : 0;
	size_t found;

	g_byte_array_append(scanner->part, (const guint8 *)bytes, (guint)size);
	while ((found = event_size((const char *)scanner->part->data,
				   scanner->part->len, from))) {
		const char *event = (const char *)scanner->part->data;

		if (!scanner->found(scanner->data, event, found,
				    event_id(event, found)))
			return false;
		g_byte_array_remove_range(scanner->part, 0, (guint)found);
		from = 0;
	}
	return scanner->part->len <= MAX_EVENT_BYTES;
}

/* Forgets a part of an event, before another connection goes on. */
void event_scanner_reset(struct event_scanner *scanner)
{
	g_byte_array_set_size(scanner->part, 0);
}

/* Whether no part of an event waits for its end. */
bool event_scanner_is_between(const struct event_scanner *scanner)
{
	return scanner->part->len == 0;
}
