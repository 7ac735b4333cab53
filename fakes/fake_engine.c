#include "fakes/engine_model.h"
#include "fakes/engine_stream.h"
#include "fakes/engine_text.h"
#include "fakes/fake_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BYTES_PER_TOKEN 4
#define PREFIX_BYTES 256
#define PROMPT_HEAD_BYTES 64
#define DEFAULT_PRIORITY 5
#define DEFAULT_MAX_TOKENS 16384

/* A run as GET /fake/runs lists it; it outlives its generation. */
struct run {
	char *request_id;
	char *prompt_head;
	char *generation;
	int64_t tokens;
	enum engine_stream_state state;
};

struct fake_engine {
	struct fake_server *server;
	struct engine_model *model;
	struct engine_model_options options;
	double time_scale;
	int64_t started_us;
	GSource *timer;
	GArray *outputs;
	GPtrArray *runs;     /* struct run; id - 1 is the index */
	GHashTable *streams; /* id: struct engine_stream */

	bool crash;
	bool leaving;
	bool refuse;
	int64_t stall_ms;
	int64_t stall_link_ms;
	char *crash_on;
};

/* A completion as the caller asked for it. */
struct completion {
	GString *prompt;
	int64_t max_tokens;
	bool chat;
};

static void run_destroy(gpointer data)
{
	struct run *run = data;

	g_free(run->request_id);
	g_free(run->prompt_head);
	g_free(run->generation);
	g_free(run);
}

static int64_t engine_now_us(const struct fake_engine *engine)
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
	struct run *run = g_ptr_array_index(engine->runs, stream->id - 1);

	stream->state = state;
	run->state = state;
	run->tokens = stream->tokens;
}

