#ifndef ADAPTERS_GATEWAY_CALLER_H
#define ADAPTERS_GATEWAY_CALLER_H

#include "adapters/gateway/http_head.h"
#include "core/gateway/route_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A caller's connection: one request after another, each handed over whole.
 * What a request may hold and how long it may take are checked here.
 */
struct caller;

struct caller_handler {
	/* Head and body are handed over; the answer comes by caller_send. */
	void (*request)(void *data, struct caller *caller,
			struct http_head *head, GByteArray *body);
	/* The connection is gone; of requests that wait for an answer only. */
	void (*gone)(void *data, void *request);
	/* What waits for the caller has become little again. */
	void (*drained)(void *data, void *request);
	void *data;
};

/* The connections of callers that one handler serves. */
struct caller_set;

struct caller_set *caller_set_create(const struct caller_handler *handler,
				     size_t max_callers);
void caller_set_destroy(struct caller_set *set);
void caller_set_limits(struct caller_set *set,
		       const struct caller_limits *limits);
void caller_set_accept(struct caller_set *set, int fd, int64_t now_us);
void caller_set_step(struct caller_set *set, int64_t now_us);
void caller_set_drain(struct caller_set *set);
void caller_set_close_idle(struct caller_set *set);
size_t caller_set_busy_count(const struct caller_set *set);

void caller_set_request(struct caller *caller, void *request);
void caller_answer(struct caller *caller, int32_t status, const char *fields,
		   const char *body, size_t body_size);
void caller_send(struct caller *caller, const char *bytes, size_t size);
void caller_end(struct caller *caller, bool must_close);
void caller_break(struct caller *caller);
bool caller_will_close(const struct caller *caller);
size_t caller_waiting_bytes(const struct caller *caller);
const char *http_status_text(int32_t status);

G_END_DECLS

#endif
