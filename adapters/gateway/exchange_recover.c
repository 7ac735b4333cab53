#include "adapters/gateway/exchange_state.h"
#include "core/placement/home.h"

#include <inttypes.h>
#include <string.h>

/*
 * Recovery of a request whose endpoint failed, leaves or is silent: retry, run
 * taken over from a copy, or error.
 */

/* A reachable endpoint accepts a connection within a few ms. */
#define CONNECT_TIMEOUT_US (600 * 1000)

/*
 * An idempotent request without an answer after this multiple of its route's
 * first_answer_us is sent to another endpoint.
 */
#define SLOW_ANSWER_FACTOR 2.5

/* This node's reporter id; other nodes are identified by incarnation. */
#define OWN_REPORTER 1

/* Engines that may crash during a run before it is given up. */
#define MAX_CRASHES 3

/* Whether the leg's backup may be kept at an engine that serves. */
static bool has_backup(const struct exchange *exchange)
{
	const struct endpoint *backup = exchange_backup_engine(exchange);

	return backup && endpoint_is_usable(backup);
}

/* Time since the engine announced that it leaves; 0: it has not. */
static int64_t leg_under_notice_us(const struct leg *leg)
{
	const struct endpoint *endpoint = leg_endpoint(leg);

	return endpoint ? endpoint_under_notice_us(
				  endpoint, leg->exchange->gateway->now_us)
			: 0;
}

static void read_copy(const struct exchange *exchange,
		      struct evacuation_input *input)
{
	const struct endpoint *target = exchange_move_target(exchange);

	input->can_copy = exchange->service->engine.can_move;
	input->copy = exchange->move.state;
	input->copy_failures = exchange->move.failures;
	input->copy_elapsed_us =
		exchange->gateway->now_us - exchange->move.since_us;
	input->target_serves = target != NULL;
	input->target_reads_prompts =
		target && endpoint_has_unread_prompts(target);
}

/* Whether the endpoint's limits allow one more request, to go on with a run. */
static bool rates_allow(const struct exchange *exchange,
			const struct endpoint *endpoint)
{
	struct endpoint_rates rates;

	gateway_fill_rates(exchange->gateway, exchange->service_name,
			   exchange->service, &rates);
	return endpoint_rates_allow(endpoint, &rates, RATE_FOR_TAKE_OVER,
				    exchange->gateway->now_us);
}

/*
 * Whether the leg's engine would be asked to take the run back after it has
 * stopped it: in a rest it may get one run only, and others leave as well.
 */
static bool leg_may_return(const struct exchange *exchange)
{
	const struct endpoint *endpoint = leg_endpoint(exchange->leg);

	return endpoint && rates_allow(exchange, endpoint) &&
	       !endpoint_rest_is_on(&endpoint->rest, exchange->gateway->now_us);
}

static struct evacuation_input read_input(const struct exchange *exchange)
{
	const struct leg *leg = exchange->leg;
	const struct endpoint *backup = leg_backup(leg);
	int64_t last_received_us =
		leg->last_received_us ? leg->last_received_us : leg->sent_us;
	struct evacuation_input input = {
		.under_notice_us = leg_under_notice_us(leg),
		.silent_us = exchange->gateway->now_us - last_received_us,
		.has_begun = leg->begun_us != 0,
		.begun_us = exchange->gateway->now_us - leg->begun_us,
		.ends_in_time = evacuation_ends_in_time(
			exchange->event_count *
				exchange->service->engine.tokens_per_event,
			exchange->expected_tokens),
		.budget_left =
			exchange->handover.is_paid ||
			retry_window_remaining(gateway_budget(
				exchange->gateway, exchange->service_name)) > 0,
		.may_stop = exchange_may_stop(exchange),
		.may_return = leg_may_return(exchange),
		.has_backup = has_backup(exchange),
		.backup_refused = exchange->handover.backup_refused,
		.backup_rests = backup &&
				endpoint_rest_is_on(&backup->rest,
						    exchange->gateway->now_us),
		.backup_reads_prompts =
			backup && endpoint_has_unread_prompts(backup),
	};

	read_copy(exchange, &input);
	return input;
}

/* The copy from which a run can continue once its engine is lost. */
struct copy_place {
	struct endpoint *endpoint; /* NULL: nowhere */
	char *address;		   /* names the copy together with handle */
	char *handle;
	bool is_last_copy;
	bool is_backup;
};

