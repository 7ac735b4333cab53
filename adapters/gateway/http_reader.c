#include "adapters/gateway/http_reader.h"

#include "codec/field_name.h"
#include "codec/head_scan.h"
#include "codec/status_line.h"

#include <http_parser.h>
#include <string.h>

/*
 * Limits the fields of a message, trailers included: each takes memory and time
 * beyond its bytes.
 */
#define MAX_FIELDS 1000

struct http_bytes {
	const char *at;
	size_t size;
};

struct http_reader {
	http_parser parser;
	const struct http_reader_events *events;
	void *data;
	size_t max_head_bytes;
	struct http_head *head;
	struct status_line status_line; /* of an answer */
	struct head_scan head_scan;
	GString *target; /* of a request; the reason of an answer */
	GString *name;
	GString *value;
	bool in_value;
	bool in_message;
	bool has_head;
	bool complete;
	bool rejected; /* not by the parser */
	bool too_large;
	bool must_close;
	size_t head_bytes;
	struct http_bytes body; /* of the piece being read, not delivered */
	GByteArray *joined; /* owns it, if it came in several chunks; or NULL */
};

static int reader_reject(struct http_reader *reader)
{
	reader->rejected = true;
	return -1;
}

static int reader_count_head_bytes(struct http_reader *reader, size_t size)
{
	reader->head_bytes += size;
	if (reader->head_bytes <= reader->max_head_bytes)
		return 0;
	reader->too_large = true;
	return -1;
}

static int on_begin(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	http_head_destroy(reader->head);
	reader->head = http_head_create();
	g_string_truncate(reader->target, 0);
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
	reader->in_value = false;
	reader->in_message = true;
	reader->has_head = false;
	reader->complete = false;
	reader->head_bytes = 0;
	return 0;
}

static int on_start_line(http_parser *parser, const char *at, size_t size)
{
	struct http_reader *reader = parser->data;

	g_string_append_len(reader->target, at, (gssize)size);
	return reader_count_head_bytes(reader, size);
}

static int on_reason(http_parser *parser, const char *at, size_t size)
{
	return on_start_line(parser, at, size);
}

/*
 * Adds the field that was read. The parser takes spaces in names. Fields that
 * this node withholds or sets itself would pass under such a name, and a
 * receiver may read them all the same.
 */
static int reader_add_field(struct http_reader *reader)
{
	if (!reader->in_value)
		return 0;
	if (reader->head->fields->len >= MAX_FIELDS) {
		reader->too_large = true;
		return -1;
	}
	if (!field_name_is_valid(reader->name->str, reader->name->len))
		return reader_reject(reader);
	reader->in_value = false;
	http_head_add(reader->head, reader->name->str, reader->name->len,
		      reader->value->str, reader->value->len);
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t size)
{
	struct http_reader *reader = parser->data;

	if (reader_add_field(reader) != 0)
		return -1;
	g_string_append_len(reader->name, at, (gssize)size);
	return reader_count_head_bytes(reader, size);
}

static int on_value(http_parser *parser, const char *at, size_t size)
{
	struct http_reader *reader = parser->data;

	reader->in_value = true;
	g_string_append_len(reader->value, at, (gssize)size);
	return reader_count_head_bytes(reader, size + 4);
}

static bool reader_is_request(const struct http_reader *reader)
{
	return reader->parser.type == HTTP_REQUEST;
}

/*
 * The parser refuses contradictory lengths and transfer codings, and control
 * characters in values. Refused here is what an endpoint could read as a
 * different request: no host or two hosts, a target that names a host, CONNECT,
 * and a chunked body in HTTP/1.0.
 */
static bool reader_request_is_unambiguous(const struct http_reader *reader)
{
	const struct http_head *head = reader->head;

	return http_head_count(head, "Host") == 1 && head->target[0] == '/' &&
	       reader->parser.method != HTTP_CONNECT &&
	       !(head->is_chunked && reader->parser.http_minor == 0);
}

