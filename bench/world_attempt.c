#include "bench/world_state.h"

#include <string.h>

#define RESEND_US 200000 /* retry interval while the link is cut */

/* An event and the data it points to. */
struct attempt_event {
	struct event event;
	GBytes *bytes;
	char *text;
};

static void attempt_event_destroy(gpointer data)
{
	struct attempt_event *item = data;

	g_clear_pointer(&item->bytes, g_bytes_unref);
	g_free(item->text);
	g_free(item);
}

static void attempt_clear(gpointer data)
{
	struct world_attempt *attempt = data;

	request_unref(attempt->request);
	g_free(attempt->generation);
	g_queue_clear_full(&attempt->events, attempt_event_destroy);
}

/* Adds a reference. */
struct world_attempt *world_attempt_ref(struct world_attempt *attempt)
{
	return g_rc_box_acquire(attempt);
}

/* Drops a reference; the last one frees the attempt and its queued events. */
void world_attempt_unref(gpointer data)
{
	g_rc_box_release_full(data, attempt_clear);
}

static struct world_attempt *attempt_create(struct world *world, int32_t node,
					    uint64_t number, uint64_t call,
					    const char *address)
{
	struct world_attempt *attempt = g_rc_box_new0(struct world_attempt);

	attempt->node = node;
	attempt->number = number;
	attempt->call = call;
	attempt->endpoint = world_find_endpoint(world, address);
	attempt->peer_node = INDEX_NONE;
	g_queue_init(&attempt->events);
	g_hash_table_insert(world->nodes[node].attempts, &attempt->number,
			    attempt);
	return attempt;
}

static int64_t attempt_delay_us(struct world *world,
				const struct world_attempt *attempt)
{
	return world_delay_us(world,
			      attempt->endpoint == INDEX_NONE
				      ? world->options.peer_delay_us
				      : world->options.endpoint_delay_us);
}

static int32_t attempt_party(const struct world *world,
			     const struct world_attempt *attempt)
{
	return attempt->endpoint == INDEX_NONE
		       ? world_party_node(world, attempt->peer_node)
		       : world_party_endpoint(world, attempt->endpoint);
}

static bool event_ends_attempt(const struct event *event)
{
	return event->type == EVENT_ATTEMPT_DONE ||
	       event->type == EVENT_ATTEMPT_ANSWER ||
	       event->type == EVENT_ATTEMPT_FAILED;
}

/*
 * Delivers the first queued event. Every posted delivery takes the first one,
 * so different delays do not reorder the events.
 */
static void attempt_deliver(struct world *world, void *data)
{
	struct world_attempt *attempt = data;
	int32_t node = attempt->node;
	struct attempt_event *item;

	if (attempt->closed || g_queue_is_empty(&attempt->events))
		return;
	item = g_queue_peek_head(&attempt->events);
	if (item->event.type != EVENT_ATTEMPT_FAILED &&
	    world_link_cut(world, attempt_party(world, attempt), node)) {
		world_post_node(world, world->now_us + RESEND_US, node,
				attempt_deliver, world_attempt_ref(attempt),
				world_attempt_unref);
		return;
	}
	g_queue_pop_head(&attempt->events);
	if (event_ends_attempt(&item->event))
		g_hash_table_remove(world->nodes[node].attempts,
				    &attempt->number);
	world_node_step(world, node, &item->event);
	attempt_event_destroy(item);
}

static void attempt_push(struct world *world, struct world_attempt *attempt,
			 struct attempt_event *item, int64_t delay_us)
{
	if (attempt->closed || attempt->ended ||
	    !world->nodes[attempt->node].node) {
		attempt_event_destroy(item);
		return;
	}
	attempt->ended = event_ends_attempt(&item->event);
	g_queue_push_tail(&attempt->events, item);
	world_post_node(world, world->now_us + delay_us, attempt->node,
			attempt_deliver, world_attempt_ref(attempt),
			world_attempt_unref);
}

/* Sends the node the identifier of the generation. */
void world_attempt_started(struct world *world, struct world_attempt *attempt,
			   const char *generation)
{
	struct attempt_event *item = g_new0(struct attempt_event, 1);

	item->text = g_strdup(generation);
	item->event.type = EVENT_ATTEMPT_STARTED;
	item->event.started.attempt = attempt->number;
	item->event.started.generation = item->text;
	attempt_push(world, attempt, item, attempt_delay_us(world, attempt));
}

