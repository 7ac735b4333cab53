#ifndef CORE_PLAN_PLAN_BOOK_H
#define CORE_PLAN_PLAN_BOOK_H

#include "core/config/config.h"
#include "ports/action.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

#define PLAN_BOOK_CONFIG_KEY "/siskinlink/config"

/*
 * The plans made at this node, and their confirmation: one compare-and-swap of
 * the configuration's key at the revision the plan was made on. Each answer
 * says in "took_effect" whether the plan did: "yes", "no" or "unknown".
 *
 * A plan's id carries the node that made it and its base revision. The
 * document keeps the last confirmations, so any node can tell from it whether
 * a plan took effect, also after the node that made it is gone.
 */
struct plan_book_options {
	const char *node_name;
	uint64_t incarnation;
	uint64_t seed;		   /* jitter */
	uint64_t *next_kv_id;	   /* shared with the node's other calls */
	struct counters *counters; /* may be NULL */
	int64_t keep_us;	   /* a plan is stale after */
	int64_t settle_us;	   /* a confirmer waits for an answer */
	int64_t kv_timeout_us;
	int32_t max_plans;
	int64_t max_bytes; /* documents of all plans kept */
};

struct plan_book;

void plan_book_options_default(struct plan_book_options *options);
struct plan_book *plan_book_create(const struct plan_book_options *options);
void plan_book_destroy(struct plan_book *book);

void plan_book_plan(struct plan_book *book, uint64_t call, GBytes *intent,
		    const char *operator_name, const struct config *base,
		    int64_t now_us, struct action_list *actions);
void plan_book_confirm(struct plan_book *book, uint64_t call,
		       const char *plan_id, const char *operator_name,
		       const struct config *in_force, int64_t now_us,
		       struct action_list *actions);
void plan_book_history(uint64_t call, const struct config *in_force,
		       struct action_list *actions);
bool plan_book_kv(struct plan_book *book, const struct kv_answer *answer,
		  int64_t now_us, struct action_list *actions);
void plan_book_step(struct plan_book *book, int64_t now_us,
		    struct action_list *actions);
int64_t plan_book_next_due_us(const struct plan_book *book);

G_END_DECLS

#endif
