#include "codec/etcd_json.h"

#include "core/json/json_reader.h"
#include "core/json/json_writer.h"

#include <string.h>

static const char parse_step[] = "kv.parse";

/* The gateway's path for an operation. */
const char *etcd_json_path(enum kv_op op)
{
	switch (op) {
	case KV_GET:
	case KV_LIST:
		return "/v3/kv/range";
	case KV_CAS:
	case KV_DELETE:
		return "/v3/kv/txn";
	case KV_LEASE_GRANT:
		return "/v3/lease/grant";
	case KV_LEASE_KEEPALIVE:
		return "/v3/lease/keepalive";
	case KV_LEASE_REVOKE:
		return "/v3/lease/revoke";
	}
	return "/";
}

/* The end of the range of all keys that start with prefix. */
char *etcd_json_range_end(const char *prefix)
{
	char *end = g_strdup(prefix);
	size_t length = strlen(end);

	while (length > 0 && (unsigned char)end[length - 1] == 0xff)
		length--;
	end[length] = '\0';
	if (length > 0)
		end[length - 1]++;
	return end;
}

static void add_base64(JsonBuilder *builder, const char *name, const void *data,
		       size_t size)
{
	char *text = g_base64_encode(data, size);

	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
	g_free(text);
}

static void add_key(JsonBuilder *builder, const char *name, const char *key)
{
	add_base64(builder, name, key, strlen(key));
}

static void add_int64(JsonBuilder *builder, const char *name, int64_t value)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, text);
}

static void begin_list(JsonBuilder *builder, const char *name)
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_array(builder);
	json_builder_begin_object(builder);
}

static void end_list(JsonBuilder *builder)
{
	json_builder_end_object(builder);
	json_builder_end_array(builder);
}

static void begin_member(JsonBuilder *builder, const char *name)
{
	json_builder_set_member_name(builder, name);
	json_builder_begin_object(builder);
}

static void add_range(JsonBuilder *builder, const struct kv_request *request)
{
	add_key(builder, "key", request->key);
	if (request->read_revision)
		add_int64(builder, "revision", request->read_revision);
	if (request->allow_stale) {
		json_builder_set_member_name(builder, "serializable");
		json_builder_add_boolean_value(builder, TRUE);
	}
	if (request->op == KV_LIST) {
		char *end = etcd_json_range_end(request->key);

		add_key(builder, "range_end", end);
		g_free(end);
	}
}

static void add_compare(JsonBuilder *builder, const struct kv_request *request)
{
	bool create = request->expected_revision == 0;

	begin_list(builder, "compare");
	add_key(builder, "key", request->key);
	json_writer_text(builder, "result", "EQUAL");
	json_writer_text(builder, "target", create ? "CREATE" : "MOD");
	add_int64(builder, create ? "create_revision" : "mod_revision",
		  request->expected_revision);
	end_list(builder);
}

/* A conflict is answered with what is there, so it costs no second call. */
static void add_txn(JsonBuilder *builder, const struct kv_request *request)
{
	bool put = request->op == KV_CAS;
	size_t size = 0;

	add_compare(builder, request);
	begin_list(builder, "success");
	begin_member(builder, put ? "request_put" : "request_delete_range");
	add_key(builder, "key", request->key);
	if (put) {
		const void *data = g_bytes_get_data(request->value, &size);

		add_base64(builder, "value", data, size);
		if (request->lease)
			add_int64(builder, "lease", request->lease);
	}
	json_builder_end_object(builder);
	end_list(builder);
	begin_list(builder, "failure");
	begin_member(builder, "request_range");
	add_key(builder, "key", request->key);
	json_builder_end_object(builder);
	end_list(builder);
}

/* The body that asks the gateway for this. */
GBytes *etcd_json_format_request(const struct kv_request *request)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	switch (request->op) {
	case KV_GET:
	case KV_LIST:
		add_range(builder, request);
		break;
	case KV_CAS:
	case KV_DELETE:
		add_txn(builder, request);
		break;
	case KV_LEASE_GRANT:
		add_int64(builder, "TTL", request->ttl_s);
		break;
	case KV_LEASE_KEEPALIVE:
	case KV_LEASE_REVOKE:
		add_int64(builder, "ID", request->lease);
		break;
	}
	json_builder_end_object(builder);
	return json_writer_take(builder);
}

