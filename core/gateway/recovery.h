#ifndef CORE_GATEWAY_RECOVERY_H
#define CORE_GATEWAY_RECOVERY_H

#include "core/gateway/route_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What becomes of a request when an endpoint did not answer it whole. The
 * promise decides first: a request that must not run twice is sent again only
 * where it certainly has not run, or as the same run from a copy of its
 * memory.
 */

enum attempt_result {
	RESULT_NOT_SENT, /* no byte has left for the endpoint */
	RESULT_NOT_RUN,	 /* the endpoint says that it did not run it */
	RESULT_ERROR,	 /* the endpoint's own 5xx */
	RESULT_SLOW,	 /* nothing came for too long */
	RESULT_BROKEN,	 /* cut off, or bytes that are no answer to it */
	RESULT_NO_COPY	 /* there was no memory to go on from */
};

struct recovery_input {
	enum route_kind kind;
	enum attempt_result result;
	bool answer_begun;  /* the caller has got a part of it */
	bool copy_is_ready; /* a backup at an endpoint that still serves */
	bool budget_left;
	int32_t runs;  /* endpoints that may have run it */
	int32_t sends; /* endpoints it was sent to */
	int32_t max_attempts;
};

enum recovery {
	RECOVERY_SEND_AGAIN, /* as a new run elsewhere */
	RECOVERY_TAKE_OVER,  /* the same run, from the copy */
	RECOVERY_PASS_ON,    /* the endpoint's own answer */
	RECOVERY_REFUSE,     /* it has not run and will not: come back */
	RECOVERY_FAIL,	     /* it may have run: no promise */
	RECOVERY_BREAK	     /* cut the answer off visibly */
};

enum recovery recovery_decide(const struct recovery_input *input);
const char *attempt_result_name(enum attempt_result result);
const char *recovery_name(enum recovery recovery);

G_END_DECLS

#endif