/*
 * Whether the body has no transfer coding but chunks, the only one that is
 * undone. The parser goes by the last coding of a list, and takes an unknown
 * one for none.
 */
static bool reader_undoes_codings(const struct http_reader *reader)
{
	const struct http_head *head = reader->head;
	const char *coding = http_head_get(head, "Transfer-Encoding");

	if (!coding)
		return true;
	return http_head_count(head, "Transfer-Encoding") == 1 &&
	       (g_ascii_strcasecmp(coding, "chunked") == 0 ||
		(g_ascii_strcasecmp(coding, "identity") == 0 &&
		 !reader_is_request(reader)));
}

static int on_head(http_parser *parser)
{
	struct http_reader *reader = parser->data;
	struct http_head *head = reader->head;

	if (reader_add_field(reader) != 0)
		return -1;
	if (!reader_undoes_codings(reader))
		return reader_reject(reader);
	head->is_chunked = http_head_count(head, "Transfer-Encoding") > 0;
	head->content_length = parser->content_length == (uint64_t)-1
				       ? -1
				       : (int64_t)parser->content_length;
	head->ends_by_close = !reader_is_request(reader) &&
			      head->content_length < 0 &&
			      !(parser->flags & F_CHUNKED);
	head->keeps_alive = http_should_keep_alive(parser);
	head->allows_chunks =
		parser->http_major > 1 ||
		(parser->http_major == 1 && parser->http_minor > 0);
	if (reader_is_request(reader)) {
		head->method = g_strdup(http_method_str(parser->method));
		head->target = g_strdup(reader->target->str);
	} else {
		head->status = parser->status_code;
		head->reason = g_strdup(reader->target->str);
	}
	if (reader_is_request(reader) && !reader_request_is_unambiguous(reader))
		return reader_reject(reader);
	reader->must_close = !head->keeps_alive || parser->upgrade;
	reader->has_head = true;
	return reader->events->head(reader->data, head) ? 0 : 1;
}

/* Adds the data of a chunk to what is delivered with the piece being read. */
static int on_body(http_parser *parser, const char *at, size_t size)
{
	struct http_reader *reader = parser->data;
	struct http_bytes *body = &reader->body;

	if (body->size == 0) {
		*body = (struct http_bytes){at, size};
		return 0;
	}
	if (!reader->joined) {
		reader->joined = g_byte_array_new();
		g_byte_array_append(reader->joined, (const guint8 *)body->at,
				    (guint)body->size);
	}
	g_byte_array_append(reader->joined, (const guint8 *)at, (guint)size);
	*body = (struct http_bytes){(const char *)reader->joined->data,
				    reader->joined->len};
	return 0;
}

/*
 * Delivers the body in the piece that was read, joined: many small chunks would
 * each take the work of a large one.
 */
static void reader_deliver_body(struct http_reader *reader)
{
	const struct http_bytes body = reader->body;
	GByteArray *joined = g_steal_pointer(&reader->joined);

	reader->body = (struct http_bytes){0};
	if (body.size > 0)
		reader->events->body(reader->data, body.at, body.size);
	if (joined)
		g_byte_array_unref(joined);
}

