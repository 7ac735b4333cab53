#include "fakes/platform_store_state.h"

#include <string.h>

#define MAX_PAGE_ITEMS 500
/* How long a watch waits before "cut_watches" resets it. */
#define CUT_WATCH_MS 300
#define MAX_WAIT_MS 30000

static void item_free(gpointer data)
{
	struct item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void add_fields(JsonBuilder *builder, const struct item *item)
{
	json_builder_set_member_name(builder, "key");
	json_builder_add_string_value(builder, item->key);
	json_builder_set_member_name(builder, "revision");
	json_builder_add_int_value(builder, item->revision);
	if (!item->value) {
		json_builder_set_member_name(builder, "deleted");
		json_builder_add_boolean_value(builder, TRUE);
		return;
	}
	json_builder_set_member_name(builder, "value");
	json_builder_add_string_value(builder, item->value);
	json_builder_set_member_name(builder, "created");
	json_builder_add_int_value(builder, item->created_revision);
	json_builder_set_member_name(builder, "lease");
	json_builder_add_int_value(builder, item->lease_id);
}

/* Appends an item to a JSON array. */
void platform_store_add_item(JsonBuilder *builder, const struct item *item)
{
	json_builder_begin_object(builder);
	add_fields(builder, item);
	json_builder_end_object(builder);
}

/*
 * Begins a JSON page with an open array under the name list. The caller adds
 * items, closes the array and the object, and owns the builder.
 */
JsonBuilder *platform_store_page_begin(const char *list)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, list);
	json_builder_begin_array(builder);
	return builder;
}

static void page_send(SoupServerMessage *message, JsonBuilder *builder,
		      int64_t as_of, bool has_more)
{
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "as_of");
	json_builder_add_int_value(builder, as_of);
	json_builder_set_member_name(builder, "has_more");
	json_builder_add_boolean_value(builder, has_more);
	json_builder_end_object(builder);
	fake_message_answer_json(message, 200, builder);
}

static int64_t count_after(const struct platform_store *store,
			   const char *prefix, int64_t after)
{
	int64_t count = 0;

	for (guint i = 0; i < store->changes->len; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		count += item->revision > after &&
			 g_str_has_prefix(item->key, prefix);
	}
	return count;
}

static void watch_free(gpointer data)
{
	struct watch *watch = data;

	if (watch->timer)
		g_source_remove(watch->timer);
	g_object_unref(watch->message);
	g_free(watch->prefix);
	g_free(watch);
}

static void watch_answer(struct watch *watch)
{
	struct platform_store *store = watch->store;
	JsonBuilder *builder = platform_store_page_begin("events");

	for (guint i = 0; i < store->changes->len; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (item->revision > watch->after_revision &&
		    g_str_has_prefix(item->key, watch->prefix))
			platform_store_add_item(builder, item);
	}
	platform_store_name_era(store, watch->message);
	page_send(watch->message, builder, store->revision, false);
	soup_server_message_unpause(watch->message);
	g_ptr_array_remove(store->watches, watch);
}

static gboolean on_watch_timeout(gpointer data)
{
	struct watch *watch = data;

	watch->timer = 0;
	watch_answer(watch);
	return G_SOURCE_REMOVE;
}

static void watch_cut(struct watch *watch)
{
	g_autoptr(SoupServerMessage) message = g_object_ref(watch->message);

	g_ptr_array_remove(watch->store->watches, watch);
	fake_message_reset_connection(message);
}

static gboolean on_watch_cut(gpointer data)
{
	struct watch *watch = data;

	watch->timer = 0;
	watch_cut(watch);
	return G_SOURCE_REMOVE;
}

/* Resets the connections of all watches that wait. */
void platform_store_cut_watches(struct platform_store *store)
{
	while (store->watches->len > 0)
		watch_cut(g_ptr_array_index(store->watches, 0));
}

/* Returns the last change of a key up to a revision; NULL if there is none. */
static const struct item *latest_at(const struct platform_store *store,
				    const char *key, int64_t revision)
{
	for (guint i = store->changes->len; i-- > 0;) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (item->revision <= revision && strcmp(item->key, key) == 0)
			return item;
	}
	return NULL;
}

/*
 * Returns the last change of a key, which may be its deletion; NULL if the key
 * was never written. The store owns the item.
 */
const struct item *platform_store_latest(const struct platform_store *store,
					 const char *key)
{
	return latest_at(store, key, store->revision);
}

/*
 * Writes a key, or deletes it if value is NULL, and answers the watches that
 * wait for it, unless the store is down or silent. Takes ownership of value
 * (base64). lease_id is the lease of the key, 0 for none.
 */
