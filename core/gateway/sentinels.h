#ifndef CORE_GATEWAY_SENTINELS_H
#define CORE_GATEWAY_SENTINELS_H

#include "core/membership/membership.h"
#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * The sentinels: the nodes that watch the store closely and inform the others.
 * All nodes with the same members agree on them.
 */
enum { SENTINEL_COUNT = 2 };

const struct member *sentinel_get(const struct membership *members, size_t i);
bool sentinel_is(const struct membership *members, const char *name);

G_END_DECLS

#endif