static struct attempt_event *chunk_event(const struct world_attempt *attempt,
					 int64_t first, int64_t count)
{
	struct attempt_event *item = g_new0(struct attempt_event, 1);
	char *text =
		g_strdup_printf("%s.%" G_GINT64_FORMAT "+%" G_GINT64_FORMAT " ",
				attempt->stream->run->generation, first, count);

	item->bytes = g_bytes_new_take(text, strlen(text));
	item->event.type = EVENT_ATTEMPT_CHUNK;
	item->event.chunk.attempt = attempt->number;
	item->event.chunk.first_token = first;
	item->event.chunk.token_count = count;
	item->event.chunk.data = item->bytes;
	return item;
}

/*
 * Sends the node a chunk of the attempt's stream with the text
 * "GENERATION.FIRST+COUNT ". The chunk may be lost, duplicated, or swapped with
 * the event before it.
 */
void world_attempt_chunk(struct world *world, struct world_attempt *attempt,
			 int64_t first, int64_t count)
{
	int64_t delay_us = attempt_delay_us(world, attempt);

	if (world_chance(world, world->options.chunk_drop_permille))
		return;
	if (world_chance(world, world->options.chunk_duplicate_permille))
		attempt_push(world, attempt, chunk_event(attempt, first, count),
			     delay_us);
	attempt_push(world, attempt, chunk_event(attempt, first, count),
		     delay_us);
	if (g_queue_get_length(&attempt->events) > 1 &&
	    world_chance(world, world->options.chunk_reorder_permille)) {
		gpointer last = g_queue_pop_tail(&attempt->events);
		gpointer before = g_queue_pop_tail(&attempt->events);

		g_queue_push_tail(&attempt->events, last);
		g_queue_push_tail(&attempt->events, before);
	}
}

/* Ends the attempt: the generation is complete. */
void world_attempt_done(struct world *world, struct world_attempt *attempt,
			int64_t token_count)
{
	struct attempt_event *item = g_new0(struct attempt_event, 1);

	item->event.type = EVENT_ATTEMPT_DONE;
	item->event.done.attempt = attempt->number;
	item->event.done.token_count = token_count;
	item->event.done.finish_reason = "stop";
	attempt_push(world, attempt, item, attempt_delay_us(world, attempt));
}

/* Sends the node the complete answer of a plain endpoint or another node. */
void world_attempt_answer(struct world *world, struct world_attempt *attempt,
			  int32_t status, const char *content_type,
			  GBytes *body)
{
	struct attempt_event *item = g_new0(struct attempt_event, 1);

	item->bytes = g_bytes_ref(body);
	item->text = g_strdup(content_type);
	item->event.type = EVENT_ATTEMPT_ANSWER;
	item->event.answer.attempt = attempt->number;
	item->event.answer.status = status;
	item->event.answer.content_type = item->text;
	item->event.answer.body = item->bytes;
	attempt_push(world, attempt, item, attempt_delay_us(world, attempt));
}

/*
 * Ends the attempt without an answer. The node is notified after delay_us and
 * the delay of the link.
 */
void world_attempt_fail(struct world *world, struct world_attempt *attempt,
			enum attempt_stage stage, int64_t delay_us)
{
	struct attempt_event *item = g_new0(struct attempt_event, 1);

	item->event.type = EVENT_ATTEMPT_FAILED;
	item->event.failed.attempt = attempt->number;
	item->event.failed.stage = stage;
	error_set(&item->event.failed.error,
		  stage == ATTEMPT_NOT_SENT ? ERROR_UNREACHABLE : ERROR_CLOSED,
		  "world.attempt", "", "stage %d", (int)stage);
	attempt_push(world, attempt, item,
		     delay_us + attempt_delay_us(world, attempt));
}

/*
 * Connects and delivers the request. If the link is cut or the endpoint is
 * dead, the node is notified that nothing was sent. If the node has closed the
 * attempt in the meantime, an endpoint still gets the request; a peer does not.
 */
