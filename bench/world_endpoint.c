#include "bench/world_state.h"

#include "fakes/engine_text.h"

#include <string.h>

#define POISON_MARK "[[poison]]"
#define POISON_US 10000 /* from a poisonous request's arrival to the crash */
#define LOAD_TIMEOUT_US G_USEC_PER_SEC

/* The endpoint at this address; NOT_BOUND: none. */
int32_t world_find_endpoint(const struct world *world, const char *address)
{
	for (int32_t i = 0; i < world->endpoint_count; i++) {
		if (strcmp(world->endpoints[i].address, address) == 0)
			return i;
	}
	return NOT_BOUND;
}

static struct world_stream *find_stream(struct world *world, uint64_t number)
{
	return g_hash_table_lookup(world->streams, &number);
}

static void engine_run(struct world *world, int32_t index);

static void engine_wake(struct world *world, void *data)
{
	struct world_endpoint *engine = data;

	if (engine->wake_us > world->now_us)
		return;
	engine->wake_us = INT64_MAX;
	engine_run(world, (int32_t)(engine - world->endpoints));
}

static void engine_queue_wake(struct world *world,
			      struct world_endpoint *engine)
{
	int64_t due_us = engine_model_next_due_us(engine->model);

	if (due_us >= engine->wake_us)
		return;
	engine->wake_us = MAX(due_us, world->now_us);
	world_post(world, engine->wake_us, engine_wake, engine, NULL);
}

static void stream_flush_due(struct world *world, void *data)
{
	const uint64_t *number = data;
	struct world_stream *stream = find_stream(world, *number);

	if (!stream)
		return;
	stream->flush_queued = false;
	world_endpoint_flush(world, stream);
}

static void stream_queue_flush(struct world *world, struct world_stream *stream)
{
	if (!world->options.chunk_us || stream->run->finished) {
		world_endpoint_flush(world, stream);
		return;
	}
	if (stream->flush_queued || !stream->reader)
		return;
	stream->flush_queued = true;
	world_post(world, world->now_us + world->options.chunk_us,
		   stream_flush_due,
		   g_memdup2(&stream->run->number, sizeof(uint64_t)), g_free);
}

static void engine_take_output(struct world *world,
			       const struct engine_output *output)
{
	struct world_stream *stream = find_stream(world, output->id);

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
		stream_queue_flush(world, stream);
}

static void engine_take_outputs(struct world *world)
{
	for (guint i = 0; i < world->outputs->len; i++)
		engine_take_output(world,
				   &g_array_index(world->outputs,
						  struct engine_output, i));
	g_array_set_size(world->outputs, 0);
}

/* Steps an engine's model to now and passes on what it made. */
static void engine_run(struct world *world, int32_t index)
{
	struct world_endpoint *engine = &world->endpoints[index];

	engine_model_step(engine->model, world->now_us, world->outputs);
	engine_take_outputs(world);
	engine_queue_wake(world, engine);
}

struct hold {
	uint64_t number;
	uint64_t reader_epoch;
};

static void stream_forget(struct world *world, struct world_stream *stream)
{
	struct world_endpoint *engine =
		&world->endpoints[stream->run->endpoint];
	uint64_t number = stream->run->number;

	if (!stream->run->finished)
		engine_model_cancel(engine->model, number, world->now_us);
	g_hash_table_remove(world->streams, &number);
	engine_queue_wake(world, engine);
}

static void hold_ended(struct world *world, void *data)
{
	const struct hold *hold = data;
	struct world_stream *stream = find_stream(world, hold->number);

	if (stream && stream->reader_epoch == hold->reader_epoch)
		stream_forget(world, stream);
}

static void stream_detach(struct world *world, struct world_stream *stream)
{
	struct hold *hold;

	if (!stream->reader)
		return;
	stream->reader->stream = NULL;
	g_clear_pointer(&stream->reader, world_attempt_unref);
	hold = g_new(struct hold, 1);
	*hold = (struct hold){stream->run->number, ++stream->reader_epoch};
	world_post(world, world->now_us + world->options.hold_us, hold_ended,
		   hold, g_free);
}

