#include "adapters/gateway/exchange_state.h"

#include <string.h>

/* An endpoint in reach takes a connection within a few ms. */
#define CONNECT_TIMEOUT_US (600 * 1000)

/*
 * An engine that made events and has gone silent for so long is given up for
 * one that holds a copy: three times the pause that callers notice, above any
 * pause that another request's prompt causes.
 */
#define SILENT_US (900 * 1000)

/* Before its first event an engine reads the prompt, behind others' prompts. */
#define FIRST_EVENT_US (4 * G_USEC_PER_SEC)

/* An idempotent request that waits so many times its aim goes elsewhere. */
#define SLOW_AIMS 2.5

/*
 * An engine under notice ends 1.5 s after it at the earliest. Generations leave
 * it one after another between these two, so that what ends before needs no
 * second engine, and nothing has to be saved from the cut itself.
 */
#define LEAVE_FROM_US (900 * 1000)
#define LEAVE_SPREAD_US (350 * 1000)

/* Callers come back after so long where nothing better is known. */
#define RETRY_SOON_US (300 * 1000)
#define RETRY_LATER_US G_USEC_PER_SEC

/* A generation is planned with this share of its maximum without a guess. */
#define UNKNOWN_LENGTH_SHARE 0.5

/* Shorter answers end before a backup of them would be of use. */
#define BACKUP_FROM_TOKENS 64

/* New streams would be cut when the process ends. */
#define DRAIN_STREAMS_US (2500 * 1000)
#define DRAIN_LAST_US (1200 * 1000)

static int64_t elapsed_ms(const struct exchange *exchange, int64_t since_us)
{
	return since_us ? (exchange->gateway->now_us - since_us) / 1000 : -1;
}

/* Whether the request is served by a model engine. */
bool exchange_is_generation(const struct exchange *exchange)
{
	return exchange->service && exchange->service->engine.slots > 0;
}

/* The endpoint of the present attempt; NULL: none, or forgotten. */
struct endpoint *exchange_endpoint(const struct exchange *exchange)
{
	if (!exchange->endpoint_id)
		return NULL;
	return registry_find(exchange->gateway->registry,
			     exchange->endpoint_id);
}

static struct endpoint *exchange_backup(const struct exchange *exchange)
{
	if (!exchange->backup_id)
		return NULL;
	return registry_find(exchange->gateway->registry, exchange->backup_id);
}

static void exchange_hold(struct exchange *exchange, struct held *held,
			  int32_t sign, bool is_copy)
{
	if (is_copy)
		held->copies += sign;
	else
		held->requests += sign;
	held->tokens += sign * exchange->tokens;
	exchange->gateway->held_changed = true;
}

/* The copy at the backup engine, if any, is no longer counted on. */
void exchange_clear_backup(struct exchange *exchange)
{
	struct endpoint *backup = exchange_backup(exchange);

	if (backup)
		exchange_hold(exchange, &backup->own, -1, true);
	g_clear_pointer(&exchange->backup_id, g_free);
	g_clear_pointer(&exchange->backup_address, g_free);
}

/* Ends the present attempt and gives back what it held. */
void exchange_drop_attempt(struct exchange *exchange)
{
	struct endpoint *endpoint = exchange_endpoint(exchange);

	attempt_destroy(g_steal_pointer(&exchange->attempt));
	exchange_move_clear(exchange);
	exchange_clear_backup(exchange);
	if (endpoint)
		exchange_hold(exchange, &endpoint->own, -1, false);
	g_clear_pointer(&exchange->endpoint_id, g_free);
	g_clear_pointer(&exchange->endpoint_address, g_free);
}

/* Frees an exchange; its caller isn't told. */
void exchange_destroy(gpointer data)
{
	struct exchange *exchange = data;

	exchange_drop_attempt(exchange);
	http_head_destroy(exchange->head);
	g_byte_array_unref(exchange->body);
	g_byte_array_unref(exchange->answer_body);
	if (exchange->answer_head)
		g_string_free(exchange->answer_head, TRUE);
	event_scanner_destroy(exchange->events);
	g_ptr_array_unref(exchange->tried);
	route_table_unref(exchange->table);
	g_free(exchange);
}

