#ifndef CORE_PLAN_PLAN_ROUTE_H
#define CORE_PLAN_PLAN_ROUTE_H

#include "core/config/intent_json.h"
#include "core/plan/plan.h"

G_BEGIN_DECLS

/* Routes of a plan: fills them in and describes what changes for callers. */
void plan_merge_routes(struct plan *plan, const struct config *base,
		       const struct intent *intent);
void plan_copy_routes(struct plan *plan, const struct config *earlier);
void plan_describe_routes(struct plan *plan, const struct config *base);

G_END_DECLS

#endif
