#include "fakes/platform_store_state.h"

#include <string.h>

#define MIN_LEASE_MS 1000
#define MAX_LEASE_MS 600000

static int64_t key_revision(const struct platform_store *store, const char *key)
{
	const struct item *item = platform_store_latest(store, key);

	return item && item->value ? item->revision : 0;
}

static bool condition_holds(const struct platform_store *store,
			    JsonArray *expected)
{
	for (guint i = 0; i < json_array_get_length(expected); i++) {
		JsonObject *row = json_array_get_object_element(expected, i);

		if (key_revision(store,
				 json_object_get_string_member(row, "key")) !=
		    json_object_get_int_member(row, "revision"))
			return false;
	}
	return true;
}

static bool leases_exist(const struct platform_store *store, JsonArray *writes)
{
	for (guint i = 0; i < json_array_get_length(writes); i++) {
		JsonObject *row = json_array_get_object_element(writes, i);
		int64_t lease_id = json_object_get_int_member_with_default(
			row, "lease", 0);

		if (lease_id &&
		    !g_hash_table_contains(store->leases, &lease_id))
			return false;
	}
	return true;
}

static JsonArray *get_array(JsonObject *object, const char *name)
{
	return json_object_has_member(object, name)
		       ? json_object_get_array_member(object, name)
		       : NULL;
}

/*
 * Applies a change completely or not at all. Returns the HTTP status of the
 * answer: 404 if a lease does not exist, 412 if a key's revision is not the
 * expected one.
 */
static unsigned apply_change(struct platform_store *store, JsonObject *change)
{
	JsonArray *expected = get_array(change, "expected");
	JsonArray *writes = get_array(change, "writes");
	JsonArray *removed = get_array(change, "remove");

	if (writes && !leases_exist(store, writes))
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

static void send_numbers(SoupServerMessage *message, const char *name,
			 int64_t number, const char *second_name,
			 int64_t second_number)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, number);
	if (second_name) {
		json_builder_set_member_name(builder, second_name);
		json_builder_add_int_value(builder, second_number);
	}
	json_builder_end_object(builder);
	fake_message_answer_json(message, 200, builder);
}

/*
 * Applies a change without an answer ("lose"), or holds it unanswered until
 * "release" ("hold", which takes precedence). Returns false, with nothing done,
 * if neither switch is on.
 */
static bool apply_without_answer(struct platform_store *store,
				 SoupServerMessage *message, JsonObject *change)
{
	if (!store->lose_answers && !store->hold_next)
		return false;
	soup_server_message_pause(message);
	if (store->hold_next)
		g_ptr_array_add(store->held_changes, json_object_ref(change));
	else
		apply_change(store, change);
	store->hold_next = false;
	return true;
}

/*
 * Applies the held changes, except those whose conditions no longer hold or
 * whose leases have ended.
 */
void platform_store_apply_held(struct platform_store *store)
{
	for (guint i = 0; i < store->held_changes->len; i++)
		apply_change(store, g_ptr_array_index(store->held_changes, i));
	g_ptr_array_set_size(store->held_changes, 0);
}

/* Handles a transaction: writes and removals under conditions. */
void platform_store_on_txn(void *data, SoupServerMessage *message,
			   const char *path)
{
	struct platform_store *store = data;
	JsonObject *change;
	unsigned status;

	(void)path;
	if (platform_store_inject_fault(store, message))
		return;
	change = fake_message_read_json(message);
	if (!change) {
		fake_message_answer_text(message, 400, "no change");
		return;
	}
	if (!apply_without_answer(store, message, change)) {
		status = apply_change(store, change);
		if (status == 200)
			send_numbers(message, "revision", store->revision, NULL,
				     0);
		else if (status == 412)
			send_conflict(store, message,
				      get_array(change, "expected"));
		else
			fake_message_answer_text(message, status, "no lease");
	}
	json_object_unref(change);
}

/* Frees a lease and its timer; its keys stay. */
void platform_store_lease_free(gpointer data)
{
	struct lease *lease = data;

	if (lease->timer)
		g_source_remove(lease->timer);
	g_free(lease);
}

static bool item_has_lease(const struct platform_store *store,
			   const struct item *item, int64_t lease_id)
{
	return item->value && item->lease_id == lease_id &&
	       platform_store_latest(store, item->key) == item;
}

