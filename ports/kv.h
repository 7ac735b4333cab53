#ifndef PORTS_KV_H
#define PORTS_KV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Requests to the platform's key-value service, and its answers. A lost answer
 * is a separate outcome: the write may or may not have taken effect, and only a
 * read shows which.
 */

enum kv_op {
	KV_GET,
	KV_CAS,	   /* writes if the key is at expected_revision */
	KV_LIST,   /* lists all keys under a prefix */
	KV_DELETE, /* deletes if the key is at expected_revision */
	KV_LEASE_GRANT,
	KV_LEASE_KEEPALIVE,
	KV_LEASE_REVOKE
};

enum kv_outcome {
	KV_OK,
	KV_CONFLICT, /* comparison failed; the answer holds the present entry */
	KV_NOT_FOUND,	/* no such key or lease */
	KV_NOT_APPLIED, /* certainly not applied: not sent, or refused */
	KV_ANSWER_LOST	/* sent, no answer: may have been applied */
};

struct kv_request {
	uint64_t id; /* assigned by the core, repeated in the answer */
	enum kv_op op;
	char *key;
	GBytes *value;
	int64_t expected_revision; /* 0: the key must not exist */
	int64_t lease;		   /* 0: none */
	int64_t ttl_s;		   /* KV_LEASE_GRANT only */
	int64_t timeout_us;
	int64_t read_revision; /* get: state at this revision; 0: latest */
	bool allow_stale; /* accept a read that is seconds old; costs less */
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
	int64_t revision; /* of the service at the time of the answer */
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
