#include "bench/world_state.h"

#include <string.h>

/* An event of a caller in transit to its node. */
struct call_delivery {
	uint64_t call;
	struct request *request;
	enum event_type type;
	bool full;
	struct event_query query;
	char *operator_name;
	char *plan_id;
};

static void call_delivery_destroy(gpointer data)
{
	struct call_delivery *delivery = data;

	request_unref(delivery->request);
	g_clear_pointer(&delivery->query.body, g_bytes_unref);
	g_free(delivery->operator_name);
	g_free(delivery->plan_id);
	g_free(delivery);
}

static void answers_destroy(gpointer data)
{
	action_list_destroy(data);
}

/* Frees a caller's connection. */
void world_caller_destroy(gpointer data)
{
	struct world_caller *caller = data;

	g_queue_clear_full(&caller->answers, answers_destroy);
	if (caller->origin)
		world_attempt_unref(caller->origin);
	if (caller->forwarded)
		g_string_free(caller->forwarded, TRUE);
	g_free(caller);
}

static struct world_caller *world_find_caller(struct world *world,
					      uint64_t call)
{
	return g_hash_table_lookup(world->callers, &call);
}

static struct world_caller *caller_create(struct world *world, int32_t node)
{
	struct world_caller *caller = g_new0(struct world_caller, 1);

	caller->call = world->root_calls->len;
	g_array_append_val(world->root_calls, caller->call);
	caller->node = node;
	caller->incarnation = world->nodes[node].incarnation;
	g_queue_init(&caller->answers);
	g_hash_table_insert(world->callers, &caller->call, caller);
	return caller;
}

static int64_t caller_delay_us(struct world *world,
			       const struct world_caller *caller)
{
	return world_delay_us(world, caller->origin
					     ? world->options.peer_delay_us
					     : world->options.client_delay_us);
}

/* Ends a broken or refused connection and notifies the sender of the call. */
static void caller_fail(struct world *world, struct world_caller *caller,
			bool connected)
{
	struct world_attempt *origin = caller->origin;
	uint64_t call = caller->call;

	if (origin)
		world_attempt_fail(world, origin,
				   connected ? ATTEMPT_SENT : ATTEMPT_NOT_SENT,
				   0);
	g_hash_table_remove(world->callers, &call);
	if (!origin && world->listener.broken)
		world->listener.broken(world->listener.data, call, connected);
}

static void caller_break_due(struct world *world, void *data)
{
	const uint64_t *call = data;
	struct world_caller *caller = world_find_caller(world, *call);

	if (caller)
		caller_fail(world, caller, true);
}

static void caller_refuse_due(struct world *world, void *data)
{
	const uint64_t *call = data;
	struct world_caller *caller = world_find_caller(world, *call);

	if (caller)
		caller_fail(world, caller, false);
}

/* Breaks the connections of all callers of a node whose process has ended. */
void world_break_callers(struct world *world, int32_t node)
{
	GHashTableIter i;
	gpointer value;

	g_hash_table_iter_init(&i, world->callers);
	while (g_hash_table_iter_next(&i, NULL, &value)) {
		const struct world_caller *caller = value;

		if (caller->node != node)
			continue;
		world_post(world,
			   world->now_us + caller_delay_us(world, caller) +
				   4 * world->options.client_delay_us,
			   caller_break_due,
			   g_memdup2(&caller->call, sizeof(caller->call)),
			   g_free);
	}
}

static void call_arrive(struct world *world, void *data)
{
	struct call_delivery *delivery = data;
	struct world_caller *caller = world_find_caller(world, delivery->call);
	struct event event = {.type = delivery->type};

	/* The caller closed before its request arrived: nothing to answer. */
	if (!caller)
		return;
	switch (delivery->type) {
	case EVENT_CALL:
		event.call.call = delivery->call;
		event.call.request = delivery->request;
		break;
	case EVENT_CALL_FLOW:
		event.call_flow.call = delivery->call;
		event.call_flow.full = delivery->full;
		break;
	default:
		event.query = delivery->query;
		event.query.operator_name = delivery->operator_name;
		event.query.plan_id = delivery->plan_id;
		break;
	}
	world_node_step(world, caller->node, &event);
}

static void call_close_arrive(struct world *world, void *data)
{
	const struct world_caller *caller = data;
	const struct event event = {.type = EVENT_CALL_GONE,
				    .call_gone = caller->call};

	world_node_step(world, caller->node, &event);
}

