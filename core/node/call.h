#ifndef CORE_NODE_CALL_H
#define CORE_NODE_CALL_H

#include "core/config/config.h"
#include "core/limit/admission.h"
#include "core/once/outcome_store.h"
#include "ports/request.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* A request at its entry node, from its arrival to the final reply. */

enum call_state {
	CALL_CLAIMING,	/* its id is being claimed in the key-value service */
	CALL_JOINED,	/* waits for the outcome of an earlier call of its id */
	CALL_PLACING,	/* waits for an endpoint */
	CALL_BACKOFF,	/* waits before another attempt */
	CALL_SENT,	/* at an endpoint; nothing delivered yet */
	CALL_STREAMING, /* tokens delivered: must not be started again */
	CALL_REATTACH,	/* stream lost; waits to attach to its generation */
	CALL_FORWARDED	/* sent to the node that issued or claimed its id */
};

struct call {
	uint64_t id;
	enum call_state state;
	struct request *request;
	enum service_kind kind;
	char *organisation;
	int32_t priority;
	int32_t weight;
	int64_t counted_tokens; /* counted against its organisation's limit */
	uint64_t fingerprint;
	struct admission admission; /* by quarantine, when last asked */
	struct outcome *outcome;    /* owned by the store; NULL without an id */
	bool awaits_lease;	    /* its claim waits for the claim lease */
	bool caller_gone; /* disconnected; the call may run to its end */
	bool begun;	  /* the reply stream to the caller has started */
	bool paused;	  /* the caller reads too slowly; reading is stopped */
	bool maybe_run;	  /* an earlier attempt may have run it */

	int64_t arrived_us;
	int64_t deadline_us;	/* absolute; 0: none */
	int64_t state_since_us; /* when it entered this state */
	int64_t timer_us;	/* next timer; INT64_MAX: none */
	int64_t retry_us; /* end of the wait in placing, backoff, reattach */
	int64_t last_active_us; /* last data from the endpoint, or last change
				   of flow control */

	uint64_t ticket; /* identifies the call to the home; 0: none */
	char *home;	 /* home that has the ticket; "": the local share */
	bool home_acknowledged; /* the home has confirmed that the ticket is
				   queued */
	int64_t placed_us;	/* when the grant arrived */
	uint32_t shard;		/* index of the shard that the ticket is for */

	uint64_t attempt; /* current attempt; 0: none */
	int32_t attempts;
	int32_t reattaches; /* since the last token */
	char *endpoint;
	struct endpoint_start start; /* that the attempt goes to */
	char *generation;
	int64_t next_token;
	uint64_t avoid_hash; /* of the endpoint to avoid when placed again */
};

struct call *call_create(uint64_t id, struct request *request, int64_t now_us);
void call_destroy(struct call *call);
const char *call_state_name(enum call_state state);
void call_set_endpoint(struct call *call, const char *endpoint);
void call_set_generation(struct call *call, const char *generation);

G_END_DECLS

#endif
