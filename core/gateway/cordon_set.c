#include "core/gateway/cordon_set.h"

#include "core/base/store_position.h"
#include "core/membership/gossip_pace.h"

/*
 * A cordon that the listing of a store that came back from a copy lacks is kept
 * this long: the copy may be older than the operator's request, which is then
 * written again.
 */
#define ERA_SETTLES_US (6 * G_USEC_PER_SEC)

static const struct gossip_schedule schedule = {
	.fresh_us = 10 * G_USEC_PER_SEC,
	.fresh_period_us = 500 * 1000,
	.fresh_receivers = 3,
	.stale_period_us = 2 * G_USEC_PER_SEC,
};

/* A lifted cordon is kept for as long as older news may still arrive. */
#define LIFTED_RETENTION_US (60 * G_USEC_PER_SEC)

struct entry {
	struct cordon *cordon;
	int64_t changed_us;
	int64_t lift_us;       /* when to lift it; 0: not to be lifted */
	int64_t lift_position; /* of the listing that lacks it */
	bool is_rewound;       /* the store went back since */
};

struct cordon_set {
	GHashTable *entries; /* failure domain to struct entry */
	struct gossip_pace pace;
	bool is_known;
};

static void entry_free(gpointer data)
{
	struct entry *entry = data;

	cordon_destroy(entry->cordon);
	g_free(entry);
}

/* Returns an empty set that is not known to be complete; the caller owns it. */
struct cordon_set *cordon_set_create(void)
{
	struct cordon_set *set = g_new0(struct cordon_set, 1);

	set->entries = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     entry_free);
	return set;
}

/* Frees a set; NULL is allowed. */
void cordon_set_destroy(struct cordon_set *set)
{
	if (!set)
		return;
	g_hash_table_unref(set->entries);
	g_free(set);
}

/*
 * Applies one change, unless a newer one of the same failure domain is known.
 * Returns whether the domain is now under a cordon and was not, or the reverse.
 */
bool cordon_set_apply(struct cordon_set *set, const struct cordon *news,
		      int64_t now_us)
{
	struct entry *entry =
		g_hash_table_lookup(set->entries, news->failure_domain);
	bool was_lifted = !entry || entry->cordon->is_lifted;

	if (entry && news->position <= entry->cordon->position)
		return false;
	if (!entry) {
		entry = g_new0(struct entry, 1);
		entry->cordon = cordon_create(news->failure_domain, 0, true);
		g_hash_table_insert(set->entries, entry->cordon->failure_domain,
				    entry);
	}
	entry->cordon->position = news->position;
	entry->cordon->is_lifted = news->is_lifted;
	entry->changed_us = now_us;
	set->pace.changed_us = now_us;
	entry->lift_us = 0;
	entry->is_rewound = false;
	return news->is_lifted != was_lifted;
}

static bool list_names(const GPtrArray *list, const char *failure_domain)
{
	for (guint i = 0; i < list->len; i++) {
		const struct cordon *cordon = g_ptr_array_index(list, i);

		if (g_str_equal(cordon->failure_domain, failure_domain))
			return true;
	}
	return false;
}

static void entry_lift(struct cordon_set *set, struct entry *entry,
		       int64_t position, int64_t now_us, GPtrArray *changed)
{
	entry->cordon->position = position;
	entry->cordon->is_lifted = true;
	entry->changed_us = now_us;
	set->pace.changed_us = now_us;
	entry->lift_us = 0;
	entry->is_rewound = false;
	g_ptr_array_add(changed, g_strdup(entry->cordon->failure_domain));
}

static void entry_note_missing(struct cordon_set *set, struct entry *entry,
			       int64_t position, int64_t now_us,
			       GPtrArray *changed)
{
	const struct cordon *cordon = entry->cordon;

	if (cordon->is_lifted || position <= cordon->position)
		return;
	if (!entry->is_rewound &&
	    store_position_era(position) ==
		    store_position_era(cordon->position)) {
		entry_lift(set, entry, position, now_us, changed);
		return;
	}
	if (entry->lift_us == 0)
		entry->lift_us = now_us + ERA_SETTLES_US;
	entry->lift_position = position;
}

/*
 * Applies a complete listing of the store, struct cordon, as of a position:
 * cordons that it lacks were lifted. Appends the failure domains that changed
 * to changed, which owns them.
 */
void cordon_set_apply_listing(struct cordon_set *set, const GPtrArray *list,
			      int64_t position, int64_t now_us,
			      GPtrArray *changed)
{
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < list->len; i++) {
		const struct cordon *cordon = g_ptr_array_index(list, i);

		if (cordon_set_apply(set, cordon, now_us))
			g_ptr_array_add(changed,
					g_strdup(cordon->failure_domain));
	}
	g_hash_table_iter_init(&iter, set->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		if (!list_names(list, entry->cordon->failure_domain))
			entry_note_missing(set, entry, position, now_us,
					   changed);
	}
	set->is_known = true;
}

/*
 * To be called when the store's revisions went back without a new era: what it
 * says next is newer, and what it lacks may only be missing from a copy.
 */
void cordon_set_rewind(struct cordon_set *set)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		entry->cordon->position = 0;
		entry->is_rewound = true;
	}
}

/*
 * Lifts the cordons that a store which came back from a copy still lacks, and
 * drops those that were lifted long ago. Appends the failure domains that
 * changed to changed, which owns them.
 */
void cordon_set_step(struct cordon_set *set, int64_t now_us, GPtrArray *changed)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct entry *entry = value;

		if (entry->lift_us && now_us >= entry->lift_us)
			entry_lift(set, entry, entry->lift_position, now_us,
				   changed);
		else if (entry->cordon->is_lifted &&
			 now_us - entry->changed_us > LIFTED_RETENTION_US)
			g_hash_table_iter_remove(&iter);
	}
}

/* Whether the endpoints of the failure domain get no new requests. */
bool cordon_set_covers(const struct cordon_set *set, const char *failure_domain)
{
	const struct entry *entry =
		g_hash_table_lookup(set->entries, failure_domain);

	return entry && !entry->cordon->is_lifted;
}

/* Whether the store or another node has told all cordons once. */
bool cordon_set_is_known(const struct cordon_set *set)
{
	return set->is_known;
}

/* Records that another node has told all cordons that it knows. */
void cordon_set_mark_known(struct cordon_set *set)
{
	set->is_known = true;
}

/*
 * Returns all cordons (struct cordon), also those lifted lately. The caller
 * frees the array; the cordons belong to the set.
 */
GPtrArray *cordon_set_list(const struct cordon_set *set)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, ((struct entry *)value)->cordon);
	return list;
}

/*
 * Returns how many random nodes get the set now, and counts them as told. A
 * node that the store turns away learns of a change only from other nodes.
 * There is no load without a cordon.
 */
size_t cordon_set_count_receivers(struct cordon_set *set, int64_t now_us)
{
	if (g_hash_table_size(set->entries) == 0)
		return 0;
	return gossip_pace_count_receivers(&set->pace, &schedule, now_us);
}
