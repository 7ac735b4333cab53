#include "adapters/gateway/exchange_state.h"

#include <inttypes.h>
#include <string.h>

/*
 * Moves a generation off an engine that leaves or is silent. Without a backup,
 * the engine copies the generation's memory to a target engine while the
 * generation runs. Then it stops the run, at a second call, and the engine with
 * the copy or the backup continues it and processes the few tokens that are
 * newer. The second call copies these as well, behind all other copies on the
 * link, so nothing waits for that: the stream's end tells that the run has
 * stopped. What the call leaves behind is for the case that the other engine
 * refuses.
 */

/*
 * A run returns to the engine that has stopped it only this long after the
 * engine's notice, since a leaving engine gets no request after a while.
 */
#define RETURN_UNTIL_US (1500 * 1000)

/* Other engines that refuse a run before it stays at its own. */
#define MAX_RETURNS 2

/* Delay before an engine that did not stop a run is asked again. */
#define STOP_AGAIN_US (120 * 1000)

/* Time for an answer before the engine is asked over another connection. */
#define STOP_PATIENCE_US (3 * G_USEC_PER_SEC)

/* How long engines keep a stopped run where the service does not state it. */
#define DEFAULT_KEEP_US (4 * G_USEC_PER_SEC)

/* An engine counts its rest by its own clock, from before its answer. */
#define REST_MARGIN_US (50 * 1000)

static const struct stop_calls_events stop_events;

static void handover_act(struct exchange *exchange, enum run_stop_action action,
			 const char *told_by);

static struct stop_calls *take_stop_calls(struct exchange *exchange)
{
	struct handover *handover = &exchange->handover;

	if (!handover->calls)
		handover->calls = stop_calls_create(&stop_events, exchange);
	return handover->calls;
}

/* What is known of the calls to an engine; NULL: it was sent none. */
static struct run_end *find_run_end(const struct exchange *exchange,
				    const char *endpoint_id)
{
	const struct stop_calls *calls = exchange->handover.calls;

	return calls && endpoint_id ? stop_calls_find_end(calls, endpoint_id)
				    : NULL;
}

/* How the run at an engine has ended, as its stream was closed. */
static enum run_end_verdict run_verdict(const struct exchange *exchange,
					const char *endpoint_id)
{
	const struct run_end *end = find_run_end(exchange, endpoint_id);
	int64_t received = exchange->last_event < 0 ? G_MAXINT64
						    : exchange->last_event + 1;

	return end ? run_end_decide(end, received) : RUN_END_WHOLE;
}

/* Whether a call may have stopped the leg's run, or may still do so. */
bool exchange_may_be_stopped(const struct exchange *exchange)
{
	const struct run_end *end =
		find_run_end(exchange, exchange->leg->endpoint_id);

	return end && run_end_may_be_stopped(end);
}

/*
 * Whether the stop of the leg's run may have ended its stream: an engine that
 * takes calls was sent one, or the connection was closed for sending.
 */
bool exchange_stop_may_end(const struct exchange *exchange)
{
	const struct handover *handover = &exchange->handover;

	return handover->stop.state == RUN_STOP_CLOSING ||
	       (handover->calls &&
		stop_calls_may_have_stopped(handover->calls,
					    exchange->leg->endpoint_id));
}

/* Notes that events of the leg's run have arrived. */
void exchange_note_events(struct exchange *exchange)
{
	struct run_end *end =
		find_run_end(exchange, exchange->leg->endpoint_id);

	run_stop_note_event(&exchange->handover.stop);
	if (end)
		run_end_note_event(end, exchange->gateway->now_us);
}

/* Notes that the leg's engine gets a run that it may have had before. */
void exchange_begin_run(struct exchange *exchange)
{
	struct run_end *end =
		find_run_end(exchange, exchange->leg->endpoint_id);

	if (end)
		run_end_note_run(end);
}

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
	char held[24] = "";

	if (target)
		g_snprintf(held, sizeof(held), "%" G_GINT64_FORMAT,
			   endpoint_total_load(target).tokens);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "move_failed",
		  "request", exchange->parsed_request.id, "from",
		  exchange->leg->endpoint_id, "to", exchange->move.target_id,
		  "held_tokens", held, "reason", reason, NULL);
	g_ptr_array_add(exchange->avoided_ids,
			g_strdup(exchange->move.target_id));
	exchange_move_clear(exchange);
	exchange->move.since_us = exchange->gateway->now_us;
	exchange->move.failures++;
}

/* The engine that has the complete copy, whether or not it serves; or NULL. */
static struct endpoint *copy_engine(const struct exchange *exchange)
{
	const struct move *move = &exchange->move;
	struct endpoint *target;

	if (move->state != COPY_COMPLETE)
		return NULL;
	target = registry_find(exchange->gateway->registry, move->target_id);
	return target && known_start_may_live(&move->target_start, target)
		       ? target
		       : NULL;
}