static void copy_place_clear(struct copy_place *place)
{
	g_free(place->address);
	g_free(place->handle);
}

static bool place_is_open(const struct exchange *exchange,
			  const struct copy_place *place)
{
	return place->endpoint &&
	       (exchange->is_granted ||
		rates_allow(exchange, place->endpoint)) &&
	       endpoint_rest_allows_take_over(&place->endpoint->rest,
					      exchange->gateway->now_us);
}

/* Whether the end of the engine's rest is waited for, in place of asking it. */
static bool place_is_awaited(const struct exchange *exchange,
			     const struct copy_place *place)
{
	return place->endpoint &&
	       (endpoint_rest_is_on(&place->endpoint->rest,
				    exchange->gateway->now_us) ||
		exchange_rest_is_brief(exchange, place->endpoint)) &&
	       exchange_kept_rests(exchange);
}

/*
 * What an engine keeps of a run that the leg has not continued, or of one that
 * the leg's own engine has stopped. One that may not get it back has copied all
 * of it to another engine.
 */
static struct copy_place find_kept(const struct exchange *exchange)
{
	const struct kept_run *kept = &exchange->handover.kept;
	struct copy_place place = {0};

	if (!kept->handle || !exchange_needs_kept(exchange))
		return place;
	place.endpoint = exchange_kept_at(exchange);
	place.address = g_strdup(kept->endpoint_address);
	place.handle = g_strdup(kept->handle);
	if (place_is_open(exchange, &place) &&
	    !place_is_awaited(exchange, &place))
		return place;
	place.endpoint = exchange_last_copy_at(exchange);
	place.is_last_copy = true;
	if (place_is_awaited(exchange, &place))
		place.endpoint = NULL;
	return place;
}

/* The copy or the backup, at those engines. */
static struct copy_place place_at(const struct exchange *exchange,
				  const struct evacuation_input *input,
				  struct endpoint *copy_at,
				  struct endpoint *backup_at)
{
	struct copy_place place = {0};

	switch (evacuation_source(input)) {
	case EVACUATION_FROM_COPY:
		place.endpoint = copy_at;
		place.address = g_strdup(exchange->leg->endpoint_address);
		place.handle = g_strdup(exchange->move.handle);
		break;
	case EVACUATION_FROM_BACKUP:
		place.endpoint = backup_at;
		place.address = g_strdup(exchange->leg->backup_address);
		place.handle = g_strdup(exchange->parsed_request.id);
		place.is_backup = true;
		break;
	case EVACUATION_FROM_NOTHING:
		break;
	}
	return place;
}

/*
 * The copy or the backup at an engine that leaves as well: the run may go on
 * there for a while, where it would be lost.
 */
static struct copy_place find_leaving(const struct exchange *exchange,
				      struct evacuation_input input)
{
	struct endpoint *copy_at = exchange_copy_at(exchange);
	struct endpoint *backup_at = exchange_backup_at(exchange);

	input.target_serves = copy_at != NULL;
	input.has_backup = backup_at != NULL;
	return place_at(exchange, &input, copy_at, backup_at);
}

static struct copy_place find_copy(const struct exchange *exchange,
				   enum attempt_result result)
{
	struct copy_place place = {0};
	struct evacuation_input input;

	if (!exchange_is_generation(exchange))
		return place;
	input = read_input(exchange);
	input.failed_in_reach =
		result != RESULT_SLOW && !exchange->leg->has_timed_out;
	place = place_at(exchange, &input, exchange_move_target(exchange),
			 leg_backup(exchange->leg));
	if (place_is_open(exchange, &place))
		return place;
	copy_place_clear(&place);
	place = find_kept(exchange);
	if (place_is_open(exchange, &place))
		return place;
	copy_place_clear(&place);
	place = find_leaving(exchange, input);
	if (!place_is_open(exchange, &place))
		place.endpoint = NULL;
	return place;
}

static bool has_copy(const struct exchange *exchange,
		     enum attempt_result result)
{
	struct copy_place place = find_copy(exchange, result);
	bool is_found = place.endpoint != NULL;

	copy_place_clear(&place);
	return is_found;
}

/* Whether an engine has what it takes to go on with the leg's run. */
bool exchange_has_copy(const struct exchange *exchange)
{
	return has_copy(exchange, RESULT_BROKEN);
}

