#ifndef ADAPTERS_HTTP_UPLOAD_H
#define ADAPTERS_HTTP_UPLOAD_H

#include "adapters/http_answer.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits on requests while they arrive: the size of the headers and the body
 * of each request, and the total size of all incomplete bodies.
 */
struct http_uploads_options {
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	void (*refuse)(void *data, SoupServerMessage *message,
		       const struct http_problem *problem);
	void *data;
};

struct http_uploads;

struct http_uploads *
http_uploads_create(const struct http_uploads_options *options);
void http_uploads_destroy(struct http_uploads *uploads);
void http_uploads_watch(struct http_uploads *uploads,
			SoupServerMessage *message);
GBytes *http_uploads_take_body(SoupServerMessage *message);

G_END_DECLS

#endif
