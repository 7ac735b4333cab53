#ifndef PORTS_KV_H
#define PORTS_KV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What the core asks of the platform's key-value service. A lost answer is an
 * outcome of its own: the write may or may not have taken effect, and only a
 * read tells.
 */

enum kv_op {
	KV_GET,
	KV_CAS,	   /* write if the key is at expected_revision */
	KV_LIST,   /* all keys below a prefix */
	KV_DELETE, /* if the key is at expected_revision */
	KV_LEASE_GRANT,
	KV_LEASE_KEEPALIVE,
	KV_LEASE_REVOKE
};

enum kv_outcome {
	KV_OK,
	KV_CONFLICT,	/* compare failed; the answer holds what is there */
	KV_NOT_FOUND,	/* no such key or lease */
	KV_NOT_APPLIED, /* certainly not applied: never sent, or refused */
	KV_ANSWER_LOST	/* sent and not answered: may have been applied */
};

struct kv_request {
	uint64_t id; /* chosen by the core, repeated in the answer */
	enum kv_op op;
	char *key;
	GBytes *value;
	int64_t expected_revision; /* 0: the key must not exist */
	int64_t lease;		   /* 0: none */
	int64_t ttl_s;		   /* lease grant */
	int64_t timeout_us;
	int64_t read_revision; /* get: as it was then; 0: now */
	bool allow_stale;      /* a read may be seconds old, and costs less */
};

struct kv_entry {
	char *key;
	GBytes *value;
	int64_t create_revision;
	int64_t mod_revision;
};

struct kv_answer {
	uint64_t id;
	enum kv_op op;
	enum kv_outcome outcome;
	int64_t revision; /* of the service when it answered */
	int64_t lease;
	int64_t ttl_s;
	GPtrArray *entries; /* struct kv_entry; NULL when none */
};

void kv_request_clear(struct kv_request *request);
void kv_answer_clear(struct kv_answer *answer);
GPtrArray *kv_entries_create(void);
struct kv_entry *kv_entries_add(GPtrArray *entries, const char *key,
				GBytes *value, int64_t create_revision,
				int64_t mod_revision);
const char *kv_outcome_name(enum kv_outcome outcome);

G_END_DECLS

#endif
