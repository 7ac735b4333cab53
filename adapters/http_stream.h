#ifndef ADAPTERS_HTTP_STREAM_H
#define ADAPTERS_HTTP_STREAM_H

#include "adapters/http_answer.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One answer as server-sent events. The stream counts the bytes that were
 * passed to libsoup and not yet written. It calls flow() from the main loop,
 * with full = true once they exceed buffer_bytes and with full = false once
 * they fall below half of it.
 */
struct http_stream_options {
	SoupServerMessage *message;
	int64_t buffer_bytes;
	void (*flow)(void *data, bool full);
	void *data;
	bool chat; /* format of the last event */
};

struct http_stream;

struct http_stream *
http_stream_create(const struct http_stream_options *options);
void http_stream_destroy(struct http_stream *stream);
void http_stream_begin(struct http_stream *stream);
void http_stream_chunk(struct http_stream *stream, const char *event_id,
		       GBytes *data);
void http_stream_end_complete(struct http_stream *stream, int64_t token_count,
			      const char *finish_reason);
void http_stream_end_problem(struct http_stream *stream,
			     const struct http_problem *problem);

G_END_DECLS

#endif
