#include "core/rollout/rollout_json.h"

#include "core/json/json_reader.h"
#include "core/json/json_writer.h"

#include <string.h>

enum { MAX_STATE_BYTES = 1 << 20, MAX_REASON_BYTES = 256 };

static const char *const phase_names[] = {
	[ROLLOUT_RUNNING] = "running",
	[ROLLOUT_DONE] = "done",
	[ROLLOUT_STOPPED] = "stopped",
};

/* Returns the name of a phase as it is stored. */
const char *rollout_phase_name(enum rollout_phase phase)
{
	return phase_names[phase];
}

/* Sets a running state without failures; free with rollout_state_clear(). */
void rollout_state_init(struct rollout_state *state)
{
	state->phase = ROLLOUT_RUNNING;
	state->failed = g_ptr_array_new_with_free_func(g_free);
	state->reason = g_strdup("");
}

/* Frees the contents of a state but not the struct. */
void rollout_state_clear(struct rollout_state *state)
{
	g_clear_pointer(&state->failed, g_ptr_array_unref);
	g_clear_pointer(&state->reason, g_free);
}

static void read_phase(struct json_fields *fields, struct rollout_state *state)
{
	const char *name = json_fields_string(fields, "phase", 1, 16);

	for (size_t i = 0; i < G_N_ELEMENTS(phase_names); i++) {
		if (strcmp(name, phase_names[i]) == 0) {
			state->phase = (enum rollout_phase)i;
			return;
		}
	}
	json_fields_fail(fields, "phase", "running, done or stopped");
}

static void read_failed(struct json_fields *fields, struct rollout_state *state)
{
	JsonArray *array = json_fields_array(fields, "failed");

	for (guint i = 0; array && i < json_array_get_length(array); i++) {
		JsonNode *node = json_array_get_element(array, i);

		if (json_node_get_value_type(node) != G_TYPE_STRING) {
			json_fields_fail(fields, "failed", "addresses");
			return;
		}
		g_ptr_array_add(state->failed,
				g_strdup(json_node_get_string(node)));
	}
}

/*
 * Parses a stored state. The caller frees it with rollout_state_clear() in
 * either case. Returns false with ERROR_INVALID or ERROR_TOO_LARGE; the state
 * is then as after rollout_state_init().
 */
bool rollout_json_parse(GBytes *document, struct rollout_state *state,
			struct error *error)
{
	static const char *const names[] = {"phase", "failed", "reason", NULL};
	JsonNode *root = json_reader_parse(document, MAX_STATE_BYTES,
					   "rollout.parse", error);
	struct json_fields fields;
	bool ok = root && json_fields_begin(&fields, root, "rollout.parse",
					    error, "%s", "");

	rollout_state_init(state);
	if (ok) {
		json_fields_allow_only(&fields, names);
		read_phase(&fields, state);
		read_failed(&fields, state);
		g_free(state->reason);
		state->reason = g_strdup(json_fields_string(
			&fields, "reason", 0, MAX_REASON_BYTES));
		ok = !fields.failed;
	}
	g_clear_pointer(&root, json_node_unref);
	if (!ok) {
		rollout_state_clear(state);
		rollout_state_init(state);
	}
	return ok;
}

/* Formats a state as it is stored. The caller owns the bytes. */
GBytes *rollout_json_format(const struct rollout_state *state)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_writer_add_string(builder, "phase", phase_names[state->phase]);
	json_writer_begin_array(builder, "failed");
	for (guint i = 0; i < state->failed->len; i++)
		json_builder_add_string_value(
			builder, g_ptr_array_index(state->failed, i));
	json_builder_end_array(builder);
	json_writer_add_string(builder, "reason", state->reason);
	json_builder_end_object(builder);
	return json_writer_finish(builder);
}