/* Returns the engine that has the complete copy and still serves, or NULL. */
struct endpoint *exchange_move_target(const struct exchange *exchange)
{
	struct endpoint *target = copy_engine(exchange);

	return target && endpoint_is_usable(target) ? target : NULL;
}

static void move_accept_copy(struct exchange *exchange, const char *handle)
{
	struct move *move = &exchange->move;

	copy_call_destroy(g_steal_pointer(&move->call));
	move->state = COPY_COMPLETE;
	move->handle = g_strdup(handle);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "move_whole",
		  "request", exchange->parsed_request.id, "from",
		  exchange->leg->endpoint_id, "to", move->target_id, NULL);
}

static void on_copied(void *data, const struct copy_answer *answer)
{
	struct exchange *exchange = data;

	exchange->gateway->now_us = gateway_now_us();
	run_end_note_created(stop_calls_take_end(take_stop_calls(exchange),
						 exchange->leg->endpoint_id),
			     answer->created);
	if (answer->result == COPY_RESULT_COPIED)
		move_accept_copy(exchange, answer->handle);
	else
		exchange_move_fail(exchange, answer->detail);
}

static const struct copy_call_events move_events = {.done = on_copied};

/* A call to the leg's engine to copy its run to another one. */
static struct copy_call_options call_options(const struct exchange *exchange,
					     const char *target_address,
					     bool is_last)
{
	struct gateway *gateway = exchange->gateway;

	return (struct copy_call_options){
		.dialect = gateway->dialect,
		.endpoint_id = exchange->leg->endpoint_id,
		.address = exchange->leg->endpoint_address,
		.request_id = exchange->parsed_request.id,
		.target_address = target_address,
		.is_last = is_last,
		.now_us = gateway->now_us,
		.log = gateway->log,
		.counters = gateway->options.counters,
	};
}

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
	struct move *move = &exchange->move;
	const struct copy_call_options options =
		call_options(exchange, move->target_address, false);
	struct error error;

	move->state = COPY_IN_PROGRESS;
	move->since_us = exchange->gateway->now_us;
	log_begun(exchange);
	move->call = copy_call_start(&options, &move_events, exchange, &error);
	if (!move->call)
		exchange_move_fail(exchange, error.detail);
}

