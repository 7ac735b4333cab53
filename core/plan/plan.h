#ifndef CORE_PLAN_PLAN_H
#define CORE_PLAN_PLAN_H

#include "core/config/config.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Capacity of one service before and after the change; 0 where the service does
 * not exist.
 */
struct plan_capacity {
	char *service;
	int64_t tokens_before; /* endpoints that state none count as 0 */
	int64_t tokens_after;
	int32_t endpoints_before; /* without leaving endpoints */
	int32_t endpoints_after;
};

/*
 * A plan is a proposed change of the configuration, computed from an
 * operator's intent. It holds the differences, warnings about what the change
 * would break, and the document that is written when the plan is confirmed. It
 * is valid only on the revision it was made on, and changes nothing until it is
 * confirmed.
 *
 * An intent is a JSON object with any of "services", "organisations",
 * "rollouts", "routes", the same names prefixed with "remove_", and "callers".
 * An item in it replaces the existing item of the same name completely; the two
 * are not merged. See docs/API.md.
 */
struct plan {
	char *id;
	char *operator_name;
	int64_t base_revision;
	int64_t created_us;
	int64_t keep_us;	/* stale this long after created_us; 0: unset */
	GPtrArray *differences; /* char *: one line each */
	GPtrArray *warnings;	/* char *: what the change would break */
	GPtrArray *capacities;	/* struct plan_capacity: one per service */
	struct config *result;	/* configuration after the change */
	GBytes *document;	/* result, serialised for the store */
};

struct plan *plan_create(const struct config *base, GBytes *intent,
			 const char *id, const char *operator_name,
			 int64_t now_us, struct error *error);
struct plan *plan_create_rollback(const struct config *base,
				  const struct config *earlier, const char *id,
				  const char *operator_name, int64_t now_us,
				  struct error *error);
void plan_destroy(struct plan *plan);
void plan_set_confirmer(struct plan *plan, const char *confirmed_by,
			int64_t now_us);
GBytes *plan_format_json(const struct plan *plan);

G_END_DECLS

#endif
