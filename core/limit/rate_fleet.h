#ifndef CORE_LIMIT_RATE_FLEET_H
#define CORE_LIMIT_RATE_FLEET_H

#include "core/limit/rate_share.h"
#include "core/membership/membership.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* How long shares are kept for nodes that are no longer heard. */
#define RATE_PEAK_RETENTION_US (60 * G_USEC_PER_SEC)

struct rate_fleet rate_fleet_read(const struct membership *members,
				  struct rate_peak *peak, int64_t now_us);

G_END_DECLS

#endif
