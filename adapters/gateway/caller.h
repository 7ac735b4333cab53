#ifndef ADAPTERS_GATEWAY_CALLER_H
#define ADAPTERS_GATEWAY_CALLER_H

#include "adapters/gateway/http_head.h"
#include "core/gateway/memory_budget.h"
#include "core/gateway/route_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A caller's connection. Its requests are read one at a time, and each goes to
 * the handler when it is complete. The limits on the size of a request and on
 * the time it takes to arrive are enforced here, and a bound on the time in
 * which a caller reads nothing of an answer that has ended.
 */
struct caller;

struct caller_handler {
	/*
	 * Grants the memory of a request whose head has been read; bytes are
	 * its head and the body that it announces. NULL: there is no room. May
	 * be NULL: nothing is counted.
	 */
	struct memory_grant *(*grant)(void *data, const struct http_head *head,
				      size_t bytes);
	/*
	 * A request is refused for want of memory. Returns the status, and
	 * appends header lines that end with CR LF to fields.
	 */
	int32_t (*no_memory)(void *data, const struct http_head *head,
			     size_t bytes, GString *fields);
	/*
	 * A complete request. The handler owns head and body, and answers with
	 * caller_answer, or with caller_send and caller_end_answer.
	 */
	void (*request)(void *data, struct caller *caller,
			struct http_head *head, GByteArray *body);
	/*
	 * The connection ended before the answer did: detail says whether the
	 * caller closed it or how it failed. May be NULL.
	 */
	void (*gone)(void *data, void *request, const char *detail);
	/*
	 * A connection failed after its last answer had ended, with bytes that
	 * the caller has not read, or was given up as it reads none of them.
	 * Several that were closing are told as one. May be NULL.
	 */
	void (*unread)(void *data, size_t bytes, const char *detail);
	/* All queued bytes are sent; the answer may continue. May be NULL. */
	void (*drained)(void *data, void *request);
	void *data;
};

/* All caller connections that share one handler. */
struct caller_set;

struct caller_set *caller_set_create(const struct caller_handler *handler,
				     size_t max_callers);
void caller_set_destroy(struct caller_set *set);
void caller_set_apply_limits(struct caller_set *set,
			     const struct caller_limits *limits);
void caller_set_accept(struct caller_set *set, int fd, int64_t now_us);
void caller_set_note_time(struct caller_set *set, int64_t now_us);
void caller_set_step(struct caller_set *set, int64_t now_us);
void caller_set_drain(struct caller_set *set);
void caller_set_close_idle(struct caller_set *set);
void caller_set_refuse_arriving(struct caller_set *set);
size_t caller_set_arriving_count(const struct caller_set *set);
size_t caller_set_busy_count(const struct caller_set *set);

void caller_attach_request(struct caller *caller, void *request);
void caller_answer(struct caller *caller, int32_t status, const char *fields,
		   const char *body, size_t body_size);
void caller_send(struct caller *caller, const char *bytes, size_t size);
void caller_end_answer(struct caller *caller, bool must_close);
void caller_abort(struct caller *caller);
void caller_end_by_close(struct caller *caller);
bool caller_is_excess(const struct caller *caller);
struct memory_grant *caller_take_grant(struct caller *caller);
bool caller_decide_close(struct caller *caller);
size_t caller_waiting_bytes(const struct caller *caller);
const char *http_status_text(int32_t status);

G_END_DECLS

#endif
