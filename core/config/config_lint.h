#ifndef CORE_CONFIG_CONFIG_LINT_H
#define CORE_CONFIG_CONFIG_LINT_H

#include "core/config/config.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * Entries of a valid configuration that can have no effect, and limits that
 * contradict each other. All of them may be put in force.
 */
enum lint_kind { LINT_NO_EFFECT, LINT_CONTRADICTION };

struct lint_finding {
	enum lint_kind kind;
	const char *list;   /* member of the configuration, such as "routes" */
	const char *name;   /* of the entry in it; the configuration owns it */
	const char *member; /* of the entry */
	char *text;
};

GPtrArray *config_lint(const struct config *config);

G_END_DECLS

#endif
