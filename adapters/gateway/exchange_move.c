#include "adapters/gateway/exchange_state.h"

/*
 * A generation whose engine leaves and of which no copy is kept: its engine
 * copies its memory to another one while it runs on, then stops and copies
 * the little that is new, and the request goes on there. The caller sees the
 * second copy as a pause, the first one not at all.
 */

/* A copy of 3,500 tokens takes 0.2 s, twice that between failure domains. */
#define MOVE_TIMEOUT_US (2 * G_USEC_PER_SEC)

#define STATUS_OK 200

static void move_send(struct exchange *exchange, enum move_state state);

static void move_fail(struct exchange *exchange, const char *reason)
{
	bool was_stopping = exchange->move_state == MOVE_STOPPING;

	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "move_failed",
		  "request", exchange->asked.id, "from", exchange->endpoint_id,
		  "to", exchange->move_target_id, "reason", reason, NULL);
	exchange_move_clear(exchange);
	exchange->move_state = MOVE_FAILED;
	if (was_stopping)
		exchange_fail_attempt(exchange, RESULT_BROKEN, reason);
}

static void move_go_on(struct exchange *exchange, const char *handle)
{
	struct gateway *gateway = exchange->gateway;
	struct endpoint *target =
		registry_find(gateway->registry, exchange->move_target_id);
	char *source = g_strdup(exchange->endpoint_address);
	char *name = g_strdup(handle);

	if (!target || !endpoint_is_usable(target) ||
	    !retry_budget_take(
		    gateway_budget(gateway, exchange->service_name))) {
		move_fail(exchange, "no_target");
	} else {
		log_write(gateway->log, LOG_LEVEL_INFO, "run_moved", "request",
			  exchange->asked.id, "from", exchange->endpoint_id,
			  "to", exchange->move_target_id, NULL);
		counters_add(gateway->options.counters, COUNTER_GATEWAY_MOVES,
			     1);
		g_ptr_array_add(exchange->tried,
				g_strdup(exchange->endpoint_id));
		exchange_drop_attempt(exchange);
		if (exchange->events)
			event_scanner_reset(exchange->events);
		exchange->take_overs++;
		exchange_send(exchange, target, source, name);
	}
	g_free(source);
	g_free(name);
}

static void on_head(void *data, const struct http_head *head)
{
	((struct exchange *)data)->move_status = head->status;
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct exchange *exchange = data;

	g_byte_array_append(exchange->move_body, (const guint8 *)bytes,
			    (guint)size);
}

static void on_whole(void *data)
{
	struct exchange *exchange = data;
	struct move_answer answer = {NULL, 0};
	GBytes *body = g_bytes_new(exchange->move_body->data,
				   exchange->move_body->len);

	if (exchange->move_status != STATUS_OK)
		move_fail(exchange, "refused");
	else if (exchange->move_state == MOVE_COPYING)
		move_send(exchange, MOVE_STOPPING);
	else if (exchange->gateway->dialect->read_move(body, &answer))
		move_go_on(exchange, answer.handle);
	else
		move_fail(exchange, "unreadable");
	g_free(answer.handle);
	g_bytes_unref(body);
}

static void on_failed(void *data, const struct error *error)
{
	move_fail(data, error->detail);
}

static const struct attempt_events move_events = {
	.head = on_head,
	.body = on_body,
	.whole = on_whole,
	.failed = on_failed,
};

static void move_send(struct exchange *exchange, enum move_state state)
{
	struct gateway *gateway = exchange->gateway;
	struct attempt_options options = {
		.address = exchange->endpoint_address,
		.request = g_string_new(NULL),
		.now_us = gateway->now_us,
	};
	struct error error;

	gateway->dialect->write_move(exchange->endpoint_address,
				     exchange->asked.id,
				     exchange->move_target_address,
				     state == MOVE_STOPPING, options.request);
	attempt_destroy(g_steal_pointer(&exchange->move));
	exchange->move_state = state;
	exchange->move_status = 0;
	g_byte_array_set_size(exchange->move_body, 0);
	exchange->move =
		attempt_start(&options, &move_events, exchange, &error);
	if (!exchange->move)
		move_fail(exchange, error.detail);
}

static bool move_is_wanted(const struct exchange *exchange)
{
	const struct endpoint *endpoint = exchange_endpoint(exchange);

	return exchange->move_state == MOVE_NONE &&
	       exchange->service->engine.can_move && exchange->heard_us &&
	       endpoint && !endpoint_is_usable(endpoint);
}

/* Begins to move a generation whose engine leaves, or gives a move up. */
void exchange_move_step(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct endpoint_wish wish;
	struct endpoint *target;

	if (exchange->move &&
	    gateway->now_us - exchange->heard_us > MOVE_TIMEOUT_US) {
		move_fail(exchange, "timeout");
		return;
	}
	if (!move_is_wanted(exchange))
		return;
	exchange_wish(exchange, &wish);
	target = endpoint_choose(gateway->registry, &wish);
	if (!target)
		return;
	exchange->move_target_id = g_strdup(target->said->id);
	exchange->move_target_address = g_strdup(target->said->address);
	exchange->move_body = g_byte_array_new();
	move_send(exchange, MOVE_COPYING);
}

/* Forgets a move; its call, if any, is closed. */
void exchange_move_clear(struct exchange *exchange)
{
	attempt_destroy(g_steal_pointer(&exchange->move));
	g_clear_pointer(&exchange->move_body, g_byte_array_unref);
	g_clear_pointer(&exchange->move_target_id, g_free);
	g_clear_pointer(&exchange->move_target_address, g_free);
	exchange->move_state = MOVE_NONE;
}

/*
 * The engine has closed the stream because it was told to stop: that is not
 * the end of the answer. True: the answer to the move says how it goes on.
 */
bool exchange_move_ended(struct exchange *exchange)
{
	return exchange->move_state == MOVE_STOPPING;
}
