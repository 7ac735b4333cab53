#include "bench/world_state.h"

#include "fakes/engine_text.h"

#include <string.h>

#define POISON_MARK "[[poison]]"
#define POISON_US 10000 /* from a poisoned request's arrival to the crash */

/* Returns the index of the endpoint with this address, or INDEX_NONE. */
int32_t world_find_endpoint(const struct world *world, const char *address)
{
	for (int32_t i = 0; i < world->endpoint_count; i++) {
		if (strcmp(world->endpoints[i].address, address) == 0)
			return i;
	}
	return INDEX_NONE;
}

static void engine_wake(struct world *world, void *data)
{
	struct world_endpoint *engine = data;

	if (engine->wake_us > world->now_us)
		return;
	engine->wake_us = INT64_MAX;
	world_engine_run(world, (int32_t)(engine - world->endpoints));
}

/* Schedules a wake-up of an engine for the end of its current step. */
void world_engine_queue_wake(struct world *world, struct world_endpoint *engine)
{
	int64_t due_us = engine_model_next_due_us(engine->model);

	if (due_us >= engine->wake_us)
		return;
	engine->wake_us = MAX(due_us, world->now_us);
	world_post(world, engine->wake_us, engine_wake, engine, NULL);
}

static void engine_handle_output(struct world *world,
				 const struct engine_output *output)
{
	struct world_stream *stream = world_find_stream(world, output->id);

	if (!stream)
		return;
	if (output->type == ENGINE_TOKENS)
		stream->run->tokens = output->first_token + output->token_count;
	if (output->type == ENGINE_DONE)
		stream->run->finished = true;
	if (world->listener.engine_output)
		world->listener.engine_output(world->listener.data, stream->run,
					      output);
	if (output->type == ENGINE_TOKENS || output->type == ENGINE_DONE)
		world_stream_queue_flush(world, stream);
}

static void engine_handle_outputs(struct world *world)
{
	for (guint i = 0; i < world->outputs->len; i++)
		engine_handle_output(world,
				     &g_array_index(world->outputs,
						    struct engine_output, i));
	g_array_set_size(world->outputs, 0);
}

/* Steps an engine's model to the current time and handles its output. */
void world_engine_run(struct world *world, int32_t index)
{
	struct world_endpoint *engine = &world->endpoints[index];

	engine_model_advance(engine->model, world->now_us, world->outputs);
	engine_handle_outputs(world);
	world_engine_queue_wake(world, engine);
}

static struct world_run *run_add(struct world *world,
				 const struct world_attempt *attempt)
{
	struct world_run *run = g_new0(struct world_run, 1);

	run->number = world->runs->len + 1;
	run->endpoint = attempt->endpoint;
	run->node = attempt->node;
	run->call = g_array_index(world->root_calls, uint64_t, attempt->call);
	run->request = request_ref(attempt->request);
	run->at_us = world->now_us;
	g_ptr_array_add(world->runs, run);
	return run;
}

static void poison_crash(struct world *world, void *data)
{
	const struct world_endpoint *endpoint = data;

	world_crash_endpoint(world, (int32_t)(endpoint - world->endpoints));
}

static char *request_text(const struct request *request)
{
	gsize size;
	const char *data = g_bytes_get_data(request->body, &size);

	return g_strndup(data ? data : "", size);
}

static bool engine_submit(struct world *world, struct world_endpoint *engine,
			  const struct world_attempt *attempt,
			  int64_t output_tokens)
{
	const struct request *request = attempt->request;
	struct engine_model_request submitted = {
		.id = world->runs->len + 1,
		.prompt_tokens = request->prompt_tokens,
		.output_tokens = output_tokens,
		.priority = attempt->priority,
		.prefix_hash = request->prefix_hash,
		.prefix_tokens = request->prompt_tokens *
				 world->options.prefix_percent / 100,
	};

	return engine_model_submit(engine->model, &submitted, world->now_us);
}

static void engine_accept(struct world *world, struct world_endpoint *engine,
			  struct world_attempt *attempt, const char *text)
{
	const struct request *request = attempt->request;
	int64_t tokens = engine_text_output_tokens(text, world->options.seed);
	struct world_stream *stream;

	if (request->max_tokens)
		tokens = MIN(tokens, request->max_tokens);
	tokens = MIN(tokens, world->options.engine.capacity_tokens -
				     request->prompt_tokens);
	if (!engine_submit(world, engine, attempt, tokens)) {
		world_attempt_fail(world, attempt, ATTEMPT_REFUSED, 0);
		return;
	}
	stream = g_new0(struct world_stream, 1);
	stream->run = run_add(world, attempt);
	stream->run->output_tokens = tokens;
	g_snprintf(stream->run->generation, sizeof(stream->run->generation),
		   "g%" G_GUINT64_FORMAT, stream->run->number);
	g_hash_table_insert(world->streams, &stream->run->number, stream);
	world_stream_attach(world, stream, attempt);
	world_engine_queue_wake(world, engine);
}

static void plain_answer(struct world *world, void *data)
{
	struct world_attempt *attempt = data;
	struct world_endpoint *endpoint = &world->endpoints[attempt->endpoint];

	if (endpoint->stalled_until_us > world->now_us) {
		world_post(world, endpoint->stalled_until_us, plain_answer,
			   world_attempt_ref(attempt), world_attempt_unref);
		return;
	}
	if (!g_ptr_array_remove(endpoint->open, attempt))
		return;
	world_attempt_answer(world, attempt, 200, "text/plain",
			     attempt->request->body);
}