/* Starts to copy the generation to the target. */
static void move_start(struct exchange *exchange, struct endpoint *target)
{
	struct move *move = &exchange->move;

	move->target_id = g_strdup(target->last_registration->id);
	move->target_address = g_strdup(target->last_registration->address);
	move->target_start =
		known_start_read(target, exchange->gateway->quarantine);
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

	if (!exchange->leg || exchange_is_stopping(exchange) ||
	    exchange->move.state != COPY_NONE)
		return;
	gateway->now_us = gateway_now_us();
	exchange->move.since_us = gateway->now_us;
	if (!target || !endpoint_serves(target, exchange->service_name) ||
	    !endpoint_is_usable(target) ||
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
	copy_call_destroy(g_steal_pointer(&move->call));
	if (move->target_id)
		move_count_load(exchange, -1);
	g_clear_pointer(&move->target_id, g_free);
	g_clear_pointer(&move->target_address, g_free);
	g_clear_pointer(&move->handle, g_free);
	move->state = COPY_NONE;
	move->tokens = 0;
	move->is_granted = false;
}

static void kept_run_clear(struct kept_run *kept)
{
	g_free(kept->last_copy.endpoint_id);
	g_free(kept->endpoint_id);
	g_free(kept->endpoint_address);
	g_free(kept->handle);
	*kept = (struct kept_run){0};
}

/* Ends a hand-over, and forgets what the engine before keeps of the run. */
void handover_clear(struct handover *handover)
{
	stop_calls_destroy(handover->calls);
	attempt_destroy(handover->free_call);
	kept_run_clear(&handover->kept);
	*handover = (struct handover){0};
}

/* Whether the copy is freed or not: it ends by itself after a while. */
static void on_free_ended(void *data)
{
	struct exchange *exchange = data;

	attempt_destroy(g_steal_pointer(&exchange->handover.free_call));
}

static void on_free_failed(void *data, const struct error *error)
{
	(void)error;
	on_free_ended(data);
}

static void on_free_head(void *data, const struct http_head *head)
{
	(void)data;
	(void)head;
}

static const struct attempt_events free_events = {
	.head = on_free_head,
	.complete = on_free_ended,
	.failed = on_free_failed,
};

/* Whether the start of the engine that keeps the run is still the current one.
 */
static bool kept_start_is_current(const struct exchange *exchange)
{
	const struct kept_run *kept = &exchange->handover.kept;
	const struct endpoint *endpoint =
		registry_find(exchange->gateway->registry, kept->endpoint_id);

	return endpoint &&
	       known_start_is_current(&kept->start, endpoint,
				      exchange->gateway->quarantine);
}

/*
 * Frees what the engine before keeps of a run that has gone on elsewhere.
 * Another start of it keeps nothing of the run, and may have given the handle
 * to a copy of another one.
 */
static void handover_free_kept(struct exchange *exchange)
{
	struct kept_run *kept = &exchange->handover.kept;
	struct attempt_options options = {
		.address = kept->endpoint_address,
		.now_us = exchange->gateway->now_us,
	};
	struct error error;

	if (!kept_start_is_current(exchange)) {
		kept_run_clear(kept);
		return;
	}
	options.request = g_string_new(NULL);
	exchange->gateway->dialect->write_free_request(
		kept->endpoint_address, kept->handle, options.request);
	attempt_destroy(g_steal_pointer(&exchange->handover.free_call));
	exchange->handover.free_call =
		attempt_start(&options, &free_events, exchange, &error);
	kept_run_clear(kept);
}

/*
 * The run goes on at the leg's engine. What the one before keeps takes memory
 * of two engines, and is freed; its call may not have named it yet.
 */
void exchange_end_handover(struct exchange *exchange)
{
	struct handover *handover = &exchange->handover;

	handover->stop.state = RUN_STOP_NONE;
	handover->is_in_doubt = false;
	if (!handover->kept.endpoint_id)
		return;
	if (strcmp(handover->kept.endpoint_id, exchange->leg->endpoint_id) == 0)
		kept_run_clear(&handover->kept);
	else if (handover->kept.handle)
		handover_free_kept(exchange);
}

/* Whether the leg's engine was asked to stop the run, and may not have yet. */
bool exchange_is_stopping(const struct exchange *exchange)
{
	return run_stop_is_pending(&exchange->handover.stop);
}

/* Whether the run is neither known to go on at the leg's engine, nor ended. */
bool exchange_is_handed_over(const struct exchange *exchange)
{
	return exchange_is_stopping(exchange) ||
	       exchange->handover.waits_for_handle;
}

/*
 * Whether an engine that has part of a stopped run may be asked to go on with
 * it. Under notice, or without its entry, it may be for a while: it serves on,
 * and the run has not gone on anywhere else.
 */
static bool may_take_back(const struct exchange *exchange,
			  const struct endpoint *endpoint)
{
	return !endpoint->is_cordoned &&
	       endpoint_under_notice_us(endpoint, exchange->gateway->now_us) <=
		       RETURN_UNTIL_US;
}

/*
 * Returns the engine that has the complete copy and may be asked for it, also
 * under notice; or NULL.
 */
struct endpoint *exchange_copy_at(const struct exchange *exchange)
{
	struct endpoint *target = copy_engine(exchange);

	return target && may_take_back(exchange, target) ? target : NULL;
}

/*
 * Returns the engine that may have the leg's backup, whether or not it serves;
 * or NULL. It says if it has none.
 */
struct endpoint *exchange_backup_engine(const struct exchange *exchange)
{
	const struct leg *leg = exchange->leg;
	struct endpoint *backup = leg_backup(leg);

	return backup && known_start_may_live(&leg->backup_start, backup)
		       ? backup
		       : NULL;
}

/* Returns that engine if it may be asked, also under notice; or NULL. */
struct endpoint *exchange_backup_at(const struct exchange *exchange)
{
	struct endpoint *backup = exchange_backup_engine(exchange);

	return backup && may_take_back(exchange, backup) ? backup : NULL;
}

/*
 * Returns the engine that keeps the run and may be asked again, or NULL. A
 * start that has ended keeps nothing.
 */
struct endpoint *exchange_kept_at(const struct exchange *exchange)
{
	const struct kept_run *kept = &exchange->handover.kept;
	struct gateway *gateway = exchange->gateway;
	struct endpoint *endpoint;

	if (!kept->endpoint_id)
		return NULL;
	endpoint = registry_find(gateway->registry, kept->endpoint_id);
	if (!kept_start_is_current(exchange) ||
	    !may_take_back(exchange, endpoint))
		return NULL;
	return endpoint;
}

/* The engine that is to get the last copy of the run, if it may be asked. */
static struct endpoint *last_copy_engine(const struct exchange *exchange)
{
	const struct last_copy *copy = &exchange->handover.kept.last_copy;
	struct gateway *gateway = exchange->gateway;
	struct endpoint *endpoint;

	if (!copy->endpoint_id)
		return NULL;
	endpoint = registry_find(gateway->registry, copy->endpoint_id);
	if (!endpoint || !may_take_back(exchange, endpoint) ||
	    !endpoint_serves(endpoint, exchange->service_name) ||
	    !known_start_may_live(&copy->start, endpoint))
		return NULL;
	return endpoint;
}

/*
 * Returns the engine that has got the last copy of the run and may be asked for
 * it, or NULL. It may have refused the copy before, which was another one.
 */
struct endpoint *exchange_last_copy_at(const struct exchange *exchange)
{
	return exchange->handover.kept.last_copy.is_complete
		       ? last_copy_engine(exchange)
		       : NULL;
}

/*
 * Whether what an engine keeps of the run is of use: the engine before, to a
 * leg that has not continued it, or the leg's own one, which has stopped it. A
 * leg that has returned there has used it, unless it was turned away in a rest.
 */
bool exchange_needs_kept(const struct exchange *exchange)
{
	const struct leg *leg = exchange->leg;
	const struct kept_run *kept = &exchange->handover.kept;
	bool is_unbegun = leg->is_takeover && !leg->has_continued;

	if (!kept->endpoint_id)
		return false;
	if (strcmp(kept->endpoint_id, leg->endpoint_id) != 0)
		return is_unbegun;
	return !is_unbegun || kept->was_turned_away;
}

/* When an engine was sent the newest call that it has not answered; 0: none. */
static int64_t stop_asked_us(const struct exchange *exchange,
			     const char *endpoint_id)
{
	const struct stop_calls *calls = exchange->handover.calls;

	return calls && endpoint_id ? stop_calls_started_us(calls, endpoint_id)
				    : 0;
}

/*
 * Whether the leg's engine may be asked to stop the run now. A run that
 * returned to it twice stays there to the engine's end.
 */
bool exchange_may_stop(const struct exchange *exchange)
{
	int64_t now_us = exchange->gateway->now_us;
	int64_t asked_us = stop_asked_us(exchange, exchange->leg->endpoint_id);

	return now_us >= exchange->handover.again_us &&
	       (!asked_us || now_us - asked_us > STOP_PATIENCE_US) &&
	       exchange->handover.returns < MAX_RETURNS;
}

/* Whether an engine may still name what it keeps of the run. */
bool exchange_may_return(const struct exchange *exchange)
{
	return exchange_needs_kept(exchange) &&
	       stop_asked_us(exchange, exchange->handover.kept.endpoint_id) &&
	       (exchange_kept_at(exchange) || last_copy_engine(exchange));
}

/* Until when engines keep what is left of the run. */
static int64_t kept_until_us(const struct exchange *exchange)
{
	int64_t keep_us = exchange->service->engine.copy_keep_us;

	return exchange->handover.kept.stopped_us +
	       (keep_us > 0 ? keep_us : DEFAULT_KEEP_US);
}

/*
 * Whether the endpoint wants no request until a time at which engines still
 * keep what is left of the run. The endpoint may be NULL.
 */
bool exchange_rest_is_brief(const struct exchange *exchange,
			    const struct endpoint *endpoint)
{
	int64_t until_us =
		endpoint ? endpoint->rest.until_us + REST_MARGIN_US : 0;

	return exchange->gateway->now_us < until_us &&
	       until_us < kept_until_us(exchange);
}

/*
 * Whether an engine that keeps a stopped run wants no request, and may be asked
 * before it forgets the run.
 */
bool exchange_kept_rests(const struct exchange *exchange)
{
	return exchange_is_generation(exchange) && exchange->leg &&
	       exchange->handover.kept.handle &&
	       exchange_needs_kept(exchange) &&
	       (exchange_rest_is_brief(exchange, exchange_kept_at(exchange)) ||
		exchange_rest_is_brief(exchange,
				       exchange_last_copy_at(exchange)));
}

/*
 * When the leg's engine last sent an event to another request that it has a
 * connection with; -1: there is none.
 */
static int64_t other_received_us(const struct exchange *exchange)
{
	const struct leg *leg = exchange->leg;
	int64_t received_us = -1;
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, exchange->gateway->exchanges);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct leg *other = ((const struct exchange *)key)->leg;

		if (other && other != leg && other->attempt &&
		    attempt_is_open(other->attempt) &&
		    other->known_us == leg->known_us &&
		    strcmp(other->endpoint_id, leg->endpoint_id) == 0)
			received_us = MAX(received_us, other->last_received_us);
	}
	return received_us;
}

