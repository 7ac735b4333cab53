#include "codec/etcd_json.h"

#include "codec/etcd_field.h"
#include "core/json/json_reader.h"
#include "core/json/json_writer.h"

#include <string.h>

/* Returns the gateway's HTTP path for an operation, a static string. */
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

/*
 * Returns the exclusive end of the range of all keys that start with prefix.
 * The caller owns the string.
 */
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

static void begin_list(JsonBuilder *builder, const char *name)
{
	json_writer_begin_array(builder, name);
	json_builder_begin_object(builder);
}

static void end_list(JsonBuilder *builder)
{
	json_builder_end_object(builder);
	json_builder_end_array(builder);
}

static void add_range(JsonBuilder *builder, const struct kv_request *request)
{
	etcd_field_add_key(builder, "key", request->key);
	if (request->read_revision)
		etcd_field_add_int64(builder, "revision",
				     request->read_revision);
	if (request->allow_stale) {
		json_builder_set_member_name(builder, "serializable");
		json_builder_add_boolean_value(builder, TRUE);
	}
	if (request->op == KV_LIST) {
		char *end = etcd_json_range_end(request->key);

		etcd_field_add_key(builder, "range_end", end);
		g_free(end);
	}
}

static void add_compare(JsonBuilder *builder, const struct kv_request *request)
{
	bool create = request->expected_revision == 0;

	begin_list(builder, "compare");
	etcd_field_add_key(builder, "key", request->key);
	json_writer_add_string(builder, "result", "EQUAL");
	json_writer_add_string(builder, "target", create ? "CREATE" : "MOD");
	etcd_field_add_int64(builder,
			     create ? "create_revision" : "mod_revision",
			     request->expected_revision);
	end_list(builder);
}

/* The failure branch reads the key, so a conflict needs no second request. */
static void add_txn(JsonBuilder *builder, const struct kv_request *request)
{
	bool put = request->op == KV_CAS;
	size_t size = 0;

	add_compare(builder, request);
	begin_list(builder, "success");
	json_writer_begin_object(builder,
				 put ? "request_put" : "request_delete_range");
	etcd_field_add_key(builder, "key", request->key);
	if (put) {
		const void *data = g_bytes_get_data(request->value, &size);

		etcd_field_add_bytes(builder, "value", data, size);
		if (request->lease)
			etcd_field_add_int64(builder, "lease", request->lease);
	}
	json_builder_end_object(builder);
	end_list(builder);
	begin_list(builder, "failure");
	json_writer_begin_object(builder, "request_range");
	etcd_field_add_key(builder, "key", request->key);
	json_builder_end_object(builder);
	end_list(builder);
}

/* Returns the body of a request to the gateway, owned by the caller. */
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
		etcd_field_add_int64(builder, "TTL", request->ttl_s);
		break;
	case KV_LEASE_KEEPALIVE:
	case KV_LEASE_REVOKE:
		etcd_field_add_int64(builder, "ID", request->lease);
		break;
	}
	json_builder_end_object(builder);
	return json_writer_finish(builder);
}

static bool read_entry(GPtrArray *entries, JsonNode *node, struct error *error)
{
	struct json_fields fields;
	int64_t create_revision;
	int64_t mod_revision;
	GBytes *value;
	char *key;

	if (!json_fields_begin(&fields, node, etcd_field_step, error, "kvs[]."))
		return false;
	key = etcd_field_key(&fields);
	value = etcd_field_bytes(&fields, "value");
	create_revision = etcd_field_int64(&fields, "create_revision");
	mod_revision = etcd_field_int64(&fields, "mod_revision");
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

/*
 * Reads the only response of a transaction: begins inner at its object member
 * with the given name.
 */
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
			       etcd_field_step, error, "responses[0]."))
		return false;
	node = etcd_field_object(&response, name);
	if (!node) {
		json_fields_fail(&response, name, "an object");
		return false;
	}
	return json_fields_begin(inner, node, etcd_field_step, error,
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
	if (etcd_field_int64(&inner, "deleted") == 0)
		answer->outcome = KV_NOT_FOUND;
	return !inner.failed;
}

static bool read_lease(struct json_fields *fields,
		       const struct kv_request *request,
		       struct kv_answer *answer)
{
	answer->lease = etcd_field_int64(fields, "ID");
	answer->ttl_s = etcd_field_int64(fields, "TTL");
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

	if (!json_fields_begin(&fields, root, etcd_field_step, error, "%s", ""))
		return false;
	if (request->op == KV_LEASE_KEEPALIVE &&
	    !etcd_field_enter_result(&fields, error))
		return false;
	answer->revision = etcd_field_revision(&fields, error);
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
 * Parses the body of an answer with status 200 to request. Fills answer and
 * returns true, or clears it and returns false with ERROR_INVALID or
 * ERROR_TOO_LARGE. Unknown members are ignored, since later versions of the
 * service may add some.
 */
bool etcd_json_parse_answer(const struct kv_request *request, GBytes *body,
			    size_t max_bytes, struct kv_answer *answer,
			    struct error *error)
{
	JsonNode *root =
		json_reader_parse(body, max_bytes, etcd_field_step, error);
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
