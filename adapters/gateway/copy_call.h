#ifndef ADAPTERS_GATEWAY_COPY_CALL_H
#define ADAPTERS_GATEWAY_COPY_CALL_H

#include "adapters/gateway/dialect.h"
#include "adapters/log.h"
#include "core/base/counters.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One call to an engine that copies the memory of a run to another engine, and
 * stops the run first if it is the last copy.
 */

enum copy_result {
	COPY_RESULT_COPIED,  /* the copy is complete, and has a handle */
	COPY_RESULT_KEPT,    /* nothing was copied; the run has stopped, and its
				engine keeps the memory under the handle */
	COPY_RESULT_NO_RUN,  /* the engine has no such run */
	COPY_RESULT_REFUSED, /* nothing was copied, the run goes on */
	COPY_RESULT_IN_PROGRESS, /* the same; another call copies the run */
	COPY_RESULT_NO_LISTENER, /* no process listens at its address */
	COPY_RESULT_NOT_SENT,	 /* no byte was sent to the engine */
	COPY_RESULT_UNREADABLE,	 /* a success that names no copy */
	COPY_RESULT_FAILED	 /* the call was sent, and has no answer */
};

struct copy_answer {
	enum copy_result result;
	const char *handle; /* NULL without one; valid during the call */
	int32_t status;	    /* of the answer; 0: none */
	int64_t created;    /* events that the run has made; 0: not stated */
	const char *detail; /* for logs */
};

struct copy_call_events {
	/* The engine has accepted the connection; may be NULL, or repeated. */
	void (*connected)(void *data);
	/* The call is over; its owner then destroys it. */
	void (*done)(void *data, const struct copy_answer *answer);
};

struct copy_call_options {
	const struct dialect *dialect;
	const char *endpoint_id;
	const char *address;
	const char *request_id;
	const char *target_address;
	bool is_last; /* stop the run first */
	int64_t now_us;
	struct log *log;
	struct counters *counters;
};

struct copy_call;

struct copy_call *copy_call_start(const struct copy_call_options *options,
				  const struct copy_call_events *events,
				  void *data, struct error *error);
bool copy_call_may_have_sent(const struct copy_call *call);
void copy_call_destroy(struct copy_call *call);
const char *copy_result_name(enum copy_result result);

G_END_DECLS

#endif