/*
 * The engine's port refuses connections. A process that ends closes all of its
 * connections, while one that takes no more of them works on.
 */
static enum run_stop_event refused_event(struct exchange *exchange)
{
	struct run_stop *stop = &exchange->handover.stop;
	int64_t received_us = exchange->leg ? other_received_us(exchange) : -1;

	if (received_us < 0)
		return RUN_STOP_NO_ENGINE;
	if (received_us > stop->begun_us)
		run_stop_note_reached(stop);
	return RUN_STOP_NOT_ASKED;
}

/* What the end of a call tells of the run at the engine that was asked. */
static enum run_stop_event stop_event(struct exchange *exchange,
				      enum copy_result result)
{
	switch (result) {
	case COPY_RESULT_COPIED:
	case COPY_RESULT_KEPT:
		return RUN_STOP_ACCEPTED;
	case COPY_RESULT_NO_RUN:
		return RUN_STOP_NO_RUN;
	case COPY_RESULT_REFUSED:
		return RUN_STOP_REFUSED;
	case COPY_RESULT_IN_PROGRESS:
		return RUN_STOP_IN_PROGRESS;
	case COPY_RESULT_NO_LISTENER:
		return refused_event(exchange);
	case COPY_RESULT_NOT_SENT:
		return RUN_STOP_NOT_ASKED;
	case COPY_RESULT_UNREADABLE:
	case COPY_RESULT_FAILED:
		break;
	}
	return RUN_STOP_NO_ANSWER;
}

