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
 * One asynchronous HTTP request with a limit on the size of its answer and a
 * timeout. Its result states whether any byte may have been sent: only a
 * request that was not sent is known not to have taken effect.
 */
struct bounded_request_spec {
	const char *method;
	const char *url;
	GBytes *body; /* JSON, or NULL for no body */
	bool fresh_connection;
	size_t max_request_bytes;
	size_t max_answer_bytes;
	int64_t timeout_us;
	const char *step; /* static string that names the step in errors */
	const char *peer;
};

struct bounded_result {
	bool sent;	/* the server may have seen the request */
	int32_t status; /* 0: no complete answer, see error */
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
