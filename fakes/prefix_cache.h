#ifndef FAKES_PREFIX_CACHE_H
#define FAKES_PREFIX_CACHE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Prefixes of prompts whose memory the model engine keeps; the least recently
 * used yield. What comes and goes can be read as numbered events.
 */
struct prefix_cache;

/* A prefix entered the cache or fell out of it. Old events are forgotten. */
struct engine_cache_event {
	int64_t number; /* from 1 on, without gaps */
	uint64_t prefix_hash;
	bool stored;
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
