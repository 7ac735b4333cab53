#ifndef CORE_GATEWAY_ROUTE_TABLE_H
#define CORE_GATEWAY_ROUTE_TABLE_H

#include "core/config/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Lookup tables over one revision of the configuration: routes by host and
 * path, services by name, organisations by key. A table is immutable, and each
 * request keeps the table that it began with.
 */
struct route_table;

struct route_table *route_table_create(struct config *config);
struct route_table *route_table_ref(struct route_table *table);
void route_table_unref(struct route_table *table);

int64_t route_table_version(const struct route_table *table);
bool route_table_requires_keys(const struct route_table *table);
size_t route_table_route_count(const struct route_table *table);
const struct caller_limits *route_table_limits(const struct route_table *table);
const struct route *route_table_find(const struct route_table *table,
				     const char *host, const char *target);
const struct config_service *
route_table_find_service(const struct route_table *table, const char *name);
int32_t route_table_find_weight(const struct route_table *table,
				const char *organisation);
bool route_table_is_deferrable(const struct route_table *table,
			       const struct route *route);
bool route_table_gives_way(const struct route_table *table,
			   const char *service);
int64_t route_table_deferrable_begin_us(const struct route_table *table,
					const char *service);
int64_t route_table_longest_pause_us(const struct route_table *table,
				     const char *service);
const struct config_organisation *
route_table_find_organisation(const struct route_table *table, const char *key);

G_END_DECLS

#endif
