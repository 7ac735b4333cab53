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
 * Holds the plans made at this node and confirms them. A plan is confirmed by
 * one compare-and-swap of the configuration's key, conditional on the revision
 * the plan was made on. The field "took_effect" of each answer about a plan
 * states whether the plan took effect: "yes", "no" or "unknown".
 *
 * A plan's id contains the name of the node that made it and its base revision.
 * The stored document lists the most recent confirmations. Every node can
 * therefore look up there whether a plan took effect, even after the node that
 * made the plan has been removed.
 */
struct plan_book_options {
	const char *node_name;
	uint64_t incarnation;
	uint64_t seed;		   /* for the jitter of repeated writes */
	uint64_t *next_kv_id;	   /* shared with the node's other requests */
	struct counters *counters; /* may be NULL */
	int64_t keep_us; /* time within which a plan can be confirmed */
	int64_t confirm_timeout_us; /* longest wait of a confirm request */
	int64_t kv_timeout_us;
	int32_t max_plans;
	int64_t max_bytes; /* total size of the documents of all plans */
};

struct plan_book;

void plan_book_options_default(struct plan_book_options *options);
struct plan_book *plan_book_create(const struct plan_book_options *options);
void plan_book_destroy(struct plan_book *book);

void plan_book_create_plan(struct plan_book *book, uint64_t call,
			   GBytes *intent, const char *operator_name,
			   const struct config *base, int64_t now_us,
			   struct action_list *actions);
void plan_book_confirm(struct plan_book *book, uint64_t call,
		       const char *plan_id, const char *operator_name,
		       const struct config *in_force, int64_t now_us,
		       struct action_list *actions);
void plan_book_send_history(uint64_t call, const struct config *in_force,
			    struct action_list *actions);
bool plan_book_handle_kv_answer(struct plan_book *book,
				const struct kv_answer *answer, int64_t now_us,
				struct action_list *actions);
void plan_book_step(struct plan_book *book, int64_t now_us,
		    struct action_list *actions);
int64_t plan_book_next_due_us(const struct plan_book *book);

G_END_DECLS

#endif
