#ifndef ADAPTERS_GATEWAY_DIALECT_H
#define ADAPTERS_GATEWAY_DIALECT_H

#include "adapters/gateway/http_head.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How callers and endpoints spell what the gateway needs to know. One
 * implementation a platform; it translates and decides nothing.
 */

/* What a caller's request says. Texts live as long as its head. */
struct caller_request {
	const char *host;
	const char *id;
	const char *key;     /* NULL: none */
	int64_t patience_us; /* how long the caller waits; 0: not said */
	int64_t prompt_tokens;
	int64_t max_tokens;	 /* of the answer; 0: not said */
	int64_t expected_tokens; /* the caller's guess; 0: not said */
};

/* What an endpoint is told beside the caller's own fields. */
struct endpoint_request {
	const char *endpoint_id;  /* any other one must not run it */
	const char *organisation; /* NULL: none */
	bool drops_key; /* the endpoint must not see the caller's key */
	int64_t patience_us;
	int32_t priority; /* of a generation, 0 first; -1: not said */
	bool is_generation;
	const char *backup_address; /* keep a copy of the run there; or NULL */
	const char *copy_address;   /* go on from the copy there; or NULL */
	const char *copy_name;	    /* which copy */
	int64_t after_event;	    /* last event delivered; -1: none */
	bool keep_connection;
};

/* What an endpoint's answer says beside status and body. */
struct endpoint_answer {
	bool did_not_run;
	bool promises_not_run; /* to callers, by its status alone */
	bool is_own; /* written by an endpoint, not by something before it */
	bool is_event_stream;
	int64_t keep_alive_us; /* the connection may be idle so long; -1 */
};

/* A copy of a generation's memory, made by its engine when asked. */
struct move_answer {
	char *handle;
};

struct dialect {
	const char *id_field; /* carries a request's id, echoed in answers */
	bool (*read_request)(const struct http_head *head,
			     struct caller_request *request,
			     struct error *error);
	void (*write_request)(const struct http_head *head,
			      const struct endpoint_request *request,
			      const GByteArray *body, GString *out);
	void (*read_answer)(const struct http_head *head,
			    struct endpoint_answer *answer);
	void (*write_move)(const char *address, const char *id,
			   const char *target, GString *out);
	bool (*read_move)(GBytes *body, struct move_answer *answer);
	void (*write_report)(const char *address, GString *out);
	bool (*read_report_leaves)(GBytes *body);
	/* The answer to a question about the nodes themselves; NULL: 404. */
	GBytes *(*write_addresses)(const GPtrArray *addresses, int64_t keep_us);
	bool (*is_ready_question)(const struct http_head *head);
	bool (*is_address_question)(const struct http_head *head);
};

G_END_DECLS

#endif
