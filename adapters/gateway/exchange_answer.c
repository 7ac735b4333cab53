#include "adapters/gateway/exchange_state.h"

#include <string.h>

/* Held back until it is whole, so that a broken answer can be tried again. */
#define MAX_HELD_BYTES (256 * 1024)

/* Waiting for a caller that reads slowly; then its engine has to wait. */
#define MAX_WAITING_BYTES (128 * 1024)

/* An engine that refused for want of room is passed by for so long. */
#define FULL_US (250 * 1000)

/* Kept connections are used for so long if the endpoint doesn't say. */
#define KEEP_US (3 * G_USEC_PER_SEC)

/* The endpoint's clock for an idle connection started before ours. */
#define KEEP_MARGIN_US G_USEC_PER_SEC

static void exchange_send_head(struct exchange *exchange)
{
	struct caller *caller = exchange->caller;

	if (caller_will_close(caller))
		g_string_append(exchange->answer_head, "Connection: close\r\n");
	g_string_append(exchange->answer_head, "\r\n");
	caller_send(caller, exchange->answer_head->str,
		    exchange->answer_head->len);
	exchange->answer_begun = true;
}

static void exchange_begin_chunked(struct exchange *exchange)
{
	exchange->is_chunked = true;
	g_string_append(exchange->answer_head,
			"Transfer-Encoding: chunked\r\n");
	exchange_send_head(exchange);
}

/* An answer too large to be held back goes on as it comes. */
static void exchange_begin_passing(struct exchange *exchange)
{
	if (exchange->answer_size < 0) {
		exchange_begin_chunked(exchange);
		return;
	}
	g_string_append_printf(exchange->answer_head,
			       "Content-Length: %" G_GINT64_FORMAT "\r\n",
			       exchange->answer_size);
	exchange_send_head(exchange);
}

static void exchange_pass(struct exchange *exchange, const char *bytes,
			  size_t size)
{
	char head[24];

	if (size == 0)
		return;
	exchange->sent_bytes += (int64_t)size;
	if (exchange->is_chunked) {
		g_snprintf(head, sizeof(head), "%zx\r\n", size);
		caller_send(exchange->caller, head, strlen(head));
	}
	caller_send(exchange->caller, bytes, size);
	if (exchange->is_chunked)
		caller_send(exchange->caller, "\r\n", 2);
	if (caller_waiting_bytes(exchange->caller) > MAX_WAITING_BYTES)
		attempt_set_reading(exchange->attempt, false);
}

/*
 * One whole event. After a change of engines the numbers tell whether it is
 * the next one: an older one is dropped, and behind a gap nothing can follow.
 */
static bool on_event(void *data, const char *bytes, size_t size, int64_t id)
{
	struct exchange *exchange = data;

	if (id >= 0 && exchange->last_event >= 0) {
		if (id <= exchange->last_event)
			return true;
		if (id != exchange->last_event + 1)
			return false;
	}
	if (id >= 0)
		exchange->last_event = id;
	if (!exchange->first_event_us)
		exchange->first_event_us = exchange->gateway->now_us;
	exchange->event_count++;
	if (!exchange->answer_begun)
		exchange_begin_chunked(exchange);
	exchange_pass(exchange, bytes, size);
	return true;
}

static void exchange_keep_head(struct exchange *exchange,
			       const struct http_head *head)
{
	if (exchange->answer_head)
		g_string_free(exchange->answer_head, TRUE);
	exchange->answer_head = g_string_sized_new(512);
	g_string_append_printf(exchange->answer_head, "HTTP/1.1 %d %s\r\n",
			       head->status, head->reason);
	http_head_append_end_to_end(head, NULL, exchange->answer_head);
	exchange->answer_size = head->content_length;
	g_byte_array_set_size(exchange->answer_body, 0);
}

static void exchange_not_run(struct exchange *exchange)
{
	struct endpoint *endpoint = exchange_endpoint(exchange);

	if (endpoint && exchange->status == 503 && !exchange->goes_on)
		endpoint->full_until_us = exchange->gateway->now_us + FULL_US;
	exchange_fail_attempt(
		exchange, exchange->goes_on ? RESULT_NO_COPY : RESULT_NOT_RUN,
		"refused by the endpoint");
}

/* True when the error is the answer; false when it is tried elsewhere. */
static bool exchange_keeps_error(struct exchange *exchange)
{
	struct recovery_input input = {
		.kind = exchange->route->kind,
		.result = RESULT_ERROR,
		.budget_left =
			retry_budget_left(gateway_budget(
				exchange->gateway, exchange->service_name)) > 0,
		.runs = exchange->runs,
		.sends = exchange->sends,
		.max_attempts = exchange->route->max_attempts,
	};

	if (recovery_decide(&input) == RECOVERY_PASS_ON)
		return true;
	exchange_fail_attempt(exchange, RESULT_ERROR, "endpoint's own error");
	return false;
}

