#ifndef CORE_PLACEMENT_HOME_H
#define CORE_PLACEMENT_HOME_H

#include "core/membership/membership.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Finds the node that is the home of a shard. The engines of a service in a
 * region are split into shards of bounded size. Rendezvous hashing maps each
 * shard to its home, so that a node that joins or leaves moves only the shards
 * that it gains or loses.
 */

uint64_t home_hash(const char *a, const char *b, uint64_t c);
uint32_t home_shard_count(uint32_t endpoint_count, int32_t endpoints_per_shard);
uint32_t home_shard_of(const char *endpoint, uint32_t shard_count);
const struct member *home_find(const struct membership *membership,
			       const char *region, const char *service,
			       uint32_t shard);
const struct member *home_find_next(const struct membership *membership,
				    const char *service, const char *name);

G_END_DECLS

#endif
