#include "adapters/gateway/answer_excess.h"
#include "adapters/gateway/answer_memory.h"
#include "adapters/gateway/exchange_state.h"
#include "core/gateway/answer_end.h"

#include <string.h>

/* Up to this size an answer is buffered, so that a broken one can be retried.
 */
#define MAX_BUFFERED_BYTES (256 * 1024)

/* With more bytes unread by the caller, reading from the engine pauses. */
#define MAX_UNREAD_BYTES (128 * 1024)

/* The same while a run is being stopped: its last events come before the end of
 * its stream, but an engine may also send on without end. */
#define MAX_UNREAD_STOPPING_BYTES (1024 * 1024)

/* An engine that refused a request as full is skipped for this time. */
#define FULL_PAUSE_US (250 * 1000)

/* The tokens counted for a generation are updated every so many events. */
#define PLAN_INTERVAL_EVENTS 32

#define STATUS_OK 200
#define STATUS_ERROR 500
#define STATUS_FULL 503

/* Reuse time of an idle connection if the endpoint announces none. */
#define DEFAULT_KEEP_US (3 * G_USEC_PER_SEC)

/* The endpoint's idle timer for a connection started before this node's. */
#define KEEP_MARGIN_US G_USEC_PER_SEC

static void exchange_send_head(struct exchange *exchange)
{
	struct caller *caller = exchange->caller;

	if (exchange->next)
		exchange_drop_next(exchange, "another answer has begun");
	if (caller_decide_close(caller))
		g_string_append(exchange->answer_head, "Connection: close\r\n");
	g_string_append(exchange->answer_head, "\r\n");
	caller_send(caller, exchange->answer_head->str,
		    exchange->answer_head->len);
	exchange->answer_begun = true;
}

/*
 * Begins an answer whose size is not known. A caller on HTTP/1.0 reads no
 * chunks: its answer ends by the close.
 */
void exchange_begin_unsized(struct exchange *exchange)
{
	exchange->is_chunked = exchange->head->allows_chunks;
	if (exchange->is_chunked)
		g_string_append(exchange->answer_head,
				"Transfer-Encoding: chunked\r\n");
	else
		caller_end_by_close(exchange->caller);
	exchange_send_head(exchange);
}

/* Forwards an answer too large to be buffered as it arrives. */
static void exchange_begin_forwarding(struct exchange *exchange)
{
	if (exchange->answer_size < 0) {
		exchange_begin_unsized(exchange);
		return;
	}
	g_string_append_printf(exchange->answer_head,
			       "Content-Length: %" G_GINT64_FORMAT "\r\n",
			       exchange->answer_size);
	exchange_send_head(exchange);
}

static size_t exchange_max_unread_bytes(const struct exchange *exchange)
{
	if (exchange_is_stopping(exchange))
		return MAX(answer_memory_share(MAX_UNREAD_STOPPING_BYTES),
			   HELD_FREE_BYTES);
	return answer_memory_share(MAX_UNREAD_BYTES);
}

static void exchange_forward(struct exchange *exchange, const char *bytes,
			     size_t size)
{
	struct attempt *attempt;
	char head[24];

	if (size == 0)
		return;
	if (exchange->joined_events) {
		g_byte_array_append(exchange->joined_events,
				    (const guint8 *)bytes, (guint)size);
		return;
	}
	if (exchange->is_chunked) {
		g_snprintf(head, sizeof(head), "%zx\r\n", size);
		caller_send(exchange->caller, head, strlen(head));
	}
	caller_send(exchange->caller, bytes, size);
	if (exchange->is_chunked)
		caller_send(exchange->caller, "\r\n", 2);
	attempt = exchange_attempt(exchange);
	if (attempt && caller_waiting_bytes(exchange->caller) >
			       exchange_max_unread_bytes(exchange)) {
		attempt_set_reading(attempt, false);
		gateway_speed_note_held(exchange->leg);
	}
}

/*
 * Scans bytes of a stream, and sends what its events forward to the caller at
 * once: many small events would each take the work of a large one. Returns what
 * event_scanner_feed does.
 */
