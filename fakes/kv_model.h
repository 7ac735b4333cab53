#ifndef FAKES_KV_MODEL_H
#define FAKES_KV_MODEL_H

#include "ports/kv.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A model of the key-value service, in memory and in virtual time: one revision
 * counter, compare-and-swap, leases that expire, and the history that watches
 * read. It does no I/O and reads no clock: the caller passes the time. The fake
 * daemon and the benchmarks run it; they simulate outages, delays and lost
 * answers themselves.
 */

enum kv_compare_target {
	KV_COMPARE_CREATE,
	KV_COMPARE_MOD,
	KV_COMPARE_VERSION
};

/* A condition of a transaction: the target of the key equals a number. */
struct kv_compare {
	enum kv_compare_target target;
	const char *key;
	int64_t equals;
};

/* A key after one write: the current state, or an entry of the history. */
struct kv_change {
	char *key;
	GBytes *value; /* NULL: deleted */
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version; /* number of writes since its creation */
};

struct kv_model;

struct kv_model *kv_model_create(void);
void kv_model_destroy(struct kv_model *model);

void kv_model_expire_leases(struct kv_model *model, int64_t now_us);
int64_t kv_model_next_expiry_us(const struct kv_model *model);
int64_t kv_model_revision(const struct kv_model *model);
int64_t kv_model_oldest_revision(const struct kv_model *model);

bool kv_model_compare(const struct kv_model *model,
		      const struct kv_compare *compare);
void kv_model_begin_transaction(struct kv_model *model);
bool kv_model_put(struct kv_model *model, const char *key, GBytes *value,
		  int64_t lease);
int64_t kv_model_delete(struct kv_model *model, const char *key,
			const char *range_end);
void kv_model_range(const struct kv_model *model, const char *key,
		    const char *range_end, GPtrArray *entries);
bool kv_model_get_at(const struct kv_model *model, const char *key,
		     int64_t revision, GPtrArray *entries);

int64_t kv_model_lease_grant(struct kv_model *model, int64_t ttl_s,
			     int64_t now_us);
int64_t kv_model_lease_keepalive(struct kv_model *model, int64_t lease,
				 int64_t now_us);
bool kv_model_lease_revoke(struct kv_model *model, int64_t lease);

const struct kv_change *kv_model_next_change(const struct kv_model *model,
					     const char *key,
					     const char *range_end,
					     int64_t from, uint64_t *position);

void kv_model_answer(struct kv_model *model, const struct kv_request *request,
		     int64_t now_us, struct kv_answer *answer);

G_END_DECLS

#endif
