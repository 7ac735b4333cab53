#include "core/limit/suspect_table.h"

struct suspect_table {
	GHashTable *by_key; /* key to GList of order */
	GQueue order;	    /* struct suspect */
	GHashTable *counts; /* owner_key to struct owner_count */
	size_t max_entries;
};

struct owner_count {
	uint64_t owner_key;
	size_t suspects;
};

/* Creates an empty table of at most max_entries, and at least one. */
struct suspect_table *suspect_table_create(int32_t max_entries)
{
	struct suspect_table *table = g_new0(struct suspect_table, 1);

	table->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->counts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	table->max_entries = (size_t)MAX(max_entries, 1);
	return table;
}

/* Frees the table with its suspects; NULL is allowed. */
void suspect_table_destroy(struct suspect_table *table)
{
	if (!table)
		return;
	g_hash_table_unref(table->by_key);
	g_hash_table_unref(table->counts);
	g_queue_clear_full(&table->order, g_free);
	g_free(table);
}

/* Returns the suspect, which the table owns, or NULL. */
struct suspect *suspect_table_find(const struct suspect_table *table,
				   uint64_t key)
{
	GList *link = g_hash_table_lookup(table->by_key, &key);

	return link ? link->data : NULL;
}

/* Returns the owner with the most suspects, one more counted for the extra. */
static uint64_t largest_owner(const struct suspect_table *table,
			      uint64_t extra_owner_key)
{
	uint64_t largest = extra_owner_key;
	size_t most = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table->counts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct owner_count *count = value;
		size_t suspects =
			count->suspects + (count->owner_key == extra_owner_key);

		if (suspects > most) {
			most = suspects;
			largest = count->owner_key;
		}
	}
	return largest;
}

/*
 * If the table is full, removes a suspect to make room for one of the owner and
 * returns it; the caller frees it. NULL: there is room.
 */
struct suspect *suspect_table_evict(struct suspect_table *table,
				    uint64_t owner_key)
{
	uint64_t largest;

	if (g_queue_get_length(&table->order) < table->max_entries)
		return NULL;
	largest = largest_owner(table, owner_key);
	for (GList *link = table->order.head; link; link = link->next) {
		struct suspect *suspect = link->data;

		if (suspect->owner_key == largest) {
			suspect_table_steal(table, suspect);
			return suspect;
		}
	}
	return NULL;
}

/* Adds a suspect that is in no table; the table owns it from now on. */
void suspect_table_add(struct suspect_table *table, struct suspect *suspect)
{
	struct owner_count *count =
		g_hash_table_lookup(table->counts, &suspect->owner_key);

	g_queue_push_tail(&table->order, suspect);
	g_hash_table_insert(table->by_key, &suspect->key, table->order.tail);
	if (!count) {
		count = g_new0(struct owner_count, 1);
		count->owner_key = suspect->owner_key;
		g_hash_table_insert(table->counts, &count->owner_key, count);
	}
	count->suspects++;
}

/* Removes a suspect from the table without freeing it. */
void suspect_table_steal(struct suspect_table *table, struct suspect *suspect)
{
	GList *link = g_hash_table_lookup(table->by_key, &suspect->key);
	struct owner_count *count =
		g_hash_table_lookup(table->counts, &suspect->owner_key);

	g_hash_table_remove(table->by_key, &suspect->key);
	g_queue_delete_link(&table->order, link);
	if (--count->suspects == 0)
		g_hash_table_remove(table->counts, &suspect->owner_key);
}

/* Returns the number of suspects. */
size_t suspect_table_count(const struct suspect_table *table)
{
	return g_queue_get_length((GQueue *)&table->order);
}

const GList *suspect_table_list(const struct suspect_table *table)
{
	return table->order.head;
}

const GList *suspect_table_list_last(const struct suspect_table *table)
{
	return table->order.tail;
}
