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
 * shells around it; being down, slow or losing answers is up to them.
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
	int64_t version; /* writes since it was created */
};

struct kv_model;

struct kv_model *kv_model_create(void);
void kv_model_destroy(struct kv_model *model);

void kv_model_step(struct kv_model *model, int64_t now_us);
int64_t kv_model_next_due_us(const struct kv_model *model);
int64_t kv_model_revision(const struct kv_model *model);
int64_t kv_model_oldest_revision(const struct kv_model *model);

bool kv_model_compare(const struct kv_model *model,
		      const struct kv_compare *compare);
void kv_model_begin(struct kv_model *model);
bool kv_model_put(struct kv_model *model, const char *key, GBytes *value,
		  int64_t lease); /* false: no such lease */
int64_t kv_model_delete(struct kv_model *model, const char *key,
			const char *range_end);
void kv_model_range(const struct kv_model *model, const char *key,
		    const char *range_end, GPtrArray *entries);
bool kv_model_get_at(const struct kv_model *model, const char *key,
		     int64_t revision, GPtrArray *entries);

int64_t kv_model_lease_grant(struct kv_model *model, int64_t ttl_s,
			     int64_t now_us);
int64_t kv_model_lease_keepalive(struct kv_model *model, int64_t lease,
				 int64_t now_us); /* ttl in s; 0: gone */
bool kv_model_lease_revoke(struct kv_model *model, int64_t lease);

const struct kv_change *kv_model_next_change(const struct kv_model *model,
					     const char *key,
					     const char *range_end,
					     int64_t from, uint64_t *position);

void kv_model_answer(struct kv_model *model, const struct kv_request *request,
		     int64_t now_us, struct kv_answer *answer);

G_END_DECLS

#endif