static void attempt_arrive(struct world *world, void *data)
{
	struct world_attempt *attempt = data;
	int32_t party = attempt_party(world, attempt);

	if (world_link_cut(world, attempt->node, party) ||
	    world_link_cut(world, party, attempt->node)) {
		world_attempt_fail(world, attempt, ATTEMPT_NOT_SENT,
				   world->options.connect_timeout_us);
		return;
	}
	if (attempt->endpoint == INDEX_NONE) {
		if (!attempt->closed)
			attempt->forwarded_call = world_forward(world, attempt);
		return;
	}
	if (!world->endpoints[attempt->endpoint].alive) {
		world_attempt_fail(world, attempt, ATTEMPT_NOT_SENT, 0);
		return;
	}
	if (attempt->request)
		world_endpoint_accept(world, attempt);
	else
		world_stream_resume(world, attempt);
	if (attempt->closed)
		world_stream_reader_closed(world, attempt);
}

static void attempt_post_arrival(struct world *world,
				 struct world_attempt *attempt)
{
	world_post(world, world->now_us + attempt_delay_us(world, attempt),
		   attempt_arrive, world_attempt_ref(attempt),
		   world_attempt_unref);
}

static int32_t find_node(const struct world *world, const char *address)
{
	for (int32_t i = 0; i < world->options.node_count; i++) {
		if (strcmp(world->nodes[i].http_address, address) == 0)
			return i;
	}
	return INDEX_NONE;
}

/* Executes ACTION_ATTEMPT_SEND: sends a request to an endpoint or a node. */
void world_attempt_send(struct world *world, int32_t node,
			const struct action_attempt_send *send)
{
	struct world_attempt *attempt = attempt_create(
		world, node, send->attempt, send->call, send->endpoint);

	attempt->request = request_ref(send->request);
	attempt->priority = send->priority;
	if (send->to_node)
		attempt->peer_node = find_node(world, send->endpoint);
	g_assert(attempt->endpoint != INDEX_NONE ||
		 attempt->peer_node != INDEX_NONE);
	attempt_post_arrival(world, attempt);
}

/* Executes ACTION_ATTEMPT_RESUME: reattaches to a generation at an engine. */
void world_attempt_resume(struct world *world, int32_t node,
			  const struct action_attempt_resume *resume)
{
	struct world_attempt *attempt = attempt_create(
		world, node, resume->attempt, resume->call, resume->endpoint);

	g_assert(attempt->endpoint != INDEX_NONE);
	attempt->generation = g_strdup(resume->generation);
	attempt->next_token = resume->next_token;
	attempt_post_arrival(world, attempt);
}

static void attempt_close_arrive(struct world *world, void *data)
{
	struct world_attempt *attempt = data;

	if (attempt->endpoint == INDEX_NONE)
		world_caller_close(world, attempt->forwarded_call);
	else
		world_stream_reader_closed(world, attempt);
}

static void attempt_close(struct world *world, struct world_attempt *attempt,
			  bool keep_running)
{
	attempt->closed = true;
	attempt->keep_running = keep_running;
	world_post(world, world->now_us + attempt_delay_us(world, attempt),
		   attempt_close_arrive, world_attempt_ref(attempt),
		   world_attempt_unref);
}

/* Executes ACTION_ATTEMPT_CANCEL; an attempt that has ended is ignored. */
void world_attempt_cancel(struct world *world, int32_t node,
			  const struct action_attempt_cancel *cancel)
{
	GHashTable *attempts = world->nodes[node].attempts;
	struct world_attempt *attempt =
		g_hash_table_lookup(attempts, &cancel->attempt);

	if (!attempt)
		return;
	attempt_close(world, attempt, cancel->keep_running);
	g_hash_table_remove(attempts, &cancel->attempt);
}

/* Executes ACTION_ATTEMPT_FLOW: pauses or continues reading. */
void world_attempt_flow(struct world *world, int32_t node,
			const struct action_attempt_flow *flow)
{
	struct world_attempt *attempt = g_hash_table_lookup(
		world->nodes[node].attempts, &flow->attempt);

	if (!attempt)
		return;
	attempt->paused = flow->pause;
	if (attempt->stream && !flow->pause)
		world_stream_flush(world, attempt->stream);
}

/* Closes all connections of a node whose process has ended. */
void world_attempts_drop(struct world *world, int32_t node)
{
	GHashTable *attempts = world->nodes[node].attempts;
	GHashTableIter i;
	gpointer attempt;

	g_hash_table_iter_init(&i, attempts);
	while (g_hash_table_iter_next(&i, NULL, &attempt))
		attempt_close(world, attempt, true);
	g_hash_table_remove_all(attempts);
}
