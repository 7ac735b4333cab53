#include "core/placement/home.h"

#include <string.h>

#define FNV_OFFSET 14695981039346656037ull
#define FNV_PRIME 1099511628211ull

static uint64_t hash_add_text(uint64_t hash, const char *text)
{
	for (; *text; text++)
		hash = (hash ^ (unsigned char)*text) * FNV_PRIME;
	return (hash ^ 0xff) * FNV_PRIME;
}

/*
 * Mixes the bits of a hash: FNV-1a alone keeps similar names in their order.
 */
static uint64_t hash_finish(uint64_t hash)
{
	hash ^= hash >> 33;
	hash *= 0xff51afd7ed558ccdull;
	hash ^= hash >> 33;
	hash *= 0xc4ceb9fe1a85ec53ull;
	return hash ^ (hash >> 33);
}

/* Returns a 64-bit hash of two strings and a number, equal on every node. */
uint64_t home_hash(const char *a, const char *b, uint64_t c)
{
	uint64_t hash = hash_add_text(hash_add_text(FNV_OFFSET, a), b);

	return hash_finish(hash ^ (c * FNV_PRIME));
}

/* Returns the number of shards for a number of endpoints; at least one. */
uint32_t home_shard_count(uint32_t endpoint_count, int32_t endpoints_per_shard)
{
	uint32_t size = (uint32_t)MAX(endpoints_per_shard, 1);

	return MAX((endpoint_count + size - 1) / size, 1);
}

/* Returns the shard of an endpoint address. */
uint32_t home_shard_of(const char *endpoint, uint32_t shard_count)
{
	return (uint32_t)(home_hash(endpoint, "", 0) % shard_count);
}

static bool member_is_eligible(const struct member *member, const char *region)
{
	if (member->state != MEMBER_LIVE && member->state != MEMBER_SUSPECT)
		return false;
	return !region || strcmp(member->region, region) == 0;
}

/* Passes the member with the name except over; NULL: none. */
static const struct member *
home_find_highest(const struct membership *membership, const char *region,
		  const char *service, uint32_t shard, const char *except)
{
	const struct member *best = NULL;
	uint64_t best_hash = 0;

	for (size_t i = 0; i < membership_count(membership); i++) {
		const struct member *member = membership_get(membership, i);
		uint64_t hash;

		if (!member_is_eligible(member, region) ||
		    (except && strcmp(member->name, except) == 0))
			continue;
		hash = home_hash(member->name, service, shard);
		if (!best || hash > best_hash) {
			best = member;
			best_hash = hash;
		}
	}
	return best;
}

/*
 * Returns the home of a shard: a live or suspected node of the region, or of
 * any region if this one has none. A suspected node stays home until it is
 * known to be gone, so that one lost probe moves no shard. Returns NULL when
 * no node is eligible; the member belongs to the membership.
 */
const struct member *home_find(const struct membership *membership,
			       const char *region, const char *service,
			       uint32_t shard)
{
	const struct member *best =
		home_find_highest(membership, region, service, shard, NULL);

	return best ? best
		    : home_find_highest(membership, NULL, service, shard, NULL);
}

/*
 * Returns the node of any region that would be the home of a service if the
 * node with this name were gone. Returns NULL when no node is eligible; the
 * member belongs to the membership.
 */
const struct member *home_find_next(const struct membership *membership,
				    const char *service, const char *name)
{
	return home_find_highest(membership, NULL, service, 0, name);
}
