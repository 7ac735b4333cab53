#include "adapters/gateway/answer_excess.h"
#include "adapters/gateway/exchange_state.h"

/*
 * Moves a generation without a backup off a leaving engine. The engine copies
 * the generation's memory to a target engine while the generation runs. Once
 * the copy is complete, the target continues from it and processes the few
 * tokens that are newer. Stopping the run and copying the rest as well would
 * save that processing, but the second copy would queue behind all others on
 * the link, and the caller would wait for it.
 */

#define STATUS_OK 200

/*
 * Counts the copy at its target from the start of the move. All generations of
 * one engine leave together; without the count they would all select the same
 * target and queue on its link until their engine is gone.
 */
static void move_count_load(struct exchange *exchange, int32_t sign)
{
	struct endpoint *target = registry_find(exchange->gateway->registry,
						exchange->move.target_id);

	if (!target)
		return;
	target->own.copies += sign;
	target->own.tokens += sign * exchange->move.tokens;
	exchange->gateway->announce_pending = true;
	exchange->gateway->home_announce_pending = true;
}

/* Gives up a copy; the next step tries another target. */
void exchange_move_fail(struct exchange *exchange, const char *reason)
{
	const struct endpoint *target = registry_find(
		exchange->gateway->registry, exchange->move.target_id);
	char held[24] = "", status[16];

	if (target)
		g_snprintf(held, sizeof(held), "%" G_GINT64_FORMAT,
			   endpoint_total_load(target).tokens);
	g_snprintf(status, sizeof(status), "%d", exchange->move.status);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "move_failed",
		  "request", exchange->parsed_request.id, "from",
		  exchange->leg->endpoint_id, "to", exchange->move.target_id,
		  "held_tokens", held, "status", status, "reason", reason,
		  NULL);
	g_ptr_array_add(exchange->avoided_ids,
			g_strdup(exchange->move.target_id));
	exchange_move_clear(exchange);
	exchange->move.since_us = exchange->gateway->now_us;
	exchange->move.failures++;
}

/* Returns the engine that has the complete copy and still serves, or NULL. */
struct endpoint *exchange_move_target(const struct exchange *exchange)
{
	const struct move *move = &exchange->move;
	struct gateway *gateway = exchange->gateway;
	struct endpoint *target;

	if (move->state != COPY_COMPLETE)
		return NULL;
	target = registry_find(gateway->registry, move->target_id);
	if (!target || !endpoint_is_same_start(target, move->target_known_us) ||
	    !gateway_losses_is_current(gateway, target, &move->target_start))
		return NULL;
	return target;
}

/*
 * Asks the engine that has the complete copy to continue the run. If it may not
 * be asked now, the copy stays there, and the next step asks again.
 */
void exchange_move_continue(struct exchange *exchange)
{
	struct endpoint *target = exchange_move_target(exchange);
	char *source, *handle;

	exchange->is_granted = exchange->move.is_granted;
	if (!exchange_may_hand_over(exchange, target)) {
		exchange->is_granted = false;
		return;
	}
	source = g_strdup(exchange->leg->endpoint_address);
	handle = g_steal_pointer(&exchange->move.handle);
	counters_add(exchange->gateway->options.counters, COUNTER_GATEWAY_MOVES,
		     1);
	exchange_move_clear(exchange);
	exchange->move.state = COPY_GIVEN_UP; /* one move per leg */
	exchange_hand_over(exchange, target, source, handle, "copied");
	g_free(source);
	g_free(handle);
}

static void on_head(void *data, const struct http_head *head)
{
	((struct exchange *)data)->move.status = head->status;
}

/* Gives up a copy whose answer may never end. */
static void move_fail_too_large(struct exchange *exchange, size_t size)
{
	const struct answer_excess excess = {
		.call = "move",
		.request = exchange->parsed_request.id,
		.peer_kind = "endpoint",
		.peer = exchange->leg->endpoint_id,
		.bytes = (int64_t)(exchange->move.body->len + size),
		.limit = MAX_OWN_ANSWER_BYTES,
	};

	answer_excess_report(&excess, exchange->gateway->log,
			     exchange->gateway->options.counters);
	exchange_move_fail(exchange, "answer too large");
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct exchange *exchange = data;

	if (exchange->move.body->len + size > MAX_OWN_ANSWER_BYTES) {
		move_fail_too_large(exchange, size);
		return;
	}
	g_byte_array_append(exchange->move.body, (const guint8 *)bytes,
			    (guint)size);
}

static void move_accept_copy(struct exchange *exchange, char *handle)
{
	struct move *move = &exchange->move;

	attempt_destroy(g_steal_pointer(&move->call));
	move->state = COPY_COMPLETE;
	move->handle = handle;
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "move_whole",
		  "request", exchange->parsed_request.id, "from",
		  exchange->leg->endpoint_id, "to", move->target_id, NULL);
}

