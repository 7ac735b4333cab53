#ifndef CORE_ONCE_OUTCOME_STORE_H
#define CORE_ONCE_OUTCOME_STORE_H

#include "ports/refusal.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What became of the requests whose ids this node answers for. An outcome may
 * lose its body to keep memory bounded; that the request ran is kept for as
 * long as the id is accepted.
 */

enum outcome_state {
	OUTCOME_NOT_RUN, /* nothing was sent to an endpoint: may run */
	OUTCOME_PENDING, /* a call has taken it up; nothing was sent yet */
	OUTCOME_RUNNING, /* may be at an endpoint */
	OUTCOME_WHOLE,
	OUTCOME_UNKNOWN /* was sent; what became of it is not known */
};

struct outcome_chunk {
	GBytes *data;
	int64_t token_count;
};

struct outcome {
	char *key; /* organisation and id */
	enum outcome_state state;
	uint64_t fingerprint; /* of service, path and body */
	uint64_t nonce;	      /* of the claim, where one is needed */
	bool claimed;
	bool maybe_run; /* some run of it was begun, or may have been */
	int64_t expires_us;
	GArray *waiting; /* uint64_t calls that want the same outcome */

	int32_t status; /* plain: the answer; 0: a stream */
	char *content_type;
	GBytes *body;
	char *endpoint; /* stream: where it was made */
	char *generation;
	char *finish_reason;
	GArray *chunks; /* struct outcome_chunk */
	int64_t bytes;	/* of body or chunks */
	bool truncated; /* over the bound: the answer is not kept */
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