/* Describes the leg's run to quarantine. */
void leg_describe_run(const struct leg *leg, struct lost_run *run)
{
	const struct config_organisation *owner = leg->exchange->organisation;

	*run = (struct lost_run){
		.suspects = &leg->exchange->suspects,
		.owner_key =
			home_hash("organisation", owner ? owner->name : "", 0),
		.start = leg->start,
		.is_young = !leg->is_proven,
	};
}

/*
 * Records a run that its endpoint may have lost by ending. Silence is no
 * evidence, and the run may have ended at any time before.
 */
static void note_loss(const struct exchange *exchange,
		      const struct endpoint *endpoint)
{
	struct lost_run run;

	if (exchange->leg->has_timed_out)
		return;
	leg_describe_run(exchange->leg, &run);
	gateway_losses_note(exchange->gateway, &run, endpoint);
}

/*
 * A request may crash every engine that runs it, and each take-over would pass
 * it to the next engine. Counts the engines that failed without a notice during
 * the run: the run itself gets no fourth engine.
 */
static void count_crash(struct exchange *exchange, enum attempt_result result)
{
	struct gateway *gateway = exchange->gateway;
	const struct endpoint *endpoint = leg_endpoint(exchange->leg);

	if (result != RESULT_BROKEN || !endpoint ||
	    endpoint_is_leaving(endpoint))
		return;
	note_loss(exchange, endpoint);
	if (!exchange_is_generation(exchange))
		return;
	exchange->crashes++;
	gateway_peers_announce_failure(gateway, exchange->fingerprint,
				       exchange->leg->endpoint_id);
	gateway_add_failure_notice(gateway, OWN_REPORTER,
				   exchange->leg->endpoint_id);
}

/* Lowers the health of the leg's endpoint, as the result requires. */
void leg_count_failure(const struct leg *leg, enum attempt_result result)
{
	struct endpoint *endpoint = leg_endpoint(leg);
	int64_t now_us = leg->exchange->gateway->now_us;

	if (!endpoint || result == RESULT_NOT_RUN || result == RESULT_NO_COPY)
		return;
	if (result == RESULT_ERROR) {
		endpoint_count_answer(endpoint, true);
		return;
	}
	endpoint_health_step(&endpoint->health, now_us);
	if (endpoint_health_report_failure(&endpoint->health) ||
	    result == RESULT_NOT_SENT)
		endpoint_health_put_aside(&endpoint->health, now_us);
}

/* Time since the first event; -1: none yet, so no copy exists. */
static int64_t leg_run_ms(const struct leg *leg)
{
	if (!leg->begun_us)
		return -1;
	return (leg->exchange->gateway->now_us - leg->begun_us) / 1000;
}

static void log_failure(const struct exchange *exchange,
			const struct recovery_input *input, const char *copy_id,
			enum recovery recovery, const char *detail)
{
	const struct leg *leg = exchange->leg;
	char *parts = prompt_parts_format(&exchange->parsed_request.parts);
	char sends[16], status[16], ms[24], run_ms[24], fingerprint[17];

	g_snprintf(fingerprint, sizeof(fingerprint), "%016" PRIx64,
		   exchange->fingerprint);
	g_snprintf(sends, sizeof(sends), "%d", input->sends);
	g_snprintf(status, sizeof(status), "%d", leg->status);
	g_snprintf(run_ms, sizeof(run_ms), "%" G_GINT64_FORMAT,
		   leg_run_ms(leg));
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   (exchange->gateway->now_us - leg->sent_us) / 1000);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "attempt_failed",
		  "request", exchange->parsed_request.id, "fingerprint",
		  fingerprint, "parts", parts, "endpoint", leg->endpoint_id,
		  "result", attempt_result_name(input->result), "decision",
		  recovery_name(recovery), "begun",
		  input->answer_begun ? "yes" : "no", "copy", copy_id, "budget",
		  input->budget_left ? "yes" : "no", "sends", sends, "status",
		  status, "ms", ms, "run_ms", run_ms, "detail", detail, NULL);
	g_free(parts);
}

