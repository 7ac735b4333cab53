#ifndef PORTS_EVENT_H
#define PORTS_EVENT_H

#include "core/base/error.h"
#include "ports/kv.h"
#include "ports/load_report.h"
#include "ports/peer_message.h"
#include "ports/request.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Events: the input of the core. The driver owns an event and all it points to;
 * the core copies or references what it keeps.
 *
 * call     identifies a caller's open HTTP exchange. The driver assigns it and
 *          uses no value twice in one process.
 * attempt  identifies one request sent to an endpoint. The core assigns it and
 *          uses no value twice in one process.
 */

enum event_type {
	EVENT_TIMER, /* the time node_next_due_us() was reached */
	EVENT_CALL,
	EVENT_CALL_GONE, /* the caller disconnected */
	EVENT_CALL_FLOW, /* send buffer rose above or fell below its mark */
	EVENT_QUERY,	 /* an operator or a caller queries the system */
	EVENT_ATTEMPT_STARTED,
	EVENT_ATTEMPT_CHUNK,
	EVENT_ATTEMPT_DONE,
	EVENT_ATTEMPT_ANSWER, /* complete answer of a plain endpoint */
	EVENT_ATTEMPT_FAILED,
	EVENT_LOAD,
	EVENT_ORDER,	   /* outcome of an ACTION_ORDER */
	EVENT_ORDER_STATE, /* target and state read from an engine */
	EVENT_PEER,
	EVENT_KV,
	EVENT_KV_WATCH,
	EVENT_VM_LIST,
	EVENT_SHUTDOWN, /* the node starts to drain */
	EVENT_TYPES
};

struct event_call {
	uint64_t call;
	struct request *request;
};

struct event_call_flow {
	uint64_t call;
	bool full; /* send buffer is above its mark */
};

enum query_type {
	QUERY_NODES,	  /* GET /v1/nodes */
	QUERY_DUMP,	  /* GET /admin/v1/dump */
	QUERY_CONFIG,	  /* GET /admin/v1/config */
	QUERY_PLAN,	  /* POST /admin/v1/plans, body: an intent in JSON */
	QUERY_CONFIRM,	  /* POST /admin/v1/plans/ID/confirm */
	QUERY_HISTORY,	  /* GET /admin/v1/history */
	QUERY_QUARANTINE, /* GET /admin/v1/quarantine */
	QUERY_LIFT,	  /* POST /admin/v1/quarantine/FINGERPRINT/lift */
	QUERY_ENDPOINTS,  /* GET /admin/v1/endpoints */
	QUERY_WAITING	  /* GET /admin/v1/waiting */
};

struct event_query {
	uint64_t call;
	enum query_type type;
	const char *operator_name; /* "" if a caller queries */
	const char *plan_id;	   /* QUERY_CONFIRM */
	const char *fingerprint;   /* QUERY_LIFT: 16 hexadecimal digits */
	const char *service;	   /* QUERY_ENDPOINTS: "" for all of them */
	GBytes *body;		   /* QUERY_PLAN: the intent; else NULL */
};

struct event_attempt_started {
	uint64_t attempt;
	const char *generation; /* engine's handle of the generation */
};

struct event_attempt_chunk {
	uint64_t attempt;
	int64_t first_token; /* offset of the first token in this chunk */
	int64_t token_count;
	GBytes *data; /* JSON of the event, forwarded verbatim */
};

struct event_attempt_done {
	uint64_t attempt;
	int64_t token_count; /* of the complete generation; -1: unknown */
	const char *finish_reason;
};

struct event_attempt_answer {
	uint64_t attempt;
	int32_t status;
	const char *content_type;
	GBytes *body;
	bool replayed; /* a node answered with the outcome of an earlier run */
};

enum attempt_stage {
	ATTEMPT_NOT_SENT,  /* no byte was sent to the endpoint */
	ATTEMPT_REFUSED,   /* the engine answered: not run */
	ATTEMPT_NOT_FOUND, /* resume: the engine does not know the generation */
	ATTEMPT_SENT	   /* the request may have run or may still run */
};

struct event_attempt_failed {
	uint64_t attempt;
	enum attempt_stage stage;
	struct error error;
};

struct event_load {
	const char *endpoint;
	bool reached;	 /* false: no load report was received */
	bool is_refused; /* no connection was made */
	struct load_report report;
};

enum order_outcome {
	ORDER_ACCEPTED,
	ORDER_STALE,	  /* the engine has seen a higher fencing number */
	ORDER_REFUSED,	  /* the engine cannot take this target */
	ORDER_UNCONFIRMED /* not sent, or sent and not answered */
};

struct event_order {
	const char *endpoint;
	enum order_outcome outcome;
};

struct event_order_state {
	const char *endpoint;
	const char *target;	  /* NULL: the engine did not answer */
	bool loading;		  /* still carries out an accepted order */
	int64_t requests_running; /* the engine's own count, without a lag */
};

struct event_kv_watch {
	const char *key;
	int64_t mod_revision;
	GBytes *value; /* NULL: deleted */
};

struct vm {
	const char *address; /* host:port of the endpoint on this VM */
	bool leaving;
};

struct event_vm_list {
	const struct vm *vms;
	size_t vm_count;
};

struct event {
	enum event_type type;
	union {
		struct event_call call;
		uint64_t call_gone;
		struct event_call_flow call_flow;
		struct event_query query;
		struct event_attempt_started started;
		struct event_attempt_chunk chunk;
		struct event_attempt_done done;
		struct event_attempt_answer answer;
		struct event_attempt_failed failed;
		struct event_load load;
		struct event_order order;
		struct event_order_state order_state;
		const struct peer_message *peer;
		const struct kv_answer *kv;
		struct event_kv_watch kv_watch;
		struct event_vm_list vm_list;
	};
};

G_END_DECLS

#endif