/* Keeps what names the run at its engine, for a continuation that is refused.
 */
static void handover_note_source(struct exchange *exchange)
{
	struct handover *handover = &exchange->handover;
	const struct leg *leg = exchange->leg;

	if (leg->is_takeover && !leg->has_continued &&
	    handover->kept.endpoint_id)
		return; /* it has no part of the run yet */
	kept_run_clear(&handover->kept);
	handover->kept = (struct kept_run){
		.endpoint_id = g_strdup(leg->endpoint_id),
		.endpoint_address = g_strdup(leg->endpoint_address),
		.start = {.start = leg->start, .known_us = leg->known_us},
	};
}

static bool is_leg_at(const struct exchange *exchange, const char *endpoint_id)
{
	return exchange->leg &&
	       strcmp(exchange->leg->endpoint_id, endpoint_id) == 0;
}

static bool is_kept_at(const struct exchange *exchange, const char *endpoint_id)
{
	const char *kept_id = exchange->handover.kept.endpoint_id;

	return kept_id && strcmp(kept_id, endpoint_id) == 0;
}

/*
 * The run has failed at the leg's engine; goes on with what is known of it by
 * now. An engine that names what it keeps has stopped the run, and is not asked
 * again.
 */
static void handover_resume_recovery(struct exchange *exchange)
{
	struct handover *handover = &exchange->handover;

	handover->waits_for_handle = false;
	if (handover->kept.handle &&
	    is_kept_at(exchange, exchange->leg->endpoint_id))
		exchange_recover(exchange, handover->result, handover->detail);
	else
		exchange_stop_and_recover(exchange, handover->result,
					  handover->detail);
}

/*
 * What a call names is kept by the start that accepts it. The one that ran the
 * stream may have counted as ended before, as it reset other connections.
 */
static void on_stop_connected(void *data, const char *endpoint_id)
{
	struct exchange *exchange = data;
	struct handover *handover = &exchange->handover;
	struct kept_run *kept = &handover->kept;
	struct gateway *gateway = exchange->gateway;
	const struct endpoint *endpoint;

	if (is_leg_at(exchange, endpoint_id))
		run_stop_note_reached(&handover->stop);
	if (!is_kept_at(exchange, endpoint_id) || kept->handle)
		return;
	endpoint = registry_find(gateway->registry, kept->endpoint_id);
	if (!endpoint)
		return;
	kept->start = known_start_read(endpoint, gateway->quarantine);
}

/*
 * Whether the run needs nothing of what the engine before keeps. Without a leg,
 * a new run is about to go on after the last event. What the leg's own engine
 * keeps, it has stopped.
 */
static bool has_gone_on(const struct exchange *exchange)
{
	return !exchange->leg ||
	       (exchange->leg->has_continued &&
		!is_kept_at(exchange, exchange->leg->endpoint_id));
}

static void kept_note_answer(struct kept_run *kept,
			     const struct stop_answer *answer)
{
	const char *target_id = kept->last_copy.endpoint_id;

	g_free(kept->handle);
	kept->handle = g_strdup(answer->copy->handle);
	kept->last_copy.is_complete =
		target_id && answer->target_id &&
		strcmp(target_id, answer->target_id) == 0 &&
		answer->copy->result == COPY_RESULT_COPIED;
}

/*
 * The leg's engine has stopped the run, though it had counted as going on
 * there.
 */
static void handover_accept(struct exchange *exchange,
			    const struct stop_answer *answer)
{
	struct handover *handover = &exchange->handover;

	if (!is_kept_at(exchange, answer->endpoint_id)) {
		handover_note_source(exchange);
		if (is_kept_at(exchange, answer->endpoint_id))
			kept_note_answer(&handover->kept, answer);
	}
	/* The last events come before the end of the stream. */
	if (exchange->leg->attempt)
		attempt_set_reading(exchange->leg->attempt, true);
	handover->reason = "stopped late";
	handover->begun_us = exchange->gateway->now_us;
	handover_act(exchange,
		     run_stop_accept(&handover->stop,
				     exchange->leg->attempt != NULL,
				     exchange->gateway->now_us),
		     run_stop_event_name(RUN_STOP_ACCEPTED));
}

