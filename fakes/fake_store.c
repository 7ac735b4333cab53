#include "fakes/fake_server.h"

#include <string.h>

/*
 * A stand-in for the platform's metadata store: keys with revisions, lists in
 * pages and watches that wait. The operator and the engines write by
 * POST /fake/put and /fake/delete; the faults are switches.
 */
#define PAGE_ITEMS 500
#define LONGEST_WAIT_MS 30000

struct item {
	char *key;
	char *value; /* base64; NULL: deleted */
	int64_t revision;
};

struct watch {
	struct store *store;
	SoupServerMessage *message;
	char *prefix;
	int64_t after;
	guint timer;
};

struct store {
	GPtrArray *changes; /* struct item, oldest first */
	GPtrArray *watches; /* struct watch */
	int64_t revision;
	int64_t oldest; /* watches from before this get 410 */
	int64_t calls;
	bool down;   /* 503 to all */
	bool silent; /* takes calls and answers none */
	bool forget; /* once: the history is dropped */
};

static void item_free(gpointer data)
{
	struct item *item = data;

	g_free(item->key);
	g_free(item->value);
	g_free(item);
}

static void add_item(JsonBuilder *builder, const struct item *item)
{
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "key");
	json_builder_add_string_value(builder, item->key);
	json_builder_set_member_name(builder, "revision");
	json_builder_add_int_value(builder, item->revision);
	json_builder_set_member_name(builder,
				     item->value ? "value" : "deleted");
	if (item->value)
		json_builder_add_string_value(builder, item->value);
	else
		json_builder_add_boolean_value(builder, TRUE);
	json_builder_end_object(builder);
}

static JsonBuilder *page_begin(const char *list)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, list);
	json_builder_begin_array(builder);
	return builder;
}

static void page_send(const struct store *store, SoupServerMessage *message,
		      JsonBuilder *builder, bool has_more)
{
	json_builder_end_array(builder);
	json_builder_set_member_name(builder, "as_of");
	json_builder_add_int_value(builder, store->revision);
	json_builder_set_member_name(builder, "has_more");
	json_builder_add_boolean_value(builder, has_more);
	json_builder_end_object(builder);
	fake_message_answer_json(message, 200, builder);
}

static int64_t count_after(const struct store *store, const char *prefix,
			   int64_t after)
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
	struct store *store = watch->store;
	JsonBuilder *builder = page_begin("events");

	for (guint i = 0; i < store->changes->len; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (item->revision > watch->after &&
		    g_str_has_prefix(item->key, watch->prefix))
			add_item(builder, item);
	}
	page_send(store, watch->message, builder, false);
	soup_server_message_unpause(watch->message);
	g_ptr_array_remove(store->watches, watch);
}

static gboolean watch_over(gpointer data)
{
	struct watch *watch = data;

	watch->timer = 0;
	watch_answer(watch);
	return G_SOURCE_REMOVE;
}

static void store_write(struct store *store, const char *key, char *value)
{
	struct item *item = g_new0(struct item, 1);

	item->key = g_strdup(key);
	item->value = value;
	item->revision = ++store->revision;
	g_ptr_array_add(store->changes, item);
	if (store->down || store->silent)
		return;
	for (guint i = store->watches->len; i-- > 0;) {
		struct watch *watch = g_ptr_array_index(store->watches, i);

		if (count_after(store, watch->prefix, watch->after) > 0)
			watch_answer(watch);
	}
}

static const struct item *latest(const struct store *store, const char *key)
{
	for (guint i = store->changes->len; i-- > 0;) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (strcmp(item->key, key) == 0)
			return item;
	}
	return NULL;
}

static GHashTable *query_of(SoupServerMessage *message)
{
	const char *query =
		g_uri_get_query(soup_server_message_get_uri(message));

	return soup_form_decode(query ? query : "");
}

static const char *query_text(GHashTable *query, const char *name)
{
	const char *text = g_hash_table_lookup(query, name);

	return text ? text : "";
}

/* True when the call has been dealt with by a fault. */
static bool store_fails(struct store *store, SoupServerMessage *message)
{
	store->calls++;
	if (store->silent)
		soup_server_message_pause(message);
	else if (store->down)
		fake_message_answer_text(message, 503, "down");
	return store->silent || store->down;
}

