#ifndef CORE_LIMIT_RECENT_STARTS_H
#define CORE_LIMIT_RECENT_STARTS_H

#include "core/membership/membership.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The nodes whose processes have started lately. Such a process knows neither
 * its share of a limit nor what the one before it has granted, so it grants
 * nothing for RATE_SETTLE_US, and another node is to be asked.
 */
struct recent_starts;

struct recent_starts *recent_starts_create(int64_t now_us);
void recent_starts_destroy(struct recent_starts *starts);

void recent_starts_update(struct recent_starts *starts,
			  const struct membership *members, int64_t now_us);
bool recent_starts_has(const struct recent_starts *starts, const char *name,
		       int64_t now_us);

G_END_DECLS

#endif