static void on_complete(void *data)
{
	struct exchange *exchange = data;
	struct move_answer answer = {NULL};
	GBytes *body = g_bytes_new(exchange->move.body->data,
				   exchange->move.body->len);

	exchange->gateway->now_us = gateway_now_us();
	if (exchange->move.status != STATUS_OK)
		exchange_move_fail(exchange, "refused");
	else if (exchange->gateway->dialect->read_move_answer(body, &answer))
		move_accept_copy(exchange, answer.handle);
	else
		exchange_move_fail(exchange, "unreadable");
	g_bytes_unref(body);
}

static void on_failed(void *data, const struct error *error)
{
	exchange_move_fail(data, error->detail);
}

static const struct attempt_events move_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

static void log_begun(const struct exchange *exchange)
{
	char tokens[24];

	g_snprintf(tokens, sizeof(tokens), "%" G_GINT64_FORMAT,
		   exchange->move.tokens);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "move_begun",
		  "request", exchange->parsed_request.id, "from",
		  exchange->leg->endpoint_id, "to", exchange->move.target_id,
		  "tokens", tokens, NULL);
}

static void move_send(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct move *move = &exchange->move;
	struct attempt_options options = {
		.address = exchange->leg->endpoint_address,
		.request = g_string_new(NULL),
		.now_us = gateway->now_us,
	};
	struct error error;

	gateway->dialect->write_move_request(
		options.address, exchange->parsed_request.id,
		move->target_address, options.request);
	attempt_destroy(g_steal_pointer(&move->call));
	move->state = COPY_IN_PROGRESS;
	move->since_us = gateway->now_us;
	move->status = 0;
	g_byte_array_set_size(move->body, 0);
	log_begun(exchange);
	move->call = attempt_start(&options, &move_events, exchange, &error);
	if (!move->call)
		exchange_move_fail(exchange, error.detail);
}

/* Starts to copy the generation to the target. */
static void move_start(struct exchange *exchange, struct endpoint *target)
{
	struct move *move = &exchange->move;

	move->target_id = g_strdup(target->last_registration->id);
	move->target_address = g_strdup(target->last_registration->address);
	move->target_start = gateway_losses_start(exchange->gateway, target);
	move->target_known_us = target->known_us;
	move->body = g_byte_array_new();
	move->tokens = exchange->leg->tokens;
	move_count_load(exchange, 1);
	move_send(exchange);
}

/* Starts to copy to the engine that this node selects, if any has capacity. */
static void move_start_local_choice(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct endpoint_criteria criteria;
	struct endpoint *target;

	exchange_fill_criteria(exchange, &criteria);
	criteria.avoid_id = exchange->leg->endpoint_id;
	criteria.failure_domain =
		leg_endpoint(exchange->leg)->last_registration->failure_domain;
	criteria.other_domain_weight = MOVE_OTHER_DOMAIN_WEIGHT;
	target = endpoint_choose_for_move(gateway->registry, &criteria);
	if (target)
		move_start(exchange, target);
}

/*
 * Starts to move the generation: to the engine that the home selects, or that
 * this node does if there is no home or it does not answer. Called again while
 * the answer is awaited. Engines of many nodes leave at the same moment, and
 * each node by itself would select the same target.
 */
void exchange_move_begin(struct exchange *exchange)
{
	struct move *move = &exchange->move;

	if (move->home_request.number) {
		if (exchange_home_timed_out(exchange, &move->home_request))
			move_start_local_choice(exchange);
		return;
	}
	if (!exchange_request_move_target(exchange))
		move_start_local_choice(exchange);
}

/*
 * Starts to copy to the engine that the home selected. If it has none, or this
 * node may not use it, the home is asked again after the delay between copies.
 */
void exchange_move_apply_target(struct exchange *exchange,
				const char *endpoint_id)
{
	struct gateway *gateway = exchange->gateway;
	struct endpoint *target = registry_find(gateway->registry, endpoint_id);

	if (!exchange->leg || exchange->next ||
	    exchange->move.state != COPY_NONE)
		return;
	gateway->now_us = gateway_now_us();
	exchange->move.since_us = gateway->now_us;
	if (!target || !endpoint_is_usable(target) ||
	    endpoint_rest_is_on(&target->rest, gateway->now_us))
		return;
	exchange->move.is_granted = true;
	move_start(exchange, target);
}

/* Resets the move: closes its call and uncounts the copy at the target. */
void exchange_move_clear(struct exchange *exchange)
{
	struct move *move = &exchange->move;

	exchange_cancel_home_request(exchange, &move->home_request);
	attempt_destroy(g_steal_pointer(&move->call));
	if (move->target_id)
		move_count_load(exchange, -1);
	g_clear_pointer(&move->body, g_byte_array_unref);
	g_clear_pointer(&move->target_id, g_free);
	g_clear_pointer(&move->target_address, g_free);
	g_clear_pointer(&move->handle, g_free);
	move->state = COPY_NONE;
	move->tokens = 0;
	move->is_granted = false;
}