/* The body that watches one key from a revision on. */
GBytes *etcd_json_format_watch(const char *key, int64_t start_revision)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	begin_member(builder, "create_request");
	add_key(builder, "key", key);
	add_int64(builder, "start_revision", start_revision);
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	return json_writer_take(builder);
}

/* Decodes base64 strictly; the library's decoder skips what is not. */
bool etcd_json_decode(const char *base64, GBytes **bytes)
{
	static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				       "abcdefghijklmnopqrstuvwxyz"
				       "0123456789+/";
	size_t length = strlen(base64);
	size_t digits = strspn(base64, alphabet);
	guchar *data;
	gsize size = 0;

	if (length % 4 != 0 || length - digits > 2 ||
	    strspn(base64 + digits, "=") != length - digits)
		return false;
	data = g_base64_decode(base64, &size);
	*bytes = g_bytes_new_take(data, size);
	return true;
}

/* A 64-bit number as the gateway writes it: a string, or absent for 0. */
static int64_t read_int64(struct json_fields *fields, const char *name)
{
	const char *text = json_fields_string(fields, name, 0, 20);
	gint64 value = 0;

	if (*text &&
	    !g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, &value, NULL))
		json_fields_fail(fields, name, "a number in a string");
	return value;
}

static GBytes *read_bytes(struct json_fields *fields, const char *name)
{
	const char *text = json_fields_string(fields, name, 0, G_MAXINT32);
	GBytes *bytes = NULL;

	if (!etcd_json_decode(text, &bytes)) {
		json_fields_fail(fields, name, "base64");
		bytes = g_bytes_new_static("", 0);
	}
	return bytes;
}

static char *read_key(struct json_fields *fields)
{
	GBytes *bytes = read_bytes(fields, "key");
	size_t size = 0;
	const char *data = g_bytes_get_data(bytes, &size);
	char *key;

	if (size == 0 || memchr(data, '\0', size))
		json_fields_fail(fields, "key", "a key without NUL bytes");
	key = g_strndup(data ? data : "", size);
	g_bytes_unref(bytes);
	return key;
}

/* An object member, as its node; absent or null is NULL. */
static JsonNode *get_object(struct json_fields *fields, const char *name)
{
	JsonNode *node;

	if (!json_fields_has(fields, name))
		return NULL;
	node = json_object_get_member(fields->object, name);
	if (JSON_NODE_HOLDS_NULL(node))
		return NULL;
	if (JSON_NODE_HOLDS_OBJECT(node))
		return node;
	json_fields_fail(fields, name, "an object");
	return NULL;
}

static int64_t read_revision(struct json_fields *fields, struct error *error)
{
	JsonNode *node = get_object(fields, "header");
	struct json_fields header;
	int64_t revision;

	if (!node) {
		json_fields_fail(fields, "header", "an object");
		return 0;
	}
	if (!json_fields_begin(&header, node, parse_step, error, "header."))
		return 0;
	revision = read_int64(&header, "revision");
	if (header.failed)
		fields->failed = true;
	return revision;
}

static bool read_entry(GPtrArray *entries, JsonNode *node, struct error *error)
{
	struct json_fields fields;
	int64_t create_revision;
	int64_t mod_revision;
	GBytes *value;
	char *key;

	if (!json_fields_begin(&fields, node, parse_step, error, "kvs[]."))
		return false;
	key = read_key(&fields);
	value = read_bytes(&fields, "value");
	create_revision = read_int64(&fields, "create_revision");
	mod_revision = read_int64(&fields, "mod_revision");
	if (create_revision < 1 || mod_revision < create_revision)
		json_fields_fail(&fields, "mod_revision",
				 "at least create_revision, above 0");
	if (!fields.failed)
		kv_entries_add(entries, key, value, create_revision,
			       mod_revision);
	g_bytes_unref(value);
	g_free(key);
	return !fields.failed;
}

