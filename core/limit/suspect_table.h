#ifndef CORE_LIMIT_SUSPECT_TABLE_H
#define CORE_LIMIT_SUSPECT_TABLE_H

#include "core/limit/suspect.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A bounded table of suspects. When it is full, the oldest suspect of the owner
 * with the most suspects is evicted: callers control the keys, and one
 * that varies its requests must not push out those of others.
 */
struct suspect_table;

struct suspect_table *suspect_table_create(int32_t max_entries);
void suspect_table_destroy(struct suspect_table *table);

struct suspect *suspect_table_find(const struct suspect_table *table,
				   uint64_t key);
struct suspect *suspect_table_evict(struct suspect_table *table,
				    uint64_t owner_key);
void suspect_table_add(struct suspect_table *table, struct suspect *suspect);
void suspect_table_steal(struct suspect_table *table, struct suspect *suspect);
size_t suspect_table_count(const struct suspect_table *table);

/* The suspects in the order in which they were added. */
const GList *suspect_table_list(const struct suspect_table *table);
const GList *suspect_table_list_last(const struct suspect_table *table);

G_END_DECLS

#endif