static enum recovery decide(struct exchange *exchange,
			    const struct copy_place *place,
			    enum attempt_result result, const char *detail)
{
	struct retry_window *budget =
		gateway_budget(exchange->gateway, exchange->service_name);
	bool may_move = exchange->crashes < MAX_CRASHES &&
			exchange_is_admitted(exchange);
	/* A run that its engine has stopped is not lost for want of a retry. */
	bool is_return = place->endpoint &&
			 (place->is_last_copy ||
			  place->endpoint == exchange_kept_at(exchange));
	/* It may have stopped it at a call that was given up, and is paid. */
	bool is_paid =
		exchange->handover.is_paid && exchange_may_be_stopped(exchange);
	bool has_budget =
		is_return || is_paid || retry_window_remaining(budget) > 0;
	/* The budget is for sends that arrive beyond the first one. */
	bool is_first = result == RESULT_NOT_SENT && exchange->arrivals == 0;
	struct recovery_input input = {
		.kind = exchange->route->kind,
		.is_resumable = exchange->route->is_resumable,
		.result = result,
		.answer_begun = exchange->answer_begun,
		.has_event_id = exchange->last_event >= 0,
		.copy_is_ready = may_move && place->endpoint,
		.budget_left = has_budget || is_first,
		.runs = exchange->runs,
		/* A run that returns asks no further endpoint. */
		.sends = exchange->sends - exchange->handover.returns,
		.max_attempts = exchange->max_attempts,
	};
	enum recovery recovery = recovery_decide(&input);

	log_failure(exchange, &input,
		    input.copy_is_ready ? place->endpoint->last_registration->id
					: "",
		    recovery, detail);
	if (!is_first &&
	    (recovery == RECOVERY_SEND_AGAIN ||
	     recovery == RECOVERY_TAKE_OVER || recovery == RECOVERY_RESUME))
		retry_window_count_retry(budget);
	return recovery;
}

static void release_leg(struct exchange *exchange)
{
	exchange_move_clear(exchange);
	exchange->move.failures = 0;
	leg_destroy(g_steal_pointer(&exchange->leg));
}

/* Ends the leg; the request goes to its endpoint no more. */
static void drop_leg(struct exchange *exchange)
{
	g_ptr_array_add(exchange->avoided_ids,
			g_strdup(exchange->leg->endpoint_id));
	release_leg(exchange);
}

static void log_take_over(const struct exchange *exchange,
			  const struct endpoint *to, const char *reason)
{
	const struct held all = endpoint_total_load(to);
	char unread[24], held[24], run_ms[24];

	g_snprintf(run_ms, sizeof(run_ms), "%" G_GINT64_FORMAT,
		   leg_run_ms(exchange->leg));
	g_snprintf(unread, sizeof(unread), "%" G_GINT64_FORMAT,
		   all.unread_tokens);
	g_snprintf(held, sizeof(held), "%" G_GINT64_FORMAT, all.tokens);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "run_taken_over",
		  "request", exchange->parsed_request.id, "from",
		  exchange->leg->endpoint_id, "to", to->last_registration->id,
		  "reason", reason, "run_ms", run_ms, "held_tokens", held,
		  "unread_tokens", unread, NULL);
	counters_add(exchange->gateway->options.counters,
		     COUNTER_GATEWAY_TAKE_OVERS, 1);
}

/*
 * Logs when and why an endpoint's part in a request ends, and what told that it
 * has stopped. asked_us: when the other endpoint was asked, or this one was
 * asked to stop; negative: neither.
 */
void exchange_log_released(const struct exchange *exchange, const char *to,
			   const char *reason, int64_t asked_us,
			   const char *stopped_by)
{
	const struct leg *leg = exchange->leg;
	struct gateway *gateway = exchange->gateway;
	int64_t now_us = gateway_now_us();
	char asked_ms[24], heard_ms[24];

	g_snprintf(asked_ms, sizeof(asked_ms), "%" G_GINT64_FORMAT,
		   asked_us < 0 ? -1 : (now_us - asked_us) / 1000);
	g_snprintf(heard_ms, sizeof(heard_ms), "%" G_GINT64_FORMAT,
		   leg->last_received_us
			   ? (now_us - leg->last_received_us) / 1000
			   : -1);
	log_write(gateway->log, LOG_LEVEL_INFO, "run_released", "request",
		  exchange->parsed_request.id, "endpoint", leg->endpoint_id,
		  "to", to, "reason", reason, "asked_ms", asked_ms, "heard_ms",
		  heard_ms, "stopped_by", stopped_by, NULL);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_RELEASES, 1);
}

