#include "codec/etcd_watch.h"

#include "codec/etcd_field.h"
#include "core/json/json_writer.h"

#include <string.h>

/*
 * Returns the body of a request that watches key from start_revision on, owned
 * by the caller.
 */
GBytes *etcd_watch_format_request(const char *key, int64_t start_revision)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_writer_begin_object(builder, "create_request");
	etcd_field_add_key(builder, "key", key);
	etcd_field_add_int64(builder, "start_revision", start_revision);
	json_builder_end_object(builder);
	json_builder_end_object(builder);
	return json_writer_finish(builder);
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

	if (!json_fields_begin(&event, node, etcd_field_step, error,
			       "events[]."))
		return false;
	type = json_fields_string(&event, "type", 0, 16);
	if (*type && strcmp(type, "PUT") != 0 && strcmp(type, "DELETE") != 0)
		json_fields_fail(&event, "type", "PUT or DELETE");
	inner = etcd_field_object(&event, "kv");
	if (!inner)
		json_fields_fail(&event, "kv", "an object");
	if (event.failed || !json_fields_begin(&kv, inner, etcd_field_step,
					       error, "events[].kv."))
		return false;
	change = g_new0(struct etcd_change, 1);
	g_ptr_array_add(changes, change);
	change->key = etcd_field_key(&kv);
	change->value = etcd_field_bytes(&kv, "value");
	change->mod_revision = etcd_field_int64(&kv, "mod_revision");
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

	if (!json_fields_begin(&fields, root, etcd_field_step, error, "%s", ""))
		return false;
	if (!etcd_field_enter_result(&fields, error))
		return false;
	message->revision = etcd_field_revision(&fields, error);
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
 * Parses one message of the stream of a watch. Fills message and returns true,
 * or clears it and returns false with ERROR_INVALID or ERROR_TOO_LARGE.
 */
bool etcd_watch_message_parse(GBytes *line, size_t max_bytes,
			      struct etcd_watch_message *message,
			      struct error *error)
{
	JsonNode *root =
		json_reader_parse(line, max_bytes, etcd_field_step, error);
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

/* Frees the contents of a message, not the struct itself. */
void etcd_watch_message_clear(struct etcd_watch_message *message)
{
	g_clear_pointer(&message->changes, g_ptr_array_unref);
}