static void exchange_log_end(const struct exchange *exchange,
			     const char *outcome, const char *reason)
{
	char numbers[6][24];
	const int64_t values[] = {
		exchange->status,
		exchange->sends,
		exchange->take_overs,
		exchange->event_count,
		elapsed_ms(exchange, exchange->begun_us),
		exchange->first_event_us
			? (exchange->first_event_us - exchange->begun_us) / 1000
			: -1};

	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		g_snprintf(numbers[i], sizeof(numbers[i]), "%" G_GINT64_FORMAT,
			   values[i]);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "request_end",
		  "request", exchange->asked.id ? exchange->asked.id : "",
		  "route", exchange->route ? exchange->route->name : "",
		  "organisation",
		  exchange->organisation ? exchange->organisation->name : "",
		  "endpoint",
		  exchange->endpoint_id ? exchange->endpoint_id : "", "outcome",
		  outcome, "reason", reason, "status", numbers[0], "sends",
		  numbers[1], "take_overs", numbers[2], "events", numbers[3],
		  "ms", numbers[4], "first_ms", numbers[5], NULL);
}

/* The request is over; its caller has been told. */
void exchange_end(struct exchange *exchange, const char *outcome,
		  const char *reason)
{
	exchange_log_end(exchange, outcome, reason);
	g_hash_table_remove(exchange->gateway->exchanges, exchange);
}

/*
 * The final answer of ours. 503 and 408 say that the request has not run and
 * never will; 502 and 504 say nothing of that. A negative time names none.
 */
void exchange_refuse(struct exchange *exchange, int32_t status,
		     int64_t retry_after_us, const char *reason)
{
	struct caller *caller = exchange->caller;
	GString *fields = g_string_new(NULL);

	exchange_drop_attempt(exchange);
	exchange->status = status;
	if (exchange->asked.id)
		g_string_append_printf(fields, "%s: %s\r\n",
				       exchange->gateway->dialect->id_field,
				       exchange->asked.id);
	if (retry_after_us >= 0)
		g_string_append_printf(fields, "Retry-After: %.2f\r\n",
				       (double)retry_after_us / G_USEC_PER_SEC);
	counters_add(exchange->gateway->options.counters,
		     COUNTER_GATEWAY_REFUSED, 1);
	exchange_end(exchange, "refused", reason);
	caller_answer(caller, status, fields->str, "", 0);
	g_string_free(fields, TRUE);
}

/* Cuts an answer that has begun off, so that nobody takes it for whole. */
void exchange_break(struct exchange *exchange, const char *reason)
{
	struct caller *caller = exchange->caller;

	if (!exchange->answer_begun) {
		exchange_refuse(exchange, 502, -1, reason);
		return;
	}
	counters_add(exchange->gateway->options.counters,
		     COUNTER_GATEWAY_BROKEN, 1);
	exchange_end(exchange, "broken", reason);
	caller_break(caller);
}

/* The caller has left: its engine is told by the closing connection. */
void exchange_caller_gone(struct exchange *exchange)
{
	counters_add(exchange->gateway->options.counters, COUNTER_GATEWAY_GONE,
		     1);
	exchange_drop_attempt(exchange);
	exchange_end(exchange, "caller_gone", "");
}

/* The caller has taken what waited for it. */
void exchange_caller_drained(struct exchange *exchange)
{
	if (exchange->attempt)
		attempt_set_reading(exchange->attempt, true);
}

