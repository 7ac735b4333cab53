#include "fakes/backend_state.h"

#include <string.h>

#define MEMORY_TOKENS 34000
#define TOKENS_PER_EVENT 4
#define RUN_PRIORITY 5

static void add_int(JsonBuilder *builder, const char *name, int64_t value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_int_value(builder, value);
}

static void add_text(JsonBuilder *builder, const char *name, const char *value)
{
	json_builder_set_member_name(builder, name);
	json_builder_add_string_value(builder, value);
}

static void add_models(JsonBuilder *builder)
{
	json_builder_set_member_name(builder, "models");
	json_builder_begin_array(builder);
	json_builder_begin_object(builder);
	add_text(builder, "name", "m");
	add_int(builder, "version", 1);
	json_builder_set_member_name(builder, "adapters");
	json_builder_begin_array(builder);
	json_builder_end_array(builder);
	json_builder_end_object(builder);
	json_builder_end_array(builder);
}

static int64_t run_tokens(const struct backend_run *run)
{
	return run->next_event * TOKENS_PER_EVENT;
}

/* Adds a row for each run: id, tokens in memory, events sent, priority. */
static void add_runs(JsonBuilder *builder, const struct backend *backend)
{
	json_builder_set_member_name(builder, "runs");
	json_builder_begin_array(builder);
	for (guint i = 0; i < backend->runs->len; i++) {
		const struct backend_run *run =
			g_ptr_array_index(backend->runs, i);

		json_builder_begin_array(builder);
		json_builder_add_string_value(builder, run->id);
		json_builder_add_int_value(builder, run_tokens(run));
		json_builder_add_int_value(builder, run->events_sent);
		json_builder_add_int_value(builder, RUN_PRIORITY);
		json_builder_end_array(builder);
	}
	json_builder_end_array(builder);
}

static void add_leaving(JsonBuilder *builder, const struct backend *backend)
{
	int64_t remaining_us = backend->leave_at_us - g_get_monotonic_time();

	add_text(builder, "state", backend->leave_at_us ? "draining" : "ready");
	if (backend->leave_at_us)
		add_int(builder, "leaves_ms", MAX(remaining_us, 0) / 1000);
}

/* Answers GET /v1/report with the engine's load report. */
void backend_report_answer(const struct backend *backend,
			   SoupServerMessage *message)
{
	JsonBuilder *builder = json_builder_new();
	int64_t used = 0;

	for (guint i = 0; i < backend->runs->len; i++)
		used += run_tokens(g_ptr_array_index(backend->runs, i));
	json_builder_begin_object(builder);
	add_text(builder, "stage", "both");
	add_models(builder);
	json_builder_set_member_name(builder, "busy");
	json_builder_add_boolean_value(builder, FALSE);
	add_int(builder, "sequence", 0);
	add_int(builder, "queued", 0);
	add_int(builder, "running", backend->runs->len);
	add_int(builder, "kv_used", used);
	add_int(builder, "kv_total", MEMORY_TOKENS);
	add_int(builder, "handles", backend_copies_count(backend->copies));
	add_int(builder, "next", 0);
	add_leaving(builder, backend);
	add_runs(builder, backend);
	json_builder_end_object(builder);
	fake_message_answer_json(message, 200, builder);
}

/*
 * Answers GET /fake/state: counts of runs, moves and copies, the tenant and
 * deadline of the last request, and whether any request carried a key.
 */
void backend_state_answer(const struct backend *backend,
			  SoupServerMessage *message)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	add_int(builder, "runs", backend->run_count);
	add_int(builder, "taken_over", backend->takeover_count);
	add_int(builder, "left", backend->disconnect_count);
	add_int(builder, "moves", backend->move_count);
	add_int(builder, "copies", backend_copies_count(backend->copies));
	add_text(builder, "tenant", backend->tenant ? backend->tenant : "");
	add_text(builder, "deadline",
		 backend->deadline ? backend->deadline : "");
	json_builder_set_member_name(builder, "saw_key");
	json_builder_add_boolean_value(builder, backend->saw_key);
	json_builder_end_object(builder);
	fake_message_answer_json(message, 200, builder);
}