static void caller_connect(struct world *world, struct world_caller *caller,
			   struct call_delivery *delivery)
{
	int64_t at_us = world->now_us + caller_delay_us(world, caller);

	delivery->call = caller->call;
	if (world->nodes[caller->node].node) {
		world_post_node(world, at_us, caller->node, call_arrive,
				delivery, call_delivery_destroy);
		return;
	}
	call_delivery_destroy(delivery);
	world_post(world, at_us, caller_refuse_due,
		   g_memdup2(&caller->call, sizeof(caller->call)), g_free);
}

/* Sends a request to a node, keeping a reference; returns the call's number. */
uint64_t world_call(struct world *world, int32_t node, struct request *request)
{
	struct world_caller *caller = caller_create(world, node);
	struct call_delivery *delivery = g_new0(struct call_delivery, 1);

	delivery->type = EVENT_CALL;
	delivery->request = request_ref(request);
	caller_connect(world, caller, delivery);
	return caller->call;
}

/*
 * Sends a query of an operator to a node and returns the call's number. The
 * answer arrives as for a call. The strings are copied and body is reffed;
 * operator_name, plan_id and body may be NULL.
 */
uint64_t world_query(struct world *world, int32_t node, enum query_type type,
		     const char *operator_name, const char *plan_id,
		     GBytes *body)
{
	struct world_caller *caller = caller_create(world, node);
	struct call_delivery *delivery = g_new0(struct call_delivery, 1);

	delivery->type = EVENT_QUERY;
	delivery->query.call = caller->call;
	delivery->query.type = type;
	delivery->query.body = body ? g_bytes_ref(body) : NULL;
	delivery->operator_name = g_strdup(operator_name ? operator_name : "");
	delivery->plan_id = g_strdup(plan_id);
	caller_connect(world, caller, delivery);
	return caller->call;
}

/* Forwards a node's request to a peer; returns the number of the call there. */
uint64_t world_forward(struct world *world, struct world_attempt *attempt)
{
	struct world_caller *caller = caller_create(world, attempt->peer_node);
	struct call_delivery *delivery = g_new0(struct call_delivery, 1);
	const struct request *from = attempt->request;
	struct request *request = request_create(from->kind);

	request->stream = from->stream;
	request->non_idempotent = from->non_idempotent;
	request->forwarded = true;
	request->bearer = g_strdup(from->bearer);
	request->organisation = g_strdup(from->organisation);
	request->service = g_strdup(from->service);
	request->idempotency_key = g_strdup(from->idempotency_key);
	request->last_event_id = g_strdup(from->last_event_id);
	request->method = g_strdup(from->method);
	request->path = g_strdup(from->path);
	request->content_type = g_strdup(from->content_type);
	g_bytes_unref(request->body);
	request->body = g_bytes_ref(from->body);
	request->deadline_in_us = from->deadline_in_us;
	request->priority = from->priority;
	request->prompt_tokens = from->prompt_tokens;
	request->max_tokens = from->max_tokens;
	request->prefix_hash = from->prefix_hash;
	request->true_tokens = from->true_tokens;
	caller->origin = world_attempt_ref(attempt);
	g_array_index(world->root_calls, uint64_t, caller->call) =
		g_array_index(world->root_calls, uint64_t, attempt->call);
	delivery->type = EVENT_CALL;
	delivery->request = request;
	caller_connect(world, caller, delivery);
	return caller->call;
}

/* Closes the connection of a caller, which receives nothing more. */
void world_caller_close(struct world *world, uint64_t call)
{
	struct world_caller *caller = world_find_caller(world, call);
	int32_t node;

	if (!caller)
		return;
	node = caller->node;
	g_hash_table_steal(world->callers, &call);
	/* The connection has ended with the process that accepted it. */
	if (caller->incarnation != world->nodes[node].incarnation ||
	    !world->nodes[node].node) {
		world_caller_destroy(caller);
		return;
	}
	world_post_node(world, world->now_us + caller_delay_us(world, caller),
			node, call_close_arrive, caller, world_caller_destroy);
}

/* Closes a call from the caller's side; a call that has ended is ignored. */
void world_close_call(struct world *world, uint64_t call)
{
	world_caller_close(world, call);
}

/* Notifies the node that the caller reads too slowly (full) or keeps up. */
void world_set_call_flow(struct world *world, uint64_t call, bool full)
{
	struct world_caller *caller = world_find_caller(world, call);
	struct call_delivery *delivery;

	if (!caller || !world->nodes[caller->node].node ||
	    caller->incarnation != world->nodes[caller->node].incarnation)
		return;
	delivery = g_new0(struct call_delivery, 1);
	delivery->type = EVENT_CALL_FLOW;
	delivery->full = full;
	caller_connect(world, caller, delivery);
}

