#ifndef ADAPTERS_HTTP_STREAM_H
#define ADAPTERS_HTTP_STREAM_H

#include "adapters/http_answer.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One answer as server-sent events. Counts the bytes that were handed to
 * libsoup and not yet written, and tells, from the loop, when they rise above
 * the mark and when they are below half of it again.
 */
struct http_stream_options {
	SoupServerMessage *message;
	int64_t buffer_bytes;
	void (*flow)(void *data, bool full);
	void *data;
	bool chat; /* shape of the last event */
};

struct http_stream;

struct http_stream *
http_stream_create(const struct http_stream_options *options);
void http_stream_destroy(struct http_stream *stream);
void http_stream_begin(struct http_stream *stream);
void http_stream_chunk(struct http_stream *stream, const char *event_id,
		       GBytes *data);
void http_stream_end_whole(struct http_stream *stream, int64_t token_count,
			   const char *finish_reason);
void http_stream_end_problem(struct http_stream *stream,
			     const struct http_problem *problem);

G_END_DECLS

#endif
