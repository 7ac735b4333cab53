#include "adapters/gateway/event_scanner.h"

#include <string.h>

struct event_scanner {
	event_scanner_callback on_event;
	void *data;
	GByteArray *partial; /* bytes of an event that has not ended */
	size_t most_bytes;   /* that it has held, and has room for */
	size_t held_bytes;   /* counted in held */
	struct held_bytes *held;
	size_t exceeded; /* how many are allowed, where more are held; or 0 */
	bool has_event;	 /* a complete one, no mere comment */
};

/*
 * Creates a scanner that calls on_event for each complete event. What it holds
 * of partial ones counts in held, which must outlive it.
 */
struct event_scanner *event_scanner_create(event_scanner_callback on_event,
					   void *data, struct held_bytes *held)
{
	struct event_scanner *scanner = g_new0(struct event_scanner, 1);

	scanner->on_event = on_event;
	scanner->data = data;
	scanner->held = held;
	scanner->partial = g_byte_array_new();
	return scanner;
}

/* Counts what is held now, and gives back the room of a large event. */
static void scanner_update_held(struct event_scanner *scanner)
{
	size_t size = scanner->partial->len;
	GByteArray *smaller;

	scanner->most_bytes = MAX(scanner->most_bytes, size);
	if (scanner->most_bytes > HELD_FREE_BYTES && size <= HELD_FREE_BYTES) {
		smaller = g_byte_array_new();
		g_byte_array_append(smaller, scanner->partial->data,
				    (guint)size);
		g_byte_array_unref(scanner->partial);
		scanner->partial = smaller;
		scanner->most_bytes = size;
	}
	held_bytes_change(scanner->held, scanner->held_bytes, size);
	scanner->held_bytes = size;
}

/* Frees a scanner; NULL is allowed. */
void event_scanner_destroy(struct event_scanner *scanner)
{
	if (!scanner)
		return;
	held_bytes_change(scanner->held, scanner->held_bytes, 0);
	g_byte_array_unref(scanner->partial);
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

/* Whether the event has no line but comments. */
static bool event_is_comment(const char *bytes, size_t size)
{
	while (size > 0) {
		const char *end = memchr(bytes, '\n', size);
		size_t line = end ? (size_t)(end - bytes) + 1 : size;

		if (bytes[0] != ':' && bytes[0] != '\r' && bytes[0] != '\n')
			return false;
		bytes += line;
		size -= line;
	}
	return true;
}

/*
 * Bytes up to the end of the first complete event; 0: there is none. The
 * search for the empty line starts at offset from.
 */
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

static size_t scanner_find_exceeded(const struct event_scanner *scanner)
{
	if (scanner->held_bytes > MAX_EVENT_BYTES)
		return MAX_EVENT_BYTES;
	return held_bytes_allows(scanner->held, scanner->held_bytes)
		       ? 0
		       : HELD_FREE_BYTES;
}

/*
 * Scans the next bytes of the stream, in pieces of any size. Returns false if
 * more than MAX_EVENT_BYTES of a partial event are held, or fewer as all
 * scanners hold too many, or if on_event returned false.
 */
bool event_scanner_feed(struct event_scanner *scanner, const char *bytes,
			size_t size)
{
	size_t from = scanner->partial->len > 3 ? scanner->partial->len - 3 : 0;
	size_t scanned = 0, event_bytes;

	g_byte_array_append(scanner->partial, (const guint8 *)bytes,
			    (guint)size);
	scanner->most_bytes = MAX(scanner->most_bytes, scanner->partial->len);
	while ((event_bytes = event_size(
			(const char *)scanner->partial->data + scanned,
			scanner->partial->len - scanned, from))) {
		const char *event =
			(const char *)scanner->partial->data + scanned;

		if (!event_is_comment(event, event_bytes))
			scanner->has_event = true;
		if (!scanner->on_event(scanner->data, event, event_bytes,
				       event_id(event, event_bytes)))
			return false;
		scanned += event_bytes;
		from = 0;
	}
	if (scanned > 0)
		g_byte_array_remove_range(scanner->partial, 0, (guint)scanned);
	scanner_update_held(scanner);
	scanner->exceeded = scanner_find_exceeded(scanner);
	return scanner->exceeded == 0;
}

/* Discards a partial event before another connection continues the stream. */
void event_scanner_reset(struct event_scanner *scanner)
{
	g_byte_array_set_size(scanner->partial, 0);
	scanner_update_held(scanner);
}

/* Whether event_scanner_feed refused an event as too large. */
bool event_scanner_is_overfull(const struct event_scanner *scanner)
{
	return scanner->exceeded > 0;
}

/* Returns how many bytes of a partial event were allowed; 0: not exceeded. */
size_t event_scanner_exceeded(const struct event_scanner *scanner)
{
	return scanner->exceeded;
}

/* Whether the bytes so far end at the boundary of an event. */
bool event_scanner_at_boundary(const struct event_scanner *scanner)
{
	return scanner->partial->len == 0;
}

/* Whether the stream has had a complete event, other than comments. */
bool event_scanner_has_event(const struct event_scanner *scanner)
{
	return scanner->has_event;
}
