#include "adapters/gateway/exchange_state.h"

#include <string.h>

/*
 * What becomes of a request whose endpoint failed, leaves or is silent.
 */

/* An endpoint in reach takes a connection within a few ms. */
#define CONNECT_TIMEOUT_US (600 * 1000)

/*
 * An engine that made events and has gone silent for so long is given up for
 * one that holds a copy: five times the pause that callers notice, above any
 * pause that another request's prompt causes.
 */
#define SILENT_US (900 * 1000)

/* Before its first event an engine reads the prompt, behind others' prompts. */
#define FIRST_EVENT_US (4 * G_USEC_PER_SEC)

/* An idempotent request that waits so many times its aim goes elsewhere. */
#define SLOW_AIMS 2.5

/*
 * An engine under notice ends 1.5 s after it at the earliest. A generation
 * leaves it between these two, at a moment at which the other engine has no
 * prompt to read, behind which the run would wait for up to half a second.
 * What ends before needs no second engine.
 */
#define LEAVE_FROM_US (500 * 1000)
#define LEAVE_UNTIL_US (1200 * 1000)

/*
 * Two engines may work on one run for 400 ms while it changes between them.
 * The old one goes on until the new one has answered, so that the caller sees
 * no pause and nothing is lost if the copy is missing; this is when it is let
 * go at the latest, with time for the close to reach it.
 */
#define OVERLAP_US (250 * 1000)

/* Engines that may break off a run before it is given up. */
#define MAX_CRASHES 3

static bool backup_is_ready(const struct exchange *exchange)
{
	const struct endpoint *backup =
		exchange->leg ? leg_backup(exchange->leg) : NULL;

	return backup && endpoint_is_usable(backup);
}

/*
 * A request may crash every engine that begins to run it, and each take-over
 * would hand it to the next. It is counted at the engines that broke off
 * without a notice, told to all nodes, and refused when it comes again after
 * two of them; the run itself gets no fourth engine.
 */
static void count_crash(struct exchange *exchange, enum attempt_result result)
{
	struct gateway *gateway = exchange->gateway;
	const struct endpoint *endpoint = leg_endpoint(exchange->leg);

	if (result != RESULT_BROKEN || !exchange_is_generation(exchange) ||
	    !endpoint || !endpoint_is_usable(endpoint))
		return;
	exchange->crashes++;
	quarantine_report_crash(gateway->quarantine, exchange->fingerprint,
				exchange->leg->endpoint_id, gateway->now_us);
	gateway_peers_tell_crash(gateway, exchange->fingerprint,
				 exchange->leg->endpoint_id);
}

static void count_failure(struct exchange *exchange, enum attempt_result result)
{
	struct endpoint *endpoint = leg_endpoint(exchange->leg);
	int64_t now_us = exchange->gateway->now_us;

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

static void log_failure(const struct exchange *exchange,
			const struct recovery_input *input,
			enum recovery recovery, const char *detail)
{
	const struct leg *leg = exchange->leg;
	char sends[16], ms[24];

	g_snprintf(sends, sizeof(sends), "%d", input->sends);
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   (exchange->gateway->now_us - leg->sent_us) / 1000);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "attempt_failed",
		  "request", exchange->asked.id, "endpoint", leg->endpoint_id,
		  "result", attempt_result_name(input->result), "decision",
		  recovery_name(recovery), "begun",
		  input->answer_begun ? "yes" : "no", "copy",
		  input->copy_is_ready ? leg->backup_id : "", "budget",
		  input->budget_left ? "yes" : "no", "sends", sends, "ms", ms,
		  "detail", detail, NULL);
}

static bool may_take_over(const struct exchange *exchange)
{
	return backup_is_ready(exchange) && exchange->crashes < MAX_CRASHES;
}

static enum recovery decide(const struct exchange *exchange,
			    enum attempt_result result, const char *detail)
{
	struct retry_budget *budget =
		gateway_budget(exchange->gateway, exchange->service_name);
	bool budget_left = retry_budget_left(budget) > 0;
	struct recovery_input input = {
		.kind = exchange->route->kind,
		.result = result,
		.answer_begun = exchange->answer_begun,
		.copy_is_ready = may_take_over(exchange),
		.budget_left = budget_left,
		.runs = exchange->runs,
		.sends = exchange->sends,
		.max_attempts = exchange->route->max_attempts,
	};
	enum recovery recovery = recovery_decide(&input);

