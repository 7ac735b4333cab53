#ifndef CORE_CONFIG_CONFIG_CHECK_H
#define CORE_CONFIG_CONFIG_CHECK_H

#include "core/base/error.h"
#include "core/config/config.h"

#include <stdbool.h>

G_BEGIN_DECLS

/* Consistency checks of a complete configuration or the items of an intent. */
bool config_check(const struct config *config, const char *step,
		  struct error *error);
bool config_check_unique(const struct config *config, const char *step,
			 struct error *error);

G_END_DECLS

#endif