bool exchange_feed_events(struct exchange *exchange,
			  struct event_scanner *scanner, const char *bytes,
			  size_t size)
{
	GByteArray *joined = g_byte_array_new();
	bool is_fed;

	exchange->joined_events = joined;
	is_fed = event_scanner_feed(scanner, bytes, size);
	exchange->joined_events = NULL;
	exchange_forward(exchange, (const char *)joined->data, joined->len);
	g_byte_array_unref(joined);
	return is_fed;
}

/* Logs how long the caller waited while the run changed engines. */
static void leg_log_takeover(const struct leg *leg)
{
	const struct exchange *exchange = leg->exchange;
	int64_t now_us = exchange->gateway->now_us;
	char pause[24], sent[24], event[24];

	g_snprintf(pause, sizeof(pause), "%" G_GINT64_FORMAT,
		   exchange->forwarded_us
			   ? (now_us - exchange->forwarded_us) / 1000
			   : -1);
	g_snprintf(sent, sizeof(sent), "%" G_GINT64_FORMAT,
		   (now_us - leg->sent_us) / 1000);
	g_snprintf(event, sizeof(event), "%" G_GINT64_FORMAT,
		   exchange->last_event);
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "run_goes_on",
		  "request", exchange->parsed_request.id, "endpoint",
		  leg->endpoint_id, "event", event, "pause_ms", pause,
		  "sent_ms", sent, NULL);
}

/* The tokens counted for a generation grow with its output. */
static void exchange_update_tokens(struct exchange *exchange)
{
	if (exchange->event_count % PLAN_INTERVAL_EVENTS == 0)
		leg_set_tokens(exchange->leg, exchange_held_tokens(exchange));
}

static void exchange_count_event(struct exchange *exchange)
{
	int64_t now_us = exchange->gateway->now_us;

	if (exchange->event_count++ == 0)
		exchange->first_event_us = now_us;
	else
		exchange->longest_pause_us =
			MAX(exchange->longest_pause_us,
			    now_us - exchange->forwarded_us);
	exchange->forwarded_us = now_us;
	if (exchange_is_generation(exchange))
		exchange_update_tokens(exchange);
}

/* Whether the caller has an event of that id already. */
bool exchange_event_is_known(const struct exchange *exchange, int64_t id)
{
	return id >= 0 && id <= exchange->last_event;
}

/*
 * Whether an event is the next one for the caller; it then counts as sent. An
 * event without an id, -1, always is.
 */
bool exchange_event_is_due(struct exchange *exchange, int64_t id)
{
	if (id < 0)
		return true;
	if (exchange->last_event >= 0 && id != exchange->last_event + 1)
		return false;
	exchange->last_event = id;
	return true;
}

/* Whether the run, or a run of the same request, was at another leg before. */
static bool leg_follows_another(const struct leg *leg)
{
	return leg->is_takeover || leg->is_resumed || leg->is_rerun;
}

/*
 * Forwards one complete event to the caller. After a change of engines the id
 * shows whether it is the next one: an older event is dropped. Returns false on
 * a gap in the ids, after which no event can be forwarded. An id of -1 is none.
 */
bool exchange_on_event(void *data, const char *bytes, size_t size, int64_t id)
{
	struct leg *leg = data;
	struct exchange *exchange = leg->exchange;

	/* Comments and partial events don't start a run: no copy exists yet. */
	if (!leg->begun_us)
		leg->begun_us = exchange->gateway->now_us;
	if (!exchange_event_is_due(exchange, id))
		return exchange_event_is_known(exchange, id);
	if (leg_follows_another(leg) && !leg->has_continued) {
		leg->has_continued = true;
		leg_log_takeover(leg);
		exchange_end_handover(exchange);
	}
	leg_mark_prompt_read(leg);
	gateway_speed_note_event(leg);
	exchange_count_event(exchange);
	if (!exchange->answer_begun)
		exchange_begin_unsized(exchange);
	exchange_forward(exchange, bytes, size);
	return true;
}