/* Continues a run from its copy, once its engine has stopped it or is lost. */
static void take_over(struct exchange *exchange, const struct copy_place *place,
		      const char *reason)
{
	struct handover *handover = &exchange->handover;
	struct error error;

	log_take_over(exchange, place->endpoint, reason);
	endpoint_rest_count_take_over(&place->endpoint->rest);
	exchange_log_released(exchange, place->endpoint->last_registration->id,
			      reason,
			      handover->begun_us ? handover->begun_us : -1,
			      run_stop_state_name(handover->stop.state));
	handover->is_paid = false;
	/* A run that returns has found no backup, and is copied elsewhere. */
	handover->backup_refused =
		place->endpoint == exchange_kept_at(exchange);
	handover->returns += handover->backup_refused;
	handover->asked_last_copy = place->is_last_copy;
	if (place->is_last_copy)
		handover->kept.last_copy.is_complete = false;
	if (place->endpoint == exchange_kept_at(exchange))
		handover->kept.was_turned_away = false;
	drop_leg(exchange);
	exchange->take_overs++;
	exchange->leg = leg_create(exchange, place->endpoint, place->address);
	exchange->leg->is_from_backup = place->is_backup;
	exchange_begin_run(exchange);
	if (!leg_send(exchange->leg, place->address, place->handle, &error))
		exchange_fail_leg(exchange, RESULT_NOT_SENT, error.detail);
}

/* Continues a run that its engine has stopped for that. */
void exchange_continue(struct exchange *exchange)
{
	bool is_copied = exchange->move.state == COPY_COMPLETE;
	struct copy_place place;

	exchange->is_granted = is_copied && exchange->move.is_granted;
	place = find_copy(exchange, RESULT_BROKEN);
	exchange->arrivals++;
	if (place.endpoint) {
		if (is_copied)
			counters_add(exchange->gateway->options.counters,
				     COUNTER_GATEWAY_MOVES, 1);
		take_over(exchange, &place, exchange->handover.reason);
	} else {
		exchange_recover(exchange, RESULT_NOT_RUN, "no copy is left");
	}
	copy_place_clear(&place);
}

/* Refuses a request that has not run and is not sent again. */
static void refuse_unrun(struct exchange *exchange, enum attempt_result result)
{
	int64_t wait_us;

	exchange_refuse(exchange, 503, exchange_retry_after_us(exchange),
			exchange_is_resting(exchange, &wait_us)
				? "resting"
				: attempt_result_name(result));
}

/* An engine that turns a run away in a rest still has what it keeps of it. */
static void note_turned_away(struct exchange *exchange,
			     enum attempt_result result)
{
	struct handover *handover = &exchange->handover;
	struct kept_run *kept = &handover->kept;

	if (result != RESULT_NO_COPY || !kept->endpoint_id ||
	    !exchange_rest_is_brief(exchange, leg_endpoint(exchange->leg)))
		return;
	if (handover->asked_last_copy)
		kept->last_copy.is_complete = true;
	else if (strcmp(kept->endpoint_id, exchange->leg->endpoint_id) == 0)
		kept->was_turned_away = true;
}

/*
 * Takes the next step for a request whose leg failed and works on it no more:
 * retries it, takes the run over from a copy, or ends the request and frees the
 * exchange.
 */
void exchange_recover(struct exchange *exchange, enum attempt_result result,
		      const char *detail)
{
	struct copy_place place;
	enum recovery recovery;

	note_turned_away(exchange, result);
	place = find_copy(exchange, result);
	if (!place.endpoint &&
	    (exchange_may_return(exchange) || exchange_kept_rests(exchange))) {
		copy_place_clear(&place);
		exchange_wait_for_handle(exchange, result, detail);
		return;
	}
	if (!place.endpoint &&
	    exchange_settle_empty(exchange, result, detail)) {
		copy_place_clear(&place);
		return;
	}
	/* What the engine before keeps is another copy than the missing one. */
	if (result == RESULT_NO_COPY && place.endpoint)
		result = RESULT_NOT_RUN;
	recovery = decide(exchange, &place, result, detail);
	leg_count_failure(exchange->leg, result);
	switch (recovery) {
	case RECOVERY_SEND_AGAIN:
	case RECOVERY_RESUME:
		/* An endpoint that lacks a copy may begin a run. */
		if (result == RESULT_NO_COPY)
			release_leg(exchange);
		else
			drop_leg(exchange);
		exchange_send_new(exchange);
		break;
	case RECOVERY_TAKE_OVER:
		g_assert(place.endpoint); /* as copy_is_ready was set */
		take_over(exchange, &place, attempt_result_name(result));
		break;
	case RECOVERY_REFUSE:
		refuse_unrun(exchange, result);
		break;
	case RECOVERY_FORWARD:
	case RECOVERY_FAIL:
		exchange_refuse(exchange, 502, -1, attempt_result_name(result));
		break;
	case RECOVERY_ABORT:
		exchange_abort(exchange, attempt_result_name(result));
		break;
	}
	copy_place_clear(&place);
}

