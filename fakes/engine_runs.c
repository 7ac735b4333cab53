#include "fakes/engine_runs.h"

#include "core/json/json_writer.h"

#define PROMPT_HEAD_BYTES 64

static void run_destroy(gpointer data)
{
	struct engine_run *run = data;

	g_free(run->request_id);
	g_free(run->prompt_head);
	g_free(run->generation);
	g_free(run);
}

/* Creates an empty list that owns its elements, struct engine_run. */
GPtrArray *engine_runs_create(void)
{
	return g_ptr_array_new_with_free_func(run_destroy);
}

/*
 * Adds a run to the list, which owns it. The generation is named after the
 * run's position in the list and the seed. request_id may be NULL.
 */
struct engine_run *engine_runs_add(GPtrArray *runs, const char *request_id,
				   const char *prompt, uint64_t seed)
{
	struct engine_run *run = g_new0(struct engine_run, 1);
	g_autofree char *head = g_strndup(prompt, PROMPT_HEAD_BYTES);

	run->request_id = g_strdup(request_id ? request_id : "");
	run->prompt_head = g_utf8_make_valid(head, -1);
	run->generation = g_strdup_printf("g%u-%" G_GINT64_MODIFIER "x",
					  runs->len + 1, seed & 0xffffffff);
	g_ptr_array_add(runs, run);
	return run;
}

static void describe_run(JsonBuilder *builder, const struct engine_run *run)
{
	json_builder_begin_object(builder);
	json_writer_add_string(builder, "request_id", run->request_id);
	json_writer_add_string(builder, "prompt_head", run->prompt_head);
	json_writer_add_string(builder, "generation", run->generation);
	json_writer_add_int(builder, "tokens", run->tokens);
	json_writer_add_string(builder, "state",
			       engine_stream_state_name(run->state));
	json_builder_end_object(builder);
}

/* Returns the list as a JSON array, oldest run first. The caller owns it. */
JsonBuilder *engine_runs_describe(const GPtrArray *runs)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_array(builder);
	for (guint i = 0; i < runs->len; i++)
		describe_run(builder, g_ptr_array_index(runs, i));
	json_builder_end_array(builder);
	return builder;
}
