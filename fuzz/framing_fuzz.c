#include "adapters/gateway/http_reader.h"
#include "codec/field_name.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/*
 * Compares the gateway's reader with a strict one, written from the grammar of
 * RFC 9112: a message that the gateway takes for complete must be one, with the
 * same fields, body and end. The gateway may refuse more. It is lenient with
 * chunks, whose framing is not passed on, and with bodies of interim answers,
 * which are dropped: of these messages only the fields are compared.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A message as one of the two readers understands it. */
struct message {
	GString *fields; /* a line each, names in lower case */
	GString *body;
	size_t size; /* of all its bytes */
	bool is_complete;
	bool is_lenient;
};

static void message_init(struct message *message)
{
	message->fields = g_string_new(NULL);
	message->body = g_string_new(NULL);
	message->size = 0;
	message->is_complete = false;
	message->is_lenient = false;
}

static void message_clear(struct message *message)
{
	g_string_free(message->fields, TRUE);
	g_string_free(message->body, TRUE);
}

/*
 * Adds a field. Blanks in its value count as one, as a folded line adds some,
 * and none counts at its end.
 */
static void message_add_field(struct message *message, const char *name,
			      const char *value)
{
	char *lower = g_ascii_strdown(name, -1);

	g_string_append_printf(message->fields, "%s:", lower);
	g_free(lower);
	for (const char *at = value; *at; at++) {
		bool is_blank = *at == ' ' || *at == '\t';

		if (!is_blank)
			g_string_append_c(message->fields, *at);
		else if (at[1] && at[1] != ' ' && at[1] != '\t')
			g_string_append_c(message->fields, ' ');
	}
	g_string_append_c(message->fields, '\n');
}

static bool status_has_body(int32_t status)
{
	return status != 204 && status != 304;
}

static bool on_head(void *data, const struct http_head *head)
{
	for (guint i = 0; i < head->fields->len; i++) {
		const struct http_field *field =
			&g_array_index(head->fields, struct http_field, i);

		message_add_field(data, field->name, field->value);
	}
	return head->status == 0 || status_has_body(head->status);
}

static void on_body(void *data, const char *bytes, size_t size)
{
	g_string_append_len(((struct message *)data)->body, bytes,
			    (gssize)size);
}

static const struct http_reader_events events = {on_head, on_body};

static void read_by_gateway(enum http_reader_kind kind, const char *bytes,
			    size_t size, struct message *message)
{
	struct http_reader *reader =
		http_reader_create(kind, 4096, &events, message);

	message_init(message);
	message->is_complete =
		http_reader_feed(reader, bytes, size, &message->size) ==
		HTTP_READER_COMPLETE;
	http_reader_destroy(reader);
}

/* What is left to be read by the strict reader. */
struct input {
	const char *at;
	const char *end;
};

/*
 * Takes a line without its end. A single LF may end it (RFC 9112, 2.2). The
 * caller frees it; NULL: it has no end, or holds another CR or a NUL.
 */
static char *input_take_line(struct input *input)
{
	const char *end =
		memchr(input->at, '\n', (size_t)(input->end - input->at));
	size_t size;
	char *line;

	if (!end)
		return NULL;
	size = (size_t)(end - input->at);
	if (size > 0 && input->at[size - 1] == '\r')
		size--;
	line = g_strndup(input->at, size);
	input->at = end + 1;
	if (strlen(line) == size && !strchr(line, '\r'))
		return line;
	g_free(line);
	return NULL;
}

/* The framing that fields state; count is how often each came. */
struct framing {
	uint64_t length;
	int lengths;
	int codings;
	bool is_chunked;
};

static bool text_is_number(const char *text)
{
	return *text && strspn(text, "0123456789") == strlen(text) &&
	       strlen(text) < 19;
}

static bool framing_note(struct framing *framing, const char *name,
			 const char *value)
{
	if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
		framing->length = g_ascii_strtoull(value, NULL, 10);
		return text_is_number(value) && framing->lengths++ == 0;
	}
	if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
		framing->is_chunked = g_ascii_strcasecmp(value, "chunked") == 0;
		return framing->codings++ == 0;
	}
	return true;
}

/* Appends the lines that continue this one (RFC 9112, 5.2), and frees it. */
static char *take_folds(struct input *input, char *line)
{
	while (input->at < input->end &&
	       (*input->at == ' ' || *input->at == '\t')) {
		char *more = input_take_line(input), *whole;

		if (!more)
			break;
		whole = g_strconcat(line, more, NULL);
		g_free(line);
		g_free(more);
		line = whole;
	}
	return line;
}