/*
 * Whether a new run may begin, or go on after the last event that the caller
 * has, at this node or at the one that passed the request on.
 */
static bool may_run_anew(const struct exchange *exchange)
{
	return exchange->route->is_resumable &&
	       (!exchange->answer_begun || exchange->last_event >= 0) &&
	       (exchange->is_relayed ||
		exchange->runs < exchange->max_attempts);
}

/*
 * Whether the run may go on elsewhere while its engine works on: its connection
 * was lost, or its answer was not valid.
 */
static bool leg_may_work_on(const struct leg *leg, enum attempt_result result)
{
	if (!exchange_is_generation(leg->exchange) ||
	    (result != RESULT_BROKEN && result != RESULT_SLOW))
		return false;
	return has_copy(leg->exchange, result) || may_run_anew(leg->exchange);
}

/*
 * Recovers a request whose leg failed, once the engine is known to have stopped
 * a run that can be taken over. The exchange may be over.
 */
void exchange_stop_and_recover(struct exchange *exchange,
			       enum attempt_result result, const char *detail)
{
	struct handover *handover = &exchange->handover;

	if (!leg_may_work_on(exchange->leg, result)) {
		exchange_recover(exchange, result, detail);
		return;
	}
	handover->result = result;
	if (detail != handover->detail)
		g_strlcpy(handover->detail, detail, sizeof(handover->detail));
	attempt_destroy(g_steal_pointer(&exchange->leg->attempt));
	exchange_begin_handover(exchange, RUN_STOP_BREAK, NULL,
				attempt_result_name(result));
}

/* The leg's answer ended while its engine was asked to stop the run. */
static void fail_stopping_leg(struct exchange *exchange)
{
	struct attempt *attempt = g_steal_pointer(&exchange->leg->attempt);
	bool is_ended = attempt && attempt_is_ended_by_close(attempt) &&
			exchange_stop_may_end(exchange);

	/* What is left of a bad answer ends no stream. */
	attempt_destroy(attempt);
	exchange_apply_stop(exchange, is_ended ? RUN_STOP_STREAM_ENDED
					       : RUN_STOP_STREAM_LOST);
}

/*
 * The serving leg failed before a complete answer: goes on with the next leg if
 * there is one, else recovers, once the engine is known to have stopped a run
 * that can be taken over. The exchange may be over.
 */
void exchange_fail_leg(struct exchange *exchange, enum attempt_result result,
		       const char *detail)
{
	if (exchange->next) {
		exchange_promote_next(exchange, "failed");
		return;
	}
	if (exchange_is_stopping(exchange)) {
		fail_stopping_leg(exchange);
		return;
	}
	if (exchange_settle_doubt(exchange, result))
		return;
	/* It was sent and got no answer: it may have run. */
	if (!exchange->leg->head_received &&
	    (result == RESULT_BROKEN || result == RESULT_SLOW))
		exchange->runs++;
	exchange->arrivals += result != RESULT_NOT_SENT;
	count_crash(exchange, result);
	if (result == RESULT_NOT_SENT && exchange->runs == 0 &&
	    exchange_wants_relay(exchange)) {
		leg_count_failure(exchange->leg, result);
		drop_leg(exchange);
		exchange_send_new(exchange);
		return;
	}
	exchange_stop_and_recover(exchange, result, detail);
}

/*
 * Whether the limits of another engine, unless the home has granted the
 * request, its rest, the retry budget and quarantine allow to ask it to go on
 * with the run.
 */
bool exchange_may_hand_over(struct exchange *exchange,
			    const struct endpoint *to)
{
	return (exchange->is_granted || rates_allow(exchange, to)) &&
	       !endpoint_rest_is_on(&to->rest, exchange->gateway->now_us) &&
	       (exchange->handover.is_paid ||
		retry_window_remaining(gateway_budget(
			exchange->gateway, exchange->service_name)) > 0) &&
	       exchange_is_admitted(exchange);
}

/*
 * The other endpoint has answered a late request first: releases the one
 * before, which may have run the request.
 */
