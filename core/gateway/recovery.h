#ifndef CORE_GATEWAY_RECOVERY_H
#define CORE_GATEWAY_RECOVERY_H

#include "core/gateway/route_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Decides what to do with a request that got no complete answer from its
 * endpoint. The guarantee of the route comes first: a request that must not run
 * twice is sent again only if it certainly has not run, or as the same run from
 * a copy of its memory.
 */

enum attempt_result {
	RESULT_NOT_SENT, /* no byte was sent to the endpoint */
	RESULT_NOT_RUN,	 /* the endpoint answered that it did not run it */
	RESULT_ERROR,	 /* the endpoint answered with a 5xx status */
	RESULT_SLOW,	 /* nothing arrived in time */
	RESULT_BROKEN,	 /* connection lost, or not a valid answer */
	RESULT_NO_COPY	 /* there was no memory to continue from */
};

struct recovery_input {
	enum route_kind kind;
	enum attempt_result result;
	bool is_resumable;  /* a stream that may run more than once */
	bool answer_begun;  /* the caller has received a part of it */
	bool has_event_id;  /* of the last event that the caller has */
	bool copy_is_ready; /* at an endpoint that still serves */
	bool budget_left;
	int32_t runs;  /* endpoints that may have run the request */
	int32_t sends; /* endpoints that the request was sent to */
	int32_t max_attempts;
};

enum recovery {
	RECOVERY_SEND_AGAIN, /* as a new run elsewhere */
	RECOVERY_TAKE_OVER,  /* continue the same run from the copy */
	RECOVERY_RESUME,     /* as a new run elsewhere, after the last event */
	RECOVERY_FORWARD,    /* forward the endpoint's own answer */
	RECOVERY_REFUSE,     /* it has not run: the caller may retry */
	RECOVERY_FAIL,	     /* it may have run: the outcome is unknown */
	RECOVERY_ABORT	     /* cut off the answer so that the caller sees it */
};

enum recovery recovery_decide(const struct recovery_input *input);
const char *attempt_result_name(enum attempt_result result);
const char *recovery_name(enum recovery recovery);

G_END_DECLS

#endif