void platform_store_write(struct platform_store *store, const char *key,
			  char *value, int64_t lease_id)
{
	const struct item *before = platform_store_latest(store, key);
	struct item *item = g_new0(struct item, 1);

	item->key = g_strdup(key);
	item->value = value;
	item->lease_id = lease_id;
	item->written_us = g_get_monotonic_time();
	item->revision = ++store->revision;
	item->created_revision = before && before->value
					 ? before->created_revision
					 : item->revision;
	g_ptr_array_add(store->changes, item);
	if (store->down || store->silent)
		return;
	for (guint i = store->watches->len; i-- > 0;) {
		struct watch *watch = g_ptr_array_index(store->watches, i);

		if (count_after(store, watch->prefix, watch->after_revision) >
		    0)
			watch_answer(watch);
	}
}

static GHashTable *parse_query(SoupServerMessage *message)
{
	const char *query =
		g_uri_get_query(soup_server_message_get_uri(message));

	return soup_form_decode(query ? query : "");
}

static const char *query_get(GHashTable *query, const char *name)
{
	const char *text = g_hash_table_lookup(query, name);

	return text ? text : "";
}

/* Returns the revision that a read with this query sees. */
static int64_t read_revision(const struct platform_store *store,
			     GHashTable *query)
{
	return platform_store_read_revision(
		store, strcmp(query_get(query, "allow_stale"), "1") == 0);
}

static void on_range(void *data, SoupServerMessage *message, const char *path)
{
	struct platform_store *store = data;
	g_autoptr(GHashTable) query = parse_query(message);
	const char *prefix = query_get(query, "path_prefix");
	const char *after = query_get(query, "after");
	int64_t as_of = read_revision(store, query);
	JsonBuilder *builder;
	int64_t count = 0;

	(void)path;
	if (platform_store_inject_fault(store, message))
		return;
	builder = platform_store_page_begin("items");
	for (guint i = 0; i < store->changes->len; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (!item->value ||
		    latest_at(store, item->key, as_of) != item ||
		    !g_str_has_prefix(item->key, prefix) ||
		    strcmp(item->key, after) <= 0 || count == MAX_PAGE_ITEMS)
			continue;
		platform_store_add_item(builder, item);
		count++;
	}
	page_send(message, builder, as_of, count == MAX_PAGE_ITEMS);
}

static void on_watch(void *data, SoupServerMessage *message, const char *path)
{
	struct platform_store *store = data;
	g_autoptr(GHashTable) query = parse_query(message);
	guint wait_ms = (guint)MIN(
		g_ascii_strtoull(query_get(query, "wait_ms"), NULL, 10),
		MAX_WAIT_MS);
	struct watch *watch;

	(void)path;
	store->last_wait_ms = wait_ms;
	if (platform_store_inject_fault(store, message))
		return;
	watch = g_new0(struct watch, 1);
	watch->store = store;
	watch->message = g_object_ref(message);
	watch->prefix = g_strdup(query_get(query, "path_prefix"));
	watch->after_revision =
		(int64_t)g_ascii_strtoll(query_get(query, "after"), NULL, 10);
	if (watch->after_revision < store->oldest_revision ||
	    watch->after_revision > store->revision) {
		fake_message_answer_text(message, 410, "history is gone");
		watch_free(watch);
		return;
	}
	soup_server_message_pause(message);
	g_ptr_array_add(store->watches, watch);
	if (count_after(store, watch->prefix, watch->after_revision) > 0)
		watch_answer(watch);
	else if (store->cuts_watches && wait_ms > CUT_WATCH_MS)
		watch->timer = g_timeout_add(CUT_WATCH_MS, on_watch_cut, watch);
	else
		watch->timer = g_timeout_add(wait_ms, on_watch_timeout, watch);
}

static void on_key(void *data, SoupServerMessage *message, const char *path)
{
	struct platform_store *store = data;
	g_autoptr(GHashTable) query = parse_query(message);
	int64_t as_of = read_revision(store, query);
	const struct item *item;
	JsonBuilder *builder;

	(void)path;
	if (platform_store_inject_fault(store, message))
		return;
	item = latest_at(store, query_get(query, "key"), as_of);
	if (!item || !item->value) {
		fake_message_answer_text(message, 404, "no such key");
		return;
	}
	builder = json_builder_new();
	json_builder_begin_object(builder);
	add_fields(builder, item);
	json_builder_set_member_name(builder, "as_of");
	json_builder_add_int_value(builder, as_of);
	json_builder_end_object(builder);
	fake_message_answer_json(message, 200, builder);
}

static void on_put_or_delete(void *data, SoupServerMessage *message,
			     const char *path)
{
	struct platform_store *store = data;
	JsonObject *object = fake_message_read_json(message);
	const char *value, *base64;
	char *bytes = NULL;

	if (!object || !json_object_has_member(object, "key")) {
		fake_message_answer_text(message, 400, "key and value");
		return;
	}
	value = json_object_get_string_member_with_default(object, "value",
							   NULL);
	base64 = json_object_get_string_member_with_default(object, "base64",
							    NULL);
	if (!g_str_has_suffix(path, "/put"))
		bytes = NULL;
	else if (base64)
		bytes = g_strdup(base64);
	else if (value)
		bytes = g_base64_encode((const guchar *)value, strlen(value));
	platform_store_write(
		store, json_object_get_string_member(object, "key"), bytes, 0);
	json_object_unref(object);
	fake_message_answer_text(message, 200, "written");
}

