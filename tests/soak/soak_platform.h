#ifndef TESTS_SOAK_SOAK_PLATFORM_H
#define TESTS_SOAK_SOAK_PLATFORM_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Writes of the operator, the engines and the soak to the fakes. */

bool soak_platform_put(const char *store, const char *key, const char *value,
		       struct error *error);
bool soak_platform_delete(const char *store, const char *key,
			  struct error *error);
bool soak_platform_set_mode(const char *address, const char *json,
			    struct error *error);
/* Every second endpoint is in this failure domain. */
#define SOAK_EVACUATED_DOMAIN "y"

/* When the first event of a report is due while queries are more urgent. */
#define SOAK_REPORT_DUE_MS 4000

const char *soak_platform_domain(int32_t index);
char *soak_platform_entry(const char *service, const char *domain,
			  const char *address, bool is_leaving,
			  int64_t born_ms);
char *soak_platform_configuration(int32_t index, int32_t idle_timeout_ms,
				  bool is_urgent);
char *soak_platform_route_prefix(int32_t index);

G_END_DECLS

#endif
