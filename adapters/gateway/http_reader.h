#ifndef ADAPTERS_GATEWAY_HTTP_READER_H
#define ADAPTERS_GATEWAY_HTTP_READER_H

#include "adapters/gateway/http_head.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Reads HTTP/1.1 messages from the bytes of one connection. It stops behind
 * each whole message, so that the owner decides what the bytes after it are.
 * What two readers might take for different messages is refused.
 */
enum http_reader_kind { HTTP_READER_REQUESTS, HTTP_READER_ANSWERS };

enum http_reader_result {
	HTTP_READER_MORE,     /* all bytes taken, the message goes on */
	HTTP_READER_COMPLETE, /* the message is whole */
	HTTP_READER_BAD,      /* not HTTP, or ambiguous */
	HTTP_READER_TOO_LARGE /* head over the limit */
};

struct http_reader_events {
	/* Owned by the reader until the next message. False: no body comes. */
	bool (*head)(void *data, const struct http_head *head);
	void (*body)(void *data, const char *bytes, size_t size);
};

struct http_reader;

struct http_reader *http_reader_create(enum http_reader_kind kind,
				       size_t max_head_bytes,
				       const struct http_reader_events *events,
				       void *data);
void http_reader_destroy(struct http_reader *reader);
enum http_reader_result http_reader_feed(struct http_reader *reader,
					 const char *bytes, size_t size,
					 size_t *taken);
enum http_reader_result http_reader_end(struct http_reader *reader);
bool http_reader_has_head(const struct http_reader *reader);
bool http_reader_must_close(const struct http_reader *reader);
struct http_head *http_reader_take_head(struct http_reader *reader);

G_END_DECLS

#endif
