#ifndef CORE_GATEWAY_REGION_LIMITS_H
#define CORE_GATEWAY_REGION_LIMITS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* The regions of failure domains, from the settings. */
struct region_map;

struct region_map *region_map_create(const char *const *pairs);
void region_map_destroy(struct region_map *map);
const char *region_map_find(const struct region_map *map,
			    const char *failure_domain);

/*
 * The regions in which a request may run. Its route and its organisation may
 * each be bound to some; where both are, a region has to be among both.
 */
struct region_limits {
	const struct region_map *map;
	const GPtrArray *route;	       /* char *; NULL: not bound */
	const GPtrArray *organisation; /* char *; NULL: not bound */
};

bool region_limits_are_set(const struct region_limits *limits);
bool region_limits_allow(const struct region_limits *limits,
			 const char *failure_domain);

G_END_DECLS

#endif
