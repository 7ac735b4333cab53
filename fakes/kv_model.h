#ifndef FAKES_KV_MODEL_H
#define FAKES_KV_MODEL_H

#include "ports/kv.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The key-value service in memory and in virtual time: one revision counter,
 * compare-and-swap, leases that expire, and the history that watches read.
 * Pure: time comes with each call. The fake's daemon and the benches are
 * shells around it; what is down, slow or loses answers is up to them.
 */

enum kv_compare_target {
	KV_COMPARE_CREATE,
	KV_COMPARE_MOD,
	KV_COMPARE_VERSION
};

struct kv_compare {
	enum kv_compare_target target;
	const char *key;
	int64_t equals;
};

struct kv_change {
	char *key;
	GBytes *value; /* NULL: deleted */
	int64_t create_revision;
	int64_t mod_revision;
};

struct kv_model;

struct kv_model *kv_model_create(void);
void kv_model_destroy(struct kv_model *model);

/* Expires leases that ran out; each other call does so first. */
void kv_model_step(struct kv_model *model, int64_t now_us);
int64_t kv_model_next_due_us(const struct kv_model *model);
int64_t kv_model_revision(const struct kv_model *model);

bool kv_model_compare(const struct kv_model *model,
		      const struct kv_compare *compare);

/* Starts a revision for all writes until the next call of this function. */
void kv_model_begin(struct kv_model *model);
bool kv_model_put(struct kv_model *model, const char *key, GBytes *value,
		  int64_t lease); /* false: no such lease */
int64_t kv_model_delete(struct kv_model *model, const char *key,
			const char *range_end);

/*
 * Appends struct kv_entry in order of key. range_end as in etcd: "" for the
 * one key, else all keys from key on and before range_end.
 */
void kv_model_range(const struct kv_model *model, const char *key,
		    const char *range_end, GPtrArray *entries);

int64_t kv_model_lease_grant(struct kv_model *model, int64_t ttl_s,
			     int64_t now_us);
int64_t kv_model_lease_keepalive(struct kv_model *model, int64_t lease,
				 int64_t now_us); /* ttl in s; 0: gone */
bool kv_model_lease_revoke(struct kv_model *model, int64_t lease);

/*
 * The changes of a key or range with a revision of at least from, oldest
 * first; valid until the next write. i starts at 0 and is moved on.
 */
const struct kv_change *kv_model_next_change(const struct kv_model *model,
					     const char *key,
					     const char *range_end,
					     int64_t from, size_t *i);

/*
 * One port request answered at once, as the adapter would answer it. For
 * drivers without a network.
 */
void kv_model_answer(struct kv_model *model, const struct kv_request *request,
		     int64_t now_us, struct kv_answer *answer);

G_END_DECLS

#endif
