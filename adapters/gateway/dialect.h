#ifndef ADAPTERS_GATEWAY_DIALECT_H
#define ADAPTERS_GATEWAY_DIALECT_H

#include "adapters/gateway/http_head.h"
#include "core/base/error.h"
#include "core/gateway/answered_load.h"
#include "core/gateway/endpoint_limit.h"
#include "core/gateway/endpoint_rest.h"
#include "core/gateway/registry.h"
#include "core/limit/prompt_parts.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Translates between the gateway and the formats of callers and endpoints.
 * Each platform has one implementation, which makes no decisions.
 */

/* Fields of a caller's request. The strings live as long as its head. */
struct caller_request {
	const char *host;
	const char *id;
	const char *key;     /* NULL: none */
	int64_t patience_us; /* how long the caller waits; 0: not given */
	int64_t prompt_tokens;
	int64_t max_tokens;	 /* of the answer; 0: not given */
	int64_t expected_tokens; /* the caller's estimate; 0: not given */
	struct prompt_parts parts;
	int64_t last_event; /* that the caller has of its stream; -1: none */
	bool last_event_is_bad;	  /* given, and no number */
	const char *relayed_by;	  /* node that passes it on; NULL: none */
	int32_t relayed_attempts; /* runs that node allows; 0: not given */
	int64_t relayed_age_us;	  /* time that the request was there */
};

/* What a node says when it passes a caller's request on to another node. */
struct relay_request {
	const char *node; /* that passes it on */
	int64_t patience_us;
	int64_t after_event; /* as in struct endpoint_request */
	int32_t attempts;    /* runs that the other node may begin */
	int64_t age_us;	     /* time that the request was here */
};

/* Fields that are sent to an endpoint in addition to the caller's. */
struct endpoint_request {
	const char *endpoint_id;  /* any other endpoint refuses it */
	const char *organisation; /* NULL: none */
	bool drops_key;		  /* don't forward the caller's key */
	int64_t patience_us;
	int32_t priority; /* of a generation, 0 highest; -1: not given */
	bool is_generation;
	const char *backup_address; /* keep a copy of the run there; or NULL */
	const char *copy_address;   /* continue from the copy there; or NULL */
	const char *copy_name;	    /* handle of that copy */
	int64_t after_event; /* the answer goes on after this event; -1: it
				begins */
	bool keep_connection;
};

/* Fields of an endpoint's answer other than status and body. */
struct endpoint_answer {
	bool did_not_run;
	bool status_implies_not_run; /* callers conclude it from the status */
	bool is_from_endpoint; /* from the endpoint, not from a proxy before it
				*/
	bool is_from_other; /* another endpoint than the one that was named */
	bool is_leaving; /* the endpoint takes no new requests, and ends soon */
	bool is_event_stream;
	int64_t keep_alive_us; /* allowed idle time of the connection; -1: none
				*/
	struct answered_limit limit;   /* on requests of all nodes together */
	struct answered_limit brittle; /* rejections that it bears */
	struct answered_rest rest;     /* that it wants from this node */
	struct answered_load load;     /* when it sent the head */
};

/* A copy of a generation's memory that its engine made on request. */
struct move_answer {
	char *handle;
	int64_t created; /* events that the run has made; 0: not stated */
};

struct dialect {
	const char *id_field; /* carries a request's id, echoed in answers */
	bool (*read_request)(const struct http_head *head,
			     struct caller_request *request,
			     struct error *error);
	/* The caller's key; NULL: none. */
	const char *(*read_key)(const struct http_head *head);
	/* Write the head of a request whose body has so many bytes. */
	void (*write_request)(const struct http_head *head,
			      const struct endpoint_request *request,
			      size_t body_bytes, GString *out);
	void (*write_relay)(const struct http_head *head,
			    const struct relay_request *request,
			    size_t body_bytes, GString *out);
	void (*read_answer)(const struct http_head *head,
			    struct endpoint_answer *answer);
	/* With is_last the engine stops the run before it copies it. */
	void (*write_move_request)(const char *address, const char *id,
				   const char *target, bool is_last,
				   GString *out);
	bool (*read_move_answer)(GBytes *body, struct move_answer *answer);
	/* Frees a copy that nobody continues, at both engines. */
	void (*write_free_request)(const char *address, const char *handle,
				   GString *out);
	void (*write_report_request)(const char *address, GString *out);
	bool (*read_report_is_leaving)(GBytes *body);
	/* Asks whether the endpoint serves; path is its service's. */
	void (*write_status_request)(const char *address, const char *path,
				     GString *out);
	enum endpoint_status (*read_status)(const struct http_head *head,
					    const char *endpoint_id);
	/* Requests about the nodes themselves; any other one gets a 404. */
	GBytes *(*write_addresses)(const GPtrArray *addresses, int64_t keep_us);
	bool (*is_ready_request)(const struct http_head *head);
	bool (*is_address_request)(const struct http_head *head);
	/* Of an address request; NULL: not given. To be freed with g_free. */
	char *(*read_caller_region)(const struct http_head *head);
};

G_END_DECLS

#endif