static char *refusal_json(enum refusal refusal, enum run run)
{
	return g_strdup_printf("{\"error\":{\"code\":\"%s\",\"run\":\"%s\"}}",
			       refusal_code(refusal), run_name(run));
}

static void forwarded_answer(struct world *world, struct world_caller *caller,
			     int32_t status, const char *content_type,
			     GBytes *body)
{
	uint64_t call = caller->call;

	world_attempt_answer(world, caller->origin, status, content_type, body);
	g_hash_table_remove(world->callers, &call);
}

static void forwarded_text(struct world *world, struct world_caller *caller,
			   int32_t status, const char *content_type, char *text)
{
	GBytes *body = g_bytes_new_take(text, strlen(text));

	forwarded_answer(world, caller, status, content_type, body);
	g_bytes_unref(body);
}

/*
 * Collects an answer for the node that forwarded the call. The body is sent
 * once it is complete; that of a stream consists of the chunks followed by
 * [DONE] or by the error.
 */
static void forwarded_collect(struct world *world, struct world_caller *caller,
			      const struct action *action)
{
	gsize size;
	const char *bytes;
	char *text;

	switch (action->type) {
	case ACTION_CALL_ANSWER:
		forwarded_answer(world, caller, action->answer.status,
				 action->answer.content_type,
				 action->answer.body);
		break;
	case ACTION_CALL_REFUSE:
		forwarded_text(world, caller,
			       refusal_http_status(action->refuse.refusal),
			       "application/json",
			       refusal_json(action->refuse.refusal,
					    action->refuse.run));
		break;
	case ACTION_CALL_CHUNK:
		bytes = g_bytes_get_data(action->chunk.data, &size);
		if (!caller->forwarded)
			caller->forwarded = g_string_new(NULL);
		g_string_append_len(caller->forwarded, bytes, (gssize)size);
		break;
	case ACTION_CALL_END:
		text = action->end.refusal == REFUSAL_NONE
			       ? g_strdup("[DONE]")
			       : refusal_json(action->end.refusal,
					      action->end.run);
		if (caller->forwarded)
			g_string_append(caller->forwarded, text);
		else
			caller->forwarded = g_string_new(text);
		g_free(text);
		forwarded_text(world, caller, 200, "text/event-stream",
			       g_strdup(caller->forwarded->str));
		break;
	default:
		break;
	}
}

static bool action_ends_call(const struct action *action)
{
	return action->type == ACTION_CALL_ANSWER ||
	       action->type == ACTION_CALL_REFUSE ||
	       action->type == ACTION_CALL_END;
}

static void caller_receive(struct world *world, void *data)
{
	const uint64_t *call = data;
	struct world_caller *caller = world_find_caller(world, *call);
	struct action_list *list;
	const struct action *action;

	if (!caller)
		return;
	list = g_queue_pop_head(&caller->answers);
	action = action_list_get(list, 0);
	if (caller->origin) {
		forwarded_collect(world, caller, action);
	} else {
		if (action_ends_call(action))
			g_hash_table_remove(world->callers, call);
		if (world->listener.answered)
			world->listener.answered(world->listener.data, *call,
						 action);
	}
	action_list_destroy(list);
}

static uint64_t action_call(const struct action *action)
{
	switch (action->type) {
	case ACTION_CALL_ANSWER:
		return action->answer.call;
	case ACTION_CALL_REFUSE:
		return action->refuse.call;
	case ACTION_CALL_BEGIN:
		return action->call_begin;
	case ACTION_CALL_CHUNK:
		return action->chunk.call;
	case ACTION_CALL_END:
		return action->end.call;
	default:
		return 0;
	}
}

/* Takes the answer out of a node's action; the caller gets answers in order. */
void world_caller_answer(struct world *world, struct action *action)
{
	struct world_caller *caller =
		world_find_caller(world, action_call(action));
	struct action_list *list;

	if (!caller)
		return;
	list = action_list_create();
	*action_list_add(list, action->type) = *action;
	action->type = ACTION_STOPPED; /* owns nothing any more */
	g_queue_push_tail(&caller->answers, list);
	world_post(world, world->now_us + caller_delay_us(world, caller),
		   caller_receive,
		   g_memdup2(&caller->call, sizeof(caller->call)), g_free);
}
