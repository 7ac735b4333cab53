#include "fakes/prefix_cache.h"

#define EVENTS_MAX 512

struct cached_prefix {
	uint64_t hash;
	int64_t tokens;
};

struct prefix_cache {
	int64_t capacity_tokens;
	int64_t used_tokens;
	GQueue *prefixes;  /* struct cached_prefix, most recently used first */
	GHashTable *links; /* hash: link in prefixes */
	struct prefix_cache_event events[EVENTS_MAX];
	int64_t event_count;
};

/* Creates an empty cache; the caller destroys it. */
struct prefix_cache *prefix_cache_create(int64_t capacity_tokens)
{
	struct prefix_cache *cache = g_new0(struct prefix_cache, 1);

	cache->capacity_tokens = capacity_tokens;
	cache->prefixes = g_queue_new();
	cache->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	return cache;
}

/* Frees the cache; NULL is allowed. */
void prefix_cache_destroy(struct prefix_cache *cache)
{
	if (!cache)
		return;
	g_hash_table_unref(cache->links);
	g_queue_free_full(cache->prefixes, g_free);
	g_free(cache);
}

static void cache_add_event(struct prefix_cache *cache, uint64_t hash,
			    bool stored)
{
	int64_t number = ++cache->event_count;
	struct prefix_cache_event *event = &cache->events[number % EVENTS_MAX];

	event->number = number;
	event->prefix_hash = hash;
	event->stored = stored;
}

static void cache_evict_last(struct prefix_cache *cache)
{
	struct cached_prefix *prefix = g_queue_pop_tail(cache->prefixes);

	g_hash_table_remove(cache->links, &prefix->hash);
	cache->used_tokens -= prefix->tokens;
	cache_add_event(cache, prefix->hash, false);
	g_free(prefix);
}

static void cache_add(struct prefix_cache *cache, uint64_t hash, int64_t tokens)
{
	struct cached_prefix *prefix = g_new(struct cached_prefix, 1);

	prefix->hash = hash;
	prefix->tokens = tokens;
	g_queue_push_head(cache->prefixes, prefix);
	g_hash_table_insert(cache->links, &prefix->hash, cache->prefixes->head);
	cache->used_tokens += tokens;
	cache_add_event(cache, hash, true);
}

/*
 * Stores a prefix, or marks a stored one as most recently used. Ignores hash 0,
 * which means no prefix, a prefix without tokens, and one larger than the
 * cache.
 */
void prefix_cache_store(struct prefix_cache *cache, uint64_t hash,
			int64_t tokens)
{
	GList *link;

	if (!hash || tokens <= 0 || tokens > cache->capacity_tokens)
		return;
	link = g_hash_table_lookup(cache->links, &hash);
	if (link) {
		g_queue_unlink(cache->prefixes, link);
		g_queue_push_head_link(cache->prefixes, link);
		return;
	}
	cache_add(cache, hash, tokens);
	while (cache->used_tokens > cache->capacity_tokens)
		cache_evict_last(cache);
}

/* Returns the number of tokens cached for this prefix, or 0. */
int64_t prefix_cache_find(const struct prefix_cache *cache, uint64_t hash)
{
	const struct cached_prefix *prefix;
	const GList *link;

	if (!hash)
		return 0;
	link = g_hash_table_lookup(cache->links, &hash);
	if (!link)
		return 0;
	prefix = link->data;
	return prefix->tokens;
}

/* Evicts all prefixes; each eviction is an event. */
void prefix_cache_clear(struct prefix_cache *cache)
{
	while (!g_queue_is_empty(cache->prefixes))
		cache_evict_last(cache);
}

/*
 * Appends the events numbered above `after` that are still kept, oldest first.
 * Older events are overwritten, which the reader sees as a gap in the numbers.
 */
void prefix_cache_events(const struct prefix_cache *cache, int64_t after,
			 GArray *events)
{
	int64_t oldest = cache->event_count - EVENTS_MAX + 1;

	for (int64_t n = MAX(MAX(after + 1, oldest), 1);
	     n <= cache->event_count; n++)
		g_array_append_val(events, cache->events[n % EVENTS_MAX]);
}