static bool read_field(char *line, struct framing *framing,
		       struct message *message)
{
	char *colon = strchr(line, ':'), *value;

	if (!colon || !field_name_is_valid(line, (size_t)(colon - line)))
		return false;
	*colon = '\0';
	value = g_strstrip(colon + 1);
	if (message)
		message_add_field(message, line, value);
	return !framing || framing_note(framing, line, value);
}

/* Takes field lines up to the empty one. */
static bool take_fields(struct input *input, struct framing *framing,
			struct message *message)
{
	for (;;) {
		char *line = input_take_line(input);
		bool is_last = line && !*line, is_good = false;

		if (line && *line) {
			line = take_folds(input, line);
			is_good = read_field(line, framing, message);
		}
		g_free(line);
		if (is_last || !is_good)
			return is_last;
	}
}

static bool take_bytes(struct input *input, uint64_t size,
		       struct message *message)
{
	if ((uint64_t)(input->end - input->at) < size)
		return false;
	g_string_append_len(message->body, input->at, (gssize)size);
	input->at += size;
	return true;
}

/*
 * The size of a chunk; -1: it has none. What follows it on its line, extensions
 * or not, is never passed on, and doesn't count.
 */
static int64_t chunk_size(const char *line)
{
	size_t digits = strspn(line, "0123456789abcdefABCDEF");

	if (digits == 0 || digits > 15 ||
	    (line[digits] && !strchr("; ", line[digits])))
		return -1;
	return (int64_t)g_ascii_strtoull(line, NULL, 16);
}

static bool take_chunks(struct input *input, struct message *message)
{
	for (;;) {
		char *line = input_take_line(input);
		int64_t size = line ? chunk_size(line) : -1;

		g_free(line);
		if (size < 0)
			return false;
		if (size == 0)
			return take_fields(input, NULL, NULL);
		if (!take_bytes(input, (uint64_t)size, message))
			return false;
		line = input_take_line(input);
		if (!line || *line) {
			g_free(line);
			return false;
		}
		g_free(line);
	}
}

/* Takes the first line, and sets the status of an answer. */
static bool take_start(struct input *input, enum http_reader_kind kind,
		       int *status)
{
	char *line = input_take_line(input);
	bool is_good = false;
	const char *version;

	while (line && !*line) {
		g_free(line);
		line = input_take_line(input);
	}
	if (!line)
		return false;
	if (kind == HTTP_READER_REQUESTS) {
		version = strrchr(line, ' ');
		is_good = version && g_str_has_prefix(version, " HTTP/1.") &&
			  g_ascii_isdigit(version[8]) && !version[9];
	} else {
		is_good = g_str_has_prefix(line, "HTTP/1.") &&
			  strlen(line) >= 12 && line[8] == ' ';
		if (is_good)
			*status = atoi(line + 9);
	}
	g_free(line);
	return is_good;
}

static bool take_message(struct input *input, enum http_reader_kind kind,
			 struct message *message)
{
	struct framing framing = {0};
	int status = 0;

	if (!take_start(input, kind, &status) ||
	    !take_fields(input, &framing, message))
		return false;
	if (framing.codings > 0 && framing.lengths > 0)
		return false;
	message->is_lenient = status && status < 200;
	if (status && !status_has_body(status))
		return true;
	if (framing.is_chunked) {
		message->is_lenient = !take_chunks(input, message);
		return !message->is_lenient;
	}
	if (framing.codings > 0)
		return false;
	if (framing.lengths > 0)
		return take_bytes(input, framing.length, message);
	return kind == HTTP_READER_REQUESTS;
}

static void read_strictly(enum http_reader_kind kind, const char *bytes,
			  size_t size, struct message *message)
{
	struct input input = {.at = bytes, .end = bytes + size};

	message_init(message);
	message->is_complete = take_message(&input, kind, message);
	message->size = (size_t)(input.at - bytes);
}

static void compare(enum http_reader_kind kind, const char *bytes, size_t size)
{
	struct message gateway, strict;

	read_by_gateway(kind, bytes, size, &gateway);
	if (gateway.is_complete) {
		read_strictly(kind, bytes, size, &strict);
		if (strcmp(strict.fields->str, gateway.fields->str) != 0)
			abort();
		if (!strict.is_lenient &&
		    (!strict.is_complete || strict.size != gateway.size ||
		     !g_string_equal(strict.body, gateway.body)))
			abort();
		message_clear(&strict);
	}
	message_clear(&gateway);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	compare(HTTP_READER_REQUESTS, (const char *)data, size);
	compare(HTTP_READER_ANSWERS, (const char *)data, size);
	return 0;
}
