#ifndef CORE_PLAN_PLAN_ENTRY_H
#define CORE_PLAN_PLAN_ENTRY_H

#include "core/plan/plan.h"
#include "core/plan/plan_answer.h"
#include "core/plan/plan_book.h"

G_BEGIN_DECLS

/*
 * One plan of the plan book and the state of its confirmation. Private to
 * core/plan/plan_book.c and core/plan/plan_entry.c.
 */

enum plan_state {
	PLAN_UNCONFIRMED,
	PLAN_CONFIRMING,
	PLAN_IN_DOUBT, /* a write may have been applied; no call waits */
	PLAN_TOOK_EFFECT,
	PLAN_REJECTED /* can never take effect */
};

struct plan_entry {
	struct plan *plan;
	const struct plan_book_options *options; /* owned by the plan book */
	GRand *random;
	enum plan_state state;
	GArray *waiting_calls; /* uint64_t: ids of calls to answer */
	bool write_in_doubt;   /* the answer to a write was lost */
	uint64_t kv_id;	       /* id of the write in flight; 0: none */
	int backoff_steps;
	int64_t next_write_us;	  /* INT64_MAX: no write planned */
	int64_t deadline_us;	  /* of the waiting calls; INT64_MAX: none */
	int64_t revision;	  /* at which the plan took effect */
	int64_t current_revision; /* of the configuration, at a conflict */
};

struct plan_entry *plan_entry_create(struct plan *plan,
				     const struct plan_book_options *options,
				     GRand *random);
void plan_entry_destroy(struct plan_entry *entry);
void plan_entry_confirm(struct plan_entry *entry, uint64_t call,
			const char *operator_name,
			const struct config *in_force, int64_t now_us,
			struct action_list *actions);
void plan_entry_handle_kv_answer(struct plan_entry *entry,
				 const struct kv_answer *answer, int64_t now_us,
				 struct action_list *actions);
void plan_entry_step(struct plan_entry *entry, int64_t now_us,
		     struct action_list *actions);
int64_t plan_entry_next_due_us(const struct plan_entry *entry);

G_END_DECLS

#endif