static void engine_take_output(struct fake_engine *engine,
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

/* Runs the model to now, sends what it made and waits for its next step. */
static void engine_pump(struct fake_engine *engine)
{
	int64_t due_us;

	engine_model_step(engine->model, engine_now_us(engine),
			  engine->outputs);
	for (guint i = 0; i < engine->outputs->len; i++)
		engine_take_output(engine,
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
	engine_pump(data);
	return G_SOURCE_CONTINUE;
}

static GSourceFuncs timer_funcs = {.dispatch = timer_fired};

static void engine_forget(void *data, struct engine_stream *stream)
{
	struct fake_engine *engine = data;

	engine_model_cancel(engine->model, stream->id, engine_now_us(engine));
	if (stream->state != ENGINE_STREAM_DONE)
		engine_set_state(engine, stream, ENGINE_STREAM_CANCELLED);
	g_hash_table_remove(engine->streams, &stream->id);
	engine_pump(engine);
}

static void prompt_add(GString *prompt, JsonNode *node)
{
	if (node && JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_STRING)
		g_string_append(prompt, json_node_get_string(node));
}

static void prompt_add_messages(GString *prompt, JsonNode *node)
{
	JsonArray *messages;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return;
	messages = json_node_get_array(node);
	for (guint i = 0; i < json_array_get_length(messages); i++) {
		JsonNode *message = json_array_get_element(messages, i);

		if (JSON_NODE_HOLDS_OBJECT(message))
			prompt_add(prompt,
				   json_object_get_member(
					   json_node_get_object(message),
					   "content"));
	}
}

static bool completion_read(struct completion *completion, const char *path,
			    JsonObject *body)
{
	completion->chat = strstr(path, "/chat/") != NULL;
	completion->prompt = g_string_new(NULL);
	prompt_add(completion->prompt, json_object_get_member(body, "prompt"));
	prompt_add_messages(completion->prompt,
			    json_object_get_member(body, "messages"));
	completion->max_tokens = json_object_get_int_member_with_default(
		body, "max_tokens", DEFAULT_MAX_TOKENS);
	return completion->prompt->len && completion->max_tokens > 0;
}

static struct run *engine_add_run(struct fake_engine *engine, const char *id,
				  const char *prompt)
{
	struct run *run = g_new0(struct run, 1);
	g_autofree char *head = g_strndup(prompt, PROMPT_HEAD_BYTES);

	run->request_id = g_strdup(id ? id : "");
	run->prompt_head = g_utf8_make_valid(head, -1);
	run->generation = g_strdup_printf("g%u-%" G_GINT64_MODIFIER "x",
					  engine->runs->len + 1,
					  engine->options.seed & 0xffffffff);
	g_ptr_array_add(engine->runs, run);
	return run;
}

static int64_t header_int(SoupServerMessage *message, const char *name,
			  int64_t fallback)
{
	const char *text = fake_message_header(message, name);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

static bool engine_submit(struct fake_engine *engine,
			  SoupServerMessage *message,
			  const struct completion *completion, int64_t tokens)
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
				   engine_now_us(engine));
}

/* Runs a completion and streams it, or answers 503: not run. */
static void engine_complete(struct fake_engine *engine,
			    SoupServerMessage *message,
			    const struct completion *completion)
{
	int64_t tokens = engine_text_output_tokens(completion->prompt->str,
						   engine->options.seed);
	struct engine_stream *stream;
	const struct run *run;

	if (engine->crash_on && *engine->crash_on &&
	    strstr(completion->prompt->str, engine->crash_on))
		abort();
	if (engine->refuse ||
	    !engine_submit(engine, message, completion,
			   MIN(tokens, completion->max_tokens))) {
		fake_message_answer_text(message, 503, "not run\n");
		return;
	}
	run = engine_add_run(engine,
			     fake_message_header(message, "X-Request-Id"),
			     completion->prompt->str);
	stream = engine_stream_create(engine->runs->len, run->generation);
	stream->chat = completion->chat;
	stream->cut = tokens > completion->max_tokens;
	stream->hold_ms = MAX(header_int(message, "X-Resume-Hold-Ms", 0), 0);
	stream->abandoned = engine_forget;
	stream->abandoned_data = engine;
	g_hash_table_insert(engine->streams, &stream->id, stream);
	engine_stream_attach(stream, message, 0);
	engine_pump(engine);
}

static void handle_completion(void *data, SoupServerMessage *message,
			      const char *path)
{
	struct completion completion = {0};
	JsonObject *body = fake_message_read_json(message);

	if (!body)
		return;
	if (completion_read(&completion, path, body))
		engine_complete(data, message, &completion);
	else
		fake_message_answer_text(message, 400, "no prompt\n");
	g_string_free(completion.prompt, TRUE);
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

/* The offset in "ID:END", 0 without an id; -1: not of this generation. */
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

/* GET resumes, DELETE cancels. */
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
		engine_forget(engine, stream);
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

static void handle_metrics(void *data, SoupServerMessage *message,
			   const char *path G_GNUC_UNUSED)
{
	struct fake_engine *engine = data;
	struct load_report load;

	engine_model_report(engine->model, engine_now_us(engine), &load);

	const struct fake_metric metrics[] = {
		{"engine_requests_running", load.running},
		{"engine_requests_waiting", load.waiting},
		{"engine_tokens_used", load.tokens_used},
		{"engine_tokens_capacity", load.tokens_capacity},
		{"engine_preemptions_total", load.preemptions_total},
		{"engine_report_time_us", load.reported_at_us},
		{"engine_leaving", engine->leaving},
	};

	fake_message_answer_metrics(message, metrics, G_N_ELEMENTS(metrics));
}

/* GET /v1/cache_events?after=N */
static void handle_cache_events(void *data, SoupServerMessage *message,
				const char *path G_GNUC_UNUSED)
{
	struct fake_engine *engine = data;
	const char *query =
		g_uri_get_query(soup_server_message_get_uri(message));
	int64_t after = 0;
	g_autoptr(GArray) events =
		g_array_new(FALSE, FALSE, sizeof(struct engine_cache_event));
	JsonBuilder *builder = json_builder_new();

	if (query && g_str_has_prefix(query, "after="))
		after = g_ascii_strtoll(query + strlen("after="), NULL, 10);
	engine_model_cache_events(engine->model, after, events);
	json_builder_begin_array(builder);
	for (guint i = 0; i < events->len; i++) {
		const struct engine_cache_event *event =
			&g_array_index(events, struct engine_cache_event, i);
		g_autofree char *hash = g_strdup_printf(
			"%016" G_GINT64_MODIFIER "x", event->prefix_hash);

		json_builder_begin_object(builder);
		json_builder_set_member_name(builder, "number");
		json_builder_add_int_value(builder, event->number);
		json_builder_set_member_name(builder, "prefix_hash");
		json_builder_add_string_value(builder, hash);
		json_builder_set_member_name(builder, "stored");
		json_builder_add_boolean_value(builder, event->stored);
		json_builder_end_object(builder);
	}
	json_builder_end_array(builder);
	fake_message_answer_json(message, 200, builder);
}

/* Generations that an order would cut: still made, or not yet read out. */
static int64_t engine_count_running(const struct fake_engine *engine)
{
	int64_t count = 0;
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, engine->streams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct engine_stream *stream = value;

		count += stream->state == ENGINE_STREAM_WAITING ||
			 stream->state == ENGINE_STREAM_RUNNING ||
			 (stream->reader && !stream->ended);
	}
	return count;
}

static void answer_target(const struct fake_engine *engine,
			  SoupServerMessage *message, unsigned status)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "target");
	json_builder_add_string_value(builder,
				      engine_model_target(engine->model));
	json_builder_set_member_name(builder, "requests_running");
	json_builder_add_int_value(builder, engine_count_running(engine));
	json_builder_end_object(builder);
	fake_message_answer_json(message, status, builder);
}

