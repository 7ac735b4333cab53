#include "fakes/kv_gateway.h"

#include "codec/etcd_field.h"
#include "core/json/json_member.h"
#include "core/json/json_writer.h"

#include <string.h>

static const struct {
	const char *path;
	const char *name;
	bool writes;
} calls[KV_CALL_COUNT] = {
	[KV_CALL_RANGE] = {"/v3/kv/range", "range", false},
	[KV_CALL_TXN] = {"/v3/kv/txn", "txn", true},
	[KV_CALL_LEASE_GRANT] = {"/v3/lease/grant", "lease_grant", true},
	[KV_CALL_LEASE_KEEPALIVE] = {"/v3/lease/keepalive", "lease_keepalive",
				     true},
	[KV_CALL_LEASE_REVOKE] = {"/v3/lease/revoke", "lease_revoke", true},
	[KV_CALL_WATCH] = {"/v3/watch", "watch", false},
};

/* Finds the call that a path names; returns false if there is none. */
bool kv_gateway_find_call(const char *path, enum kv_call *call)
{
	for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (strcmp(path, calls[i].path) == 0) {
			*call = (enum kv_call)i;
			return true;
		}
	}
	return false;
}

/* Returns the name of a call in GET /fake/calls. */
const char *kv_call_name(enum kv_call call)
{
	return calls[call].name;
}

/*
 * Returns whether a call writes: if its answer is lost, its outcome is in
 * doubt.
 */
bool kv_call_writes(enum kv_call call)
{
	return calls[call].writes;
}

static const char *get_string(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || json_node_get_value_type(node) != G_TYPE_STRING)
		return "";
	return json_node_get_string(node);
}

static GBytes *get_bytes(JsonObject *object, const char *name)
{
	GBytes *bytes;

	if (!etcd_field_decode(get_string(object, name), &bytes))
		bytes = g_bytes_new_static("", 0);
	return bytes;
}

static char *get_key(JsonObject *object, const char *name)
{
	GBytes *bytes = get_bytes(object, name);
	gsize size;
	const char *data = g_bytes_get_data(bytes, &size);
	char *key = g_strndup(data ? data : "", size);

	g_bytes_unref(bytes);
	return key;
}

static int64_t get_int64(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (node && json_node_get_value_type(node) == G_TYPE_INT64)
		return json_node_get_int(node);
	return g_ascii_strtoll(get_string(object, name), NULL, 10);
}

static void add_header(JsonBuilder *builder, const struct kv_model *model)
{
	json_writer_begin_object(builder, "header");
	etcd_field_add_int64(builder, "cluster_id", 1);
	etcd_field_add_int64(builder, "member_id", 1);
	etcd_field_add_int64(builder, "revision", kv_model_revision(model));
	etcd_field_add_int64(builder, "raft_term", 1);
	json_builder_end_object(builder);
}

static void add_kv(JsonBuilder *builder, const char *key, GBytes *value,
		   int64_t create_revision, int64_t mod_revision)
{
	json_builder_begin_object(builder);
	etcd_field_add_bytes(builder, "key", key, strlen(key));
	if (create_revision)
		etcd_field_add_int64(builder, "create_revision",
				     create_revision);
	etcd_field_add_int64(builder, "mod_revision", mod_revision);
	if (value && g_bytes_get_size(value))
		etcd_field_add_bytes(builder, "value",
				     g_bytes_get_data(value, NULL),
				     g_bytes_get_size(value));
	json_builder_end_object(builder);
}

static unsigned answer_error(JsonBuilder *builder, unsigned status, int code,
			     const char *message)
{
	json_builder_reset(builder);
	json_builder_begin_object(builder);
	json_writer_add_string(builder, "error", message);
	json_writer_add_int(builder, "code", code);
	json_writer_add_string(builder, "message", message);
	json_builder_end_object(builder);
	return status;
}

static void add_entries(JsonBuilder *builder, const GPtrArray *entries)
{
	if (entries->len == 0)
		return;
	json_writer_begin_array(builder, "kvs");
	for (guint i = 0; i < entries->len; i++) {
		const struct kv_entry *entry = g_ptr_array_index(entries, i);

		add_kv(builder, entry->key, entry->value,
		       entry->create_revision, entry->mod_revision);
	}
	json_builder_end_array(builder);
	etcd_field_add_int64(builder, "count", entries->len);
}

static unsigned answer_range(const struct kv_model *model, JsonObject *body,
			     JsonBuilder *builder)
{
	GPtrArray *entries = kv_entries_create();
	char *key = get_key(body, "key");
	char *range_end = get_key(body, "range_end");
	int64_t revision = get_int64(body, "revision");
	unsigned status = 200;

	if (!revision)
		kv_model_range(model, key, range_end, entries);
	else if (!kv_model_get_at(model, key, revision, entries))
		status = answer_error(builder, 400, 11,
				      "etcdserver: mvcc: required revision has "
				      "been compacted");
	if (status == 200) {
		add_header(builder, model);
		add_entries(builder, entries);
	}
	g_free(key);
	g_free(range_end);
	g_ptr_array_unref(entries);
	return status;
}

