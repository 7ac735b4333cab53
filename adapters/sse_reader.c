#include "adapters/sse_reader.h"

#include <stdint.h>
#include <string.h>

struct sse_reader {
	size_t event_bytes_max;
	sse_event_function event;
	void *user_data;
	GString *line; /* the current line so far */
	GString *id;
	GString *type;
	GString *data;
	bool has_data;
	bool after_cr; /* a line feed that follows ends no line */
	bool stopped;
	bool failed;
};

/*
 * Creates a reader that calls event() for each complete event. An event of more
 * than event_bytes_max bytes fails the stream. The caller owns the reader.
 */
struct sse_reader *sse_reader_create(size_t event_bytes_max,
				     sse_event_function event, void *data)
{
	struct sse_reader *reader = g_new0(struct sse_reader, 1);

	reader->event_bytes_max = event_bytes_max;
	reader->event = event;
	reader->user_data = data;
	reader->line = g_string_new(NULL);
	reader->id = g_string_new(NULL);
	reader->type = g_string_new(NULL);
	reader->data = g_string_new(NULL);
	return reader;
}

/* Frees a reader; NULL is allowed. Not allowed inside its event function. */
void sse_reader_destroy(struct sse_reader *reader)
{
	if (!reader)
		return;
	g_string_free(reader->line, TRUE);
	g_string_free(reader->id, TRUE);
	g_string_free(reader->type, TRUE);
	g_string_free(reader->data, TRUE);
	g_free(reader);
}

static void reader_dispatch(struct sse_reader *reader)
{
	struct sse_event event = {
		.id = reader->id->str,
		.type = reader->type->len ? reader->type->str : "message",
		.data = reader->data->str,
		.data_length = reader->data->len,
	};

	if (reader->has_data && !reader->event(reader->user_data, &event))
		reader->stopped = true;
	reader->has_data = false;
	g_string_truncate(reader->id, 0);
	g_string_truncate(reader->type, 0);
	g_string_truncate(reader->data, 0);
}

static bool field_is(const char *line, size_t length, const char *name)
{
	return length == strlen(name) && memcmp(line, name, length) == 0;
}

static void reader_add_data(struct sse_reader *reader, const char *value)
{
	if (reader->has_data)
		g_string_append_c(reader->data, '\n');
	g_string_append(reader->data, value);
	reader->has_data = true;
}

/* As the standard requires, comments and unknown fields are ignored. */
static void reader_parse_field(struct sse_reader *reader)
{
	const char *line = reader->line->str;
	const char *colon = strchr(line, ':');
	size_t name_length = colon ? (size_t)(colon - line) : strlen(line);
	const char *value = colon ? colon + 1 : "";

	if (*value == ' ')
		value++;
	if (field_is(line, name_length, "data"))
		reader_add_data(reader, value);
	else if (field_is(line, name_length, "id"))
		g_string_assign(reader->id, value);
	else if (field_is(line, name_length, "event"))
		g_string_assign(reader->type, value);
}

static void reader_end_line(struct sse_reader *reader)
{
	if (reader->line->len == 0)
		reader_dispatch(reader);
	else
		reader_parse_field(reader);
	g_string_truncate(reader->line, 0);
}

static bool reader_fail(struct sse_reader *reader, struct error *error,
			enum error_code code, const char *what)
{
	reader->failed = true;
	error_set(error, code, "sse.read", NULL, "%s", what);
	return false;
}

static size_t reader_buffered_bytes(const struct sse_reader *reader)
{
	return reader->line->len + reader->id->len + reader->type->len +
	       reader->data->len;
}

static size_t text_span(const char *bytes, size_t length)
{
	size_t i = 0;

	while (i < length && bytes[i] != '\n' && bytes[i] != '\r' && bytes[i])
		i++;
	return i;
}

/* A carriage return followed by a line feed is a single line end. */
static void reader_handle_line_end(struct sse_reader *reader, char c)
{
	bool same_end = c == '\n' && reader->after_cr;

	reader->after_cr = c == '\r';
	if (!same_end)
		reader_end_line(reader);
}

/*
 * Parses the next piece of the stream and calls the event function for each
 * event that it completes. Returns false with ERROR_TOO_LARGE for an event over
 * the limit or ERROR_INVALID for a NUL byte; every later call then fails too.
 */
bool sse_reader_feed(struct sse_reader *reader, const char *bytes,
		     size_t length, struct error *error)
{
	size_t at = 0;

	if (reader->failed)
		return reader_fail(reader, error, ERROR_INVALID,
				   "the stream has already failed");
	while (at < length && !reader->stopped) {
		size_t span = text_span(bytes + at, length - at);

		if (span > reader->event_bytes_max ||
		    reader_buffered_bytes(reader) + span >
			    reader->event_bytes_max)
			return reader_fail(reader, error, ERROR_TOO_LARGE,
					   "an event exceeds the size limit");
		g_string_append_len(reader->line, bytes + at, (gssize)span);
		if (span)
			reader->after_cr = false;
		at += span;
		if (at == length)
			break;
		if (!bytes[at])
			return reader_fail(reader, error, ERROR_INVALID,
					   "NUL byte in the stream");
		reader_handle_line_end(reader, bytes[at++]);
	}
	return true;
}