/* Ends a lease and deletes the keys bound to it. */
static void lease_end(struct platform_store *store, int64_t id)
{
	guint count = store->changes->len;

	g_hash_table_remove(store->leases, &id);
	for (guint i = 0; i < count; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (item_has_lease(store, item, id))
			platform_store_write(store, item->key, NULL, 0);
	}
}

static gboolean on_lease_timeout(gpointer data)
{
	struct lease *lease = data;

	if (lease->store->down && lease->store->pause_leases)
		return G_SOURCE_CONTINUE;
	lease->timer = 0;
	lease_end(lease->store, lease->id);
	return G_SOURCE_REMOVE;
}

/* Expires all leases at once and deletes the keys bound to them. */
void platform_store_expire_leases(struct platform_store *store)
{
	GHashTableIter i;
	gpointer id;

	while (g_hash_table_size(store->leases) > 0) {
		g_hash_table_iter_init(&i, store->leases);
		g_hash_table_iter_next(&i, &id, NULL);
		lease_end(store, *(int64_t *)id);
	}
}

static gboolean lease_is_later(gpointer id, gpointer lease G_GNUC_UNUSED,
			       gpointer last_id)
{
	return *(const int64_t *)id > *(const int64_t *)last_id;
}

/* Forgets the leases granted after the one with this id; their keys remain. */
void platform_store_drop_leases(struct platform_store *store, int64_t last_id)
{
	g_hash_table_foreach_remove(store->leases, lease_is_later, &last_id);
}

static void lease_renew(struct lease *lease)
{
	if (lease->timer)
		g_source_remove(lease->timer);
	lease->timer =
		g_timeout_add((guint)lease->ttl_ms, on_lease_timeout, lease);
}

/*
 * Grants a lease; a time to live below MIN_LEASE_MS is raised to it. The
 * answer states the granted one.
 */
void platform_store_on_lease_grant(void *data, SoupServerMessage *message,
				   const char *path)
{
	struct platform_store *store = data;
	JsonObject *object;
	struct lease *lease;
	int64_t ttl_ms;

	(void)path;
	if (platform_store_inject_fault(store, message))
		return;
	object = fake_message_read_json(message);
	ttl_ms = object ? json_object_get_int_member_with_default(object,
								  "ttl_ms", 0)
			: 0;
	g_clear_pointer(&object, json_object_unref);
	if (ttl_ms <= 0 || ttl_ms > MAX_LEASE_MS) {
		fake_message_answer_text(message, 400, "ttl_ms");
		return;
	}
	lease = g_new0(struct lease, 1);
	lease->store = store;
	lease->id = ++store->next_lease;
	lease->ttl_ms = MAX(ttl_ms, MIN_LEASE_MS);
	g_hash_table_insert(store->leases, &lease->id, lease);
	lease_renew(lease);
	send_numbers(message, "lease", lease->id, "ttl_ms", lease->ttl_ms);
}

/* Looks up the lease whose id ends the path; NULL if it has ended. */
static struct lease *lease_of(const struct platform_store *store,
			      const char *path)
{
	int64_t id = g_ascii_strtoll(strrchr(path, '/') + 1, NULL, 10);

	return g_hash_table_lookup(store->leases, &id);
}

/* Renews a lease for its full time to live. */
void platform_store_on_lease_renew(void *data, SoupServerMessage *message,
				   const char *path)
{
	struct platform_store *store = data;
	struct lease *lease;

	if (platform_store_inject_fault(store, message))
		return;
	lease = lease_of(store, path);
	if (!lease) {
		fake_message_answer_text(message, 404, "no lease");
		return;
	}
	lease_renew(lease);
	send_numbers(message, "ttl_ms", lease->ttl_ms, NULL, 0);
}

/* Ends a lease at the request of its owner, and deletes its keys. */
void platform_store_on_lease_end(void *data, SoupServerMessage *message,
				 const char *path)
{
	struct platform_store *store = data;
	const struct lease *lease;

	if (platform_store_inject_fault(store, message))
		return;
	lease = lease_of(store, path);
	if (lease)
		lease_end(store, lease->id);
	fake_message_answer_text(message, lease ? 200 : 404, "");
}