/* Counts what is held of the answer before it is passed on. */
static void exchange_count_held(struct exchange *exchange)
{
	size_t size = exchange->answer_body->len;

	answer_memory_change(exchange->held_bytes, size);
	exchange->held_bytes = size;
}

/* Drops what is held of the answer, and the room that it took. */
void exchange_clear_body(struct exchange *exchange)
{
	g_byte_array_unref(exchange->answer_body);
	exchange->answer_body = g_byte_array_new();
	exchange_count_held(exchange);
}

/* Stores the head for the caller, but for the excluded fields; NULL: none. */
void exchange_store_head(struct exchange *exchange,
			 const struct http_head *head,
			 const char *const *excluded)
{
	if (exchange->answer_head)
		g_string_free(exchange->answer_head, TRUE);
	exchange->answer_head = g_string_sized_new(512);
	g_string_append_printf(exchange->answer_head, "HTTP/1.1 %d %s\r\n",
			       head->status, head->reason);
	http_head_append_end_to_end(head, excluded, exchange->answer_head);
	exchange->answer_size = head->content_length;
	exchange_clear_body(exchange);
}

static void leg_handle_refusal(struct leg *leg, int32_t status)
{
	struct exchange *exchange = leg->exchange;
	struct endpoint *endpoint = leg_endpoint(leg);

	if (endpoint && status == STATUS_FULL && !leg->is_takeover)
		endpoint->full_until_us =
			MAX(endpoint->full_until_us,
			    exchange->gateway->now_us + FULL_PAUSE_US);
	if (endpoint && status == STATUS_FULL)
		gateway_brittle_note_rejection(exchange->gateway, endpoint);
	if (leg == exchange->next)
		exchange_drop_next(exchange, "no copy");
	else
		exchange_fail_leg(exchange,
				  leg->is_takeover ? RESULT_NO_COPY
						   : RESULT_NOT_RUN,
				  "refused by the endpoint");
}

/* Whether another endpoint may get the request now, by this node's own choice.
 */
bool exchange_has_other_endpoint(const struct exchange *exchange)
{
	struct endpoint_criteria criteria;

	exchange_fill_criteria(exchange, &criteria);
	criteria.avoid_id = exchange->leg->endpoint_id;
	return endpoint_choose(exchange->gateway->registry, &criteria);
}

/*
 * Returns true to forward the error; false: the leg was failed for recovery. An
 * error that no other endpoint could replace is not dropped.
 */
static bool exchange_forwards_error(struct exchange *exchange)
{
	struct recovery_input input = {
		.kind = exchange->route->kind,
		.is_resumable = exchange->route->is_resumable,
		.result = RESULT_ERROR,
		.budget_left =
			retry_window_remaining(gateway_budget(
				exchange->gateway, exchange->service_name)) > 0,
		.runs = exchange->runs,
		.sends = exchange->sends,
		.max_attempts = exchange->max_attempts,
	};

	if (recovery_decide(&input) == RECOVERY_FORWARD ||
	    !exchange_has_other_endpoint(exchange))
		return true;
	exchange_fail_leg(exchange, RESULT_ERROR, "endpoint's own error");
	return false;
}

/*
 * The endpoint may have run the request, but its status promises the caller
 * that it did not: the caller would repeat the request, and it would run twice.
 */
static bool exchange_has_unsafe_status(const struct exchange *exchange)
{
	return exchange->said.status_implies_not_run &&
	       !route_may_repeat(exchange->route);
}

/*
 * Handles the head of a run that was taken over, or of another run that goes on
 * after the last event; the caller already has the first head.
 */
static void leg_handle_takeover_head(struct leg *leg,
				     const struct http_head *head)
{
	struct exchange *exchange = leg->exchange;
	bool is_good =
		head->status == STATUS_OK && exchange->said.is_from_endpoint;

	if (!is_good)
		exchange_fail_leg(exchange, RESULT_BROKEN, "run not continued");
}

/*
 * The run belongs to the start that accepted its connection: ends that are
 * found out by this count first.
 */
