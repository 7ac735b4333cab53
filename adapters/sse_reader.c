#include "adapters/sse_reader.h"

#include <stdint.h>
#include <string.h>

struct sse_reader {
	size_t event_bytes_max;
	sse_event_function event;
	void *user_data;
	GString *line; /* of what came, without its end */
	GString *id;
	GString *type;
	GString *data;
	bool has_data;
	bool after_cr; /* a line feed after this belongs to the same end */
	bool stopped;
	bool failed;
};

/* A reader that calls event for each whole event of at most that size. */
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

/* Frees the reader; NULL is allowed. Not from inside its event function. */
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

/* Fields with other names and comments are skipped, as the standard says. */
static void reader_take_field(struct sse_reader *reader)
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
		reader_take_field(reader);
	g_string_truncate(reader->line, 0);
}

static bool reader_fail(struct sse_reader *reader, struct error *error,
			enum error_code code, const char *what)
{
	reader->failed = true;
	error_set(error, code, "sse.read", NULL, "%s", what);
	return false;
}

static size_t reader_held(const struct sse_reader *reader)
{
	return reader->line->len + reader->id->len + reader->type->len +
	       reader->data->len;
}

static size_t span_of_text(const char *bytes, size_t length)
{
	size_t i = 0;

	while (i < length && bytes[i] != '\n' && bytes[i] != '\r' && bytes[i])
		i++;
	return i;
}

/* Takes the end of a line; a carriage return and line feed are one end. */
static void reader_take_end(struct sse_reader *reader, char c)
{
	bool same_end = c == '\n' && reader->after_cr;

	reader->after_cr = c == '\r';
	if (!same_end)
		reader_end_line(reader);
}

/*
 * Reads a piece and calls the event function for each event that is whole.
 * False with ERROR_TOO_LARGE or ERROR_INVALID (a NUL byte); nothing more is
 * read then.
 */
bool sse_reader_feed(struct sse_reader *reader, const char *bytes,
		     size_t length, struct error *error)
{
	size_t at = 0;

	if (reader->failed)
		return reader_fail(reader, error, ERROR_INVALID,
				   "the stream failed before");
	while (at < length && !reader->stopped) {
		size_t span = span_of_text(bytes + at, length - at);

		if (span > reader->event_bytes_max ||
		    reader_held(reader) + span > reader->event_bytes_max)
			return reader_fail(reader, error, ERROR_TOO_LARGE,
					   "an event is over the limit");
		g_string_append_len(reader->line, bytes + at, (gssize)span);
		if (span)
			reader->after_cr = false;
		at += span;
		if (at == length)
			break;
		if (!bytes[at])
			return reader_fail(reader, error, ERROR_INVALID,
					   "a NUL byte in the stream");
		reader_take_end(reader, bytes[at++]);
	}
	return true;
}