static void stream_attach(struct world *world, struct world_stream *stream,
			  struct world_attempt *attempt)
{
	if (stream->reader) {
		world_attempt_fail(world, stream->reader, ATTEMPT_SENT, 0);
		stream_detach(world, stream);
	}
	stream->reader_epoch++;
	stream->reader = world_attempt_ref(attempt);
	stream->sent = attempt->next_token;
	attempt->stream = stream;
	world_attempt_started(world, attempt, stream->run->generation);
	world_endpoint_flush(world, stream);
}

/* Gives the reader what it does not have yet, and the end of a whole one. */
void world_endpoint_flush(struct world *world, struct world_stream *stream)
{
	struct world_run *run = stream->run;

	if (!stream->reader || stream->reader->paused)
		return;
	if (stream->sent < run->tokens)
		world_attempt_chunk(world, stream->reader, stream->sent,
				    run->tokens - stream->sent);
	stream->sent = run->tokens;
	if (!run->finished)
		return;
	world_attempt_done(world, stream->reader, run->tokens);
	stream_detach(world, stream);
}

/* The node closed the connection, or cancels what runs on it. */
void world_endpoint_let_go(struct world *world, struct world_attempt *attempt)
{
	struct world_stream *stream = attempt->stream;

	if (!stream)
		return;
	if (attempt->keep_running)
		stream_detach(world, stream);
	else
		stream_forget(world, stream);
}

static struct world_run *run_add(struct world *world,
				 const struct world_attempt *attempt)
{
	struct world_run *run = g_new0(struct world_run, 1);

	run->number = world->runs->len + 1;
	run->endpoint = attempt->endpoint;
	run->node = attempt->node;
	run->call = g_array_index(world->roots, uint64_t, attempt->call);
	run->request = request_ref(attempt->request);
	run->at_us = world->now_us;
	g_ptr_array_add(world->runs, run);
	return run;
}

static void poison_works(struct world *world, void *data)
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

static void engine_take(struct world *world, struct world_endpoint *engine,
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
	stream_attach(world, stream, attempt);
	engine_queue_wake(world, engine);
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

static void plain_take(struct world *world, struct world_endpoint *endpoint,
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
 * A request arrives at a living endpoint and is run; a plain endpoint answers
 * the request's own body.
 */
void world_endpoint_take(struct world *world, struct world_attempt *attempt)
{
	struct world_endpoint *endpoint = &world->endpoints[attempt->endpoint];
	char *text = request_text(attempt->request);

	if (endpoint->is_engine)
		engine_take(world, endpoint, attempt, text);
	else
		plain_take(world, endpoint, attempt);
	if (strstr(text, POISON_MARK))
		world_post(world, world->now_us + POISON_US, poison_works,
			   endpoint, NULL);
	g_free(text);
}

/* A node attaches to a generation. */
void world_endpoint_resume(struct world *world, struct world_attempt *attempt)
{
	struct world_stream *stream = NULL;

	if (*attempt->generation == 'g')
		stream = find_stream(
			world,
			g_ascii_strtoull(attempt->generation + 1, NULL, 10));
	if (!stream || stream->run->endpoint != attempt->endpoint ||
	    attempt->next_token > stream->run->tokens) {
		world_attempt_fail(world, attempt, ATTEMPT_GONE, 0);
		return;
	}
	stream_attach(world, stream, attempt);
}

struct load_poll {
	int32_t node;
	int32_t endpoint;
	struct event event;
};

static void load_arrive(struct world *world, void *data)
{
	const struct load_poll *poll = data;

	world_node_step(world, poll->node, &poll->event);
}

static void endpoint_report(struct world *world, int32_t index,
			    struct load_report *report)
{
	struct world_endpoint *endpoint = &world->endpoints[index];

	if (endpoint->is_engine) {
		engine_run(world, index);
		engine_model_report(endpoint->model, world->now_us, report);
	} else {
		report->reported_at_us = world->now_us;
		report->running = endpoint->open->len;
		report->waiting = -1;
		report->tokens_used = -1;
		report->tokens_capacity = -1;
		report->preemptions_total = -1;
	}
	report->leaving = endpoint->leaving;
}

static void load_asked(struct world *world, void *data)
{
	const struct load_poll *asked = data;
	const struct world_endpoint *endpoint =
		&world->endpoints[asked->endpoint];
	int32_t party = world_party_endpoint(world, asked->endpoint);
	struct load_poll *poll = g_memdup2(asked, sizeof(*asked));
	int64_t delay_us =
		world_delay_us(world, world->options.endpoint_delay_us);

	poll->event.load.reached =
		endpoint->alive &&
		endpoint->stalled_until_us <= world->now_us &&
		!world_link_cut(world, asked->node, party) &&
		!world_link_cut(world, party, asked->node);
	if (poll->event.load.reached)
		endpoint_report(world, asked->endpoint,
				&poll->event.load.report);
	else if (endpoint->alive)
		delay_us += LOAD_TIMEOUT_US;
	world_post_node(world, world->now_us + delay_us, asked->node,
			load_arrive, poll, g_free);
}

/* ACTION_POLL_LOAD */
void world_poll_load(struct world *world, int32_t node, const char *address)
{
	int32_t endpoint = world_find_endpoint(world, address);
	struct load_poll *poll;

	if (endpoint == NOT_BOUND)
		return;
	poll = g_new0(struct load_poll, 1);
	poll->node = node;
	poll->endpoint = endpoint;
	poll->event.type = EVENT_LOAD;
	poll->event.load.endpoint = world->endpoints[endpoint].address;
	world_post(
		world,
		world->now_us +
			world_delay_us(world, world->options.endpoint_delay_us),
		load_asked, poll, g_free);
}

static gboolean stream_is_of(gpointer key G_GNUC_UNUSED, gpointer value,
			     gpointer data)
{
	const struct world_stream *stream = value;

	return stream->run->endpoint == *(const int32_t *)data;
}

static void fail_readers(struct world *world, int32_t index)
{
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, world->streams);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		struct world_stream *stream = value;

		if (stream->run->endpoint == index && stream->reader)
			world_attempt_fail(world, stream->reader, ATTEMPT_SENT,
					   0);
	}
}

