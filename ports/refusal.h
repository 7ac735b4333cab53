#ifndef PORTS_REFUSAL_H
#define PORTS_REFUSAL_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Why a call got no whole answer, and what the caller may conclude. The table
 * in core/message/refusal.c gives each its HTTP status, its code in the JSON
 * body and its default "run" value.
 */

enum run { RUN_NO, RUN_YES, RUN_UNKNOWN };

enum refusal {
	REFUSAL_NONE = 0,
	REFUSAL_BAD_REQUEST,
	REFUSAL_TOO_LARGE,
	REFUSAL_UNAUTHORIZED,
	REFUSAL_UNKNOWN_SERVICE,
	REFUSAL_NO_CONFIG,
	REFUSAL_RATE_LIMIT,
	REFUSAL_TOKEN_LIMIT,
	REFUSAL_QUEUE_FULL,
	REFUSAL_DEADLINE,    /* cannot be met: said at once */
	REFUSAL_NO_ENDPOINT, /* none live, or none has room in time */
	REFUSAL_DRAINING,
	REFUSAL_ISOLATED, /* node cut off: may hold an old configuration */
	REFUSAL_KV_UNAVAILABLE,	 /* the id could not be claimed */
	REFUSAL_KEY_REQUIRED,	 /* non-idempotent without Idempotency-Key */
	REFUSAL_IN_PROGRESS,	 /* this id is running now */
	REFUSAL_UNKNOWN_OUTCOME, /* this id may have run; it will not run again
				  */
	REFUSAL_ID_EXPIRED,	 /* issued longer ago than ids are remembered */
	REFUSAL_ALREADY_RUN, /* ran whole; its outcome is not kept any more */
	REFUSAL_KEY_REUSED,  /* same id, another body */
	REFUSAL_QUARANTINED,
	REFUSAL_BAD_EVENT_ID,	 /* forged, or another organisation's */
	REFUSAL_GENERATION_GONE, /* cannot be resumed: a resend starts anew */
	REFUSAL_ENDPOINT_FAILED,
	REFUSAL_ENDPOINT_TIMEOUT,
	REFUSAL_COUNT
};

int refusal_status(enum refusal refusal);
const char *refusal_code(enum refusal refusal);
const char *refusal_text(enum refusal refusal);
enum run refusal_run(enum refusal refusal);
const char *run_name(enum run run);

G_END_DECLS

#endif
