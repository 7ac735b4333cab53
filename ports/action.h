#ifndef PORTS_ACTION_H
#define PORTS_ACTION_H

#include "ports/kv.h"
#include "ports/peer_message.h"
#include "ports/refusal.h"
#include "ports/request.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Actions: the output of the core. An action owns what it points to. The driver
 * carries out the actions of one step in order and then clears the list.
 */

enum action_type {
	ACTION_CALL_ANSWER, /* sends a complete answer; ends the call */
	ACTION_CALL_REFUSE, /* sends a refusal; ends the call */
	ACTION_CALL_BEGIN,  /* starts a stream; nothing is sent before it */
	ACTION_CALL_CHUNK,
	ACTION_CALL_END,       /* ends the stream, complete or with an error */
	ACTION_ATTEMPT_SEND,   /* sends a request to an endpoint */
	ACTION_ATTEMPT_RESUME, /* reattaches to a generation, from next_token */
	ACTION_ATTEMPT_CANCEL,
	ACTION_ATTEMPT_FLOW, /* pauses or continues reading the answer */
	ACTION_POLL_LOAD,    /* requests an endpoint's load report */
	ACTION_ORDER,	     /* sets the target of an engine */
	ACTION_READ_ORDER,   /* reads the target of an engine */
	ACTION_PEER_SEND,
	ACTION_KV,
	ACTION_KV_WATCH, /* starts to watch a key */
	ACTION_CONFIG,	 /* a configuration took effect on this node */
	ACTION_LOG,
	ACTION_STOPPED, /* draining has ended: the process may exit */
	ACTION_TYPES
};

struct action_call_answer {
	uint64_t call;
	int32_t status;
	char *content_type;
	GBytes *body;
	bool replayed; /* outcome of an earlier run under the same id */
};

struct action_call_refuse {
	uint64_t call;
	enum refusal refusal;
	enum run run;
	int64_t retry_after_us; /* 0: a retry does not help */
	char *detail;		/* further text for the caller, or NULL */
};

struct action_call_chunk {
	uint64_t call;
	char *event_id;
	GBytes *data;
};

struct action_call_end {
	uint64_t call;
	enum refusal refusal; /* REFUSAL_NONE: the stream is complete */
	enum run run;
	int64_t retry_after_us;
	int64_t token_count;
	char *finish_reason;
};

struct action_attempt_send {
	uint64_t attempt;
	uint64_t call; /* only for log lines */
	char *endpoint;
	struct request *request;
	int32_t priority;
	bool to_node;	    /* to another node, so marked as forwarded */
	int64_t timeout_us; /* plain: until the answer is complete; 0: none */
};

struct action_attempt_resume {
	uint64_t attempt;
	uint64_t call;
	char *endpoint;
	char *generation;
	int64_t next_token;
};

struct action_attempt_cancel {
	uint64_t attempt;
	bool keep_running; /* detach only: the caller may resume */
};

struct action_attempt_flow {
	uint64_t attempt;
	bool pause;
};

struct action_poll_load {
	char *endpoint;
};

struct action_order {
	char *endpoint;
	int64_t fence; /* fencing number of the holder's lease */
	char *target;
	int64_t timeout_us;
};

struct action_read_order {
	char *endpoint;
	int64_t timeout_us;
};

struct action_peer_send {
	char *peer_address;
	struct peer_message *message;
};

struct action_config {
	int64_t revision;
	GBytes *document;
};

enum log_level { LOG_LEVEL_INFO, LOG_LEVEL_WARN, LOG_LEVEL_ERROR };

struct action_log {
	enum log_level level;
	const char *event; /* static name, such as "call_end" */
	GPtrArray *fields; /* char *: keys and values, alternating */
};

struct action {
	enum action_type type;
	union {
		struct action_call_answer answer;
		struct action_call_refuse refuse;
		uint64_t call_begin;
		struct action_call_chunk chunk;
		struct action_call_end end;
		struct action_attempt_send send;
		struct action_attempt_resume resume;
		struct action_attempt_cancel cancel;
		struct action_attempt_flow flow;
		struct action_poll_load poll_load;
		struct action_order order;
		struct action_read_order read_order;
		struct action_peer_send peer_send;
		struct kv_request kv;
		char *kv_watch; /* key */
		struct action_config config;
		struct action_log log;
	};
};

struct action_list;

struct action_list *action_list_create(void);
void action_list_destroy(struct action_list *list);
size_t action_list_count(const struct action_list *list);
struct action *action_list_get(struct action_list *list, size_t i);
void action_list_clear(struct action_list *list);
struct action *action_list_add(struct action_list *list, enum action_type type);
void action_list_log(struct action_list *list, enum log_level level,
		     const char *event, ...) G_GNUC_NULL_TERMINATED;

G_END_DECLS

#endif