static void endpoint_returns(struct world *world, void *data)
{
	const struct world_endpoint *endpoint = data;

	world_restart_endpoint(world, (int32_t)(endpoint - world->endpoints));
}

/* Ends an endpoint's process: all it holds is gone, connections close. */
void world_crash_endpoint(struct world *world, int32_t index)
{
	struct world_endpoint *endpoint = &world->endpoints[index];

	if (!endpoint->alive)
		return;
	endpoint->alive = false;
	if (endpoint->is_engine) {
		engine_model_crash(endpoint->model, world->now_us,
				   world->outputs);
		engine_take_outputs(world);
		fail_readers(world, index);
		g_hash_table_foreach_remove(world->streams, stream_is_of,
					    &index);
	}
	for (guint i = 0; i < endpoint->open->len; i++)
		world_attempt_fail(world, g_ptr_array_index(endpoint->open, i),
				   ATTEMPT_SENT, 0);
	g_ptr_array_set_size(endpoint->open, 0);
	if (world->options.restart_us)
		world_post(world, world->now_us + world->options.restart_us,
			   endpoint_returns, endpoint, NULL);
}

/* A new process takes a crashed endpoint's place. */
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

/* Until then the endpoint takes what comes and sends nothing. */
void world_stall_endpoint(struct world *world, int32_t index, int64_t until_us)
{
	struct world_endpoint *endpoint = &world->endpoints[index];

	endpoint->stalled_until_us = MAX(endpoint->stalled_until_us, until_us);
	if (endpoint->is_engine)
		engine_model_stall(endpoint->model, until_us);
}

void world_set_slowdown(struct world *world, int32_t engine, double factor)
{
	engine_model_set_slowdown(world->endpoints[engine].model, factor);
}

/* Marks an endpoint as leaving, or staying, by two of the ways there are. */
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

struct engine_model *world_engine(struct world *world, int32_t engine)
{
	return world->endpoints[engine].model;
}

static void stream_destroy(gpointer data)
{
	struct world_stream *stream = data;

	if (stream->reader) {
		stream->reader->stream = NULL;
		world_attempt_unref(stream->reader);
	}
	g_free(stream);
}

static void run_destroy(gpointer data)
{
	struct world_run *run = data;

	request_unref(run->request);
	g_free(run);
}

/* Engines first, then plain endpoints. */
void world_endpoints_create(struct world *world)
{
	struct engine_model_options engine = world->options.engine;

	world->runs = g_ptr_array_new_with_free_func(run_destroy);
	world->streams = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, stream_destroy);
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

/* Frees the endpoints and the list of runs. */
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