static void on_opened(void *data)
{
	struct leg *leg = data;
	struct gateway *gateway = leg->exchange->gateway;
	const struct endpoint *endpoint = leg_endpoint(leg);

	gateway->now_us = gateway_now_us();
	gateway_reach_note_connected(gateway, leg->exchange->service_name);
	gateway_ends_note(gateway, leg->endpoint_id, CONNECTION_ACCEPTED);
	if (endpoint)
		leg->start = gateway_losses_start(gateway, endpoint);
}

/* Records what the head says of the endpoint that was asked. */
static void leg_note_answer(const struct leg *leg, int32_t status)
{
	struct gateway *gateway = leg->exchange->gateway;
	const struct endpoint_answer *said = &leg->exchange->said;
	struct endpoint *endpoint = leg_endpoint(leg);
	struct quarantine_answer answer;

	if (said->is_from_other) {
		gateway_ends_note(gateway, leg->endpoint_id,
				  CONNECTION_REPLACED);
		if (endpoint)
			endpoint->replaced_us = gateway->now_us;
		return;
	}
	if (!endpoint)
		return;
	gateway_limits_note_answer(gateway, endpoint, &said->limit);
	gateway_brittle_note_answer(gateway, endpoint, &said->brittle);
	gateway_rest_note_answer(gateway, endpoint, &said->rest, leg->known_us);
	gateway_speed_note_answer(gateway, endpoint, &said->load,
				  leg->known_us);
	if (said->is_leaving)
		gateway_leaving_note_answer(gateway, endpoint, leg->known_us);
	answer = (struct quarantine_answer){
		.endpoint_key = endpoint->key,
		.connected_us = attempt_connected_us(leg->attempt),
		.sent_us = leg->sent_us,
	};
	gateway_losses_note_answer(gateway, endpoint, &answer, status);
}

/*
 * Stores the head of an endpoint's answer. What the endpoint wants of this node
 * is no advice to the caller, whose next request goes to another one.
 */
static void leg_store_head(const struct leg *leg, const struct http_head *head)
{
	static const char *const replaced[] = {"Retry-After", NULL};
	struct exchange *exchange = leg->exchange;

	if (exchange->said.rest.statement == REST_UNSTATED) {
		exchange_store_head(exchange, head, NULL);
		return;
	}
	exchange_store_head(exchange, head, replaced);
	g_string_append_printf(exchange->answer_head, "Retry-After: %.2f\r\n",
			       (double)exchange_retry_after_us(exchange) /
				       G_USEC_PER_SEC);
}

/*
 * Takes the first good answer to a late request that two endpoints got, and
 * releases the other one. Returns false if this answer is dropped.
 */
static bool leg_settle_second(struct leg *leg, int32_t status)
{
	struct exchange *exchange = leg->exchange;
	struct endpoint *endpoint = leg_endpoint(leg);
	bool is_good = exchange->said.is_from_endpoint && status < STATUS_ERROR;

	if (!exchange->next)
		return true;
	if (is_good && leg == exchange->next)
		exchange_promote_next(exchange, "answered");
	else if (is_good)
		exchange_drop_next(exchange, "answered by the first endpoint");
	if (is_good || leg != exchange->next)
		return true;
	if (endpoint)
		endpoint_count_answer(endpoint, true);
	exchange_drop_next(exchange, "error");
	return false;
}

static bool status_has_no_length(int32_t status)
{
	return status == 204 || status == 304;
}

static bool exchange_is_for_head(const struct exchange *exchange)
{
	return strcmp(exchange->head->method, "HEAD") == 0;
}

/* Whether an answer may have a body; without one, its head may still state the
 * length of another answer's. */
bool exchange_may_have_body(const struct exchange *exchange, int32_t status)
{
	return !exchange_is_for_head(exchange) && !status_has_no_length(status);
}

/*
 * Starts to count an answer, under the limit of this moment. Returns false if
 * the body that its head states is too large; an answer without a body may
 * state any length.
 */
