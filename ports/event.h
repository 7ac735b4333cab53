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
 * What the core is told. The driver owns an event and all it points to; the
 * core copies or references what it keeps.
 *
 * call     names a caller's open HTTP exchange; chosen by the driver, never
 *          used twice by one process.
 * attempt  names one request sent to an endpoint; chosen by the core, never
 *          used twice by one process.
 */

enum event_type {
	EVENT_TIMER, /* node_next_due_us() has come */
	EVENT_CALL,
	EVENT_CALL_GONE, /* the caller closed */
	EVENT_CALL_FLOW, /* its buffer is above or again below the mark */
	EVENT_QUERY,	 /* operators and callers asking about the system */
	EVENT_ATTEMPT_STARTED,
	EVENT_ATTEMPT_CHUNK,
	EVENT_ATTEMPT_DONE,
	EVENT_ATTEMPT_ANSWER, /* plain endpoint's whole answer */
	EVENT_ATTEMPT_FAILED,
	EVENT_LOAD,
	EVENT_ORDER,	   /* what became of an order */
	EVENT_ORDER_STATE, /* what an engine says of its target */
	EVENT_PEER,
	EVENT_KV,
	EVENT_KV_WATCH,
	EVENT_VM_LIST,
	EVENT_SHUTDOWN, /* start to drain */
	EVENT_TYPES
};

struct event_call {
	uint64_t call;
	struct request *request;
};

struct event_call_flow {
	uint64_t call;
	bool full;
};

enum query_type {
	QUERY_NODES,   /* GET /v1/nodes */
	QUERY_DUMP,    /* GET /admin/v1/dump */
	QUERY_SHOW,    /* GET /admin/v1/config */
	QUERY_PLAN,    /* POST /admin/v1/plans, body: an intent in JSON */
	QUERY_CONFIRM, /* POST /admin/v1/plans/ID/confirm */
	QUERY_HISTORY  /* GET /admin/v1/history */
};

struct event_query {
	uint64_t call;
	enum query_type type;
	const char *operator_name; /* who asks; "" for callers */
	const char *plan_id;	   /* confirm */
	GBytes *body;		   /* plan: the intent; else NULL */
};

struct event_attempt_started {
	uint64_t attempt;
	const char *generation; /* engine's handle of the generation */
};

struct event_attempt_chunk {
	uint64_t attempt;
	int64_t first_token; /* offset of the first token in this chunk */
	int64_t token_count;
	GBytes *data; /* JSON of the event, passed on verbatim */
};

struct event_attempt_done {
	uint64_t attempt;
	int64_t token_count; /* tokens of the whole generation; -1: not said */
	const char *finish_reason;
};

struct event_attempt_answer {
	uint64_t attempt;
	int32_t status;
	const char *content_type;
	GBytes *body;
	bool replayed; /* a node's first outcome of a repeated id */
};

enum attempt_stage {
	ATTEMPT_NOT_SENT, /* no byte has left for the endpoint */
	ATTEMPT_REFUSED,  /* the engine answered that it did not run it */
	ATTEMPT_GONE,	  /* resume: the engine does not know the generation */
	ATTEMPT_SENT	  /* may have run, or is running */
};

struct event_attempt_failed {
	uint64_t attempt;
	enum attempt_stage stage;
	struct error error;
};

struct event_load {
	const char *endpoint;
	bool reached; /* false: no report could be had */
	struct load_report report;
};

enum order_outcome {
	ORDER_TAKEN,
	ORDER_STALE,   /* the engine has seen a higher fencing number */
	ORDER_REFUSED, /* the engine cannot */
	ORDER_LOST     /* not sent, or sent and not answered */
};

struct event_order {
	const char *endpoint;
	enum order_outcome outcome;
};

struct event_order_state {
	const char *endpoint;
	const char *target;	  /* NULL: it did not answer */
	bool loading;		  /* works on an order it has taken */
	int64_t requests_running; /* as it counts itself, without a lag */
};

struct event_kv_watch {
	const char *key;
	int64_t mod_revision;
	GBytes *value; /* NULL: deleted */
};

struct vm {
	const char *address; /* host:port of the endpoint on it */
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
