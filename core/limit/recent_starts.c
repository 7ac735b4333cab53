#include "core/limit/recent_starts.h"

#include "core/limit/rate_share.h"

#include <string.h>

/* The newest known process of a node. */
struct seen_start {
	uint64_t incarnation;
	int64_t until_us; /* it counts as recent; 0: it does not */
};

struct recent_starts {
	GHashTable *seen; /* node name to struct seen_start */
	uint64_t epoch;	  /* of the members that were read last */
	int64_t created_us;
};

/* Creates a record of no nodes, for a process that starts now. */
struct recent_starts *recent_starts_create(int64_t now_us)
{
	struct recent_starts *starts = g_new0(struct recent_starts, 1);

	starts->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	starts->created_us = now_us;
	return starts;
}

/* Frees the record; NULL is allowed. */
void recent_starts_destroy(struct recent_starts *starts)
{
	if (!starts)
		return;
	g_hash_table_unref(starts->seen);
	g_free(starts);
}

/*
 * Nodes that this one learns of in its own first seconds have mostly run for
 * long; a process that replaces another one is new whenever it is seen.
 */
static int64_t recent_until_us(const struct recent_starts *starts,
			       const struct seen_start *before, bool is_self,
			       int64_t now_us)
{
	bool is_young = now_us - starts->created_us < RATE_SETTLE_US;

	if (is_self)
		return is_young ? starts->created_us + RATE_SETTLE_US : 0;
	return before || !is_young ? now_us + RATE_SETTLE_US : 0;
}

static void note_member(struct recent_starts *starts,
			const struct member *member, bool is_self,
			int64_t now_us)
{
	struct seen_start *seen =
		g_hash_table_lookup(starts->seen, member->name);
	int64_t until_us;

	if (seen && seen->incarnation == member->incarnation)
		return;
	until_us = recent_until_us(starts, seen, is_self, now_us);
	if (!seen) {
		seen = g_new0(struct seen_start, 1);
		g_hash_table_insert(starts->seen, g_strdup(member->name), seen);
	}
	*seen = (struct seen_start){member->incarnation, until_us};
}

/* Notes the processes of the members; cheap while there is no change. */
void recent_starts_update(struct recent_starts *starts,
			  const struct membership *members, int64_t now_us)
{
	const struct member *self = membership_self(members);
	uint64_t epoch = membership_epoch(members);

	if (epoch == starts->epoch)
		return;
	starts->epoch = epoch;
	for (size_t i = 0; i < membership_count(members); i++) {
		const struct member *member = membership_get(members, i);

		note_member(starts, member,
			    strcmp(member->name, self->name) == 0, now_us);
	}
}

/* Whether the node's process has started lately. */
bool recent_starts_has(const struct recent_starts *starts, const char *name,
		       int64_t now_us)
{
	const struct seen_start *seen = g_hash_table_lookup(starts->seen, name);

	return seen && now_us < seen->until_us;
}