bool exchange_accepts_stated_size(const struct exchange *exchange,
				  const struct http_head *head,
				  struct answer_limit *limit)
{
	answer_limit_init(limit, exchange->gateway->options.max_answer_bytes);
	return !exchange_may_have_body(exchange, head->status) ||
	       answer_limit_check_head(limit, head->content_length) ==
		       ANSWER_SIZE_OK;
}

/*
 * Gives up an answer of more bytes than allowed: its endpoint may never end it.
 * Closes the connection, and lets the request go on as after a broken answer.
 */
static void leg_fail_too_large(struct leg *leg, int64_t allowed)
{
	struct exchange *exchange = leg->exchange;
	const struct answer_excess excess = {
		.call = "request",
		.request = exchange->parsed_request.id,
		.peer_kind = "endpoint",
		.peer = leg->endpoint_id,
		.bytes = leg->limit.received,
		.limit = allowed,
	};

	answer_excess_report(&excess, exchange->gateway->log,
			     exchange->gateway->options.counters);
	/* With another leg, the request goes on there without a verdict. */
	if (exchange->next)
		leg_count_failure(leg, RESULT_BROKEN);
	if (leg == exchange->next)
		exchange_drop_next(exchange, "answer too large");
	else
		exchange_fail_leg(exchange, RESULT_BROKEN, "answer too large");
}

/* Returns false if the leg was failed because its body would be too large. */
static bool leg_accepts_stated_size(struct leg *leg,
				    const struct http_head *head)
{
	struct exchange *exchange = leg->exchange;

	if (exchange_accepts_stated_size(exchange, head, &leg->limit))
		return true;
	/* With a second leg, giving up one of the two counts the run. */
	if (!exchange->next && !leg->is_takeover)
		exchange->runs++;
	leg_fail_too_large(leg, leg->limit.max);
	return false;
}

static void on_head(void *data, const struct http_head *head)
{
	struct leg *leg = data;
	struct exchange *exchange = leg->exchange;
	struct endpoint *endpoint = leg_endpoint(leg);

	leg->head_received = true;
	leg->status = head->status;
	leg->ends_by_close = head->ends_by_close;
	exchange->gateway->now_us = gateway_now_us();
	exchange->gateway->dialect->read_answer(head, &exchange->said);
	leg_note_answer(leg, head->status);
	if (exchange->said.did_not_run) {
		leg_handle_refusal(leg, head->status);
		return;
	}
	if (!leg_accepts_stated_size(leg, head))
		return;
	if (!leg_settle_second(leg, head->status))
		return;
	if (exchange->said.is_event_stream)
		leg->events =
			event_scanner_create(exchange_on_event, leg,
					     &exchange->gateway->held_events);
	if (leg->is_takeover && exchange->answer_begun) {
		leg_handle_takeover_head(leg, head);
		return;
	}
	exchange->runs++;
	if (leg->is_resumed) {
		leg_handle_takeover_head(leg, head);
		return;
	}
	exchange->status = head->status;
	if (!exchange->said.is_from_endpoint) {
		exchange_fail_leg(exchange, RESULT_BROKEN,
				  "not an endpoint's answer");
		return;
	}
	if (exchange_has_unsafe_status(exchange)) {
		exchange_fail_leg(exchange, RESULT_ERROR,
				  "status falsely promises no run");
		return;
	}
	if (head->status >= STATUS_ERROR && !exchange_forwards_error(exchange))
		return;
	if (endpoint)
		endpoint_count_answer(endpoint, head->status >= STATUS_ERROR);
	leg_store_head(leg, head);
}

/* Records that the endpoint goes on with a run that it began a while ago. */
static void leg_check_progress(struct leg *leg)
{
	struct gateway *gateway = leg->exchange->gateway;

	if (leg->is_proven || !leg->begun_us ||
	    gateway->now_us - leg->begun_us < LEG_PROVEN_US)
		return;
	leg->is_proven = true;
	gateway_losses_note_progress(gateway, &leg->exchange->suspects,
				     leg->begun_us);
}