static bool compare_holds(const struct kv_model *model, JsonObject *body)
{
	static const struct {
		const char *target;
		const char *member;
	} targets[] = {
		[KV_COMPARE_CREATE] = {"CREATE", "create_revision"},
		[KV_COMPARE_MOD] = {"MOD", "mod_revision"},
		[KV_COMPARE_VERSION] = {"VERSION", "version"},
	};
	const char *target = get_string(body, "target");
	char *key = get_key(body, "key");
	struct kv_compare compare = {KV_COMPARE_VERSION, key, 0};
	bool holds;

	for (size_t i = 0; i < G_N_ELEMENTS(targets); i++) {
		if (strcmp(target, targets[i].target) == 0)
			compare.target = (enum kv_compare_target)i;
	}
	compare.equals = get_int64(body, targets[compare.target].member);
	holds = kv_model_compare(model, &compare);
	g_free(key);
	return holds;
}

static bool all_compares_hold(const struct kv_model *model, JsonObject *body)
{
	JsonArray *array = json_member_array(body, "compare");

	for (guint i = 0; array && i < json_array_get_length(array); i++) {
		JsonObject *compare = json_element_object(array, i);

		if (compare && !compare_holds(model, compare))
			return false;
	}
	return true;
}

static bool run_put(struct kv_model *model, JsonObject *put)
{
	char *key = get_key(put, "key");
	GBytes *value = get_bytes(put, "value");
	bool ok = kv_model_put(model, key, value, get_int64(put, "lease"));

	g_free(key);
	g_bytes_unref(value);
	return ok;
}

static void run_delete(struct kv_model *model, JsonObject *range,
		       JsonBuilder *builder)
{
	char *key = get_key(range, "key");
	char *range_end = get_key(range, "range_end");
	int64_t deleted = kv_model_delete(model, key, range_end);

	add_header(builder, model);
	if (deleted)
		etcd_field_add_int64(builder, "deleted", deleted);
	g_free(key);
	g_free(range_end);
}

/* Runs one operation of a transaction; false if its lease does not exist. */
static bool run_operation(struct kv_model *model, JsonObject *operation,
			  JsonBuilder *builder)
{
	JsonObject *put = json_member_object(operation, "request_put");
	JsonObject *range = json_member_object(operation, "request_range");
	JsonObject *delete =
		json_member_object(operation, "request_delete_range");

	json_builder_begin_object(builder);
	if (put) {
		if (!run_put(model, put))
			return false;
		json_writer_begin_object(builder, "response_put");
		add_header(builder, model);
		json_builder_end_object(builder);
	} else if (range) {
		json_writer_begin_object(builder, "response_range");
		answer_range(model, range, builder);
		json_builder_end_object(builder);
	} else if (delete) {
		json_writer_begin_object(builder, "response_delete_range");
		run_delete(model, delete, builder);
		json_builder_end_object(builder);
	}
	json_builder_end_object(builder);
	return true;
}

static unsigned answer_txn(struct kv_model *model, JsonObject *body,
			   JsonBuilder *builder)
{
	bool succeeded = all_compares_hold(model, body);
	JsonArray *operations =
		json_member_array(body, succeeded ? "success" : "failure");

	if (succeeded) {
		json_builder_set_member_name(builder, "succeeded");
		json_builder_add_boolean_value(builder, TRUE);
	}
	kv_model_begin_transaction(model);
	json_writer_begin_array(builder, "responses");
	for (guint i = 0; operations && i < json_array_get_length(operations);
	     i++) {
		JsonObject *operation = json_element_object(operations, i);

		if (operation && !run_operation(model, operation, builder))
			return answer_error(
				builder, 404, 5,
				"etcdserver: requested lease not found");
	}
	json_builder_end_array(builder);
	add_header(builder, model);
	return 200;
}

static void answer_grant(struct kv_model *model, JsonObject *body,
			 int64_t now_us, JsonBuilder *builder)
{
	int64_t ttl_s = MAX(get_int64(body, "TTL"), 1);

	add_header(builder, model);
	etcd_field_add_int64(builder, "ID",
			     kv_model_lease_grant(model, ttl_s, now_us));
	etcd_field_add_int64(builder, "TTL", ttl_s);
}

