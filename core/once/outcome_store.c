#include "core/once/outcome_store.h"

/* When an outcome that expired during its run is looked at again. */
#define BUSY_RECHECK_US G_USEC_PER_SEC

struct outcome_store {
	GHashTable *by_key;   /* char * to struct outcome */
	GSequence *by_expiry; /* struct outcome, by check_us */
	int32_t max_outcomes;
	int32_t max_bytes; /* of the answer kept for each outcome */
};

static void outcome_chunk_clear(gpointer data)
{
	struct outcome_chunk *chunk = data;

	g_bytes_unref(chunk->data);
}

static void outcome_destroy(gpointer data)
{
	struct outcome *outcome = data;

	g_free(outcome->key);
	g_array_unref(outcome->waiting);
	g_free(outcome->content_type);
	g_clear_pointer(&outcome->body, g_bytes_unref);
	g_free(outcome->endpoint);
	g_free(outcome->generation);
	g_free(outcome->finish_reason);
	g_array_unref(outcome->chunks);
	g_free(outcome);
}

/*
 * Creates a store of at most max_outcomes outcomes, which keeps an answer of at
 * most max_bytes for each. Free with outcome_store_destroy().
 */
struct outcome_store *outcome_store_create(int32_t max_outcomes,
					   int32_t max_bytes)
{
	struct outcome_store *store = g_new0(struct outcome_store, 1);

	store->by_key = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      outcome_destroy);
	store->by_expiry = g_sequence_new(NULL);
	store->max_outcomes = max_outcomes;
	store->max_bytes = max_bytes;
	return store;
}

/* Frees the store and all outcomes; NULL is allowed. */
void outcome_store_destroy(struct outcome_store *store)
{
	if (!store)
		return;
	g_sequence_free(store->by_expiry);
	g_hash_table_destroy(store->by_key);
	g_free(store);
}

/* The outcome stored under this key, or NULL; the store owns it. */
struct outcome *outcome_store_find(struct outcome_store *store, const char *key)
{
	return g_hash_table_lookup(store->by_key, key);
}

static gint outcome_compare_checks(gconstpointer a, gconstpointer b,
				   gpointer data)
{
	const struct outcome *left = a, *right = b;

	(void)data;
	return (left->check_us > right->check_us) -
	       (left->check_us < right->check_us);
}

static void store_schedule_check(struct outcome_store *store,
				 struct outcome *outcome, int64_t check_us)
{
	outcome->check_us = check_us;
	g_sequence_insert_sorted(store->by_expiry, outcome,
				 outcome_compare_checks, NULL);
}

/*
 * Adds an outcome in state OUTCOME_NOT_RUN; the store owns it. Returns NULL if
 * the store is full. The caller must then refuse the request: evicting an older
 * outcome would let the request of that id run a second time.
 */
struct outcome *outcome_store_add(struct outcome_store *store, const char *key,
				  int64_t expires_us)
{
	struct outcome *outcome;

	if (g_hash_table_size(store->by_key) >= (guint)store->max_outcomes)
		return NULL;
	outcome = g_new0(struct outcome, 1);
	outcome->key = g_strdup(key);
	outcome->waiting = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	outcome->chunks =
		g_array_new(FALSE, FALSE, sizeof(struct outcome_chunk));
	g_array_set_clear_func(outcome->chunks, outcome_chunk_clear);
	g_hash_table_insert(store->by_key, outcome->key, outcome);
	store_schedule_check(store, outcome, expires_us);
	return outcome;
}

static bool outcome_is_busy(const struct outcome *outcome)
{
	return outcome->state == OUTCOME_RUNNING ||
	       outcome->state == OUTCOME_PENDING;
}

/*
 * Removes the expired outcomes; one still pending or running is kept until its
 * end. Issued ids expire in another order than their outcomes are added.
 */
void outcome_store_expire(struct outcome_store *store, int64_t now_us)
{
	for (;;) {
		GSequenceIter *first =
			g_sequence_get_begin_iter(store->by_expiry);
		struct outcome *outcome;

		if (g_sequence_iter_is_end(first))
			return;
		outcome = g_sequence_get(first);
		if (outcome->check_us > now_us)
			return;
		g_sequence_remove(first);
		if (outcome_is_busy(outcome))
			store_schedule_check(store, outcome,
					     now_us + BUSY_RECHECK_US);
		else
			g_hash_table_remove(store->by_key, outcome->key);
	}
}

/* The number of outcomes in the store. */
size_t outcome_store_count(const struct outcome_store *store)
{
	return g_hash_table_size(store->by_key);
}

/*
 * Stores a plain answer, without its body if that is larger than the store's
 * max_bytes. Takes a reference to the body.
 */
void outcome_set_answer(struct outcome_store *store, struct outcome *outcome,
			int32_t status, const char *content_type, GBytes *body)
{
	outcome->status = status;
	outcome->content_type = g_strdup(content_type);
	outcome->bytes = (int64_t)g_bytes_get_size(body);
	outcome->truncated = outcome->bytes > store->max_bytes;
	if (!outcome->truncated)
		outcome->body = g_bytes_ref(body);
}

/*
 * Stores a chunk of a stream and takes a reference to its data. Once the stream
 * is larger than the store's max_bytes, drops all its chunks.
 */
void outcome_add_chunk(struct outcome_store *store, struct outcome *outcome,
		       GBytes *data, int64_t token_count)
{
	struct outcome_chunk chunk = {
		.data = data,
		.token_count = token_count,
	};

	if (outcome->truncated)
		return;
	outcome->bytes += (int64_t)g_bytes_get_size(data);
	if (outcome->bytes > store->max_bytes) {
		outcome->truncated = true;
		g_array_set_size(outcome->chunks, 0);
		return;
	}
	g_bytes_ref(data);
	g_array_append_val(outcome->chunks, chunk);
}

/*
 * Removes the chunks of an earlier attempt that delivered nothing, before a new
 * attempt.
 */
void outcome_clear_chunks(struct outcome *outcome)
{
	g_array_set_size(outcome->chunks, 0);
	outcome->bytes = 0;
	outcome->truncated = false;
}
