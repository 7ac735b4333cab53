#ifndef ADAPTERS_HTTP_REQUEST_H
#define ADAPTERS_HTTP_REQUEST_H

#include "core/error.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One HTTP request with a bounded answer and a time-out, on the loop. Says
 * whether a byte may have left, which decides what a failure may be called.
 */
struct http_request_spec {
	const char *method;
	const char *url;
	GBytes *body; /* JSON; NULL: none */
	bool fresh_connection;
	size_t max_request_bytes;
	size_t max_answer_bytes;
	int64_t timeout_us;
	const char *step; /* static string, for errors */
	const char *peer;
};

struct http_result {
	bool sent;	/* the server may have seen the request */
	int32_t status; /* 0: no whole answer came, see error */
	GBytes *body;	/* NULL when status is 0 */
	struct error error;
};

typedef void (*http_request_done)(void *data, const struct http_result *result);

struct http_request;

struct http_request *http_request_start(SoupSession *session,
					const struct http_request_spec *spec,
					http_request_done done, void *data);
void http_request_cancel(struct http_request *request);

SoupMessage *http_request_create_message(const struct http_request_spec *spec);

G_END_DECLS

#endif