static void answer_keepalive(struct kv_model *model, JsonObject *body,
			     int64_t now_us, JsonBuilder *builder)
{
	int64_t lease = get_int64(body, "ID");
	int64_t ttl_s = kv_model_lease_keepalive(model, lease, now_us);

	json_writer_begin_object(builder, "result");
	add_header(builder, model);
	etcd_field_add_int64(builder, "ID", lease);
	if (ttl_s)
		etcd_field_add_int64(builder, "TTL", ttl_s);
	json_builder_end_object(builder);
}

/*
 * Runs a call other than a watch, writes the complete answer to the builder
 * and returns its HTTP status.
 */
unsigned kv_gateway_answer(struct kv_model *model, enum kv_call call,
			   JsonObject *body, int64_t now_us,
			   JsonBuilder *builder)
{
	unsigned status = 200;

	kv_model_expire_leases(model, now_us);
	json_builder_begin_object(builder);
	switch (call) {
	case KV_CALL_RANGE:
		status = answer_range(model, body, builder);
		break;
	case KV_CALL_TXN:
		status = answer_txn(model, body, builder);
		break;
	case KV_CALL_LEASE_GRANT:
		answer_grant(model, body, now_us, builder);
		break;
	case KV_CALL_LEASE_KEEPALIVE:
		answer_keepalive(model, body, now_us, builder);
		break;
	case KV_CALL_LEASE_REVOKE:
		if (kv_model_lease_revoke(model, get_int64(body, "ID")))
			add_header(builder, model);
		else
			status = answer_error(
				builder, 404, 5,
				"etcdserver: requested lease not found");
		break;
	case KV_CALL_WATCH:
	case KV_CALL_COUNT:
		status = answer_error(builder, 400, 3, "not answered at once");
		break;
	}
	if (status == 200)
		json_builder_end_object(builder);
	return status;
}

/*
 * Parses a watch request; the caller clears the watch. Returns false, with an
 * empty watch, if the body has no create_request.
 */
bool kv_gateway_watch_parse(const struct kv_model *model, JsonObject *body,
			    struct kv_gateway_watch *watch)
{
	JsonObject *create = json_member_object(body, "create_request");

	memset(watch, 0, sizeof(*watch));
	if (!create)
		return false;
	watch->key = get_key(create, "key");
	watch->range_end = get_key(create, "range_end");
	watch->start_revision = get_int64(create, "start_revision");
	if (watch->start_revision == 0)
		watch->start_revision = kv_model_revision(model) + 1;
	return true;
}

/* Frees the members of a watch, not the struct itself. */
void kv_gateway_watch_clear(struct kv_gateway_watch *watch)
{
	g_clear_pointer(&watch->key, g_free);
	g_clear_pointer(&watch->range_end, g_free);
}

static JsonBuilder *begin_line(const struct kv_model *model)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_writer_begin_object(builder, "result");
	add_header(builder, model);
	return builder;
}

static char *end_line(JsonBuilder *builder)
{
	char *text;
	char *line;

	json_builder_end_object(builder);
	json_builder_end_object(builder);
	text = json_writer_finish_text(builder);
	line = g_strconcat(text, "\n", NULL);
	g_free(text);
	return line;
}

/*
 * Returns the first line of a watch's stream, to be freed with g_free. Sets
 * compacted if the start revision is older than the history: the line then
 * cancels the watch, and the stream must end after it.
 */
char *kv_gateway_watch_created_line(const struct kv_model *model,
				    const struct kv_gateway_watch *watch,
				    bool *compacted)
{
	JsonBuilder *builder = begin_line(model);
	int64_t oldest = kv_model_oldest_revision(model);

	*compacted = watch->start_revision < oldest;
	json_builder_set_member_name(builder, "created");
	json_builder_add_boolean_value(builder, TRUE);
	if (*compacted) {
		json_builder_set_member_name(builder, "canceled");
		json_builder_add_boolean_value(builder, TRUE);
		etcd_field_add_int64(builder, "compact_revision", oldest);
	}
	return end_line(builder);
}

/*
 * Returns the next line of a watch's stream, with one change, to be freed with
 * g_free, or NULL if there is no further change yet.
 */
char *kv_gateway_watch_next_line(const struct kv_model *model,
				 struct kv_gateway_watch *watch)
{
	const struct kv_change *change =
		kv_model_next_change(model, watch->key, watch->range_end,
				     watch->start_revision, &watch->position);
	JsonBuilder *builder;

	if (!change)
		return NULL;
	builder = begin_line(model);
	json_writer_begin_array(builder, "events");
	json_builder_begin_object(builder);
	if (!change->value) {
		json_writer_add_string(builder, "type", "DELETE");
	}
	json_builder_set_member_name(builder, "kv");
	add_kv(builder, change->key, change->value, change->create_revision,
	       change->mod_revision);
	json_builder_end_object(builder);
	json_builder_end_array(builder);
	return end_line(builder);
}