/* What to ask of endpoint_choose for this request. */
void exchange_wish(const struct exchange *exchange, struct endpoint_wish *wish)
{
	struct gateway *gateway = exchange->gateway;

	*wish = (struct endpoint_wish){
		.service = exchange->service_name,
		.engine = exchange->service ? &exchange->service->engine : NULL,
		.failure_domain = gateway->options.failure_domain,
		.avoid = exchange->tried,
		.tokens = exchange->tokens,
		.now_us = gateway->now_us,
		.draw = g_rand_double(gateway->random),
	};
}

/* Picks the engine that keeps a copy while another one runs it. */
void exchange_choose_backup(struct exchange *exchange,
			    const struct endpoint *for_endpoint)
{
	struct endpoint_wish wish;
	struct endpoint *backup;

	exchange_clear_backup(exchange);
	if (!exchange_is_generation(exchange) ||
	    exchange->tokens - exchange->asked.prompt_tokens <
		    BACKUP_FROM_TOKENS)
		return;
	exchange_wish(exchange, &wish);
	g_ptr_array_add(exchange->tried, for_endpoint->said->id);
	backup = endpoint_choose_backup(exchange->gateway->registry, &wish);
	g_ptr_array_steal_index(exchange->tried, exchange->tried->len - 1);
	if (!backup)
		return;
	exchange->backup_id = g_strdup(backup->said->id);
	exchange->backup_address = g_strdup(backup->said->address);
	exchange_hold(exchange, &backup->own, 1, true);
}

static int32_t exchange_priority(const struct exchange *exchange)
{
	if (exchange->organisation && exchange->organisation->priority >= 0)
		return MIN(exchange->organisation->priority, 9);
	return CLAMP(exchange->route->priority, 0, 9);
}

static GString *exchange_render(const struct exchange *exchange,
				const struct endpoint *endpoint,
				const char *copy_address, const char *copy_name)
{
	const struct dialect *dialect = exchange->gateway->dialect;
	GString *out = g_string_sized_new(1024 + exchange->body->len);
	struct endpoint_request to = {
		.endpoint_id = endpoint->said->id,
		.organisation = exchange->organisation
					? exchange->organisation->name
					: NULL,
		.drops_key = route_table_requires_keys(exchange->table),
		.patience_us =
			exchange->deadline_us - exchange->gateway->now_us,
		.is_generation = exchange_is_generation(exchange),
		.priority = exchange_priority(exchange),
		.backup_address = exchange->backup_address,
		.copy_address = copy_address,
		.copy_name = copy_name,
		.after_event = exchange->last_event,
		.keep_connection = exchange->route->kind == ROUTE_IDEMPOTENT,
	};

	dialect->write_request(exchange->head, &to, exchange->body, out);
	return out;
}

/*
 * Sends the request to the endpoint, as a new run or from a copy of its
 * memory. False: no connection could be begun, and the attempt has failed.
 *
 * A request that may run once gets a connection of its own: on a kept one a
 * close that crosses the request would leave nobody knowing whether it runs.
 */
bool exchange_send(struct exchange *exchange, struct endpoint *endpoint,
		   const char *copy_address, const char *copy_name)
{
	struct gateway *gateway = exchange->gateway;
	struct attempt_options options = {
		.address = endpoint->said->address,
		.echo_field = gateway->dialect->id_field,
		.echo_value = exchange->asked.id,
		.now_us = gateway->now_us,
		.has_no_body = strcmp(exchange->head->method, "HEAD") == 0,
		.pool = exchange->route->kind == ROUTE_IDEMPOTENT
				? gateway->pool
				: NULL,
	};
	struct error error;

	exchange->endpoint_id = g_strdup(endpoint->said->id);
	exchange->endpoint_address = g_strdup(endpoint->said->address);
	exchange_hold(exchange, &endpoint->own, 1, false);
	exchange_choose_backup(exchange, endpoint);
	endpoint_health_count_placed(&endpoint->health);
	exchange->sent_us = gateway->now_us;
	exchange->heard_us = 0;
	exchange->answers = false;
	exchange->goes_on = copy_address != NULL;
	exchange->sends++;
	options.request =
		exchange_render(exchange, endpoint, copy_address, copy_name);
	exchange->attempt = attempt_start(&options, &exchange_attempt_events,
					  exchange, &error);
	if (exchange->attempt)
		return true;
	exchange_fail_attempt(exchange, RESULT_NOT_SENT, error.detail);
	return false;
}

