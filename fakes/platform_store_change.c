#include "fakes/platform_store_state.h"

#include <string.h>

#define SHORTEST_LEASE_MS 1000
#define LONGEST_LEASE_MS 600000

static int64_t revision_of(const struct platform_store *store, const char *key)
{
	const struct item *item = platform_store_latest(store, key);

	return item && item->value ? item->revision : 0;
}

static bool condition_holds(const struct platform_store *store,
			    JsonArray *expected)
{
	for (guint i = 0; i < json_array_get_length(expected); i++) {
		JsonObject *row = json_array_get_object_element(expected, i);

		if (revision_of(store,
				json_object_get_string_member(row, "key")) !=
		    json_object_get_int_member(row, "revision"))
			return false;
	}
	return true;
}

static bool leases_live(const struct platform_store *store, JsonArray *writes)
{
	for (guint i = 0; i < json_array_get_length(writes); i++) {
		JsonObject *row = json_array_get_object_element(writes, i);
		int64_t lease = json_object_get_int_member_with_default(
			row, "lease", 0);

		if (lease && !g_hash_table_contains(store->leases, &lease))
			return false;
	}
	return true;
}

static JsonArray *array_of(JsonObject *object, const char *name)
{
	return json_object_has_member(object, name)
		       ? json_object_get_array_member(object, name)
		       : NULL;
}

/* Makes a change, all of it or nothing; the status of its answer. */
static unsigned store_change(struct platform_store *store, JsonObject *change)
{
	JsonArray *expected = array_of(change, "expected");
	JsonArray *writes = array_of(change, "writes");
	JsonArray *removed = array_of(change, "remove");

	if (writes && !leases_live(store, writes))
		return 404;
	if (expected && !condition_holds(store, expected))
		return 412;
	for (guint i = 0; writes && i < json_array_get_length(writes); i++) {
		JsonObject *row = json_array_get_object_element(writes, i);

		platform_store_write(
			store, json_object_get_string_member(row, "key"),
			g_strdup(json_object_get_string_member(row, "value")),
			json_object_get_int_member_with_default(row, "lease",
								0));
	}
	for (guint i = 0; removed && i < json_array_get_length(removed); i++)
		platform_store_write(store,
				     json_array_get_string_element(removed, i),
				     NULL, 0);
	return 200;
}

static void send_conflict(const struct platform_store *store,
			  SoupServerMessage *message, JsonArray *expected)
{
	JsonBuilder *builder = platform_store_page_begin("items");

	for (guint i = 0; i < json_array_get_length(expected); i++) {
		JsonObject *row = json_array_get_object_element(expected, i);
		const struct item *item = platform_store_latest(
			store, json_object_get_string_member(row, "key"));

		if (item)
			platform_store_add_item(builder, item);
	}
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	fake_message_answer_json(message, 412, builder);
}

static void send_number(SoupServerMessage *message, const char *name,
			int64_t number, const char *other, int64_t other_number)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, number);
	if (other) {
		json_builder_set_member_name(builder, other);
		json_builder_add_int_value(builder, other_number);
	}
	json_builder_end_object(builder);
	fake_message_answer_json(message, 200, builder);
}

/* True when the change goes without an answer: made, or held back. */
static bool change_goes_unanswered(struct platform_store *store,
				   SoupServerMessage *message,
				   JsonObject *change)
{
	if (!store->lose && !store->hold)
		return false;
	soup_server_message_pause(message);
	if (store->hold)
		g_ptr_array_add(store->held, json_object_ref(change));
	else
		store_change(store, change);
	store->hold = false;
	return true;
}

/* Makes the changes that were held back, if they still can be. */
void platform_store_release(struct platform_store *store)
{
	for (guint i = 0; i < store->held->len; i++)
		store_change(store, g_ptr_array_index(store->held, i));
	g_ptr_array_set_size(store->held, 0);
}

/* A change under a condition. */
void platform_store_on_txn(void *data, SoupServerMessage *message,
			   const char *path)
{
	struct platform_store *store = data;
	JsonObject *change;
	unsigned status;

	(void)path;
	if (platform_store_fails(store, message))
		return;
	change = fake_message_read_json(message);
	if (!change) {
		fake_message_answer_text(message, 400, "no change");
		return;
	}
	if (!change_goes_unanswered(store, message, change)) {
		status = store_change(store, change);
		if (status == 200)
			send_number(message, "revision", store->revision, NULL,
				    0);
		else if (status == 412)
			send_conflict(store, message,
				      array_of(change, "expected"));
		else
			fake_message_answer_text(message, status, "no lease");
	}
	json_object_unref(change);
}

