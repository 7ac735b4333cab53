#include "fakes/engine_completion.h"
#include "fakes/engine_text.h"
#include "fakes/fake_engine_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BYTES_PER_TOKEN 4  /* of a prompt, about as in English text */
#define PREFIX_BYTES 256   /* of a prompt; equal prefixes share the cache */
#define DEFAULT_PRIORITY 5 /* if there is no X-Priority header */

/* Returns the model's time: scaled time since the engine started. */
int64_t fake_engine_now_us(const struct fake_engine *engine)
{
	return (g_get_monotonic_time() - engine->started_us) *
	       engine->time_scale;
}

static struct engine_stream *engine_find(struct fake_engine *engine,
					 uint64_t id)
{
	return g_hash_table_lookup(engine->streams, &id);
}

static void engine_set_state(struct fake_engine *engine,
			     struct engine_stream *stream,
			     enum engine_stream_state state)
{
	struct engine_run *run =
		g_ptr_array_index(engine->runs, stream->id - 1);

	stream->state = state;
	run->state = state;
	run->tokens = stream->tokens;
}

static void engine_handle_output(struct fake_engine *engine,
				 const struct engine_output *output)
{
	struct engine_stream *stream = engine_find(engine, output->id);

	if (!stream)
		return;
	switch (output->type) {
	case ENGINE_TOKENS:
		stream->tokens = output->first_token + output->token_count;
		engine_set_state(engine, stream, ENGINE_STREAM_RUNNING);
		break;
	case ENGINE_DONE:
		engine_set_state(engine, stream, ENGINE_STREAM_DONE);
		break;
	case ENGINE_PREEMPTED:
	case ENGINE_FAILED:
		return;
	}
	if (!fake_server_link_stalled(engine->server))
		engine_stream_flush(stream);
}

/* Runs the model to now, sends its outputs and schedules the next step. */
static void engine_update(struct fake_engine *engine)
{
	int64_t due_us;

	engine_model_advance(engine->model, fake_engine_now_us(engine),
			     engine->outputs);
	for (guint i = 0; i < engine->outputs->len; i++)
		engine_handle_output(engine,
				     &g_array_index(engine->outputs,
						    struct engine_output, i));
	g_array_set_size(engine->outputs, 0);
	due_us = engine_model_next_due_us(engine->model);
	g_source_set_ready_time(
		engine->timer,
		due_us == INT64_MAX
			? -1
			: engine->started_us +
				  (int64_t)(due_us / engine->time_scale) + 1);
}

static gboolean timer_fired(GSource *source G_GNUC_UNUSED, GSourceFunc callback,
			    gpointer data)
{
	return callback(data);
}

