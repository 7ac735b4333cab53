#ifndef ADAPTERS_BOUNDED_REQUEST_H
#define ADAPTERS_BOUNDED_REQUEST_H

#include "core/base/error.h"

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
struct bounded_request_spec {
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

struct bounded_result {
	bool sent;	/* the server may have seen the request */
	int32_t status; /* 0: no whole answer came, see error */
	GBytes *body;	/* NULL when status is 0 */
	struct error error;
};

typedef void (*bounded_request_done)(void *data,
				     const struct bounded_result *result);

struct bounded_request;

struct bounded_request *
bounded_request_start(SoupSession *session,
		      const struct bounded_request_spec *spec,
		      bounded_request_done done, void *data);
void bounded_request_cancel(struct bounded_request *request);

SoupMessage *
bounded_request_create_message(const struct bounded_request_spec *spec);

G_END_DECLS

#endif
