#ifndef CORE_LEASE_HOLDER_H
#define CORE_LEASE_HOLDER_H

#include "ports/action.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A holder claims a key of the key-value service under a lease, so that only
 * one node holds the key at a time. The fencing number is the revision that
 * created the key, so it is higher than that of every earlier holder. A holder
 * acts only if its lease outlasts the action by a margin; the lease counts on
 * the local clock from when its request was sent.
 */
struct holder_options {
	const char *key;
	const char *name;      /* of this process; no earlier process used it */
	bool is_sole_claimant; /* no other candidates: claims without a read */
	uint64_t seed;	       /* of the jitter of retries */
	uint64_t *next_kv_id;  /* shared with the node's other calls */
	struct counters *counters; /* may be NULL */
	int64_t ttl_s;
	int64_t margin_us; /* covers clocks that run at different speeds */
	int64_t kv_timeout_us;
};

struct holder;

struct holder *holder_create(const struct holder_options *options);
void holder_destroy(struct holder *holder);
void holder_set_wanted(struct holder *holder, bool wanted);
void holder_step(struct holder *holder, int64_t now_us,
		 struct action_list *actions);
int64_t holder_next_due_us(const struct holder *holder);
bool holder_kv(struct holder *holder, const struct kv_answer *answer,
	       int64_t now_us, struct action_list *actions);
int64_t holder_fence(const struct holder *holder);
bool holder_may_act(const struct holder *holder, int64_t now_us,
		    int64_t duration_us);
void holder_step_down(struct holder *holder, int64_t now_us);

G_END_DECLS

#endif