static gboolean step_due(gpointer data)
{
	engine_update(data);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs timer_funcs = {.dispatch = timer_fired};

static void engine_cancel(void *data, struct engine_stream *stream)
{
	struct fake_engine *engine = data;

	engine_model_cancel(engine->model, stream->id,
			    fake_engine_now_us(engine));
	if (stream->state != ENGINE_STREAM_DONE)
		engine_set_state(engine, stream, ENGINE_STREAM_CANCELLED);
	g_hash_table_remove(engine->streams, &stream->id);
	engine_update(engine);
}

static int64_t header_int(SoupServerMessage *message, const char *name,
			  int64_t fallback)
{
	const char *text = fake_message_header(message, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

static bool engine_submit(struct fake_engine *engine,
			  SoupServerMessage *message,
			  const struct engine_completion *completion,
			  int64_t tokens)
{
	const GString *prompt = completion->prompt;
	size_t prefix = MIN(prompt->len, PREFIX_BYTES);
	struct engine_model_request request = {
		.id = engine->runs->len + 1,
		.prompt_tokens = MAX(prompt->len / BYTES_PER_TOKEN, 1),
		.output_tokens = tokens,
		.priority = header_int(message, "X-Priority", DEFAULT_PRIORITY),
		.prefix_hash = engine_text_hash(prompt->str, prefix),
		.prefix_tokens = prefix / BYTES_PER_TOKEN,
	};

	return engine_model_submit(engine->model, &request,
				   fake_engine_now_us(engine));
}

/*
 * Runs a completion and streams it, or answers 503 without running it. Aborts
 * the process if the prompt contains the text of crash_on.
 */
static void engine_run_completion(struct fake_engine *engine,
				  SoupServerMessage *message,
				  const struct engine_completion *completion)
{
	int64_t tokens = engine_text_output_tokens(completion->prompt->str,
						   engine->options.seed);
	struct engine_stream *stream;
	const struct engine_run *run;

	if (engine->crash_on && *engine->crash_on &&
	    strstr(completion->prompt->str, engine->crash_on))
		abort();
	if (engine->refuse ||
	    !engine_submit(engine, message, completion,
			   MIN(tokens, completion->max_tokens))) {
		fake_message_answer_text(message, 503, "not run\n");
		return;
	}
	run = engine_runs_add(engine->runs,
			      fake_message_header(message, "X-Request-Id"),
			      completion->prompt->str, engine->options.seed);
	stream = engine_stream_create(engine->runs->len, run->generation);
	stream->chat = completion->chat;
	stream->length_limited = tokens > completion->max_tokens;
	stream->hold_ms = MAX(header_int(message, "X-Resume-Hold-Ms", 0), 0);
	stream->on_hold_expired = engine_cancel;
	stream->hold_expired_data = engine;
	g_hash_table_insert(engine->streams, &stream->id, stream);
	engine_stream_attach(stream, message, 0);
	engine_update(engine);
}

static void handle_completion(void *data, SoupServerMessage *message,
			      const char *path)
{
	struct engine_completion completion = {0};
	JsonObject *body = fake_message_read_json(message);

	if (!body)
		return;
	if (engine_completion_read(&completion, path, body))
		engine_run_completion(data, message, &completion);
	else
		fake_message_answer_text(message, 400, "no prompt\n");
	engine_completion_clear(&completion);
	json_object_unref(body);
}

static struct engine_stream *engine_find_generation(struct fake_engine *engine,
						    const char *generation)
{
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, engine->streams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct engine_stream *stream = value;

		if (strcmp(stream->generation, generation) == 0)
			return stream;
	}
	return NULL;
}

/*
 * Returns the offset END of an event id "ID:END", 0 if id is NULL, or -1 if it
 * belongs to another generation or is past the tokens generated so far.
 */
static int64_t resume_offset(const struct engine_stream *stream, const char *id)
{
	size_t size = strlen(stream->generation);
	int64_t offset;

	if (!id)
		return 0;
	if (strncmp(id, stream->generation, size) != 0 || id[size] != ':')
		return -1;
	offset = g_ascii_strtoll(id + size + 1, NULL, 10);
	return offset <= stream->tokens ? offset : -1;
}

/* Handles /v1/generations/ID: GET resumes the stream, DELETE cancels it. */
static void handle_generation(void *data, SoupServerMessage *message,
			      const char *path)
{
	struct fake_engine *engine = data;
	const char *method = soup_server_message_get_method(message);
	struct engine_stream *stream =
		engine_find_generation(engine, strrchr(path, '/') + 1);
	int64_t offset;

	if (!stream) {
		fake_message_answer_text(message, 404, "gone\n");
		return;
	}
	if (strcmp(method, "DELETE") == 0) {
		engine_cancel(engine, stream);
		fake_message_answer_text(message, 200, "cancelled\n");
		return;
	}
	offset = resume_offset(stream,
			       fake_message_header(message, "Last-Event-ID"));
	if (offset < 0) {
		fake_message_answer_text(message, 400, "bad event id\n");
		return;
	}
	stream->hold_ms =
		header_int(message, "X-Resume-Hold-Ms", stream->hold_ms);
	engine_stream_attach(stream, message, offset);
}

/* Handles GET /fake/runs: all requests this process accepted, in order. */
static void handle_runs(void *data, SoupServerMessage *message,
			const char *path G_GNUC_UNUSED)
{
	const struct fake_engine *engine = data;

	fake_message_answer_json(message, 200,
				 engine_runs_describe(engine->runs));
}

static void modes_changed(void *data)
{
	struct fake_engine *engine = data;
	GHashTableIter i;
	gpointer value;

	if (engine->crash)
		abort();
	engine_model_set_leaving(engine->model, engine->leaving);
	engine_model_stall(engine->model,
			   fake_engine_now_us(engine) +
				   (int64_t)(engine->stall_ms * 1000 *
					     engine->time_scale));
	engine->stall_ms = 0;
	fake_server_stall_link(engine->server, engine->stall_link_ms);
	engine->stall_link_ms = 0;
	engine_update(engine);
	if (fake_server_link_stalled(engine->server))
		return;
	g_hash_table_iter_init(&i, engine->streams);
	while (g_hash_table_iter_next(&i, NULL, &value))
		engine_stream_flush(value);
}

static void stream_destroy(gpointer data)
{
	engine_stream_destroy(data);
}

static void engine_add_routes(struct fake_engine *engine,
			      const struct fake_mode *modes, size_t count)
{
	static const struct {
		const char *path;
		fake_server_handler handler;
	} routes[] = {
		{"/v1/completions", handle_completion},
		{"/v1/chat/completions", handle_completion},
		{"/v1/generations", handle_generation},
		{"/v1/cache_events", fake_engine_cache_events},
		{"/v1/orders", fake_engine_orders},
		{"/metrics", fake_engine_metrics},
		{"/fake/runs", handle_runs},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		fake_server_add_handler(engine->server, routes[i].path,
					routes[i].handler, engine);
	fake_server_set_modes(engine->server, modes, count, modes_changed,
			      engine);
}

static int engine_serve(struct fake_engine *engine)
{
	const struct fake_mode modes[] = {
		{"crash", FAKE_MODE_BOOL, &engine->crash},
		{"leaving", FAKE_MODE_BOOL, &engine->leaving},
		{"refuse", FAKE_MODE_BOOL, &engine->refuse},
		{"stall_ms", FAKE_MODE_INT, &engine->stall_ms},
		{"stall_link_ms", FAKE_MODE_INT, &engine->stall_link_ms},
		{"crash_on", FAKE_MODE_STRING, &engine->crash_on},
	};
	int status;

	engine->model = engine_model_create(&engine->options);
	engine->outputs =
		g_array_new(FALSE, FALSE, sizeof(struct engine_output));
	engine->runs = engine_runs_create();
	engine->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, stream_destroy);
	engine->started_us = g_get_monotonic_time();
	engine->timer = g_source_new(&timer_funcs, sizeof(GSource));
	g_source_set_callback(engine->timer, step_due, engine, NULL);
	g_source_attach(engine->timer, NULL);
	engine_add_routes(engine, modes, G_N_ELEMENTS(modes));
	status = fake_server_run(engine->server);

	g_hash_table_unref(engine->streams);
	g_source_destroy(engine->timer);
	g_source_unref(engine->timer);
	g_ptr_array_unref(engine->runs);
	g_array_unref(engine->outputs);
	engine_model_destroy(engine->model);
	g_free(engine->crash_on);
	return status;
}

/* Serves the engine model over HTTP, in real time or faster. */
int main(int argc, const char **argv)
{
	struct fake_engine engine = {.time_scale = 1};
	struct engine_model_options *options = &engine.options;
	long long load_lag_ms;
	int checks_fence = 0;
	int status;

	engine_model_options_default(options);
	options->seed = g_random_int();
	load_lag_ms = options->load_lag_us / 1000;

	struct poptOption table[] = {
		{"capacity-tokens", 0, POPT_ARG_LONGLONG,
		 &options->capacity_tokens, 0, "Memory in tokens", "N"},
		{"max-batch", 0, POPT_ARG_INT, &options->max_batch, 0,
		 "Requests decoded at once", "N"},
		{"time-scale", 0, POPT_ARG_DOUBLE, &engine.time_scale, 0,
		 "How many times faster than real time", "FACTOR"},
		{"checks-fence", 0, POPT_ARG_NONE, &checks_fence, 0,
		 "Reject orders with an old fencing number", NULL},
		{"load-lag-ms", 0, POPT_ARG_LONGLONG, &load_lag_ms, 0,
		 "Age of the reported load", "MS"},
		{"seed", 0, POPT_ARG_LONGLONG, &options->seed, 0,
		 "Seed of lengths, step times and generation names", "N"},
		POPT_TABLEEND};

	engine.server = fake_server_create(argc, argv, table);
	if (!engine.server)
		return 2;
	if (options->capacity_tokens < 1 || options->max_batch < 1 ||
	    engine.time_scale <= 0 || load_lag_ms < 0) {
		fprintf(stderr, "capacity-tokens, max-batch and time-scale "
				"must be positive, load-lag-ms must not be "
				"negative\n");
		fake_server_destroy(engine.server);
		return 2;
	}
	options->checks_fence = checks_fence;
	options->load_lag_us = load_lag_ms * 1000;
	status = engine_serve(&engine);
	fake_server_destroy(engine.server);
	return status;
}
