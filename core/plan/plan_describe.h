#ifndef CORE_PLAN_PLAN_DESCRIBE_H
#define CORE_PLAN_PLAN_DESCRIBE_H

#include "core/plan/plan.h"

G_BEGIN_DECLS

/*
 * Describes for operators, in lines of text, what a plan changes, which
 * requests will fail because of it and how much capacity is lost.
 */
void plan_add_line(GPtrArray *lines, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void plan_add_int_change(GString *changes, const char *name, int64_t before,
			 int64_t after);
void plan_add_string_change(GString *changes, const char *name,
			    const char *before, const char *after);
void plan_add_bool_change(GString *changes, const char *name, bool before,
			  bool after);
void plan_describe(struct plan *plan, const struct config *base);

G_END_DECLS

#endif
