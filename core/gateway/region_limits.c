#include "core/gateway/region_limits.h"

#include <string.h>

struct region_map {
	GHashTable *regions; /* failure domain to region */
};

/*
 * Returns the map of a NULL-terminated list of "DOMAIN=REGION"; entries of
 * another form are ignored. The caller owns the result.
 */
struct region_map *region_map_create(const char *const *pairs)
{
	struct region_map *map = g_new0(struct region_map, 1);

	map->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (; pairs && *pairs; pairs++) {
		const char *sign = strchr(*pairs, '=');

		if (sign)
			g_hash_table_insert(
				map->regions,
				g_strndup(*pairs, (gsize)(sign - *pairs)),
				g_strdup(sign + 1));
	}
	return map;
}

/* Frees a map; NULL is allowed. */
void region_map_destroy(struct region_map *map)
{
	if (!map)
		return;
	g_hash_table_unref(map->regions);
	g_free(map);
}

/* Returns the region of a failure domain, or NULL if it is not known. */
const char *region_map_find(const struct region_map *map,
			    const char *failure_domain)
{
	return map ? g_hash_table_lookup(map->regions, failure_domain) : NULL;
}

/* Whether the request is bound to any regions. */
bool region_limits_are_set(const struct region_limits *limits)
{
	return limits->route || limits->organisation;
}

static bool list_has(const GPtrArray *regions, const char *region)
{
	for (guint i = 0; i < regions->len; i++) {
		if (strcmp(g_ptr_array_index(regions, i), region) == 0)
			return true;
	}
	return false;
}

/*
 * Whether the request may run in the failure domain. A request that is bound
 * may not run in a domain whose region is not known.
 */
bool region_limits_allow(const struct region_limits *limits,
			 const char *failure_domain)
{
	const char *region;

	if (!region_limits_are_set(limits))
		return true;
	region = region_map_find(limits->map, failure_domain);
	return region && (!limits->route || list_has(limits->route, region)) &&
	       (!limits->organisation ||
		list_has(limits->organisation, region));
}
