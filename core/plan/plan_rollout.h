#ifndef CORE_PLAN_PLAN_ROLLOUT_H
#define CORE_PLAN_PLAN_ROLLOUT_H

#include "core/config/intent_json.h"
#include "core/plan/plan.h"

G_BEGIN_DECLS

/* Rollouts of a plan: fills them in and describes their batches. */
void plan_merge_rollouts(struct plan *plan, const struct config *base,
			 const struct intent *intent);
void plan_copy_rollouts(struct plan *plan, const struct config *base,
			const struct config *earlier);
void plan_describe_rollouts(struct plan *plan, const struct config *base);

G_END_DECLS

#endif