/* Frees a lease. */
void platform_store_lease_free(gpointer data)
{
	struct lease *lease = data;

	if (lease->timer)
		g_source_remove(lease->timer);
	g_free(lease);
}

static bool item_is_of(const struct platform_store *store,
		       const struct item *item, int64_t lease)
{
	return item->value && item->lease == lease &&
	       platform_store_latest(store, item->key) == item;
}

/* The lease is over: its keys go with it. */
static void lease_end(struct platform_store *store, int64_t id)
{
	guint count = store->changes->len;

	g_hash_table_remove(store->leases, &id);
	for (guint i = 0; i < count; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (item_is_of(store, item, id))
			platform_store_write(store, item->key, NULL, 0);
	}
}

static gboolean on_lease_over(gpointer data)
{
	struct lease *lease = data;

	if (lease->store->down && lease->store->pause)
		return G_SOURCE_CONTINUE;
	lease->timer = 0;
	lease_end(lease->store, lease->id);
	return G_SOURCE_REMOVE;
}

/* All leases are over at once. */
void platform_store_end_leases(struct platform_store *store)
{
	GHashTableIter i;
	gpointer id;

	while (g_hash_table_size(store->leases) > 0) {
		g_hash_table_iter_init(&i, store->leases);
		g_hash_table_iter_next(&i, &id, NULL);
		lease_end(store, *(int64_t *)id);
	}
}

static void lease_renew(struct lease *lease)
{
	if (lease->timer)
		g_source_remove(lease->timer);
	lease->timer =
		g_timeout_add((guint)lease->ttl_ms, on_lease_over, lease);
}

/* Grants a lease. */
void platform_store_on_lease(void *data, SoupServerMessage *message,
			     const char *path)
{
	struct platform_store *store = data;
	JsonObject *object;
	struct lease *lease;
	int64_t ttl_ms;

	(void)path;
	if (platform_store_fails(store, message))
		return;
	object = fake_message_read_json(message);
	ttl_ms = object ? json_object_get_int_member_with_default(object,
								  "ttl_ms", 0)
			: 0;
	g_clear_pointer(&object, json_object_unref);
	if (ttl_ms <= 0 || ttl_ms > LONGEST_LEASE_MS) {
		fake_message_answer_text(message, 400, "ttl_ms");
		return;
	}
	lease = g_new0(struct lease, 1);
	lease->store = store;
	lease->id = ++store->next_lease;
	lease->ttl_ms = MAX(ttl_ms, SHORTEST_LEASE_MS);
	g_hash_table_insert(store->leases, &lease->id, lease);
	lease_renew(lease);
	send_number(message, "lease", lease->id, "ttl_ms", lease->ttl_ms);
}

/* The lease that the end of the path names; NULL: it is over. */
static struct lease *lease_of(const struct platform_store *store,
			      const char *path)
{
	int64_t id = g_ascii_strtoll(strrchr(path, '/') + 1, NULL, 10);

	return g_hash_table_lookup(store->leases, &id);
}

/* Renews a lease. */
void platform_store_on_keep(void *data, SoupServerMessage *message,
			    const char *path)
{
	struct platform_store *store = data;
	struct lease *lease;

	if (platform_store_fails(store, message))
		return;
	lease = lease_of(store, path);
	if (!lease) {
		fake_message_answer_text(message, 404, "no lease");
		return;
	}
	lease_renew(lease);
	send_number(message, "ttl_ms", lease->ttl_ms, NULL, 0);
}

/* Ends a lease. */
void platform_store_on_lease_end(void *data, SoupServerMessage *message,
				 const char *path)
{
	struct platform_store *store = data;
	const struct lease *lease;

	if (platform_store_fails(store, message))
		return;
	lease = lease_of(store, path);
	if (lease)
		lease_end(store, lease->id);
	fake_message_answer_text(message, lease ? 200 : 404, "");
}
