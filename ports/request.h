#ifndef PORTS_REQUEST_H
#define PORTS_REQUEST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A caller's request as parsed by the HTTP adapter. It is reference-counted and
 * immutable once the core has it. Strings are NULL where the caller sent
 * nothing.
 */

enum request_kind {
	REQUEST_GENERATION, /* POST /v1/completions, /v1/chat/completions */
	REQUEST_RESUME,	    /* the same paths with Last-Event-ID */
	REQUEST_PLAIN	    /* ANY /svc/SERVICE/... */
};

struct request {
	enum request_kind kind;
	bool stream;	     /* answer as server-sent events */
	bool non_idempotent; /* X-Non-Idempotent: true */
	bool forwarded;	     /* sent by another node: not forwarded again */
	char *bearer;
	char *organisation; /* X-Organisation */
	char *service;	    /* "model" of the body, or SERVICE of the path */
	char *idempotency_key;
	char *last_event_id;
	char *method; /* plain: GET, POST, ... */
	char *path;   /* path and query, as forwarded to the endpoint */
	char *content_type;
	GBytes *body;		/* verbatim; never NULL, may be empty */
	int64_t deadline_in_us; /* relative to arrival; 0: none */
	int32_t priority;	/* 0 to 9; -1: the organisation's default */
	int64_t prompt_tokens;	/* estimate, at least 1 */
	int64_t max_tokens;	/* 0: no limit given */
	uint64_t prefix_hash;	/* hash of the prompt's first part; 0: none */
	int64_t true_tokens;	/* benches only: known output length; 0: none */
};

struct request *request_create(enum request_kind kind);
struct request *request_ref(struct request *request);
void request_unref(struct request *request);

G_END_DECLS

#endif
