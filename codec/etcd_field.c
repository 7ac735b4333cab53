#include "codec/etcd_field.h"

#include "core/json/json_writer.h"

#include <string.h>

const char etcd_field_step[] = "kv.parse";

/* Adds a member with data in base64. */
void etcd_field_add_bytes(JsonBuilder *builder, const char *name,
			  const void *data, size_t size)
{
	char *text = g_base64_encode(data, size);

	json_writer_add_string(builder, name, text);
	g_free(text);
}

/* Adds a member with the NUL-terminated key in base64. */
void etcd_field_add_key(JsonBuilder *builder, const char *name, const char *key)
{
	etcd_field_add_bytes(builder, name, key, strlen(key));
}

/* Adds a member with a 64-bit number as a string. */
void etcd_field_add_int64(JsonBuilder *builder, const char *name, int64_t value)
{
	char text[32];

	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
	json_writer_add_string(builder, name, text);
}

/*
 * Decodes base64 strictly: g_base64_decode() skips invalid characters. Returns
 * false for invalid base64; otherwise the caller owns *bytes.
 */
bool etcd_field_decode(const char *base64, GBytes **bytes)
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

/* Reads a 64-bit number, written as a string, or omitted when it is 0. */
int64_t etcd_field_int64(struct json_fields *fields, const char *name)
{
	const char *text = json_fields_string(fields, name, 0, 20);
	gint64 value = 0;

	if (*text &&
	    !g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, &value, NULL))
		json_fields_fail(fields, name, "a number in a string");
	return value;
}

/*
 * Reads a base64 member. Returns bytes that the caller owns, empty when the
 * member is invalid, but never NULL.
 */
GBytes *etcd_field_bytes(struct json_fields *fields, const char *name)
{
	const char *text = json_fields_string(fields, name, 0, G_MAXINT32);
	GBytes *bytes = NULL;

	if (!etcd_field_decode(text, &bytes)) {
		json_fields_fail(fields, name, "base64");
		bytes = g_bytes_new_static("", 0);
	}
	return bytes;
}

/*
 * Reads the member "key", which must not be empty or contain NUL bytes.
 * Returns a string that the caller owns, never NULL.
 */
char *etcd_field_key(struct json_fields *fields)
{
	GBytes *bytes = etcd_field_bytes(fields, "key");
	size_t size = 0;
	const char *data = g_bytes_get_data(bytes, &size);
	char *key;

	if (size == 0 || memchr(data, '\0', size))
		json_fields_fail(fields, "key", "a key without NUL bytes");
	key = g_strndup(data ? data : "", size);
	g_bytes_unref(bytes);
	return key;
}

/*
 * Returns the node of an object member, owned by its parent. NULL when the
 * member is absent or null, or is not an object, which fails the fields.
 */
JsonNode *etcd_field_object(struct json_fields *fields, const char *name)
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

/*
 * Returns the revision of the store from the header that every answer has, or
 * 0 when the header is missing or invalid, which fails the fields.
 */
int64_t etcd_field_revision(struct json_fields *fields, struct error *error)
{
	JsonNode *node = etcd_field_object(fields, "header");
	struct json_fields header;
	int64_t revision;

	if (!node) {
		json_fields_fail(fields, "header", "an object");
		return 0;
	}
	if (!json_fields_begin(&header, node, etcd_field_step, error,
			       "header."))
		return 0;
	revision = etcd_field_int64(&header, "revision");
	if (header.failed)
		fields->failed = true;
	return revision;
}

/*
 * Moves fields into the member "result", in which a stream wraps each of its
 * messages. Returns false when there is no such object.
 */
bool etcd_field_enter_result(struct json_fields *fields, struct error *error)
{
	JsonNode *result = etcd_field_object(fields, "result");

	if (!result) {
		json_fields_fail(fields, "result", "an object");
		return false;
	}
	return json_fields_begin(fields, result, etcd_field_step, error,
				 "result.");
}