static void leg_receive_events(struct leg *leg, const char *bytes, size_t size)
{
	struct exchange *exchange = leg->exchange;
	struct endpoint *endpoint = leg_endpoint(leg);

	exchange->gateway->now_us = gateway_now_us();
	leg->last_received_us = exchange->gateway->now_us;
	if (leg == exchange->leg)
		exchange_note_events(exchange);
	if (endpoint)
		gateway_ends_note_heard(exchange->gateway, endpoint);
	leg_check_progress(leg);
	if (exchange_feed_events(exchange, leg->events, bytes, size))
		return;
	if (event_scanner_is_overfull(leg->events)) {
		leg_fail_too_large(
			leg, (int64_t)event_scanner_exceeded(leg->events));
		return;
	}
	if (leg == exchange->next)
		exchange_drop_next(exchange, "gap in event ids");
	else
		exchange_abort(exchange, "events_do_not_follow");
}

/* Forwards a part of the answer's body, or keeps it until it is complete. */
void exchange_receive_body(struct exchange *exchange, const char *bytes,
			   size_t size)
{
	if (exchange->answer_begun) {
		exchange_forward(exchange, bytes, size);
		return;
	}
	g_byte_array_append(exchange->answer_body, (const guint8 *)bytes,
			    (guint)size);
	exchange_count_held(exchange);
	if (exchange->answer_body->len <=
	    answer_memory_share(MAX_BUFFERED_BYTES))
		return;
	exchange_begin_forwarding(exchange);
	exchange_forward(exchange, (const char *)exchange->answer_body->data,
			 exchange->answer_body->len);
	/* The rest of the answer needs no room. */
	exchange_clear_body(exchange);
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct leg *leg = data;

	if (answer_limit_add(&leg->limit, (int64_t)size) != ANSWER_SIZE_OK)
		leg_fail_too_large(leg, leg->limit.max);
	else if (leg->events)
		leg_receive_events(leg, bytes, size);
	else
		exchange_receive_body(leg->exchange, bytes, size);
}

static void exchange_keep_connection(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	int64_t keep_us = DEFAULT_KEEP_US;

	if (exchange->route->kind != ROUTE_IDEMPOTENT)
		return;
	if (exchange->said.keep_alive_us >= 0)
		keep_us = MIN(keep_us,
			      exchange->said.keep_alive_us - KEEP_MARGIN_US);
	if (keep_us > 0)
		attempt_keep_connection(exchange->leg->attempt, gateway->pool,
					gateway->now_us + keep_us);
}

static void exchange_send_buffered(struct exchange *exchange)
{
	int64_t size = exchange->answer_body->len;

	if (exchange_is_for_head(exchange))
		size = exchange->answer_size;
	if (size >= 0 && !status_has_no_length(exchange->status))
		g_string_append_printf(
			exchange->answer_head,
			"Content-Length: %" G_GINT64_FORMAT "\r\n", size);
	exchange_send_head(exchange);
	exchange_forward(exchange, (const char *)exchange->answer_body->data,
			 exchange->answer_body->len);
}

/* Sends what is left of a complete answer. */
void exchange_finish_answer(struct exchange *exchange)
{
	if (!exchange->answer_begun)
		exchange_send_buffered(exchange);
	else if (exchange->is_chunked)
		caller_send(exchange->caller, "0\r\n\r\n", 5);
	counters_add(exchange->gateway->options.counters, COUNTER_GATEWAY_WHOLE,
		     1);
}

static void exchange_count_times(const struct exchange *exchange)
{
	struct counters *counters = exchange->gateway->options.counters;

	if (exchange->event_count == 0) {
		counters_add_latency(counters, LATENCY_PLAIN,
				     exchange->gateway->now_us -
					     exchange->begun_us);
		return;
	}
	counters_add_latency(counters, LATENCY_FIRST_EVENT,
			     exchange->first_event_us - exchange->begun_us);
	counters_add_latency(counters, LATENCY_PAUSE,
			     exchange->longest_pause_us);
}

