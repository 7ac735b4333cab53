#ifndef CORE_PLAN_PLAN_ANSWER_H
#define CORE_PLAN_PLAN_ANSWER_H

#include "core/config/config.h"
#include "core/base/error.h"
#include "ports/action.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* JSON answers to operators' requests about plans and confirmations. */

enum plan_answer_code {
	PLAN_ANSWER_DONE,
	PLAN_ANSWER_CONFLICT,	  /* another plan was confirmed on its base */
	PLAN_ANSWER_STALE,	  /* confirmed after more than keep_us */
	PLAN_ANSWER_UNKNOWN_PLAN, /* not, or no longer, held by this node */
	PLAN_ANSWER_OTHER_NODE,	  /* another node made the plan */
	PLAN_ANSWER_UNREACHABLE,  /* nothing was written; confirm again */
	PLAN_ANSWER_IN_DOUBT,	  /* may have been written; confirm again */
	PLAN_ANSWER_BUSY	  /* too many confirm requests wait for it */
};

struct plan_answer {
	enum plan_answer_code code;
	enum plan_effect effect;
	const char *plan_id;
	const char *node;	  /* other node that made the plan */
	const char *confirmed_by; /* with DONE; NULL: not known */
	int64_t revision;	  /* with DONE: where the plan took effect */
	int64_t current_revision; /* with other codes; 0: unknown */
	int64_t retry_after_us;	  /* 0: left out of the answer */
};

void plan_answer_send(const struct plan_answer *answer, uint64_t call,
		      struct action_list *actions);
void plan_answer_send_json(uint64_t call, int32_t status, GBytes *body,
			   struct action_list *actions);
void plan_answer_send_error(uint64_t call, const struct error *error,
			    struct action_list *actions);
GBytes *plan_answer_format_history(const struct config *config);
const char *plan_effect_name(enum plan_effect effect);
const char *plan_answer_code_name(enum plan_answer_code code);

G_END_DECLS

#endif
