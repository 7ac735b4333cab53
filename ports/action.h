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
 * What the core asks to be done. An action owns what it points to; the driver
 * carries the actions of one step out in order and then clears the list.
 */

enum action_type {
	ACTION_CALL_ANSWER, /* a whole answer; ends the call */
	ACTION_CALL_REFUSE, /* a refusal; ends the call */
	ACTION_CALL_BEGIN,  /* a stream starts; nothing is sent before */
	ACTION_CALL_CHUNK,
	ACTION_CALL_END,       /* the stream's end, whole or with an error */
	ACTION_ATTEMPT_SEND,   /* request to an endpoint */
	ACTION_ATTEMPT_RESUME, /* attach to a generation after next_token */
	ACTION_ATTEMPT_CANCEL,
	ACTION_ATTEMPT_FLOW, /* stop or go on reading */
	ACTION_POLL_LOAD,    /* ask an endpoint for its load */
	ACTION_ORDER,	     /* give an engine a target */
	ACTION_READ_ORDER,   /* ask an engine for its target */
	ACTION_PEER_SEND,
	ACTION_KV,
	ACTION_KV_WATCH, /* watch this key from now on */
	ACTION_CONFIG,	 /* this configuration is in force here */
	ACTION_LOG,
	ACTION_STOPPED, /* drained: the process may end */
	ACTION_TYPES
};

struct action_call_answer {
	uint64_t call;
	int32_t status;
	char *content_type;
	GBytes *body;
	bool replayed; /* the first outcome of a repeated id */
};

struct action_call_refuse {
	uint64_t call;
	enum refusal refusal;
	enum run run;
	int64_t retry_after_us; /* 0: coming back does not help */
	char *detail;		/* more for the caller, or NULL */
};

struct action_call_chunk {
	uint64_t call;
	char *event_id;
	GBytes *data;
};

struct action_call_end {
	uint64_t call;
	enum refusal refusal; /* REFUSAL_NONE: whole */
	enum run run;
	int64_t retry_after_us;
	int64_t token_count;
	char *finish_reason;
};

struct action_attempt_send {
	uint64_t attempt;
	uint64_t call; /* for the log */
	char *endpoint;
	struct request *request;
	int32_t priority;
	bool to_node; /* the endpoint is another node: mark as forwarded */
	int64_t timeout_us; /* plain: whole answer; 0: none */
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
	bool keep_running; /* only let go: the caller may resume */
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
	int64_t fence; /* number of the holder's lease */
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
	GPtrArray *fields; /* char *: key, value, key, value ... */
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