static void plain_accept(struct world *world, struct world_endpoint *endpoint,
			 struct world_attempt *attempt)
{
	run_add(world, attempt)->finished = true;
	g_ptr_array_add(endpoint->open, world_attempt_ref(attempt));
	world_post(
		world,
		world->now_us + world_delay_us(world, world->options.plain_us),
		plain_answer, world_attempt_ref(attempt), world_attempt_unref);
}

/*
 * Runs a request that has arrived at a living endpoint. A plain endpoint
 * answers with the body of the request.
 */
void world_endpoint_accept(struct world *world, struct world_attempt *attempt)
{
	struct world_endpoint *endpoint = &world->endpoints[attempt->endpoint];
	char *text = request_text(attempt->request);

	if (endpoint->is_engine)
		engine_accept(world, endpoint, attempt, text);
	else
		plain_accept(world, endpoint, attempt);
	if (strstr(text, POISON_MARK))
		world_post(world, world->now_us + POISON_US, poison_crash,
			   endpoint, NULL);
	g_free(text);
}

static void endpoint_restart_due(struct world *world, void *data)
{
	const struct world_endpoint *endpoint = data;

	world_restart_endpoint(world, (int32_t)(endpoint - world->endpoints));
}

/*
 * Ends an endpoint's process: its runs are lost and its connections close. With
 * restart_us set it restarts after that time.
 */
void world_crash_endpoint(struct world *world, int32_t index)
{
	struct world_endpoint *endpoint = &world->endpoints[index];

	if (!endpoint->alive)
		return;
	endpoint->alive = false;
	if (endpoint->is_engine) {
		engine_model_crash(endpoint->model, world->now_us,
				   world->outputs);
		engine_handle_outputs(world);
		world_streams_drop(world, index);
	}
	for (guint i = 0; i < endpoint->open->len; i++)
		world_attempt_fail(world, g_ptr_array_index(endpoint->open, i),
				   ATTEMPT_SENT, 0);
	g_ptr_array_set_size(endpoint->open, 0);
	if (world->options.restart_us)
		world_post(world, world->now_us + world->options.restart_us,
			   endpoint_restart_due, endpoint, NULL);
}

/* Restarts a crashed endpoint with a new process. */
void world_restart_endpoint(struct world *world, int32_t index)
{
	struct world_endpoint *endpoint = &world->endpoints[index];

	if (endpoint->alive)
		return;
	endpoint->alive = true;
	endpoint->stalled_until_us = 0;
	if (endpoint->is_engine)
		engine_model_restart(endpoint->model, world->now_us);
}

/* Until until_us the endpoint accepts requests but sends nothing. */
void world_stall_endpoint(struct world *world, int32_t index, int64_t until_us)
{
	struct world_endpoint *endpoint = &world->endpoints[index];

	endpoint->stalled_until_us = MAX(endpoint->stalled_until_us, until_us);
	if (endpoint->is_engine)
		engine_model_stall(endpoint->model, until_us);
}

/* From the next step on, an engine's steps take factor times as long. */
void world_set_slowdown(struct world *world, int32_t engine, double factor)
{
	engine_model_set_slowdown(world->endpoints[engine].model, factor);
}

/*
 * Marks an endpoint as leaving or staying in its load report and in the VM
 * list. The VM list shows it as leaving after vm_list_lag_us.
 */
void world_set_leaving(struct world *world, int32_t index, bool in_report,
		       bool in_vm_list)
{
	struct world_endpoint *endpoint = &world->endpoints[index];

	endpoint->leaving = in_report;
	endpoint->leaving_vm_us =
		in_vm_list ? MIN(endpoint->leaving_vm_us,
				 world->now_us + world->options.vm_list_lag_us)
			   : INT64_MAX;
}

/* Returns the model of an engine; the world owns it. */
struct engine_model *world_engine(struct world *world, int32_t engine)
{
	return world->endpoints[engine].model;
}

static void run_destroy(gpointer data)
{
	struct world_run *run = data;

	request_unref(run->request);
	g_free(run);
}

/* Creates the endpoints, engines first, and the list of runs. */
void world_endpoints_create(struct world *world)
{
	struct engine_model_options engine = world->options.engine;

	world->runs = g_ptr_array_new_with_free_func(run_destroy);
	world->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, world_stream_destroy);
	world->outputs =
		g_array_new(FALSE, FALSE, sizeof(struct engine_output));
	world->endpoints = g_new0(struct world_endpoint, world->endpoint_count);
	for (int32_t i = 0; i < world->endpoint_count; i++) {
		struct world_endpoint *endpoint = &world->endpoints[i];

		endpoint->address = g_strdup_printf("10.0.0.2:%d", 9000 + i);
		endpoint->is_engine = i < world->options.engine_count;
		endpoint->alive = true;
		endpoint->wake_us = INT64_MAX;
		endpoint->leaving_vm_us = INT64_MAX;
		endpoint->open =
			g_ptr_array_new_with_free_func(world_attempt_unref);
		engine.seed = world->options.seed * 1000 + i;
		if (endpoint->is_engine)
			endpoint->model = engine_model_create(&engine);
	}
}

/* Frees the endpoints, the generations and the list of runs. */
void world_endpoints_destroy(struct world *world)
{
	g_hash_table_unref(world->streams);
	for (int32_t i = 0; i < world->endpoint_count; i++) {
		struct world_endpoint *endpoint = &world->endpoints[i];

		g_ptr_array_unref(endpoint->open);
		engine_model_destroy(endpoint->model);
		g_free(endpoint->address);
	}
	g_free(world->endpoints);
	g_array_unref(world->outputs);
	g_ptr_array_unref(world->runs);
}
