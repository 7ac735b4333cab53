#include "bench/world_state.h"

/*
 * Generations at model engines and their readers. A generation is kept for
 * hold_us without a reader, so that a node can reattach to it.
 */

/* Returns the generation of a run, or NULL once the engine has removed it. */
struct world_stream *world_find_stream(struct world *world, uint64_t number)
{
	return g_hash_table_lookup(world->streams, &number);
}

static void stream_flush_due(struct world *world, void *data)
{
	const uint64_t *number = data;
	struct world_stream *stream = world_find_stream(world, *number);

	if (!stream)
		return;
	stream->flush_queued = false;
	world_stream_flush(world, stream);
}

/*
 * Flushes new tokens to the reader: at once if chunk_us is 0 or the generation
 * is complete, else after chunk_us together with later tokens.
 */
void world_stream_queue_flush(struct world *world, struct world_stream *stream)
{
	if (!world->options.chunk_us || stream->run->finished) {
		world_stream_flush(world, stream);
		return;
	}
	if (stream->flush_queued || !stream->reader)
		return;
	stream->flush_queued = true;
	world_post(world, world->now_us + world->options.chunk_us,
		   stream_flush_due,
		   g_memdup2(&stream->run->number, sizeof(uint64_t)), g_free);
}

/* Expiry of a generation that has no reader. */
struct hold {
	uint64_t number;
	uint64_t reader_epoch;
};

static void stream_remove(struct world *world, struct world_stream *stream)
{
	struct world_endpoint *engine =
		&world->endpoints[stream->run->endpoint];
	uint64_t number = stream->run->number;

	if (!stream->run->finished)
		engine_model_cancel(engine->model, number, world->now_us);
	g_hash_table_remove(world->streams, &number);
	world_engine_queue_wake(world, engine);
}

static void hold_expired(struct world *world, void *data)
{
	const struct hold *hold = data;
	struct world_stream *stream = world_find_stream(world, hold->number);

	if (stream && stream->reader_epoch == hold->reader_epoch)
		stream_remove(world, stream);
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
	world_post(world, world->now_us + world->options.hold_us, hold_expired,
		   hold, g_free);
}

/* Attaches a reader; the previous reader, if any, is disconnected. */
void world_stream_attach(struct world *world, struct world_stream *stream,
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
	world_stream_flush(world, stream);
}

/* Sends the reader all unsent tokens, and the end of a complete generation. */
void world_stream_flush(struct world *world, struct world_stream *stream)
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

/* Handles a reader's close: detaches it, or cancels the generation. */
void world_stream_reader_closed(struct world *world,
				struct world_attempt *attempt)
{
	struct world_stream *stream = attempt->stream;

	if (!stream)
		return;
	if (attempt->keep_running)
		stream_detach(world, stream);
	else
		stream_remove(world, stream);
}

/*
 * Reattaches a node to a generation. The attempt fails with ATTEMPT_NOT_FOUND
 * if the endpoint does not have the generation or the requested token lies
 * ahead of it.
 */
void world_stream_resume(struct world *world, struct world_attempt *attempt)
{
	struct world_stream *stream = NULL;

	if (*attempt->generation == 'g')
		stream = world_find_stream(
			world,
			g_ascii_strtoull(attempt->generation + 1, NULL, 10));
	if (!stream || stream->run->endpoint != attempt->endpoint ||
	    attempt->next_token > stream->run->tokens) {
		world_attempt_fail(world, attempt, ATTEMPT_NOT_FOUND, 0);
		return;
	}
	world_stream_attach(world, stream, attempt);
}

static gboolean stream_is_at_endpoint(gpointer key G_GNUC_UNUSED,
				      gpointer value, gpointer data)
{
	const struct world_stream *stream = value;

	return stream->run->endpoint == *(const int32_t *)data;
}

static void streams_fail_readers(struct world *world, int32_t index)
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

/* Frees a generation and detaches its reader. */
void world_stream_destroy(gpointer data)
{
	struct world_stream *stream = data;

	if (stream->reader) {
		stream->reader->stream = NULL;
		world_attempt_unref(stream->reader);
	}
	g_free(stream);
}

/* Removes all generations of an engine whose process has ended. */
void world_streams_drop(struct world *world, int32_t endpoint)
{
	streams_fail_readers(world, endpoint);
	g_hash_table_foreach_remove(world->streams, stream_is_at_endpoint,
				    &endpoint);
}