void exchange_promote_next(struct exchange *exchange, const char *reason)
{
	g_assert(exchange->next);
	exchange_log_released(exchange, exchange->next->endpoint_id, reason,
			      exchange->next->created_us, "nothing");
	exchange->arrivals++;
	drop_leg(exchange);
	exchange->leg = g_steal_pointer(&exchange->next);
	exchange->runs++;
}

/*
 * The other endpoint of a late request failed, or is not needed any more: the
 * one before goes on. A second run may have begun there.
 */
void exchange_drop_next(struct exchange *exchange, const char *reason)
{
	const struct leg *next = exchange->next;

	g_assert(next);
	if (next->attempt && attempt_may_have_sent(next->attempt)) {
		exchange->arrivals++;
		exchange->runs++;
	}
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "take_over_failed",
		  "request", exchange->parsed_request.id, "to",
		  exchange->next->endpoint_id, "reason", reason, NULL);
	g_ptr_array_add(exchange->avoided_ids,
			g_strdup(exchange->next->endpoint_id));
	leg_destroy(g_steal_pointer(&exchange->next));
}

/* Whether the request may have begun to run anywhere. */
static bool exchange_may_run(const struct exchange *exchange)
{
	const struct attempt *attempt = exchange_attempt(exchange);

	return exchange->runs > 0 || exchange_is_handed_over(exchange) ||
	       (attempt && attempt_may_have_sent(attempt));
}

/*
 * Handles what endpoints have sent by now, before a time limit ends the
 * request: the answer may be there, and unread because this process was late.
 * Returns false if the exchange is over.
 */
static bool exchange_read_waiting(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct attempt *attempt = exchange_attempt(exchange);

	if (attempt)
		attempt_read_waiting(attempt);
	if (!g_hash_table_contains(gateway->exchanges, exchange))
		return false;
	if (exchange->next && exchange->next->attempt)
		attempt_read_waiting(exchange->next->attempt);
	return g_hash_table_contains(gateway->exchanges, exchange);
}

/* Ends the request because this node stops before its endpoint has answered. */
void exchange_end_with_drain(struct exchange *exchange)
{
	if (!exchange_read_waiting(exchange))
		return;
	if (exchange->answer_begun)
		exchange_abort(exchange, "drain_is_over");
	else if (exchange_may_run(exchange))
		exchange_refuse(exchange, 504, -1, "drain_is_over");
	else
		exchange_refuse(exchange, 503, RETRY_SOON_US, "drain_is_over");
}

static void time_out(struct exchange *exchange)
{
	if (exchange->answer_begun)
		exchange_abort(exchange, "deadline");
	else
		exchange_refuse(exchange,
				exchange_may_run(exchange) ? 504 : 503, -1,
				"deadline");
}

/*
 * Whether the request is to be sent to another endpoint because its answer is
 * late. A second run of a stream may only follow the first one. If it can't be
 * sent to another one, it waits: the endpoint may be silent for a moment and go
 * on.
 */
static bool leg_is_slow(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	const struct route *route = exchange->route;

	return route->kind == ROUTE_IDEMPOTENT && !leg->head_received &&
	       route->first_answer_us > 0 &&
	       exchange->runs + 1 < exchange->max_attempts &&
	       exchange->sends < exchange->max_attempts &&
	       exchange->gateway->now_us - leg->sent_us >
		       SLOW_ANSWER_FACTOR * (double)route->first_answer_us &&
	       retry_window_remaining(gateway_budget(
		       exchange->gateway, exchange->service_name)) > 0 &&
	       exchange_has_other_endpoint(exchange);
}

static void step_generation(struct exchange *exchange)
{
	const struct evacuation_input input = read_input(exchange);
	struct endpoint *backup = leg_backup(exchange->leg);

	switch (evacuation_decide(&input)) {
	case EVACUATION_STAY:
		break;
	case EVACUATION_BEGIN_COPY:
		exchange_move_begin(exchange);
		break;
	case EVACUATION_DROP_COPY:
		exchange_move_fail(exchange, input.copy == COPY_COMPLETE
						     ? "no_target"
						     : "timeout");
		break;
	case EVACUATION_TO_COPY:
		exchange->is_granted = exchange->move.is_granted;
		exchange_begin_handover(exchange, RUN_STOP_LEAVING,
					exchange_move_target(exchange),
					"copied");
		exchange->is_granted = false;
		break;
	case EVACUATION_TO_BACKUP:
		if (input.under_notice_us > 0)
			exchange_begin_handover(exchange, RUN_STOP_LEAVING,
						backup, "leaving");
		else
			exchange_begin_handover(exchange, RUN_STOP_SILENCE,
						backup, "silent");
		break;
	}
}

