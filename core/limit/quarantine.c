#include "core/limit/quarantine.h"

#include <string.h>

struct entry {
	uint64_t fingerprint;
	uint64_t endpoint_hash; /* of the last crash */
	int64_t until_us;
};

/* Entries in order of expiry, indexed by fingerprint. */
struct entry_table {
	GHashTable *by_fingerprint; /* fingerprint -> GList of order */
	GQueue order;		    /* struct entry */
	int32_t max_entries;
};

struct quarantine {
	struct quarantine_options options;
	struct entry_table suspects;
	struct entry_table held;
};

static void entry_table_init(struct entry_table *table, int32_t max_entries)
{
	table->by_fingerprint = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&table->order);
	table->max_entries = MAX(max_entries, 1);
}

static void entry_table_clear(struct entry_table *table)
{
	g_hash_table_unref(table->by_fingerprint);
	g_queue_clear_full(&table->order, g_free);
}

static struct entry *entry_table_find(const struct entry_table *table,
				      uint64_t fingerprint, int64_t now_us)
{
	GList *link = g_hash_table_lookup(table->by_fingerprint, &fingerprint);
	struct entry *entry = link ? link->data : NULL;

	return entry && entry->until_us > now_us ? entry : NULL;
}

static void entry_table_remove(struct entry_table *table, uint64_t fingerprint)
{
	GList *link = g_hash_table_lookup(table->by_fingerprint, &fingerprint);

	if (!link)
		return;
	g_hash_table_remove(table->by_fingerprint, &fingerprint);
	g_free(link->data);
	g_queue_delete_link(&table->order, link);
}

/*
 * Adds or renews an entry and evicts the oldest one if the table is full.
 * Callers control the fingerprints and could grow an unbounded table at will.
 */
static void entry_table_put(struct entry_table *table, uint64_t fingerprint,
			    uint64_t endpoint_hash, int64_t until_us)
{
	struct entry *entry;

	entry_table_remove(table, fingerprint);
	if (g_queue_get_length(&table->order) >= (guint)table->max_entries) {
		struct entry *oldest = g_queue_peek_head(&table->order);

		entry_table_remove(table, oldest->fingerprint);
	}
	entry = g_new0(struct entry, 1);
	entry->fingerprint = fingerprint;
	entry->endpoint_hash = endpoint_hash;
	entry->until_us = until_us;
	g_queue_push_tail(&table->order, entry);
	g_hash_table_insert(table->by_fingerprint, &entry->fingerprint,
			    table->order.tail);
}

/* Defaults: crashes are remembered for 10 min, fingerprints held for 30 min. */
void quarantine_options_default(struct quarantine_options *options)
{
	options->suspect_us = 600 * G_USEC_PER_SEC;
	options->hold_us = 1800 * G_USEC_PER_SEC;
	options->max_entries = 4096;
}

/*
 * Creates an empty quarantine and copies the options. The caller frees it with
 * quarantine_destroy.
 */
struct quarantine *quarantine_create(const struct quarantine_options *options)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->options = *options;
	entry_table_init(&quarantine->suspects, options->max_entries);
	entry_table_init(&quarantine->held, options->max_entries);
	return quarantine;
}

/* Frees the quarantine; NULL is allowed. */
void quarantine_destroy(struct quarantine *quarantine)
{
	if (!quarantine)
		return;
	entry_table_clear(&quarantine->suspects);
	entry_table_clear(&quarantine->held);
	g_free(quarantine);
}

/*
 * Records that a request was in flight when an endpoint crashed. Returns true
 * if this crash puts the fingerprint in quarantine. One crash is not enough,
 * because every request that ran on the endpoint is recorded with it. The
 * second crash must be at another endpoint: otherwise an endpoint that crashes
 * on its own would quarantine its callers.
 */
bool quarantine_report_crash(struct quarantine *quarantine,
			     uint64_t fingerprint, const char *endpoint,
			     int64_t now_us)
{
	uint64_t hash = ((uint64_t)g_str_hash(endpoint) << 32) |
			(uint64_t)strlen(endpoint);
	const struct entry *suspect =
		entry_table_find(&quarantine->suspects, fingerprint, now_us);

	if (entry_table_find(&quarantine->held, fingerprint, now_us))
		return false;
	if (suspect && suspect->endpoint_hash != hash) {
		quarantine_hold(quarantine, fingerprint, now_us);
		return true;
	}
	entry_table_put(&quarantine->suspects, fingerprint, hash,
			now_us + quarantine->options.suspect_us);
	return false;
}

/*
 * Records that a request was answered completely, so it does not crash
 * endpoints. This clears requests that only shared an engine with one that
 * does, even those in quarantine: a generation may be continued elsewhere after
 * a second crash and then complete.
 */
void quarantine_report_success(struct quarantine *quarantine,
			       uint64_t fingerprint)
{
	entry_table_remove(&quarantine->suspects, fingerprint);
	entry_table_remove(&quarantine->held, fingerprint);
}

/* Puts a fingerprint in quarantine for hold_us, starting at now_us. */
void quarantine_hold(struct quarantine *quarantine, uint64_t fingerprint,
		     int64_t now_us)
{
	entry_table_remove(&quarantine->suspects, fingerprint);
	entry_table_put(&quarantine->held, fingerprint, 0,
			now_us + quarantine->options.hold_us);
}

/* Returns when the quarantine of a fingerprint ends, in us; 0: it has none. */
int64_t quarantine_until_us(const struct quarantine *quarantine,
			    uint64_t fingerprint, int64_t now_us)
{
	const struct entry *entry =
		entry_table_find(&quarantine->held, fingerprint, now_us);

	return entry ? entry->until_us : 0;
}

/*
 * Returns whether the request was in flight at a crash and is neither cleared,
 * quarantined nor expired since.
 */
bool quarantine_is_suspect(const struct quarantine *quarantine,
			   uint64_t fingerprint, int64_t now_us)
{
	return entry_table_find(&quarantine->suspects, fingerprint, now_us) !=
	       NULL;
}

/* Returns the number of suspects and held entries, for the dump. */
size_t quarantine_count(const struct quarantine *quarantine)
{
	return g_queue_get_length((GQueue *)&quarantine->suspects.order) +
	       g_queue_get_length((GQueue *)&quarantine->held.order);
}
