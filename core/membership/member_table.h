#ifndef CORE_MEMBERSHIP_MEMBER_TABLE_H
#define CORE_MEMBERSHIP_MEMBER_TABLE_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The members that a node knows, including itself: all members of its own
 * region and a bounded number of each other region. The table also records
 * which changes are still to be spread and which incarnations were replaced.
 */

#define MEMBER_TABLE_PER_REGION 6

/* One node: its record, and how this node came to the recorded state. */
struct peer {
	struct member *member;
	int64_t added_us;
	int64_t changed_us;	/* when its state last changed */
	uint64_t change_number; /* rises with each change in the table */
	int32_t spread_left;	/* how many more messages carry the record */
	bool probe_failed;	/* a probe by this node got no answer */
	bool local; /* only this node has set the state; it is not spread */
	bool left_voluntarily; /* the node has announced that it leaves */
};

struct member_table;

struct member_table *member_table_create(const struct member *self);
void member_table_destroy(struct member_table *table);

struct peer *member_table_self(const struct member_table *table);
struct peer *member_table_find(const struct member_table *table,
			       const char *name);
struct peer *member_table_find_address(const struct member_table *table,
				       const char *peer_address);
bool member_table_accepts_region(const struct member_table *table,
				 const char *region);
struct peer *member_table_add(struct member_table *table,
			      const struct member *member, int64_t now_us);
void member_table_remove(struct member_table *table, struct peer *peer);
void member_table_replace(struct member_table *table, struct peer *peer,
			  const struct member *member, int64_t now_us);
void member_table_set_state(struct member_table *table, struct peer *peer,
			    enum member_state state, int64_t now_us);
void member_table_spread(struct member_table *table, struct peer *peer);

void member_table_supersede(struct member_table *table, uint64_t incarnation,
			    int64_t until_us);
bool member_table_is_superseded(const struct member_table *table,
				uint64_t incarnation);
void member_table_expire(struct member_table *table, int64_t before_us,
			 int64_t now_us);

/* The members that are not dead, by name; struct member, not owned. */
const GPtrArray *member_table_view(const struct member_table *table);
/* All peers in no particular order; struct peer, not owned. */
const GPtrArray *member_table_all(const struct member_table *table);
bool member_table_in_own_region(const struct member_table *table,
				const struct peer *peer);
uint64_t member_table_epoch(const struct member_table *table);

size_t member_table_count_changes(const struct member_table *table);
void member_table_collect_changes(struct member_table *table, size_t max,
				  GPtrArray *members);

G_END_DECLS

#endif