/*
 * Whether a run whose answer a close has ended was whole: its engine says so,
 * and no copy is missing that would tell.
 */
static bool has_ended_whole(const struct exchange *exchange)
{
	const struct handover *handover = &exchange->handover;

	return handover->is_in_doubt && !handover->lacks_copy &&
	       handover->kept.endpoint_id &&
	       run_verdict(exchange, handover->kept.endpoint_id) ==
		       RUN_END_NO_RUN;
}

static void on_stop_answered(void *data, const struct stop_answer *answer)
{
	struct exchange *exchange = data;
	struct handover *handover = &exchange->handover;
	enum run_stop_event event;

	exchange->gateway->now_us = gateway_now_us();
	if (answer->copy->handle && is_kept_at(exchange, answer->endpoint_id))
		kept_note_answer(&handover->kept, answer);
	if (handover->waits_for_handle) {
		if (has_ended_whole(exchange))
			exchange_complete(exchange);
		else
			handover_resume_recovery(exchange);
		return;
	}
	if (has_gone_on(exchange) && handover->kept.handle &&
	    !exchange_is_stopping(exchange)) {
		handover_free_kept(exchange);
		return;
	}
	if (!is_leg_at(exchange, answer->endpoint_id))
		return;
	event = stop_event(exchange, answer->copy->result);
	if (event == RUN_STOP_ACCEPTED && !exchange_is_stopping(exchange))
		handover_accept(exchange, answer);
	else
		exchange_apply_stop(exchange, event);
}

static const struct stop_calls_events stop_events = {
	.connected = on_stop_connected,
	.answered = on_stop_answered,
};

/* An engine that may take a copy, or NULL. */
static const struct endpoint *other_endpoint(const struct exchange *exchange)
{
	struct endpoint_criteria criteria;

	exchange_fill_criteria(exchange, &criteria);
	criteria.avoid_id = exchange->leg->endpoint_id;
	return endpoint_choose_for_move(exchange->gateway->registry, &criteria);
}

/*
 * The engine with the copy or the backup, whichever the run would go on at, or
 * some other one where a new run goes on. NULL: none is known.
 */
static const struct endpoint *stop_target(const struct exchange *exchange)
{
	const struct endpoint *target = exchange_move_target(exchange);

	if (target)
		return target;
	return exchange->leg->backup_address ? leg_backup(exchange->leg)
					     : other_endpoint(exchange);
}

/* Its address; the call needs one, be it the leg's own. */
static const char *stop_target_address(const struct exchange *exchange,
				       const struct endpoint *target)
{
	if (target && target == exchange_move_target(exchange))
		return exchange->move.target_address;
	if (exchange->leg->backup_address)
		return exchange->leg->backup_address;
	return target ? target->last_registration->address
		      : exchange->leg->endpoint_address;
}

/* Notes to which engine the run's own one is to copy all of it. */
static void note_last_copy(struct exchange *exchange,
			   const struct endpoint *target, const char *address)
{
	struct last_copy *copy = &exchange->handover.kept.last_copy;

	g_free(copy->endpoint_id);
	*copy = (struct last_copy){0};
	if (!target || strcmp(target->last_registration->address, address) != 0)
		return;
	copy->endpoint_id = g_strdup(target->last_registration->id);
	copy->start = known_start_read(target, exchange->gateway->quarantine);
}

/* Asks the engine to stop its run, and to copy all of it to another one. */
static bool start_stop(struct exchange *exchange, struct error *error)
{
	const struct kept_run *kept = &exchange->handover.kept;
	const struct endpoint *target = NULL;
	const char *address = kept->endpoint_address;
	bool is_for_kept = is_kept_at(exchange, exchange->leg->endpoint_id);
	struct copy_call_options options;

	if (is_for_kept) {
		target = stop_target(exchange);
		address = stop_target_address(exchange, target);
		note_last_copy(exchange, target, address);
	}
	options = call_options(exchange, address, true);
	return stop_calls_start(
		take_stop_calls(exchange), &options,
		is_for_kept ? kept->last_copy.endpoint_id : NULL, error);
}

static void handover_ask(struct exchange *exchange)
{
	struct error error;

	if (!start_stop(exchange, &error))
		exchange_apply_stop(exchange, RUN_STOP_NOT_ASKED);
}

/* Logs what became of a stop, and what told so. */
static void handover_log(const struct exchange *exchange, const char *event,
			 const char *stopped_by)
{
	const struct handover *handover = &exchange->handover;
	char ms[24];

	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   (gateway_now_us() - handover->begun_us) / 1000);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, event, "request",
		  exchange->parsed_request.id, "endpoint",
		  exchange->leg->endpoint_id, "cause",
		  run_stop_cause_name(handover->stop.cause), "ms", ms,
		  "told_by", stopped_by, NULL);
}

