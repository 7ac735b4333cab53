#ifndef CORE_LIMIT_SUSPECT_TABLE_H
#define CORE_LIMIT_SUSPECT_TABLE_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Losses kept of one suspect. */
#define SUSPECT_MAX_LOSSES 16

/* A run that an endpoint didn't finish. */
struct loss {
	uint64_t start_key; /* of the endpoint's start that broke it off */
	int64_t lost_us;
	int64_t again_us; /* a later one, not confirmed so far; 0: none */
	enum loss_state state;
	bool is_news; /* not announced so far */
};

/* What endpoints may have ended under. */
struct suspect {
	uint64_t key;
	uint64_t owner_key; /* of the organisation that sent it first */
	struct loss losses[SUSPECT_MAX_LOSSES + 1]; /* one more while adding */
	int32_t loss_count;
	int64_t cleared_us; /* losses up to this time don't count; 0: none */
	int64_t trial_us;   /* start of the last trial; 0: none */
	int64_t expires_us;
	bool is_news; /* changed here since it was last announced */
};

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
