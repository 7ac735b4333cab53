#ifndef ADAPTERS_GATEWAY_HTTP_READER_H
#define ADAPTERS_GATEWAY_HTTP_READER_H

#include "adapters/gateway/http_head.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Reads HTTP/1.1 messages from the bytes of one connection. It stops after each
 * complete message, so that the owner decides how to treat the bytes after it.
 * It refuses a message that two parsers could read differently, which would
 * allow request smuggling.
 */
enum http_reader_kind { HTTP_READER_REQUESTS, HTTP_READER_ANSWERS };

enum http_reader_result {
	HTTP_READER_INCOMPLETE, /* all bytes consumed, message incomplete */
	HTTP_READER_COMPLETE,	/* the message has ended */
	HTTP_READER_BAD,	/* malformed or ambiguous */
	HTTP_READER_TOO_LARGE	/* head over the limit */
};

struct http_reader_events {
	/*
	 * The head belongs to the reader and is valid until the next message.
	 * Returns false if the message has no body.
	 */
	bool (*head)(void *data, const struct http_head *head);
	void (*body)(void *data, const char *bytes, size_t size);
};

struct http_reader;

struct http_reader *http_reader_create(enum http_reader_kind kind,
				       size_t max_head_bytes,
				       const struct http_reader_events *events,
				       void *data);
void http_reader_destroy(struct http_reader *reader);
void http_reader_set_max_head(struct http_reader *reader,
			      size_t max_head_bytes);
enum http_reader_result http_reader_feed(struct http_reader *reader,
					 const char *bytes, size_t size,
					 size_t *consumed);
enum http_reader_result http_reader_finish(struct http_reader *reader);
bool http_reader_has_head(const struct http_reader *reader);
bool http_reader_must_close(const struct http_reader *reader);
size_t http_reader_head_bytes(const struct http_reader *reader);
struct http_head *http_reader_take_head(struct http_reader *reader);

G_END_DECLS

#endif