/* Records what a whole answer says of the request and its parts. */
static void leg_note_whole(const struct leg *leg,
			   const struct endpoint *endpoint)
{
	struct gateway *gateway = leg->exchange->gateway;
	int64_t begun_us = leg->begun_us ? leg->begun_us : leg->sent_us;
	struct lost_run run;

	if (!attempt_is_ended_by_close(leg->attempt)) {
		gateway_losses_note_whole(gateway, &leg->exchange->suspects,
					  begun_us);
		return;
	}
	if (!endpoint)
		return;
	leg_describe_run(leg, &run);
	gateway_closes_add(gateway, &run, begun_us, endpoint);
}

/* Ends the request: the caller has the whole answer, but for its end. */
void exchange_complete(struct exchange *exchange)
{
	struct caller *caller = exchange->caller;

	exchange_count_times(exchange);
	exchange_note_times(exchange);
	exchange_finish_answer(exchange);
	exchange_end(exchange, "whole", "");
	caller_end_answer(caller, false);
}

/* Ends the request with the leg's answer, which is whole. */
void leg_complete(struct leg *leg)
{
	struct exchange *exchange = leg->exchange;
	struct endpoint *endpoint = leg_endpoint(leg);

	if (endpoint)
		endpoint_health_report_success(&endpoint->health,
					       exchange->gateway->now_us);
	gateway_speed_note_complete(leg);
	leg_note_whole(leg, endpoint);
	exchange_keep_connection(exchange);
	exchange_complete(exchange);
}

/* How the answer ended that the attempt takes for complete. */
static enum answer_end leg_answer_end(const struct leg *leg)
{
	bool is_success = leg->status / 100 == 2;
	struct answer_end_input input = {
		.is_ended_by_close = attempt_is_ended_by_close(leg->attempt),
		.expects_events = is_success &&
				  (leg->events ||
				   leg->exchange->route->kind == ROUTE_STREAM),
		.has_event = leg->limit.received > 0,
	};

	if (leg->events) {
		input.is_within_event = !event_scanner_at_boundary(leg->events);
		input.has_event = event_scanner_has_event(leg->events);
	}
	return answer_end_decide(&input);
}

static void on_complete(void *data)
{
	struct leg *leg = data;
	struct exchange *exchange = leg->exchange;
	enum answer_end end = leg_answer_end(leg);

	/* A run that may have ended whole has no events left for its copy. */
	if (end == ANSWER_CUT_BEFORE_EVENT && exchange->handover.is_in_doubt) {
		leg->has_ended_empty = true;
		exchange_fail_leg(exchange, RESULT_NOT_RUN, "no event is left");
		return;
	}
	if (end != ANSWER_WHOLE) {
		exchange_fail_leg(exchange, RESULT_BROKEN,
				  answer_end_name(end));
		return;
	}
	if (attempt_is_ended_by_close(leg->attempt))
		exchange_end_by_close(exchange);
	else
		leg_complete(leg);
}

/* No connection to the endpoint could be used. */
static void leg_note_unconnected(const struct leg *leg)
{
	struct gateway *gateway = leg->exchange->gateway;

	if (attempt_is_refused(leg->attempt))
		gateway_ends_note(gateway, leg->endpoint_id,
				  CONNECTION_REFUSED);
	else if (attempt_was_accepted(leg->attempt))
		gateway_ends_note_reset(gateway, leg->endpoint_id);
	gateway_reach_note_failure(gateway, leg->exchange->service_name,
				   endpoint_key(leg->endpoint_id));
}

static void on_failed(void *data, const struct error *error)
{
	struct leg *leg = data;
	struct exchange *exchange = leg->exchange;
	bool was_sent = error->code != ERROR_UNREACHABLE ||
			attempt_may_have_sent(leg->attempt);

	exchange->gateway->now_us = gateway_now_us();
	leg->has_timed_out = error->code == ERROR_TIMEOUT;
	if (!was_sent)
		leg_note_unconnected(leg);
	if (leg == exchange->next)
		exchange_drop_next(exchange, error->detail);
	else
		exchange_fail_leg(exchange,
				  was_sent ? RESULT_BROKEN : RESULT_NOT_SENT,
				  error->detail);
}

const struct attempt_events exchange_attempt_events = {
	.opened = on_opened,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};