	log_failure(exchange, &input, recovery, detail);
	if (recovery == RECOVERY_SEND_AGAIN || recovery == RECOVERY_TAKE_OVER)
		retry_budget_take(budget);
	return recovery;
}

static void drop_leg(struct exchange *exchange)
{
	g_ptr_array_add(exchange->tried, g_strdup(exchange->leg->endpoint_id));
	exchange_move_clear(exchange);
	exchange->move.failures = 0;
	leg_destroy(g_steal_pointer(&exchange->leg));
}

static void log_take_over(const struct exchange *exchange, const char *to,
			  const char *reason)
{
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "run_taken_over",
		  "request", exchange->asked.id, "from",
		  exchange->leg->endpoint_id, "to", to, "reason", reason, NULL);
	counters_add(exchange->gateway->options.counters,
		     COUNTER_GATEWAY_TAKE_OVERS, 1);
}

/* Continues a run whose engine is lost from the copy at the backup engine. */
static void take_over(struct exchange *exchange, const char *reason)
{
	struct endpoint *backup = leg_backup(exchange->leg);
	struct error error;

	log_take_over(exchange, backup->said->id, reason);
	drop_leg(exchange);
	exchange->take_overs++;
	exchange->copy_failed = false;
	exchange->leg = leg_create(exchange, backup, backup->said->address);
	if (!leg_send(exchange->leg, backup->said->address, exchange->asked.id,
		      &error))
		exchange_fail_leg(exchange, RESULT_NOT_SENT, error.detail);
}

/* The serving leg gave no whole answer: goes on, or ends the request. */
void exchange_fail_leg(struct exchange *exchange, enum attempt_result result,
		       const char *detail)
{
	enum recovery recovery;

	if (exchange->next) {
		exchange_promote_next(exchange);
		return;
	}
	/* It was sent and said nothing: it may have run. */
	if (!exchange->leg->has_answered &&
	    (result == RESULT_BROKEN || result == RESULT_SLOW))
		exchange->runs++;
	count_crash(exchange, result);
	recovery = decide(exchange, result, detail);
	count_failure(exchange, result);
	switch (recovery) {
	case RECOVERY_SEND_AGAIN:
		drop_leg(exchange);
		exchange_send_new(exchange);
		break;
	case RECOVERY_TAKE_OVER:
		take_over(exchange, attempt_result_name(result));
		break;
	case RECOVERY_REFUSE:
		exchange_refuse(exchange, 503, RETRY_SOON_US,
				attempt_result_name(result));
		break;
	case RECOVERY_PASS_ON:
	case RECOVERY_FAIL:
		exchange_refuse(exchange, 502, -1, attempt_result_name(result));
		break;
	case RECOVERY_BREAK:
		exchange_break(exchange, attempt_result_name(result));
		break;
	}
}

/*
 * Asks another engine to go on with a run while its own still does. The old
 * leg is let go when the new one answers. Without a retry in the budget the
 * run stays where it is, and the next step asks again.
 */
void exchange_hand_over(struct exchange *exchange, struct endpoint *to,
			const char *copy_address, const char *copy_name,
			const char *reason)
{
	struct error error;

	if (!retry_budget_take(
		    gateway_budget(exchange->gateway, exchange->service_name)))
		return;
	log_take_over(exchange, to->said->id, reason);
	exchange->next = leg_create(exchange, to, copy_address);
	if (!leg_send(exchange->next, copy_address, copy_name, &error))
		exchange_drop_next(exchange, error.detail);
}

/* The new engine has the run: the old one is let go. */
void exchange_promote_next(struct exchange *exchange)
{
	drop_leg(exchange);
	exchange->leg = g_steal_pointer(&exchange->next);
	exchange->take_overs++;
	exchange->copy_failed = false;
}

/* The new engine does not have the run: the old one goes on. */
void exchange_drop_next(struct exchange *exchange, const char *reason)
{
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "take_over_failed",
		  "request", exchange->asked.id, "to",
		  exchange->next->endpoint_id, "reason", reason, NULL);
	exchange->copy_failed = true;
	g_ptr_array_add(exchange->tried, g_strdup(exchange->next->endpoint_id));
	leg_destroy(g_steal_pointer(&exchange->next));
}

