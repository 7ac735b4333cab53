#include "codec/order_json.h"

#include "core/json/json_reader.h"
#include "core/json/json_writer.h"

#include <string.h>

enum { MAX_STATE_BYTES = 16 * 1024, MAX_TARGET_BYTES = 256 };

/*
 * Returns the body of an order that sets the target of an engine, owned by the
 * caller. fence is the fencing number of the order.
 */
GBytes *order_json_format_request(int64_t fence, const char *target)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_writer_add_int(builder, "fence", fence);
	json_writer_add_string(builder, "target", target);
	json_builder_end_object(builder);
	return json_writer_finish(builder);
}

/*
 * Parses the state that an engine answers with. Returns false with
 * ERROR_INVALID or ERROR_TOO_LARGE and an empty state. Unknown members are
 * ignored. An engine that does not count its requests is treated as busy with
 * one request, since an order would abort requests that it does not count.
 */
bool order_json_parse_state(GBytes *body, struct order_state *state,
			    struct error *error)
{
	JsonNode *root =
		json_reader_parse(body, MAX_STATE_BYTES, "order.parse", error);
	struct json_fields fields;
	bool ok = root && json_fields_begin(&fields, root, "order.parse", error,
					    "%s", "");

	memset(state, 0, sizeof(*state));
	if (ok) {
		state->target = g_strdup(json_fields_string(
			&fields, "target", 0, MAX_TARGET_BYTES));
		state->loading = json_fields_bool(&fields, "loading", false);
		state->requests_running = json_fields_int(
			&fields, "requests_running", 0, G_MAXINT32, 1);
		ok = !fields.failed;
	}
	g_clear_pointer(&root, json_node_unref);
	if (!ok)
		order_state_clear(state);
	return ok;
}

/* Frees the contents of a state, not the struct itself. */
void order_state_clear(struct order_state *state)
{
	g_clear_pointer(&state->target, g_free);
}