static bool read_entries(struct json_fields *fields, struct kv_answer *answer,
			 struct error *error)
{
	JsonArray *array = json_fields_array(fields, "kvs");

	answer->entries = kv_entries_create();
	for (guint i = 0; array && i < json_array_get_length(array); i++) {
		if (!read_entry(answer->entries,
				json_array_get_element(array, i), error))
			return false;
	}
	return !fields->failed;
}

static bool read_range(struct json_fields *fields,
		       const struct kv_request *request,
		       struct kv_answer *answer, struct error *error)
{
	if (!read_entries(fields, answer, error))
		return false;
	if (request->op == KV_GET && answer->entries->len == 0)
		answer->outcome = KV_NOT_FOUND;
	return true;
}

/* The only response of a transaction, an object under this name. */
static bool begin_response(struct json_fields *fields,
			   struct json_fields *inner, const char *name,
			   struct error *error)
{
	JsonArray *responses = json_fields_array(fields, "responses");
	struct json_fields response;
	JsonNode *node;

	if (!responses || json_array_get_length(responses) != 1) {
		json_fields_fail(fields, "responses", "one response");
		return false;
	}
	if (!json_fields_begin(&response, json_array_get_element(responses, 0),
			       parse_step, error, "responses[0]."))
		return false;
	node = get_object(&response, name);
	if (!node) {
		json_fields_fail(&response, name, "an object");
		return false;
	}
	return json_fields_begin(inner, node, parse_step, error,
				 "responses[0].%s.", name);
}

static bool read_txn(struct json_fields *fields,
		     const struct kv_request *request, struct kv_answer *answer,
		     struct error *error)
{
	bool succeeded = json_fields_bool(fields, "succeeded", false);
	struct json_fields inner;

	if (fields->failed)
		return false;
	if (!succeeded) {
		answer->outcome = KV_CONFLICT;
		return begin_response(fields, &inner, "response_range",
				      error) &&
		       read_entries(&inner, answer, error);
	}
	if (request->op == KV_CAS)
		return begin_response(fields, &inner, "response_put", error);
	if (!begin_response(fields, &inner, "response_delete_range", error))
		return false;
	if (read_int64(&inner, "deleted") == 0)
		answer->outcome = KV_NOT_FOUND;
	return !inner.failed;
}

static bool read_lease(struct json_fields *fields,
		       const struct kv_request *request,
		       struct kv_answer *answer)
{
	answer->lease = read_int64(fields, "ID");
	answer->ttl_s = read_int64(fields, "TTL");
	if (request->op == KV_LEASE_KEEPALIVE && answer->ttl_s == 0)
		answer->outcome = KV_NOT_FOUND;
	if (request->op == KV_LEASE_GRANT &&
	    (answer->lease == 0 || answer->ttl_s == 0))
		json_fields_fail(fields, "ID", "a lease with a time to live");
	return !fields->failed;
}

static bool read_answer(JsonNode *root, const struct kv_request *request,
			struct kv_answer *answer, struct error *error)
{
	struct json_fields fields;

	if (!json_fields_begin(&fields, root, parse_step, error, "%s", ""))
		return false;
	if (request->op == KV_LEASE_KEEPALIVE) {
		JsonNode *result = get_object(&fields, "result");

		if (!result) {
			json_fields_fail(&fields, "result", "an object");
			return false;
		}
		if (!json_fields_begin(&fields, result, parse_step, error,
				       "result."))
			return false;
	}
	answer->revision = read_revision(&fields, error);
	if (fields.failed)
		return false;
	switch (request->op) {
	case KV_GET:
	case KV_LIST:
		return read_range(&fields, request, answer, error);
	case KV_CAS:
	case KV_DELETE:
		return read_txn(&fields, request, answer, error);
	case KV_LEASE_GRANT:
	case KV_LEASE_KEEPALIVE:
		return read_lease(&fields, request, answer);
	case KV_LEASE_REVOKE:
		break;
	}
	return true;
}

