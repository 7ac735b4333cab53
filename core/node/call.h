#ifndef CORE_NODE_CALL_H
#define CORE_NODE_CALL_H

#include "core/config/config.h"
#include "core/once/outcome_store.h"
#include "ports/request.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One caller's request at its entry node, from arrival to its last word. */

enum call_state {
	CALL_CLAIMING,	/* its id is being claimed in the key-value service */
	CALL_JOINED,	/* waits for the outcome of the same id */
	CALL_PLACING,	/* waits for an endpoint */
	CALL_BACKOFF,	/* waits to be placed again after a failed attempt */
	CALL_SENT,	/* at an endpoint, nothing delivered yet */
	CALL_STREAMING, /* tokens delivered: never started again */
	CALL_REATTACH,	/* as streaming; waits to attach to the generation */
	CALL_FORWARDED	/* at the node that issued its id */
};

struct call {
	uint64_t id;
	enum call_state state;
	struct request *request;
	enum service_kind kind;
	char *organisation;
	int32_t priority;
	int32_t weight;
	int64_t counted_tokens; /* against the organisation's limit */
	uint64_t fingerprint;
	struct outcome *outcome; /* owned by the store; NULL without an id */
	bool awaits_lease;	 /* its claim waits for a lease to hang on */
	bool caller_gone; /* non-idempotent: goes on to learn the outcome */
	bool begun;	  /* the caller's stream has started */
	bool paused;	  /* the caller reads too slowly */
	bool maybe_run;	  /* an earlier attempt may have run it */

	int64_t arrived_us;
	int64_t deadline_us;   /* absolute; 0: none */
	int64_t state_us;      /* since when it is in this state */
	int64_t wake_us;       /* next look at its timers; INT64_MAX: none */
	int64_t retry_us;      /* backoff and reattach: when to go on */
	int64_t last_heard_us; /* from its endpoint */

	uint64_t ticket;   /* names it to the home; 0: none */
	char *home;	   /* name of the home asked; "" for the local share */
	bool home_heard;   /* the home has said that it queued the ticket */
	int64_t placed_us; /* when the grant came */
	uint32_t shard;	   /* of the home asked */

	uint64_t attempt; /* 0: none */
	int32_t attempts;
	int32_t reattaches; /* since the last token */
	char *endpoint;
	char *generation;
	int64_t next_token;
	uint64_t avoid_hash; /* of the endpoint that failed it last */
};

struct call *call_create(uint64_t id, struct request *request, int64_t now_us);
void call_destroy(struct call *call);
const char *call_state_name(enum call_state state);
void call_set_endpoint(struct call *call, const char *endpoint);
void call_set_generation(struct call *call, const char *generation);

G_END_DECLS

#endif