/* A run that was taken over goes on; its first head has been passed on. */
static void exchange_take_over_head(struct exchange *exchange)
{
	if (exchange->status != 200 || !exchange->said.is_own) {
		exchange_fail_attempt(exchange, RESULT_BROKEN,
				      "the run does not go on");
		return;
	}
	exchange->runs = MAX(exchange->runs, 1);
}

static void on_head(void *data, const struct http_head *head)
{
	struct exchange *exchange = data;
	struct endpoint *endpoint = exchange_endpoint(exchange);

	exchange->answers = true;
	exchange->status = head->status;
	exchange->gateway->dialect->read_answer(head, &exchange->said);
	if (exchange->said.did_not_run) {
		exchange_not_run(exchange);
		return;
	}
	if (exchange->goes_on && exchange->answer_begun) {
		exchange_take_over_head(exchange);
		return;
	}
	exchange->runs++;
	if (!exchange->said.is_own) {
		exchange_fail_attempt(exchange, RESULT_BROKEN,
				      "not an endpoint's answer");
		return;
	}
	if (head->status >= 500 && !exchange_keeps_error(exchange))
		return;
	if (endpoint)
		endpoint_count_answer(endpoint, head->status >= 500);
	exchange_keep_head(exchange, head);
	if (exchange->said.is_event_stream && !exchange->events)
		exchange->events = event_scanner_create(on_event, exchange);
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct exchange *exchange = data;

	if (exchange->events) {
		exchange->heard_us = exchange->gateway->now_us;
		if (!event_scanner_feed(exchange->events, bytes, size))
			exchange_break(exchange, "events_do_not_follow");
		return;
	}
	if (exchange->answer_begun) {
		exchange_pass(exchange, bytes, size);
		return;
	}
	g_byte_array_append(exchange->answer_body, (const guint8 *)bytes,
			    (guint)size);
	if (exchange->answer_body->len <= MAX_HELD_BYTES)
		return;
	exchange_begin_passing(exchange);
	exchange_pass(exchange, (const char *)exchange->answer_body->data,
		      exchange->answer_body->len);
	g_byte_array_set_size(exchange->answer_body, 0);
}

static void exchange_keep_connection(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	int64_t keep_us = KEEP_US;

	if (exchange->route->kind != ROUTE_IDEMPOTENT)
		return;
	if (exchange->said.keep_alive_us >= 0)
		keep_us = MIN(keep_us,
			      exchange->said.keep_alive_us - KEEP_MARGIN_US);
	if (keep_us > 0)
		attempt_keep_connection(exchange->attempt, gateway->pool,
					gateway->now_us + keep_us);
}

static bool status_has_no_length(int32_t status)
{
	return status == 204 || status == 304;
}

static void exchange_send_held(struct exchange *exchange)
{
	int64_t size = exchange->answer_body->len;
	bool is_head = strcmp(exchange->head->method, "HEAD") == 0;

	if (is_head)
		size = exchange->answer_size;
	if (size >= 0 && !status_has_no_length(exchange->status))
		g_string_append_printf(
			exchange->answer_head,
			"Content-Length: %" G_GINT64_FORMAT "\r\n", size);
	exchange_send_head(exchange);
	exchange_pass(exchange, (const char *)exchange->answer_body->data,
		      exchange->answer_body->len);
}

static void on_whole(void *data)
{
	struct exchange *exchange = data;
	struct endpoint *endpoint = exchange_endpoint(exchange);
	struct caller *caller = exchange->caller;

	if (exchange->events && !event_scanner_is_between(exchange->events)) {
		exchange_fail_attempt(exchange, RESULT_BROKEN,
				      "ends within an event");
		return;
	}
	if (exchange_move_ended(exchange))
		return;
	if (endpoint)
		endpoint_health_report_success(&endpoint->health,
					       exchange->gateway->now_us);
	exchange_keep_connection(exchange);
	if (!exchange->answer_begun)
		exchange_send_held(exchange);
	else if (exchange->is_chunked)
		caller_send(caller, "0\r\n\r\n", 5);
	counters_add(exchange->gateway->options.counters, COUNTER_GATEWAY_WHOLE,
		     1);
	exchange_end(exchange, "whole", "");
	caller_end(caller, false);
}

static void on_failed(void *data, const struct error *error)
{
	struct exchange *exchange = data;
	bool was_sent = error->code != ERROR_UNREACHABLE ||
			attempt_has_sent(exchange->attempt);

	if (exchange_move_ended(exchange))
		return;
	exchange_fail_attempt(exchange,
			      was_sent ? RESULT_BROKEN : RESULT_NOT_SENT,
			      error->detail);
}

const struct attempt_events exchange_attempt_events = {
	.head = on_head,
	.body = on_body,
	.whole = on_whole,
	.failed = on_failed,
};