static void on_call_count(void *data, SoupServerMessage *message,
			  const char *path)
{
	const struct platform_store *store = data;
	char text[24];

	(void)path;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, store->call_count);
	fake_message_answer_text(message, 200, text);
}

/*
 * Answers all waiting watches with an error: 503 when the store goes down, 410
 * when its history is dropped.
 */
void platform_store_abort_watches(struct platform_store *store, unsigned status)
{
	while (store->watches->len > 0) {
		struct watch *watch = g_ptr_array_index(store->watches, 0);

		platform_store_name_era(store, watch->message);
		fake_message_answer_text(watch->message, status, "cut");
		soup_server_message_unpause(watch->message);
		g_ptr_array_remove(store->watches, watch);
	}
}

/* Names the store's era in the answer to a call. */
void platform_store_name_era(const struct platform_store *store,
			     SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	g_autofree char *text =
		g_strdup_printf("%" G_GINT64_FORMAT, store->era);

	if (store->era != 0)
		soup_message_headers_replace(headers, "Store-Era", text);
	else
		soup_message_headers_remove(headers, "Store-Era");
}

/*
 * Goes back to the copy, as a store that is restored: later writes and leases
 * are gone, their revisions are given out again, and the era rises. Waiting
 * watches are cut.
 */
void platform_store_restore(struct platform_store *store)
{
	while (store->revision > store->copy_revision) {
		g_ptr_array_set_size(store->changes,
				     (gint)store->changes->len - 1);
		store->revision--;
	}
	store->era++;
	platform_store_drop_leases(store, store->copy_last_lease);
	platform_store_abort_watches(store, 503);
}

/* Deletes all keys that begin with prefix. */
void platform_store_delete_prefix(struct platform_store *store,
				  const char *prefix)
{
	guint count = store->changes->len;

	for (guint i = 0; i < count; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (item->value && g_str_has_prefix(item->key, prefix) &&
		    platform_store_latest(store, item->key) == item)
			platform_store_write(store, item->key, NULL, 0);
	}
}

/*
 * Creates an empty store and registers its handlers and fault switches with
 * server, which serves no other fake. The caller frees the store with
 * platform_store_destroy().
 */
struct platform_store *platform_store_create(struct fake_server *server)
{
	struct platform_store *store = g_new0(struct platform_store, 1);

	store->changes = g_ptr_array_new_with_free_func(item_free);
	store->watches = g_ptr_array_new_with_free_func(watch_free);
	store->held_changes = g_ptr_array_new_with_free_func(
		(GDestroyNotify)json_object_unref);
	store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      platform_store_lease_free);
	store->delayed_calls =
		g_ptr_array_new_with_free_func(platform_store_delayed_free);
	store->call_handlers = g_ptr_array_new_with_free_func(g_free);
	platform_store_add_handler(store, server, "/v1/kv-key", on_key);
	platform_store_add_handler(store, server, "/v1/kv-range", on_range);
	platform_store_add_handler(store, server, "/v1/kv-watch", on_watch);
	platform_store_add_handler(store, server, "/v1/kv-txn",
				   platform_store_on_txn);
	platform_store_add_handler(store, server, "/v1/kv-lease",
				   platform_store_on_lease_grant);
	platform_store_add_handler(store, server, "/v1/kv-keep",
				   platform_store_on_lease_renew);
	platform_store_add_handler(store, server, "/v1/kv-lease-end",
				   platform_store_on_lease_end);
	fake_server_add_handler(server, "/fake/put", on_put_or_delete, store);
	fake_server_add_handler(server, "/fake/delete", on_put_or_delete,
				store);
	fake_server_add_handler(server, "/fake/calls", on_call_count, store);
	platform_store_add_modes(store, server);
	return store;
}

/*
 * Frees the store. Call it after fake_server_destroy(), since the server's
 * handlers use the store. NULL is allowed.
 */
void platform_store_destroy(struct platform_store *store)
{
	if (!store)
		return;
	g_ptr_array_unref(store->watches);
	g_ptr_array_unref(store->changes);
	g_ptr_array_unref(store->held_changes);
	g_hash_table_unref(store->leases);
	g_ptr_array_unref(store->delayed_calls);
	g_ptr_array_unref(store->call_handlers);
	g_free(store->refused_addresses);
	g_free(store->refusal);
	g_free(store);
}

/*
 * Writes a key without a lease, as the operator and the engines do. value is
 * plain text and is stored as base64.
 */
void platform_store_put(struct platform_store *store, const char *key,
			const char *value)
{
	platform_store_write(
		store, key,
		g_base64_encode((const guchar *)value, strlen(value)), 0);
}

/*
 * Returns the wait that the last watch asked for, in milliseconds and at most
 * MAX_WAIT_MS. Watches that were refused count too.
 */
int64_t platform_store_last_wait_ms(const struct platform_store *store)
{
	return store->last_wait_ms;
}