static int on_complete(http_parser *parser)
{
	struct http_reader *reader = parser->data;

	if (reader_add_field(reader) != 0)
		return -1;
	reader->complete = true;
	reader->in_message = false;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_start_line,
	.on_status = on_reason,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/*
 * Creates a reader for one connection. The events must outlive it. A head of
 * more than max_head_bytes gives HTTP_READER_TOO_LARGE.
 */
struct http_reader *http_reader_create(enum http_reader_kind kind,
				       size_t max_head_bytes,
				       const struct http_reader_events *events,
				       void *data)
{
	struct http_reader *reader = g_new0(struct http_reader, 1);

	http_parser_init(&reader->parser, kind == HTTP_READER_REQUESTS
						  ? HTTP_REQUEST
						  : HTTP_RESPONSE);
	reader->parser.data = reader;
	reader->head_scan.is_request = reader_is_request(reader);
	reader->events = events;
	reader->data = data;
	reader->max_head_bytes = max_head_bytes;
	reader->target = g_string_new(NULL);
	reader->name = g_string_new(NULL);
	reader->value = g_string_new(NULL);
	return reader;
}

/* Frees a reader; NULL is allowed. */
void http_reader_destroy(struct http_reader *reader)
{
	if (!reader)
		return;
	http_head_destroy(reader->head);
	g_string_free(reader->target, TRUE);
	g_string_free(reader->name, TRUE);
	g_string_free(reader->value, TRUE);
	g_free(reader);
}

/* Sets the limit on the size of heads, from the next byte on. */
void http_reader_set_max_head(struct http_reader *reader, size_t max_head_bytes)
{
	reader->max_head_bytes = max_head_bytes;
}

static enum http_reader_result reader_result(const struct http_reader *reader)
{
	if (reader->too_large)
		return HTTP_READER_TOO_LARGE;
	if (reader->complete)
		return HTTP_READER_COMPLETE;
	if (reader->rejected || HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK)
		return HTTP_READER_BAD;
	return HTTP_READER_INCOMPLETE;
}

/*
 * The parser reads statuses such as 0 and 20, and 0200 as 200. Returns false
 * for an answer whose status is not one.
 */
static bool reader_check_status(struct http_reader *reader, const char *bytes,
				size_t size)
{
	struct status_line *line = &reader->status_line;

	if (reader_is_request(reader))
		return true;
	status_line_read(line, bytes, size);
	reader->rejected = line->state == STATUS_LINE_INVALID;
	return !reader->rejected;
}

/*
 * The parser takes any bytes for the name of the protocol, and any one for the
 * LF after the last CR of a head. Returns false for a head with other lines
 * than it may have.
 */
static bool reader_check_lines(struct http_reader *reader, const char *bytes,
			       size_t size)
{
	reader->rejected |= !head_scan_read(&reader->head_scan, bytes, size);
	return !reader->rejected;
}

/*
 * Reads at most up to the end of one message and sets consumed to the number of
 * bytes read. After HTTP_READER_COMPLETE, the next call begins a new message.
 */
enum http_reader_result http_reader_feed(struct http_reader *reader,
					 const char *bytes, size_t size,
					 size_t *consumed)
{
	if (reader->complete) {
		reader->complete = false;
		reader->status_line = (struct status_line){0};
		reader->head_scan = (struct head_scan){
			.is_request = reader_is_request(reader),
		};
		http_parser_pause(&reader->parser, 0);
	}
	if (!reader_check_status(reader, bytes, size) ||
	    !reader_check_lines(reader, bytes, size)) {
		*consumed = 0;
		return HTTP_READER_BAD;
	}
	*consumed = http_parser_execute(&reader->parser, &parser_settings,
					bytes, size);
	reader_deliver_body(reader);
	return reader_result(reader);
}

/*
 * Handles the end of the connection's input. It completes an answer without a
 * length. If any other message is in progress, or none, it returns
 * HTTP_READER_BAD.
 */
enum http_reader_result http_reader_finish(struct http_reader *reader)
{
	size_t consumed;

	if (!reader->in_message)
		return HTTP_READER_BAD;
	return http_reader_feed(reader, NULL, 0, &consumed);
}

/* Whether the head of the current message is complete. */
bool http_reader_has_head(const struct http_reader *reader)
{
	return reader->has_head;
}

/* Bytes of the head that is being read, or was read last. */
size_t http_reader_head_bytes(const struct http_reader *reader)
{
	return reader->head_bytes;
}

/* Whether the connection must close after the last message. */
bool http_reader_must_close(const struct http_reader *reader)
{
	return reader->must_close;
}

/* Returns the head of the last message; the caller frees it. */
struct http_head *http_reader_take_head(struct http_reader *reader)
{
	return g_steal_pointer(&reader->head);
}