/* The engine works on: asks it, or another one, again a little later. */
static void handover_stay(struct exchange *exchange, const char *told_by)
{
	struct handover *handover = &exchange->handover;

	handover_log(exchange, "run_stays", told_by);
	counters_add(exchange->gateway->options.counters,
		     COUNTER_GATEWAY_STOPS_REFUSED, 1);
	if (!stop_asked_us(exchange, exchange->leg->endpoint_id))
		kept_run_clear(&handover->kept);
	handover->again_us = exchange->gateway->now_us + STOP_AGAIN_US;
	handover->backup_refused |= handover->stop.was_refused &&
				    exchange->move.state != COPY_COMPLETE;
}

/* Notes since when engines keep what is left of the leg's run. */
static void handover_note_stopped(struct exchange *exchange)
{
	struct handover *handover = &exchange->handover;
	struct kept_run *kept = &handover->kept;
	const struct leg *leg = exchange->leg;

	if (strcmp(kept->endpoint_id, leg->endpoint_id) == 0)
		kept->stopped_us =
			MAX(handover->begun_us, leg->last_received_us);
}

static void handover_go_on(struct exchange *exchange, const char *told_by)
{
	struct handover *handover = &exchange->handover;
	bool is_unreached = handover->stop.state == RUN_STOP_UNREACHED;

	handover_note_stopped(exchange);
	handover_log(exchange, "run_stopped", told_by);
	counters_add(exchange->gateway->options.counters,
		     is_unreached ? COUNTER_GATEWAY_STOPS_UNREACHED
				  : COUNTER_GATEWAY_STOPS,
		     1);
	if (handover->stop.cause == RUN_STOP_BREAK)
		exchange_recover(exchange, handover->result, handover->detail);
	else
		exchange_continue(exchange);
}

/* The engine is to end the run as it notices the end of its connection. */
static void handover_half_close(struct exchange *exchange)
{
	run_end_note_half_close(stop_calls_take_end(
		take_stop_calls(exchange), exchange->leg->endpoint_id));
	attempt_close_sending(exchange->leg->attempt);
}

static void handover_act(struct exchange *exchange, enum run_stop_action action,
			 const char *told_by)
{
	switch (action) {
	case RUN_STOP_WAIT:
		break;
	case RUN_STOP_ASK:
		handover_ask(exchange);
		break;
	case RUN_STOP_CLOSE:
		handover_half_close(exchange);
		break;
	case RUN_STOP_GO_ON:
		handover_go_on(exchange, told_by);
		break;
	case RUN_STOP_STAY:
		handover_stay(exchange, told_by);
		break;
	case RUN_STOP_GIVE_UP:
		handover_log(exchange, "run_stays", told_by);
		exchange_abort(exchange, "engine_works_on");
		break;
	}
}

/*
 * Whether the leg's answer, which a close has ended, is whole. Its engine's
 * word that there is no such run is checked by its copy, if there is one.
 */
static bool is_whole(const struct exchange *exchange)
{
	switch (run_verdict(exchange, exchange->leg->endpoint_id)) {
	case RUN_END_WHOLE:
		return true;
	case RUN_END_NO_RUN:
		return !exchange_has_copy(exchange);
	case RUN_END_STOPPED:
	case RUN_END_UNKNOWN:
		break;
	}
	return false;
}

/* Logs how a run has ended that its engine was asked to stop. */
static void log_closed(const struct exchange *exchange)
{
	const char *endpoint_id = exchange->leg->endpoint_id;

	if (!find_run_end(exchange, endpoint_id))
		return;
	log_write(
		exchange->gateway->log, LOG_LEVEL_INFO, "run_closed", "request",
		exchange->parsed_request.id, "endpoint", endpoint_id, "verdict",
		run_end_verdict_name(run_verdict(exchange, endpoint_id)), NULL);
}

/*
 * The close of the leg's connection has ended its answer: completes it if it is
 * whole, else goes on with the run. The exchange may be over.
 */
void exchange_end_by_close(struct exchange *exchange)
{
	struct handover *handover = &exchange->handover;

	/* What was not sent by now can't have brought about the end. */
	stop_calls_give_up(handover->calls, exchange->leg->endpoint_id, true);
	log_closed(exchange);
	if (is_whole(exchange)) {
		leg_complete(exchange->leg);
		return;
	}
	handover->is_in_doubt = true;
	handover->lacks_copy = false;
	if (exchange_is_stopping(exchange))
		exchange_apply_stop(exchange, RUN_STOP_STREAM_CLOSED);
	else
		exchange_fail_leg(exchange, RESULT_BROKEN,
				  "may have been stopped");
}