static void exchange_send_new(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	struct endpoint_wish wish;
	struct endpoint *endpoint;

	exchange_wish(exchange, &wish);
	endpoint = endpoint_choose(gateway->registry, &wish);
	if (endpoint) {
		exchange_send(exchange, endpoint, NULL, NULL);
		return;
	}
	if (exchange->runs > 0)
		exchange_refuse(exchange, 502, -1, "no_other_endpoint");
	else if (registry_ready_count(gateway->registry,
				      exchange->service_name) == 0)
		exchange_refuse(exchange, 503, RETRY_LATER_US, "no_endpoint");
	else
		exchange_refuse(exchange, 503, RETRY_SOON_US, "no_room");
}

/* Whether a copy of the run is at an engine that can go on with it. */
bool exchange_backup_is_ready(const struct exchange *exchange)
{
	const struct endpoint *backup = exchange_backup(exchange);

	return backup && endpoint_is_usable(backup);
}

/*
 * Lets the present engine go and continues the run from its copy. The close of
 * the old connection comes first: two engines must never work on one run.
 */
void exchange_take_over(struct exchange *exchange, const char *reason)
{
	struct gateway *gateway = exchange->gateway;
	struct endpoint *backup = exchange_backup(exchange);
	char *address = g_strdup(exchange->backup_address);

	log_write(gateway->log, LOG_LEVEL_INFO, "run_taken_over", "request",
		  exchange->asked.id, "from", exchange->endpoint_id, "to",
		  exchange->backup_id, "reason", reason, NULL);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_TAKE_OVERS, 1);
	g_ptr_array_add(exchange->tried, g_strdup(exchange->endpoint_id));
	exchange_drop_attempt(exchange);
	if (exchange->events)
		event_scanner_reset(exchange->events);
	exchange->take_overs++;
	exchange_send(exchange, backup, address, exchange->asked.id);
	g_free(address);
}

static void exchange_count_failure(struct exchange *exchange,
				   enum attempt_result result)
{
	struct endpoint *endpoint = exchange_endpoint(exchange);
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

static void exchange_log_failure(const struct exchange *exchange,
				 const struct recovery_input *input,
				 enum recovery recovery, const char *detail)
{
	char sends[16], ms[24];

	g_snprintf(sends, sizeof(sends), "%d", input->sends);
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   elapsed_ms(exchange, exchange->sent_us));
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "attempt_failed",
		  "request", exchange->asked.id, "endpoint",
		  exchange->endpoint_id, "result",
		  attempt_result_name(input->result), "decision",
		  recovery_name(recovery), "begun",
		  input->answer_begun ? "yes" : "no", "copy",
		  input->copy_is_ready ? exchange->backup_id : "", "budget",
		  input->budget_left ? "yes" : "no", "sends", sends, "ms", ms,
		  "detail", detail, NULL);
}

static enum recovery exchange_decide(const struct exchange *exchange,
				     enum attempt_result result,
				     const char *detail)
{
	struct retry_budget *budget =
		gateway_budget(exchange->gateway, exchange->service_name);
	struct recovery_input input = {
		.kind = exchange->route->kind,
		.result = result,
		.answer_begun = exchange->answer_begun,
		.copy_is_ready = exchange_backup_is_ready(exchange),
		.budget_left = retry_budget_left(budget) > 0,
		.runs = exchange->runs,
		.sends = exchange->sends,
		.max_attempts = exchange->route->max_attempts,
	};
	enum recovery recovery = recovery_decide(&input);

	exchange_log_failure(exchange, &input, recovery, detail);
	if (recovery == RECOVERY_SEND_AGAIN || recovery == RECOVERY_TAKE_OVER)
		retry_budget_take(budget);
	return recovery;
}

