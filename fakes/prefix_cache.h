#ifndef FAKES_PREFIX_CACHE_H
#define FAKES_PREFIX_CACHE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Prompt prefixes whose tokens the model engine keeps in memory, with eviction
 * of the least recently used. Insertions and evictions are numbered events.
 */
struct prefix_cache;

/* A prefix was stored or evicted. Only the latest events are kept. */
struct prefix_cache_event {
	int64_t number; /* from 1, without gaps */
	uint64_t prefix_hash;
	bool stored; /* false: evicted */
};

struct prefix_cache *prefix_cache_create(int64_t capacity_tokens);
void prefix_cache_destroy(struct prefix_cache *cache);
void prefix_cache_store(struct prefix_cache *cache, uint64_t hash,
			int64_t tokens);
int64_t prefix_cache_find(const struct prefix_cache *cache, uint64_t hash);
void prefix_cache_clear(struct prefix_cache *cache);
void prefix_cache_events(const struct prefix_cache *cache, int64_t after,
			 GArray *events);

G_END_DECLS

#endif
