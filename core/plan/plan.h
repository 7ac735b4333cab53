#ifndef CORE_PLAN_PLAN_H
#define CORE_PLAN_PLAN_H

#include "core/config/config.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * An intent turned into a plan: what would change, what that would break, and
 * the document that confirming it writes. Bound to the revision it was made
 * on; nothing changes until it is confirmed.
 *
 * An intent is a JSON object with any of "services", "organisations",
 * "remove_services" and "remove_organisations"; named items replace those of
 * the same name whole. See docs/API.md.
 */
struct plan_capacity {
	char *service;
	int64_t tokens_before; /* endpoints that state none count as 0 */
	int64_t tokens_after;
	int32_t endpoints_before; /* those that are not leaving */
	int32_t endpoints_after;
};

struct plan {
	char *id;
	char *operator_name;
	int64_t base_revision;
	int64_t created_us;
	int64_t keep_us;	/* stale so long after; 0: not said */
	GPtrArray *differences; /* char *: one line each */
	GPtrArray *warnings;	/* char *: what would break */
	GPtrArray *capacities;	/* struct plan_capacity: what stays */
	struct config *result;	/* carries the plan's id */
	GBytes *document;	/* the result as stored */
};

struct plan *plan_create(const struct config *base, GBytes *intent,
			 const char *id, const char *operator_name,
			 int64_t now_us, struct error *error);
struct plan *plan_create_rollback(const struct config *base,
				  const struct config *earlier, const char *id,
				  const char *operator_name, int64_t now_us,
				  struct error *error);
void plan_destroy(struct plan *plan);
void plan_sign(struct plan *plan, const char *confirmed_by, int64_t now_us);
GBytes *plan_format_json(const struct plan *plan);

G_END_DECLS

#endif