static void on_range(void *data, SoupServerMessage *message, const char *path)
{
	struct store *store = data;
	g_autoptr(GHashTable) query = query_of(message);
	const char *prefix = query_text(query, "path_prefix");
	const char *after = query_text(query, "after");
	JsonBuilder *builder;
	int64_t count = 0;

	(void)path;
	if (store_fails(store, message))
		return;
	builder = page_begin("items");
	for (guint i = 0; i < store->changes->len; i++) {
		const struct item *item = g_ptr_array_index(store->changes, i);

		if (!item->value || latest(store, item->key) != item ||
		    !g_str_has_prefix(item->key, prefix) ||
		    strcmp(item->key, after) <= 0 || count == PAGE_ITEMS)
			continue;
		add_item(builder, item);
		count++;
	}
	page_send(store, message, builder, count == PAGE_ITEMS);
}

static void on_watch(void *data, SoupServerMessage *message, const char *path)
{
	struct store *store = data;
	g_autoptr(GHashTable) query = query_of(message);
	guint wait_ms = (guint)MIN(
		g_ascii_strtoull(query_text(query, "wait_ms"), NULL, 10),
		LONGEST_WAIT_MS);
	struct watch *watch;

	(void)path;
	if (store_fails(store, message))
		return;
	watch = g_new0(struct watch, 1);
	watch->store = store;
	watch->message = g_object_ref(message);
	watch->prefix = g_strdup(query_text(query, "path_prefix"));
	watch->after =
		(int64_t)g_ascii_strtoll(query_text(query, "after"), NULL, 10);
	if (watch->after < store->oldest) {
		fake_message_answer_text(message, 410, "history is gone");
		watch_free(watch);
		return;
	}
	soup_server_message_pause(message);
	g_ptr_array_add(store->watches, watch);
	if (count_after(store, watch->prefix, watch->after) > 0)
		watch_answer(watch);
	else
		watch->timer = g_timeout_add(wait_ms, watch_over, watch);
}

/* Keys are read one by one only to ask whether the store is there. */
static void on_key(void *data, SoupServerMessage *message, const char *path)
{
	(void)path;
	if (!store_fails(data, message))
		fake_message_answer_text(message, 404, "no such key");
}

static void on_put(void *data, SoupServerMessage *message, const char *path)
{
	struct store *store = data;
	JsonObject *object = fake_message_read_json(message);
	const char *value;

	if (!object || !json_object_has_member(object, "key")) {
		fake_message_answer_text(message, 400, "key and value");
		return;
	}
	value = json_object_get_string_member_with_default(object, "value",
							   NULL);
	store_write(
		store, json_object_get_string_member(object, "key"),
		value && g_str_has_suffix(path, "/put")
			? g_base64_encode((const guchar *)value, strlen(value))
			: NULL);
	json_object_unref(object);
	fake_message_answer_text(message, 200, "written");
}

static void on_calls(void *data, SoupServerMessage *message, const char *path)
{
	const struct store *store = data;
	char text[24];

	(void)path;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, store->calls);
	fake_message_answer_text(message, 200, text);
}

/* Ends the watches that wait, as a store does that goes away or forgets. */
static void cut_watches(struct store *store, unsigned status)
{
	while (store->watches->len > 0) {
		struct watch *watch = g_ptr_array_index(store->watches, 0);

		fake_message_answer_text(watch->message, status, "cut");
		soup_server_message_unpause(watch->message);
		g_ptr_array_remove(store->watches, watch);
	}
}

static void on_switch(void *data)
{
	struct store *store = data;

	if (store->down)
		cut_watches(store, 503);
	if (!store->forget)
		return;
	store->forget = false;
	store->oldest = store->revision;
	cut_watches(store, 410);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = {POPT_TABLEEND};
	struct fake_server *server = fake_server_create(argc, argv, options);
	struct store store = {.oldest = 0};
	const struct fake_mode modes[] = {
		{"down", FAKE_MODE_BOOL, &store.down},
		{"silent", FAKE_MODE_BOOL, &store.silent},
		{"forget", FAKE_MODE_BOOL, &store.forget},
	};
	int status;

	if (!server)
		return 2;
	store.changes = g_ptr_array_new_with_free_func(item_free);
	store.watches = g_ptr_array_new_with_free_func(watch_free);
	fake_server_add_handler(server, "/v1/kv-key", on_key, &store);
	fake_server_add_handler(server, "/v1/kv-range", on_range, &store);
	fake_server_add_handler(server, "/v1/kv-watch", on_watch, &store);
	fake_server_add_handler(server, "/fake/put", on_put, &store);
	fake_server_add_handler(server, "/fake/delete", on_put, &store);
	fake_server_add_handler(server, "/fake/calls", on_calls, &store);
	fake_server_set_modes(server, modes, G_N_ELEMENTS(modes), on_switch,
			      &store);
	status = fake_server_run(server);
	fake_server_destroy(server);
	g_ptr_array_unref(store.watches);
	g_ptr_array_unref(store.changes);
	return status;
}
