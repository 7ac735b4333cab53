#include "fakes/kv_model.h"

#include <string.h>

enum { MAX_HISTORY_CHANGES = 4096, FIRST_LEASE_ID = 1000 };

struct kv_lease {
	int64_t id;
	int64_t ttl_s;
	int64_t expires_us;
};

struct kv_item {
	struct kv_change state;
	int64_t lease;
};

struct kv_model {
	GTree *items;		/* struct kv_item by key */
	GHashTable *leases;	/* struct kv_lease by id */
	GQueue history;		/* struct kv_change, oldest first */
	uint64_t history_first; /* position of the oldest change */
	int64_t revision;
	int64_t oldest_revision;
	bool revision_taken; /* this transaction already has its revision */
	int64_t next_lease;
};

static void change_clear(struct kv_change *change)
{
	g_free(change->key);
	g_clear_pointer(&change->value, g_bytes_unref);
}

static void change_destroy(gpointer data)
{
	change_clear(data);
	g_free(data);
}

static void item_destroy(gpointer data)
{
	struct kv_item *item = data;

	change_clear(&item->state);
	g_free(item);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

/* Creates an empty service at revision 1, as etcd starts. */
struct kv_model *kv_model_create(void)
{
	struct kv_model *model = g_new0(struct kv_model, 1);

	model->items = g_tree_new_full(compare_keys, NULL, NULL, item_destroy);
	model->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	g_queue_init(&model->history);
	model->revision = 1;
	model->oldest_revision = 1;
	model->next_lease = FIRST_LEASE_ID;
	return model;
}

/* Frees the service; NULL is allowed. */
void kv_model_destroy(struct kv_model *model)
{
	if (!model)
		return;
	g_tree_unref(model->items);
	g_hash_table_unref(model->leases);
	g_queue_clear_full(&model->history, change_destroy);
	g_free(model);
}

/* Returns the revision of the latest write. */
int64_t kv_model_revision(const struct kv_model *model)
{
	return model->revision;
}

/* Returns the oldest revision that a watch may start from. */
int64_t kv_model_oldest_revision(const struct kv_model *model)
{
	return model->oldest_revision;
}

static void trim_history(struct kv_model *model)
{
	while (g_queue_get_length(&model->history) > MAX_HISTORY_CHANGES) {
		struct kv_change *change = g_queue_pop_head(&model->history);

		model->oldest_revision = change->mod_revision + 1;
		model->history_first++;
		change_destroy(change);
	}
}

static void add_history(struct kv_model *model, const struct kv_change *state)
{
	struct kv_change *change = g_new0(struct kv_change, 1);

	*change = *state;
	change->key = g_strdup(state->key);
	change->value = state->value ? g_bytes_ref(state->value) : NULL;
	g_queue_push_tail(&model->history, change);
	trim_history(model);
}

/* Begins a transaction: all its writes get one revision, the next one. */
void kv_model_begin_transaction(struct kv_model *model)
{
	model->revision_taken = false;
}

static int64_t transaction_revision(struct kv_model *model)
{
	if (!model->revision_taken)
		model->revision++;
	model->revision_taken = true;
	return model->revision;
}

/* Returns whether a comparison holds; all targets of an absent key are 0. */
bool kv_model_compare(const struct kv_model *model,
		      const struct kv_compare *compare)
{
	const struct kv_item *item = g_tree_lookup(model->items, compare->key);

	if (!item)
		return compare->equals == 0;
	switch (compare->target) {
	case KV_COMPARE_CREATE:
		return item->state.create_revision == compare->equals;
	case KV_COMPARE_MOD:
		return item->state.mod_revision == compare->equals;
	case KV_COMPARE_VERSION:
		return item->state.version == compare->equals;
	}
	return false;
}

/*
 * Writes a key and takes a reference to the value. The key is bound to the
 * lease unless that is 0; returns false if the lease does not exist.
 */
bool kv_model_put(struct kv_model *model, const char *key, GBytes *value,
		  int64_t lease)
{
	struct kv_item *item;

	if (lease && !g_hash_table_contains(model->leases, &lease))
		return false;
	item = g_tree_lookup(model->items, key);
	if (!item) {
		item = g_new0(struct kv_item, 1);
		item->state.key = g_strdup(key);
		item->state.create_revision =
			model->revision + (model->revision_taken ? 0 : 1);
		g_tree_insert(model->items, item->state.key, item);
	}
	g_clear_pointer(&item->state.value, g_bytes_unref);
	item->state.value = g_bytes_ref(value);
	item->state.mod_revision = transaction_revision(model);
	item->state.version++;
	item->lease = lease;
	add_history(model, &item->state);
	return true;
}

static bool in_range(const char *name, const char *key, const char *range_end)
{
	if (!*range_end)
		return strcmp(name, key) == 0;
	return strcmp(name, key) >= 0 && strcmp(name, range_end) < 0;
}

struct item_search {
	const char *key;
	const char *range_end;
	int64_t lease; /* 0: search by key, else by lease */
	GPtrArray *found;
};

static gboolean match_item(gpointer key, gpointer value, gpointer data)
{
	struct item_search *search = data;
	struct kv_item *item = value;

	if (search->lease ? item->lease == search->lease
			  : in_range(key, search->key, search->range_end))
		g_ptr_array_add(search->found, item);
	return FALSE;
}

static GPtrArray *find_items(const struct kv_model *model, const char *key,
			     const char *range_end, int64_t lease)
{
	struct item_search search = {key, range_end, lease, g_ptr_array_new()};

	if (!lease && !*range_end) {
		struct kv_item *item = g_tree_lookup(model->items, key);

		if (item)
			g_ptr_array_add(search.found, item);
	} else {
		g_tree_foreach(model->items, match_item, &search);
	}
	return search.found;
}

static void delete_items(struct kv_model *model, const GPtrArray *items)
{
	for (guint i = 0; i < items->len; i++) {
		struct kv_item *item = g_ptr_array_index(items, i);
		struct kv_change change = {.key = item->state.key};

		change.mod_revision = transaction_revision(model);
		add_history(model, &change);
		g_tree_remove(model->items, item->state.key);
	}
}

/* Deletes a key or range and returns the number of deleted keys. */
int64_t kv_model_delete(struct kv_model *model, const char *key,
			const char *range_end)
{
	GPtrArray *items = find_items(model, key, range_end, 0);
	int64_t count = items->len;

	delete_items(model, items);
	g_ptr_array_unref(items);
	return count;
}

/*
 * Appends the entries of a key or range, ordered by key. range_end is as in
 * etcd: "" selects the one key, else the range is [key, range_end).
 */
void kv_model_range(const struct kv_model *model, const char *key,
		    const char *range_end, GPtrArray *entries)
{
	GPtrArray *items = find_items(model, key, range_end, 0);

	for (guint i = 0; i < items->len; i++) {
		const struct kv_item *item = g_ptr_array_index(items, i);

		kv_entries_add(entries, item->state.key, item->state.value,
			       item->state.create_revision,
			       item->state.mod_revision);
	}
	g_ptr_array_unref(items);
}

/*
 * Appends the entry of a key as of a revision, if the key existed then. Returns
 * false if the revision is older than the history or in the future.
 */
bool kv_model_get_at(const struct kv_model *model, const char *key,
		     int64_t revision, GPtrArray *entries)
{
	const struct kv_item *item = g_tree_lookup(model->items, key);
	const struct kv_change *found = NULL;

	if (revision < model->oldest_revision || revision > model->revision)
		return false;
	for (GList *l = g_queue_peek_head_link((GQueue *)&model->history); l;
	     l = l->next) {
		const struct kv_change *change = l->data;

		if (change->mod_revision <= revision &&
		    strcmp(change->key, key) == 0)
			found = change;
	}
	if (!found && item && item->state.mod_revision <= revision)
		found = &item->state;
	if (found && found->value)
		kv_entries_add(entries, key, found->value,
			       found->create_revision, found->mod_revision);
	return true;
}

/* Grants a lease of ttl_s seconds and returns its id. */
int64_t kv_model_lease_grant(struct kv_model *model, int64_t ttl_s,
			     int64_t now_us)
{
	struct kv_lease *lease = g_new0(struct kv_lease, 1);

	lease->id = model->next_lease++;
	lease->ttl_s = ttl_s;
	lease->expires_us = now_us + ttl_s * G_USEC_PER_SEC;
	g_hash_table_insert(model->leases, &lease->id, lease);
	return lease->id;
}

/*
 * Renews a lease and returns its time to live in seconds, or 0 if it does not
 * exist.
 */
int64_t kv_model_lease_keepalive(struct kv_model *model, int64_t id,
				 int64_t now_us)
{
	struct kv_lease *lease = g_hash_table_lookup(model->leases, &id);

	if (!lease)
		return 0;
	lease->expires_us = now_us + lease->ttl_s * G_USEC_PER_SEC;
	return lease->ttl_s;
}

/*
 * Revokes a lease and deletes its keys in one revision. Returns false if the
 * lease does not exist.
 */
bool kv_model_lease_revoke(struct kv_model *model, int64_t id)
{
	GPtrArray *items;

	if (!g_hash_table_remove(model->leases, &id))
		return false;
	items = find_items(model, "", "", id);
	kv_model_begin_transaction(model);
	delete_items(model, items);
	g_ptr_array_unref(items);
	return true;
}

static gint compare_ids(gconstpointer a, gconstpointer b)
{
	const int64_t *left = a;
	const int64_t *right = b;

	return *left < *right ? -1 : *left > *right;
}

/* Revokes the expired leases, ordered by id. */
void kv_model_expire_leases(struct kv_model *model, int64_t now_us)
{
	GArray *due = g_array_new(FALSE, FALSE, sizeof(int64_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct kv_lease *lease = value;

		if (lease->expires_us <= now_us)
			g_array_append_val(due, lease->id);
	}
	g_array_sort(due, compare_ids);
	for (guint i = 0; i < due->len; i++)
		kv_model_lease_revoke(model, g_array_index(due, int64_t, i));
	g_array_unref(due);
}

/* Returns when the next lease expires; INT64_MAX if there is none. */
int64_t kv_model_next_expiry_us(const struct kv_model *model)
{
	int64_t due_us = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, model->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct kv_lease *lease = value;

		due_us = MIN(due_us, lease->expires_us);
	}
	return due_us;
}

/*
 * Returns the next change of a key or range whose revision is at least from, or
 * NULL. position starts at 0 and is advanced past the returned change, so that
 * a watch continues there after later writes. The change is valid until the
 * next write.
 */
const struct kv_change *kv_model_next_change(const struct kv_model *model,
					     const char *key,
					     const char *range_end,
					     int64_t from, uint64_t *position)
{
	uint64_t length = g_queue_get_length((GQueue *)&model->history);
	uint64_t index = *position > model->history_first
				 ? *position - model->history_first
				 : 0;

	for (GList *l = g_queue_peek_nth_link((GQueue *)&model->history,
					      (guint)index);
	     l; l = l->next, index++) {
		const struct kv_change *change = l->data;

		if (change->mod_revision < from ||
		    !in_range(change->key, key, range_end))
			continue;
		*position = model->history_first + index + 1;
		return change;
	}
	*position = model->history_first + length;
	return NULL;
}

static void answer_write(struct kv_model *model,
			 const struct kv_request *request,
			 struct kv_answer *answer)
{
	struct kv_compare compare = {KV_COMPARE_MOD, request->key,
				     request->expected_revision};
	bool written;

	if (!kv_model_compare(model, &compare)) {
		answer->outcome = KV_CONFLICT;
		answer->entries = kv_entries_create();
		kv_model_range(model, request->key, "", answer->entries);
		return;
	}
	kv_model_begin_transaction(model);
	if (request->op == KV_CAS)
		written = kv_model_put(model, request->key, request->value,
				       request->lease);
	else
		written = kv_model_delete(model, request->key, "") > 0;
	answer->outcome = written ? KV_OK : KV_NOT_FOUND;
}

static void answer_read(const struct kv_model *model,
			const struct kv_request *request,
			struct kv_answer *answer)
{
	char *range_end = g_strdup("");

	if (request->op == KV_LIST && *request->key) {
		g_free(range_end);
		range_end = g_strdup(request->key);
		range_end[strlen(range_end) - 1]++;
	}
	answer->entries = kv_entries_create();
	if (request->read_revision)
		kv_model_get_at(model, request->key, request->read_revision,
				answer->entries);
	else
		kv_model_range(model, request->key, range_end, answer->entries);
	if (request->op == KV_GET && answer->entries->len == 0)
		answer->outcome = KV_NOT_FOUND;
	g_free(range_end);
}

/*
 * Answers one request as the network client would, for tests and benchmarks
 * without a network. The caller clears the answer.
 */
void kv_model_answer(struct kv_model *model, const struct kv_request *request,
		     int64_t now_us, struct kv_answer *answer)
{
	kv_model_expire_leases(model, now_us);
	memset(answer, 0, sizeof(*answer));
	answer->id = request->id;
	answer->op = request->op;
	answer->outcome = KV_OK;
	switch (request->op) {
	case KV_GET:
	case KV_LIST:
		answer_read(model, request, answer);
		break;
	case KV_CAS:
	case KV_DELETE:
		answer_write(model, request, answer);
		break;
	case KV_LEASE_GRANT:
		answer->lease =
			kv_model_lease_grant(model, request->ttl_s, now_us);
		answer->ttl_s = request->ttl_s;
		break;
	case KV_LEASE_KEEPALIVE:
		answer->lease = request->lease;
		answer->ttl_s =
			kv_model_lease_keepalive(model, request->lease, now_us);
		if (answer->ttl_s == 0)
			answer->outcome = KV_NOT_FOUND;
		break;
	case KV_LEASE_REVOKE:
		if (!kv_model_lease_revoke(model, request->lease))
			answer->outcome = KV_NOT_FOUND;
		break;
	}
	answer->revision = model->revision;
}