static void time_out(struct exchange *exchange)
{
	bool may_run = exchange->runs > 0 ||
		       (exchange->leg->attempt &&
			attempt_has_sent(exchange->leg->attempt));

	if (exchange->answer_begun)
		exchange_break(exchange, "deadline");
	else
		exchange_refuse(exchange, may_run ? 504 : 503, -1, "deadline");
}

static bool leg_is_silent(const struct leg *leg)
{
	int64_t now_us = leg->exchange->gateway->now_us;

	if (leg->heard_us)
		return now_us - leg->heard_us > SILENT_US;
	return now_us - leg->sent_us > FIRST_EVENT_US;
}

static bool leg_is_slow(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	const struct route *route = exchange->route;

	return route->kind == ROUTE_IDEMPOTENT && !leg->has_answered &&
	       route->first_answer_us > 0 &&
	       exchange->runs + 1 < route->max_attempts &&
	       exchange->sends < route->max_attempts &&
	       exchange->gateway->now_us - leg->sent_us >
		       SLOW_AIMS * (double)route->first_answer_us;
}

/* Since its engine's notice; 0: there is none. */
static int64_t leg_under_notice_us(const struct leg *leg)
{
	const struct endpoint *endpoint = leg_endpoint(leg);

	if (!endpoint || endpoint_is_usable(endpoint))
		return 0;
	return MAX(leg->exchange->gateway->now_us - endpoint->since_us, 1);
}

/* Whether a run may go on elsewhere now, or must, since time is running out. */
bool leg_may_change(const struct leg *leg, const struct endpoint *to)
{
	return leg_under_notice_us(leg) > LEAVE_UNTIL_US ||
	       !endpoint_reads_prompts(to);
}

static bool leg_should_leave(const struct leg *leg,
			     const struct endpoint *backup)
{
	return leg->heard_us && leg_under_notice_us(leg) > LEAVE_FROM_US &&
	       leg_may_change(leg, backup);
}

/*
 * An engine that took the request but has not answered may work on it, so the
 * other one is let go. One that took not even the connection does not.
 */
static void step_next(struct exchange *exchange)
{
	const struct leg *next = exchange->next;

	if (exchange->gateway->now_us - next->sent_us <= OVERLAP_US)
		return;
	if (attempt_is_connected(next->attempt))
		exchange_promote_next(exchange);
	else
		exchange_drop_next(exchange, "connection not established");
}

static void step_generation(struct exchange *exchange)
{
	struct leg *leg = exchange->leg;
	struct endpoint *backup = leg_backup(leg);

	if (exchange->next) {
		step_next(exchange);
		return;
	}
	if (!backup_is_ready(exchange) || exchange->copy_failed ||
	    exchange->move.target_id) {
		exchange_move_step(exchange);
		return;
	}
	if (leg_should_leave(leg, backup))
		exchange_hand_over(exchange, backup, backup->said->address,
				   exchange->asked.id, "leaving");
	else if (leg_is_silent(leg))
		exchange_fail_leg(exchange, RESULT_SLOW, "silent");
}

/* Looks after the time: deadlines, silence, engines that leave. */
void exchange_step(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct leg *leg = exchange->leg;

	if (gateway->now_us >= exchange->deadline_us) {
		time_out(exchange);
		return;
	}
	if (!attempt_is_connected(leg->attempt) &&
	    gateway->now_us - leg->sent_us > CONNECT_TIMEOUT_US) {
		exchange_fail_leg(exchange, RESULT_NOT_SENT,
				  "connection not established");
		return;
	}
	if (leg_is_slow(leg))
		exchange_fail_leg(exchange, RESULT_SLOW, "no answer");
	else if (exchange_is_generation(exchange))
		step_generation(exchange);
}

/* This process stood still: what endpoints said meanwhile is still to be read.
 */
void exchange_excuse(struct exchange *exchange, int64_t stood_us)
{
	struct leg *legs[] = {exchange->leg, exchange->next};

	for (size_t i = 0; i < G_N_ELEMENTS(legs); i++) {
		if (!legs[i])
			continue;
		legs[i]->sent_us += stood_us;
		if (legs[i]->heard_us)
			legs[i]->heard_us += stood_us;
	}
}
