#ifndef CORE_PLAN_INTENT_CHECK_H
#define CORE_PLAN_INTENT_CHECK_H

#include "core/config/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A check of an intent before it is sent, which changes nothing: its errors,
 * entries that can have no effect, limits that contradict each other, and what
 * it would change of the configuration in force.
 */
enum intent_finding_kind {
	INTENT_ERROR,
	INTENT_NO_EFFECT,
	INTENT_CONTRADICTION
};

struct intent_finding {
	enum intent_finding_kind kind;
	char *path; /* of the value in the intent; "": not in it */
	char *text;
};

struct intent_check {
	GPtrArray *findings;	/* struct intent_finding */
	GPtrArray *differences; /* char *, as in a plan */
	GPtrArray *warnings;	/* char *, as in a plan */
};

struct intent_check *intent_check_create(const struct config *base,
					 const char *intent);
void intent_check_destroy(struct intent_check *check);

G_END_DECLS

#endif
