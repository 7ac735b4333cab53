#ifndef PORTS_REFUSAL_H
#define PORTS_REFUSAL_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Why a call got no complete answer, and whether its request ran. The table in
 * core/message/refusal.c lists for each refusal the HTTP status, the code in
 * the JSON body and the default "run" value.
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
	REFUSAL_DEADLINE,    /* cannot be met; refused without a wait */
	REFUSAL_NO_ENDPOINT, /* none is live, or none has capacity in time */
	REFUSAL_DRAINING,
	REFUSAL_ISOLATED, /* node partitioned: its configuration may be old */
	REFUSAL_KV_UNAVAILABLE, /* the id could not be claimed */
	REFUSAL_KEY_REQUIRED,	/* non-idempotent and without Idempotency-Key */
	REFUSAL_IN_PROGRESS,	/* a request with this id is running */
	REFUSAL_UNKNOWN_OUTCOME, /* may have run; will not run again */
	REFUSAL_ID_EXPIRED,	 /* issued longer ago than ids are kept */
	REFUSAL_ALREADY_RUN, /* ran to its end; the outcome is no longer kept */
	REFUSAL_KEY_REUSED,  /* same id with another body */
	REFUSAL_QUARANTINED,
	REFUSAL_BAD_EVENT_ID,	 /* forged, or of another organisation */
	REFUSAL_GENERATION_GONE, /* not resumable; a retry starts a new one */
	REFUSAL_ENDPOINT_FAILED,
	REFUSAL_ENDPOINT_TIMEOUT,
	REFUSAL_COUNT
};

int refusal_http_status(enum refusal refusal);
const char *refusal_code(enum refusal refusal);
const char *refusal_text(enum refusal refusal);
enum run refusal_default_run(enum refusal refusal);
const char *run_name(enum run run);

G_END_DECLS

#endif
