#ifndef CORE_ONCE_OUTCOME_STORE_H
#define CORE_ONCE_OUTCOME_STORE_H

#include "ports/refusal.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The outcomes of requests that carry an id for which this node is responsible,
 * so that a repeated request gets the first answer and does not run again. The
 * body of an answer may be dropped to bound memory; the fact that the request
 * ran is kept for as long as the id is accepted.
 */

enum outcome_state {
	OUTCOME_NOT_RUN,  /* not sent, or idempotent: the request may run */
	OUTCOME_PENDING,  /* a call is in progress; no attempt is running */
	OUTCOME_RUNNING,  /* sent to an endpoint, which may have started it */
	OUTCOME_COMPLETE, /* the answer is complete */
	OUTCOME_UNKNOWN	  /* the request may have run; its result is unknown */
};

struct outcome_chunk {
	GBytes *data;
	int64_t token_count;
};

struct outcome {
	char *key; /* organisation and id */
	enum outcome_state state;
	uint64_t fingerprint; /* of service, path and body */
	uint64_t nonce;	      /* of the claim, if the id is a plain key */
	bool claimed;	      /* the claim was written for this process */
	bool maybe_run;	      /* an attempt may have run the request */
	int64_t check_us;     /* of its expiry, or again after it */
	GArray *waiting; /* uint64_t ids of calls waiting for this outcome */

	int32_t status; /* HTTP status of a plain answer; 0: a stream */
	char *content_type;
	GBytes *body;
	char *endpoint; /* of a stream: the endpoint that produced it */
	char *generation;
	char *finish_reason;
	GArray *chunks; /* struct outcome_chunk */
	int64_t bytes;	/* size of the body or of the chunks */
	bool truncated; /* over max_bytes: the body or chunks are dropped */
};

struct outcome_store;

struct outcome_store *outcome_store_create(int32_t max_outcomes,
					   int32_t max_bytes);
void outcome_store_destroy(struct outcome_store *store);
struct outcome *outcome_store_find(struct outcome_store *store,
				   const char *key);
struct outcome *outcome_store_add(struct outcome_store *store, const char *key,
				  int64_t expires_us);
void outcome_store_expire(struct outcome_store *store, int64_t now_us);
size_t outcome_store_count(const struct outcome_store *store);

void outcome_set_answer(struct outcome_store *store, struct outcome *outcome,
			int32_t status, const char *content_type, GBytes *body);
void outcome_add_chunk(struct outcome_store *store, struct outcome *outcome,
		       GBytes *data, int64_t token_count);
void outcome_clear_chunks(struct outcome *outcome);

G_END_DECLS

#endif
