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
 * One request sent to one address, and its answer, whose bytes go to the events
 * as they arrive. An attempt never sends its request twice. An answer that
 * names another request is read and discarded: an endpoint may send a late
 * answer again where the next one is expected.
 */
struct attempt_options {
	const char *address;
	const char *echo_field;	    /* this answer field must hold echo_value */
	const char *echo_value;	    /* NULL: accept any answer */
	GString *request;	    /* freed by attempt_start */
	GByteArray *body;	    /* sent after it, not copied; or NULL */
	struct endpoint_pool *pool; /* NULL: always open a connection */
	bool has_no_body;	    /* the answer has no body, as for HEAD */
	int64_t max_other_bytes;    /* of other answers before it; 0: any */
	int64_t now_us;
};

struct attempt_events {
	/* A new connection was established; may be NULL. */
	void (*opened)(void *data);
	/* The head belongs to the attempt. */
	void (*head)(void *data, const struct http_head *head);
	/* Part of the body; may be NULL if only the head is needed. */
	void (*body)(void *data, const char *bytes, size_t size);
	/* The answer is complete. */
	void (*complete)(void *data);
	/* ERROR_UNREACHABLE: nothing was sent to the endpoint. */
	void (*failed)(void *data, const struct error *error);
};

struct attempt;

/* The attempt is over after complete or failed; its owner then destroys it. */
struct attempt *attempt_start(const struct attempt_options *options,
			      const struct attempt_events *events, void *data,
			      struct error *error);
void attempt_destroy(struct attempt *attempt);
void attempt_set_reading(struct attempt *attempt, bool reading);
void attempt_read_waiting(struct attempt *attempt);
void attempt_close_sending(struct attempt *attempt);
bool attempt_may_have_sent(const struct attempt *attempt);
bool attempt_is_refused(const struct attempt *attempt);
bool attempt_was_accepted(const struct attempt *attempt);
bool attempt_is_connected(const struct attempt *attempt);
bool attempt_is_open(const struct attempt *attempt);
bool attempt_is_ended_by_close(const struct attempt *attempt);
int64_t attempt_connected_us(const struct attempt *attempt);
void attempt_keep_connection(struct attempt *attempt,
			     struct endpoint_pool *pool, int64_t until_us);

G_END_DECLS

#endif