/*
 * Reads the body of an answer with status 200 to this request. Fills answer
 * and returns true, or clears it and returns false with ERROR_INVALID or
 * ERROR_TOO_LARGE. Members that are not known are passed over, as the service
 * may gain some.
 */
bool etcd_json_parse_answer(const struct kv_request *request, GBytes *body,
			    size_t max_bytes, struct kv_answer *answer,
			    struct error *error)
{
	JsonNode *root = json_reader_parse(body, max_bytes, parse_step, error);
	bool ok;

	memset(answer, 0, sizeof(*answer));
	answer->id = request->id;
	answer->op = request->op;
	answer->outcome = KV_OK;
	if (!root)
		return false;
	ok = read_answer(root, request, answer, error);
	if (!ok)
		kv_answer_clear(answer);
	json_node_unref(root);
	return ok;
}

static void etcd_change_destroy(gpointer data)
{
	struct etcd_change *change = data;

	g_free(change->key);
	g_clear_pointer(&change->value, g_bytes_unref);
	g_free(change);
}

static bool read_change(GPtrArray *changes, JsonNode *node, struct error *error)
{
	struct json_fields event;
	struct json_fields kv;
	struct etcd_change *change;
	const char *type;
	JsonNode *inner;

	if (!json_fields_begin(&event, node, parse_step, error, "events[]."))
		return false;
	type = json_fields_string(&event, "type", 0, 16);
	if (*type && strcmp(type, "PUT") != 0 && strcmp(type, "DELETE") != 0)
		json_fields_fail(&event, "type", "PUT or DELETE");
	inner = get_object(&event, "kv");
	if (!inner)
		json_fields_fail(&event, "kv", "an object");
	if (event.failed ||
	    !json_fields_begin(&kv, inner, parse_step, error, "events[].kv."))
		return false;
	change = g_new0(struct etcd_change, 1);
	g_ptr_array_add(changes, change);
	change->key = read_key(&kv);
	change->value = read_bytes(&kv, "value");
	change->mod_revision = read_int64(&kv, "mod_revision");
	if (change->mod_revision < 1)
		json_fields_fail(&kv, "mod_revision", "above 0");
	if (strcmp(type, "DELETE") == 0)
		g_clear_pointer(&change->value, g_bytes_unref);
	return !kv.failed;
}

static bool read_watch(JsonNode *root, struct etcd_watch_message *message,
		       struct error *error)
{
	struct json_fields fields;
	JsonArray *events;
	JsonNode *result;

	if (!json_fields_begin(&fields, root, parse_step, error, "%s", ""))
		return false;
	result = get_object(&fields, "result");
	if (!result) {
		json_fields_fail(&fields, "result", "an object");
		return false;
	}
	if (!json_fields_begin(&fields, result, parse_step, error, "result."))
		return false;
	message->revision = read_revision(&fields, error);
	message->canceled = json_fields_bool(&fields, "canceled", false);
	events = json_fields_array(&fields, "events");
	if (fields.failed)
		return false;
	message->changes = g_ptr_array_new_with_free_func(etcd_change_destroy);
	for (guint i = 0; events && i < json_array_get_length(events); i++) {
		if (!read_change(message->changes,
				 json_array_get_element(events, i), error))
			return false;
	}
	return true;
}

/*
 * Reads one message of a watch's stream. Fills message and returns true, or
 * clears it and returns false with ERROR_INVALID or ERROR_TOO_LARGE.
 */
bool etcd_json_parse_watch(GBytes *line, size_t max_bytes,
			   struct etcd_watch_message *message,
			   struct error *error)
{
	JsonNode *root = json_reader_parse(line, max_bytes, parse_step, error);
	bool ok;

	memset(message, 0, sizeof(*message));
	if (!root)
		return false;
	ok = read_watch(root, message, error);
	if (!ok)
		etcd_watch_message_clear(message);
	json_node_unref(root);
	return ok;
}

/* Frees what a message holds, not the struct itself. */
void etcd_watch_message_clear(struct etcd_watch_message *message)
{
	g_clear_pointer(&message->changes, g_ptr_array_unref);
}
