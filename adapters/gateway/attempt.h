#ifndef ADAPTERS_GATEWAY_ATTEMPT_H
#define ADAPTERS_GATEWAY_ATTEMPT_H

#include "adapters/gateway/endpoint_pool.h"
#include "adapters/gateway/http_head.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One request sent to one address, and its answer as it comes. It never sends
 * a request twice. An answer that names another request is read away: an
 * endpoint may repeat a late one where the next is due.
 */
struct attempt_options {
	const char *address;
	const char *echo_field; /* its value in the answer must be echo_value */
	const char *echo_value; /* NULL: any answer counts */
	GString *request;	/* taken over */
	struct endpoint_pool *pool; /* NULL: a connection of its own */
	bool has_no_body;	    /* the answer, as to HEAD */
	int64_t now_us;
};

struct attempt_events {
	void (*head)(void *data, const struct http_head *head);
	/* May be NULL where only the head counts. */
	void (*body)(void *data, const char *bytes, size_t size);
	void (*whole)(void *data);
	/* ERROR_UNREACHABLE: nothing has left for the endpoint. */
	void (*failed)(void *data, const struct error *error);
};

struct attempt;

/* After whole or failed the attempt is over and its owner destroys it. */
struct attempt *attempt_start(const struct attempt_options *options,
			      const struct attempt_events *events, void *data,
			      struct error *error);
void attempt_destroy(struct attempt *attempt);
void attempt_set_reading(struct attempt *attempt, bool reading);
bool attempt_has_sent(const struct attempt *attempt);
bool attempt_is_connected(const struct attempt *attempt);
void attempt_keep_connection(struct attempt *attempt,
			     struct endpoint_pool *pool, int64_t until_us);

G_END_DECLS

#endif