/*
 * Sends a request whose answer is late to another endpoint as well. The first
 * one goes on: it may be silent for a moment, and the other one may be out of
 * reach. The first good answer is taken. One that is held by now, as endpoints
 * ended under it, is not left at its endpoint either.
 */
static void send_second(struct exchange *exchange)
{
	struct endpoint_criteria criteria;
	struct endpoint *endpoint;
	struct error error;

	exchange_fill_criteria(exchange, &criteria);
	criteria.avoid_id = exchange->leg->endpoint_id;
	endpoint = endpoint_choose(exchange->gateway->registry, &criteria);
	if (!exchange_is_admitted(exchange)) {
		exchange_fail_leg(exchange, RESULT_SLOW, "held");
		return;
	}
	if (!endpoint || !retry_window_take(gateway_budget(
				 exchange->gateway, exchange->service_name)))
		return;
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "request_sent_again",
		  "request", exchange->parsed_request.id, "endpoint",
		  endpoint->last_registration->id, "late",
		  exchange->leg->endpoint_id, NULL);
	exchange->next = leg_create(exchange, endpoint, NULL);
	if (!leg_send(exchange->next, NULL, NULL, &error))
		exchange_drop_next(exchange, error.detail);
}

/* The second endpoint of a late request accepts no connection in time. */
static void step_second(struct exchange *exchange)
{
	const struct leg *next = exchange->next;

	if (!attempt_is_connected(next->attempt) &&
	    exchange->gateway->now_us - next->sent_us > CONNECT_TIMEOUT_US)
		exchange_drop_next(exchange, "connection not established");
}

/*
 * Counts an endpoint that accepts no connection in time as not reached. Returns
 * whether the request is to be passed on through another node instead.
 */
static bool leg_is_unreached(struct leg *leg)
{
	struct exchange *exchange = leg->exchange;
	struct gateway *gateway = exchange->gateway;

	if (attempt_is_connected(leg->attempt) ||
	    gateway->now_us - leg->sent_us <= SERVICE_REACH_PATIENCE_US)
		return false;
	if (!leg->is_late)
		gateway_reach_note_failure(gateway, exchange->service_name,
					   endpoint_key(leg->endpoint_id));
	leg->is_late = true;
	return exchange_wants_relay(exchange);
}

/* Handles deadlines, connect timeouts, silent and leaving engines. */
void exchange_step(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct leg *leg;

	if (gateway->now_us >= exchange->deadline_us &&
	    !exchange_read_waiting(exchange))
		return;
	if (gateway->now_us >= exchange->deadline_us) {
		time_out(exchange);
		return;
	}
	leg = exchange->leg;
	if (exchange->relay) {
		exchange_step_relay(exchange);
		return;
	}
	if (exchange->waiter)
		return;
	if (!leg) {
		if (exchange_home_timed_out(exchange, &exchange->home_request))
			exchange_send_here(exchange);
		return;
	}
	if (exchange_is_handed_over(exchange)) {
		exchange_step_handover(exchange);
		return;
	}
	if (leg_is_unreached(leg) ||
	    (!attempt_is_connected(leg->attempt) &&
	     gateway->now_us - leg->sent_us > CONNECT_TIMEOUT_US)) {
		exchange_fail_leg(exchange, RESULT_NOT_SENT,
				  "connection not established");
		return;
	}
	if (exchange->next)
		step_second(exchange);
	else if (leg_is_slow(leg))
		send_second(exchange);
	else if (exchange_is_generation(exchange))
		step_generation(exchange);
}

/*
 * Shifts the timers after a pause of this process of paused_us: data that the
 * endpoints sent meanwhile is still unread.
 */
void exchange_excuse_pause(struct exchange *exchange, int64_t paused_us)
{
	struct leg *legs[] = {exchange->leg, exchange->next};

	exchange->home_request.sent_us += paused_us;
	exchange_excuse_waiting(exchange, paused_us);
	exchange->move.home_request.sent_us += paused_us;
	exchange->handover.stop.begun_us += paused_us;
	for (size_t i = 0; i < G_N_ELEMENTS(legs); i++) {
		if (!legs[i])
			continue;
		legs[i]->sent_us += paused_us;
		if (legs[i]->last_received_us)
			legs[i]->last_received_us += paused_us;
		gateway_speed_note_held(legs[i]);
	}
}