/* The present attempt gave no whole answer: goes on, or ends the request. */
void exchange_fail_attempt(struct exchange *exchange,
			   enum attempt_result result, const char *detail)
{
	enum recovery recovery;

	/* It was sent and said nothing: it may have run. */
	if (!exchange->answers &&
	    (result == RESULT_BROKEN || result == RESULT_SLOW))
		exchange->runs++;
	recovery = exchange_decide(exchange, result, detail);
	exchange_count_failure(exchange, result);
	switch (recovery) {
	case RECOVERY_SEND_AGAIN:
		g_ptr_array_add(exchange->tried,
				g_strdup(exchange->endpoint_id));
		exchange_drop_attempt(exchange);
		exchange_send_new(exchange);
		break;
	case RECOVERY_TAKE_OVER:
		exchange_take_over(exchange, attempt_result_name(result));
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

static bool exchange_must_not_begin(const struct exchange *exchange)
{
	const struct gateway *gateway = exchange->gateway;
	int64_t drained_us = gateway->now_us - gateway->drain_since_us;

	if (!gateway->drain_since_us)
		return false;
	if (exchange->route->kind == ROUTE_STREAM &&
	    drained_us > DRAIN_STREAMS_US)
		return true;
	return drained_us > gateway->options.drain_us - DRAIN_LAST_US;
}

/* Who sends: false when the request has been refused. */
static bool exchange_authorise(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (exchange->asked.key)
		exchange->organisation = route_table_find_organisation(
			exchange->table, exchange->asked.key);
	if (exchange->organisation || exchange->route->is_public ||
	    !route_table_requires_keys(exchange->table))
		return true;
	if (gateway_is_current(gateway))
		exchange_refuse(exchange, 401, -1, "unknown_key");
	else
		exchange_refuse(exchange, 503, RETRY_SOON_US, "stale");
	return false;
}

/*
 * Finds the route. A node that may have missed a change says so instead of
 * that there is no such route or key: the caller would not come back.
 */
static bool exchange_find_route(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (!gateway->table) {
		exchange_refuse(exchange, 503, RETRY_SOON_US,
				"no_configuration");
		return false;
	}
	exchange->table = route_table_ref(gateway->table);
	exchange->route = route_table_find(
		exchange->table, exchange->asked.host, exchange->head->target);
	if (exchange->route)
		return exchange_authorise(exchange);
	if (gateway_is_current(gateway))
		exchange_refuse(exchange, 404, -1, "no_route");
	else
		exchange_refuse(exchange, 503, RETRY_SOON_US, "stale");
	return false;
}

static int64_t exchange_plan_tokens(const struct exchange *exchange)
{
	const struct caller_request *asked = &exchange->asked;
	int64_t out = asked->expected_tokens;

	if (!exchange_is_generation(exchange))
		return 0;
	if (out == 0)
		out = (int64_t)(UNKNOWN_LENGTH_SHARE *
				(double)asked->max_tokens);
	if (asked->max_tokens > 0)
		out = MIN(out, asked->max_tokens);
	return asked->prompt_tokens + out;
}

static void exchange_set_deadline(struct exchange *exchange)
{
	int64_t patience_us = exchange->route->timeout_us;

	if (exchange->asked.patience_us > 0)
		patience_us = MIN(patience_us, exchange->asked.patience_us);
	exchange->deadline_us = exchange->begun_us + patience_us;
}

static bool exchange_plan(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (exchange_must_not_begin(exchange)) {
		exchange_refuse(exchange, 503, RETRY_SOON_US, "draining");
		return false;
	}
	exchange->service_name = route_pick_service(
		exchange->route, g_rand_double(gateway->random));
	if (!exchange->service_name) {
		exchange_refuse(exchange, 503, RETRY_LATER_US, "no_service");
		return false;
	}
	exchange->service = route_table_find_service(exchange->table,
						     exchange->service_name);
	exchange->tokens = exchange_plan_tokens(exchange);
	exchange_set_deadline(exchange);
	return true;
}

/* Answers a caller's request; head and body are its own from now on. */
void exchange_begin(struct gateway *gateway, struct caller *caller,
		    struct http_head *head, GByteArray *body)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	struct error error;

	exchange->gateway = gateway;
	exchange->caller = caller;
	exchange->head = head;
	exchange->body = body;
	exchange->begun_us = gateway->now_us;
	exchange->last_event = -1;
	exchange->tried = g_ptr_array_new_with_free_func(g_free);
	exchange->answer_body = g_byte_array_new();
	g_hash_table_add(gateway->exchanges, exchange);
	caller_set_request(caller, exchange);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_REQUESTS, 1);
	if (!gateway->dialect->read_request(head, &exchange->asked, &error)) {
		exchange_refuse(exchange, 400, -1, error.detail);
		return;
	}
	if (!exchange_find_route(exchange) || !exchange_plan(exchange))
		return;
	retry_budget_count_first(
		gateway_budget(gateway, exchange->service_name));
	exchange_send_new(exchange);
}