/*
 * A leg that was to go on with a run that may have ended whole has failed
 * without an event. A backup is freed with the end of its run, another copy
 * is not. Returns true if the request was completed.
 */
bool exchange_settle_doubt(struct exchange *exchange,
			   enum attempt_result result)
{
	struct handover *handover = &exchange->handover;
	const struct leg *leg = exchange->leg;

	if (!handover->is_in_doubt || !leg->is_takeover || leg->has_continued)
		return false;
	handover->lacks_copy |=
		result == RESULT_NO_COPY && !leg->is_from_backup;
	if (!has_ended_whole(exchange))
		return false;
	exchange_complete(exchange);
	return true;
}

/* Applies what is told of a run that is to stop. The exchange may be over. */
void exchange_apply_stop(struct exchange *exchange, enum run_stop_event event)
{
	struct handover *handover = &exchange->handover;

	if (exchange_is_stopping(exchange) && handover->stop.is_closed &&
	    is_whole(exchange)) {
		leg_complete(exchange->leg);
		return;
	}
	handover_act(exchange, run_stop_apply(&handover->stop, event),
		     run_stop_event_name(event));
}

/*
 * Begins to stop the leg's run, so that the engine with its copy or backup, to,
 * may continue it. For RUN_STOP_BREAK its stream is lost already.
 */
void exchange_begin_handover(struct exchange *exchange,
			     enum run_stop_cause cause, struct endpoint *to,
			     const char *reason)
{
	struct handover *handover = &exchange->handover;
	struct gateway *gateway = exchange->gateway;
	bool can_ask = exchange->service->engine.can_move;
	bool is_open = cause != RUN_STOP_BREAK;

	if (is_open) {
		/* An end by its close would not tell a stop from a whole one.
		 */
		if (!exchange_may_hand_over(exchange, to) ||
		    (!can_ask && exchange->leg->ends_by_close))
			return;
		if (!handover->is_paid)
			retry_window_take(gateway_budget(
				gateway, exchange->service_name));
		handover->is_paid = true;
		/* The last events come before the end of the stream. */
		attempt_set_reading(exchange->leg->attempt, true);
	}
	handover_note_source(exchange);
	handover->reason = reason;
	handover->begun_us = gateway->now_us;
	handover_act(exchange,
		     run_stop_begin(&handover->stop, cause, is_open, can_ask,
				    gateway->now_us),
		     "nothing");
}

/*
 * The continuation failed before it began: waits until the engine before names
 * what it keeps of the run, or until one that keeps it takes requests again.
 */
void exchange_wait_for_handle(struct exchange *exchange,
			      enum attempt_result result, const char *detail)
{
	struct handover *handover = &exchange->handover;

	/* An engine that stops the run late keeps it from then on. */
	if (!handover->kept.stopped_us)
		handover_note_stopped(exchange);
	handover->waits_for_handle = true;
	handover->result = result;
	if (detail != handover->detail)
		g_strlcpy(handover->detail, detail, sizeof(handover->detail));
	/* The rest of a refusal is no end of the run's answer. */
	attempt_destroy(g_steal_pointer(&exchange->leg->attempt));
}

/*
 * A leg that was to go on with a run that may have ended whole had no event
 * left, and nothing else is left to ask. The run was whole if the leg's engine
 * has ended it; one that has crashed does not say so. Returns true if the
 * request was completed, or waits for that.
 */
bool exchange_settle_empty(struct exchange *exchange,
			   enum attempt_result result, const char *detail)
{
	struct handover *handover = &exchange->handover;
	struct leg *leg = exchange->leg;

	if (!handover->is_in_doubt || !leg->has_ended_empty)
		return false;
	if (run_verdict(exchange, leg->endpoint_id) == RUN_END_NO_RUN) {
		exchange_complete(exchange);
		return true;
	}
	if (leg->was_asked_end)
		return false;
	leg->was_asked_end = true;
	handover->result = result;
	if (detail != handover->detail)
		g_strlcpy(handover->detail, detail, sizeof(handover->detail));
	attempt_destroy(g_steal_pointer(&leg->attempt));
	exchange_begin_handover(exchange, RUN_STOP_BREAK, NULL, detail);
	return true;
}

/* Handles a hand-over as time passes. The exchange may be over. */
void exchange_step_handover(struct exchange *exchange)
{
	struct handover *handover = &exchange->handover;
	int64_t now_us = exchange->gateway->now_us;

	if (!handover->waits_for_handle) {
		handover_act(exchange, run_stop_step(&handover->stop, now_us),
			     "timeout");
		return;
	}
	if (exchange_kept_rests(exchange) ||
	    (exchange_may_return(exchange) && now_us < kept_until_us(exchange)))
		return;
	stop_calls_give_up(handover->calls, handover->kept.endpoint_id, false);
	handover_resume_recovery(exchange);
}