/* GET reads the target back, POST sets it; 409 for an old fencing number. */
static void handle_orders(void *data, SoupServerMessage *message,
			  const char *path G_GNUC_UNUSED)
{
	struct fake_engine *engine = data;
	enum engine_order_outcome outcome;
	const char *target;
	JsonObject *body;

	if (strcmp(soup_server_message_get_method(message), "GET") == 0) {
		answer_target(engine, message, 200);
		return;
	}
	body = fake_message_read_json(message);
	if (!body)
		return;
	target = json_object_get_string_member_with_default(body, "target", "");
	outcome = engine_model_order(
		engine->model,
		json_object_get_int_member_with_default(body, "fence", 0),
		target);
	answer_target(engine, message,
		      outcome == ENGINE_ORDER_STALE ? 409 : 200);
	json_object_unref(body);
}

static void add_run(JsonBuilder *builder, const struct run *run)
{
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "request_id");
	json_builder_add_string_value(builder, run->request_id);
	json_builder_set_member_name(builder, "prompt_head");
	json_builder_add_string_value(builder, run->prompt_head);
	json_builder_set_member_name(builder, "generation");
	json_builder_add_string_value(builder, run->generation);
	json_builder_set_member_name(builder, "tokens");
	json_builder_add_int_value(builder, run->tokens);
	json_builder_set_member_name(builder, "state");
	json_builder_add_string_value(builder,
				      engine_stream_state_name(run->state));
	json_builder_end_object(builder);
}

/* GET /fake/runs: all requests this process took, in order. */
static void handle_runs(void *data, SoupServerMessage *message,
			const char *path G_GNUC_UNUSED)
{
	struct fake_engine *engine = data;
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_array(builder);
	for (guint i = 0; i < engine->runs->len; i++)
		add_run(builder, g_ptr_array_index(engine->runs, i));
	json_builder_end_array(builder);
	fake_message_answer_json(message, 200, builder);
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
			   engine_now_us(engine) +
				   (int64_t)(engine->stall_ms * 1000 *
					     engine->time_scale));
	engine->stall_ms = 0;
	fake_server_stall_link(engine->server, engine->stall_link_ms);
	engine->stall_link_ms = 0;
	engine_pump(engine);
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
		{"/v1/cache_events", handle_cache_events},
		{"/v1/orders", handle_orders},
		{"/metrics", handle_metrics},
		{"/fake/runs", handle_runs},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		fake_server_add_handler(engine->server, routes[i].path,
					routes[i].handler, engine);
	fake_server_set_modes(engine->server, modes, count, modes_changed,
			      engine);
}

static int engine_run(struct fake_engine *engine)
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
	engine->runs = g_ptr_array_new_with_free_func(run_destroy);
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

/* A model engine behind HTTP, in real time or faster. */
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
		 "Refuse orders with an old fencing number", NULL},
		{"load-lag-ms", 0, POPT_ARG_LONGLONG, &load_lag_ms, 0,
		 "Age of the reported load", "MS"},
		{"seed", 0, POPT_ARG_LONGLONG, &options->seed, 0,
		 "Of lengths and step times; names the generations", "N"},
		POPT_TABLEEND};

	engine.server = fake_server_create(argc, argv, table);
	if (!engine.server)
		return 2;
	if (options->capacity_tokens < 1 || options->max_batch < 1 ||
	    engine.time_scale <= 0 || load_lag_ms < 0) {
		fprintf(stderr, "options must be positive\n");
		fake_server_destroy(engine.server);
		return 2;
	}
	options->checks_fence = checks_fence;
	options->load_lag_us = load_lag_ms * 1000;
	status = engine_run(&engine);
	fake_server_destroy(engine.server);
	return status;
}