static void exchange_time_out(struct exchange *exchange)
{
	bool may_run =
		exchange->runs > 0 ||
		(exchange->attempt && attempt_has_sent(exchange->attempt));

	if (exchange->answer_begun)
		exchange_break(exchange, "deadline");
	else
		exchange_refuse(exchange, may_run ? 504 : 503, -1, "deadline");
}

static bool exchange_is_silent(const struct exchange *exchange)
{
	int64_t now_us = exchange->gateway->now_us;

	if (exchange->heard_us)
		return now_us - exchange->heard_us > SILENT_US;
	return now_us - exchange->sent_us > FIRST_EVENT_US;
}

static bool exchange_is_slow(const struct exchange *exchange)
{
	const struct route *route = exchange->route;

	return route->kind == ROUTE_IDEMPOTENT && !exchange->answers &&
	       route->first_answer_us > 0 &&
	       exchange->runs + 1 < route->max_attempts &&
	       exchange->sends < route->max_attempts &&
	       exchange->gateway->now_us - exchange->sent_us >
		       SLOW_AIMS * (double)route->first_answer_us;
}

/* A time of its own for each generation, so that they don't leave at once. */
static int64_t exchange_leave_after_us(const struct exchange *exchange)
{
	return LEAVE_FROM_US +
	       (int64_t)(g_str_hash(exchange->asked.id) % LEAVE_SPREAD_US);
}

static bool exchange_should_leave(const struct exchange *exchange)
{
	const struct endpoint *endpoint = exchange_endpoint(exchange);

	return endpoint && !endpoint_is_usable(endpoint) &&
	       exchange->gateway->now_us - endpoint->since_us >
		       exchange_leave_after_us(exchange);
}

/* Looks after the time: deadlines, silence, engines that leave. */
void exchange_step(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;

	if (gateway->now_us >= exchange->deadline_us) {
		exchange_time_out(exchange);
		return;
	}
	if (!attempt_is_connected(exchange->attempt) &&
	    gateway->now_us - exchange->sent_us > CONNECT_TIMEOUT_US) {
		exchange_fail_attempt(exchange, RESULT_NOT_SENT,
				      "connection not established");
		return;
	}
	if (exchange_is_slow(exchange)) {
		exchange_fail_attempt(exchange, RESULT_SLOW, "no answer");
		return;
	}
	if (!exchange_is_generation(exchange))
		return;
	if (exchange_backup_is_ready(exchange) &&
	    exchange->move_state == MOVE_NONE) {
		if (exchange_should_leave(exchange))
			exchange_take_over(exchange, "leaving");
		else if (exchange_is_silent(exchange))
			exchange_fail_attempt(exchange, RESULT_SLOW, "silent");
		return;
	}
	exchange_move_step(exchange);
}
