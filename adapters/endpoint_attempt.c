#include "adapters/endpoint_attempt.h"

#include "adapters/endpoint_attempt_state.h"
#include "adapters/endpoint_request.h"

#include <string.h>

#define EVENT_BYTES_MAX 262144 /* largest event accepted from an engine */
#define STATUS_TOO_MANY_REQUESTS 429

static void attempt_free_members(gpointer data)
{
	struct endpoint_attempt *attempt = data;

	sse_reader_destroy(attempt->reader);
	g_byte_array_unref(attempt->body);
	g_free(attempt->endpoint);
	g_free(attempt->content_type);
	g_free(attempt->generation);
	g_free(attempt->finish_reason);
}

/*
 * An open attempt holds one reference and each running callback another, as
 * the core may end the attempt from inside a callback.
 */
static void attempt_ref(struct endpoint_attempt *attempt)
{
	g_rc_box_acquire(attempt);
}

static void attempt_unref(struct endpoint_attempt *attempt)
{
	g_rc_box_release_full(attempt, attempt_free_members);
}

/* Closes the connection; no more events are delivered. NULL is allowed. */
void endpoint_attempt_destroy(struct endpoint_attempt *attempt)
{
	if (!attempt || attempt->closed)
		return;
	attempt->closed = true;
	http_exchange_cancel(attempt->exchange);
	if (attempt->pending_source)
		g_source_remove(attempt->pending_source);
	attempt_unref(attempt);
}

static void attempt_apply_event(struct endpoint_attempt *attempt,
				const struct sse_event *sse,
				const struct engine_event *engine)
{
	if (engine->total_tokens >= 0)
		attempt->total_tokens = engine->total_tokens;
	if (*engine->finish_reason) {
		g_free(attempt->finish_reason);
		attempt->finish_reason = g_strdup(engine->finish_reason);
	}
	if (engine->token_count == 0 && !engine->has_text)
		return;
	attempt->next_token = engine->first_token + engine->token_count;
	endpoint_attempt_deliver_chunk(attempt, sse, engine);
}

static bool attempt_on_event(void *data, const struct sse_event *sse)
{
	struct endpoint_attempt *attempt = data;
	struct engine_event engine;
	struct error error;

	if (!engine_event_read(sse, attempt->generation, attempt->next_token,
			       &engine, &error))
		endpoint_attempt_fail(attempt, ATTEMPT_SENT, &error);
	else if (engine.done)
		endpoint_attempt_deliver_done(attempt);
	else if (engine.other_generation)
		counters_add(attempt->owner->counters, COUNTER_CHUNKS_DROPPED,
			     1);
	else
		attempt_apply_event(attempt, sse, &engine);
	return !attempt->closed;
}

static void attempt_feed_stream(struct endpoint_attempt *attempt,
				const char *bytes, size_t length)
{
	struct error error;

	if (!sse_reader_feed(attempt->reader, bytes, length, &error))
		endpoint_attempt_fail(attempt, ATTEMPT_SENT, &error);
}

static void attempt_feed_body(struct endpoint_attempt *attempt,
			      const char *bytes, size_t length)
{
	if ((int64_t)(attempt->body->len + length) >
	    attempt->owner->max_answer_bytes)
		endpoint_attempt_fail_sent(attempt, ERROR_TOO_LARGE,
					   "the answer exceeds the size limit");
	else
		g_byte_array_append(attempt->body, (const guint8 *)bytes,
				    (guint)length);
}

static void attempt_on_bytes(void *data, const char *bytes, size_t length)
{
	struct endpoint_attempt *attempt = data;

	attempt_ref(attempt);
	if (attempt->buffered)
		attempt_feed_body(attempt, bytes, length);
	else
		attempt_feed_stream(attempt, bytes, length);
	attempt_unref(attempt);
}

/*
 * Ends an attempt that was cancelled before the engine named the generation:
 * cancels the generation if it is named now.
 */
static void attempt_finish_cancel(struct endpoint_attempt *attempt)
{
	const struct endpoint_attempt_owner *owner = attempt->owner;

	if (*attempt->generation)
		owner->cancel_generation(owner->data, attempt->endpoint,
					 attempt->generation);
	owner->ended(owner->data, attempt->number);
}

static void attempt_fail_status(struct endpoint_attempt *attempt)
{
	bool busy = attempt->status == STATUS_TOO_MANY_REQUESTS ||
		    attempt->status == SOUP_STATUS_SERVICE_UNAVAILABLE;
	bool not_found = attempt->status == SOUP_STATUS_NOT_FOUND ||
			 attempt->status == SOUP_STATUS_GONE;
	enum attempt_stage stage = ATTEMPT_SENT;
	struct error error;

	if (attempt->resume && not_found)
		stage = ATTEMPT_NOT_FOUND;
	else if (!attempt->resume && busy)
		stage = ATTEMPT_REFUSED;
	error_set(&error, ERROR_REFUSED, "endpoint.status", attempt->endpoint,
		  "status %d", attempt->status);
	endpoint_attempt_fail(attempt, stage, &error);
}

/*
 * Whether the request itself is at fault. The caller then gets the engine's
 * answer, as only the caller can correct the request.
 */
static bool status_is_request_error(int32_t status)
{
	return status >= 400 && status < 500 &&
	       status != STATUS_TOO_MANY_REQUESTS;
}

static void attempt_start_stream(struct endpoint_attempt *attempt,
				 const char *generation)
{
	bool known = *attempt->generation != '\0';

	if (generation && !engine_generation_valid(generation)) {
		endpoint_attempt_fail_sent(attempt, ERROR_INVALID,
					   "X-Generation is malformed");
		return;
	}
	if (known && generation &&
	    !g_str_equal(generation, attempt->generation)) {
		endpoint_attempt_fail_sent(
			attempt, ERROR_INVALID,
			"X-Generation differs from the resumed one");
		return;
	}
	if (!known && generation) {
		g_free(attempt->generation);
		attempt->generation = g_strdup(generation);
	}
	if (attempt->cancelled)
		attempt_finish_cancel(attempt);
	else
		endpoint_attempt_deliver_started(attempt);
}

static void attempt_read_stream_headers(struct endpoint_attempt *attempt,
					SoupMessageHeaders *headers)
{
	if (attempt->status != SOUP_STATUS_OK) {
		attempt->buffered = !attempt->resume && !attempt->cancelled &&
				    status_is_request_error(attempt->status);
		if (!attempt->buffered)
			attempt_fail_status(attempt);
		return;
	}
	if (g_strcmp0(attempt->content_type, "text/event-stream") != 0) {
		endpoint_attempt_fail_sent(
			attempt, ERROR_INVALID,
			"the engine's answer is not an event stream");
		return;
	}
	attempt_start_stream(
		attempt, soup_message_headers_get_one(headers, "X-Generation"));
}

/*
 * libsoup cannot distinguish a chunked answer that was cut between two chunks
 * from a complete one, so an answer needs a Content-Length. The stream of
 * another node has none: it is complete if its last event is [DONE] or the
 * error event sent instead.
 */
static bool attempt_answer_is_complete(const struct endpoint_attempt *attempt)
{
	if (!attempt->chunked)
		return true;
	return attempt->to_node && attempt->content_type &&
	       g_str_equal(attempt->content_type, "text/event-stream") &&
	       engine_stream_is_complete(attempt->body);
}

static void attempt_on_headers(void *data, SoupMessage *message)
{
	struct endpoint_attempt *attempt = data;
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(message);

	attempt_ref(attempt);
	attempt->status = (int32_t)soup_message_get_status(message);
	attempt->replayed =
		attempt->to_node &&
		soup_message_headers_get_one(headers, "Idempotent-Replayed");
	attempt->chunked = soup_message_headers_get_encoding(headers) ==
			   SOUP_ENCODING_CHUNKED;
	if (attempt->buffered) {
		attempt->content_type = g_strdup(
			soup_message_headers_get_one(headers, "Content-Type"));
	} else {
		attempt->content_type = g_strdup(
			soup_message_headers_get_content_type(headers, NULL));
		attempt_read_stream_headers(attempt, headers);
	}
	attempt_unref(attempt);
}

static void attempt_on_ended(void *data, const struct error *error)
{
	struct endpoint_attempt *attempt = data;
	bool sent = http_exchange_may_be_sent(attempt->exchange);

	attempt_ref(attempt);
	if (error)
		endpoint_attempt_fail(
			attempt, sent ? ATTEMPT_SENT : ATTEMPT_NOT_SENT, error);
	else if (attempt->buffered && attempt_answer_is_complete(attempt))
		endpoint_attempt_deliver_answer(attempt);
	else if (attempt->buffered)
		endpoint_attempt_fail_sent(attempt, ERROR_INVALID,
					   "the answer has no Content-Length");
	else
		endpoint_attempt_fail_sent(attempt, ERROR_CLOSED,
					   "the stream ended without [DONE]");
	attempt_unref(attempt);
}

static gboolean attempt_on_invalid_uri(gpointer data)
{
	struct endpoint_attempt *attempt = data;
	struct error error;

	attempt->pending_source = 0;
	error_set(&error, ERROR_INVALID, "endpoint.send", attempt->endpoint,
		  "address and path form no valid URI");
	attempt_ref(attempt);
	endpoint_attempt_fail(attempt, ATTEMPT_NOT_SENT, &error);
	attempt_unref(attempt);
	return G_SOURCE_REMOVE;
}

static struct endpoint_attempt *
attempt_create(const struct endpoint_attempt_owner *owner, uint64_t number,
	       const char *endpoint)
{
	struct endpoint_attempt *attempt =
		g_rc_box_new0(struct endpoint_attempt);

	attempt->owner = owner;
	attempt->number = number;
	attempt->endpoint = g_strdup(endpoint);
	attempt->generation = g_strdup("");
	attempt->total_tokens = -1;
	attempt->body = g_byte_array_new();
	attempt->reader =
		sse_reader_create(EVENT_BYTES_MAX, attempt_on_event, attempt);
	return attempt;
}

static void attempt_start(struct endpoint_attempt *attempt,
			  SoupMessage *message, int64_t timeout_us)
{
	const struct endpoint_attempt_owner *owner = attempt->owner;
	struct http_exchange_options options = {
		.session = http_session_pool_next(owner->sessions),
		.message = message,
		.step = "endpoint.exchange",
		.peer = attempt->endpoint,
		.connect_timeout_ms = owner->connect_timeout_ms,
		.answer_timeout_us = timeout_us,
		.headers = attempt_on_headers,
		.bytes = attempt_on_bytes,
		.ended = attempt_on_ended,
		.data = attempt,
	};

	if (!message) {
		attempt->pending_source =
			g_idle_add_full(G_PRIORITY_DEFAULT,
					attempt_on_invalid_uri, attempt, NULL);
		return;
	}
	attempt->exchange = http_exchange_start(&options);
	g_object_unref(message);
}

/*
 * Sends a request to an endpoint or another node. The owner must outlive the
 * attempt and destroys it. An address that is no valid URI fails with
 * ATTEMPT_NOT_SENT, never from inside this function.
 */
struct endpoint_attempt *
endpoint_attempt_send(const struct endpoint_attempt_owner *owner,
		      const struct action_attempt_send *send)
{
	struct endpoint_attempt *attempt =
		attempt_create(owner, send->attempt, send->endpoint);

	attempt->to_node = send->to_node;
	attempt->buffered =
		send->to_node || send->request->kind == REQUEST_PLAIN;
	attempt_start(attempt, endpoint_request_send(send, owner->node_name),
		      send->timeout_us);
	return attempt;
}

/*
 * Requests the stream of a running generation from offset next_token on. The
 * owner must outlive the attempt and destroys it.
 */
struct endpoint_attempt *
endpoint_attempt_resume(const struct endpoint_attempt_owner *owner,
			const struct action_attempt_resume *resume)
{
	struct endpoint_attempt *attempt =
		attempt_create(owner, resume->attempt, resume->endpoint);

	attempt->resume = true;
	attempt->next_token = resume->next_token;
	g_free(attempt->generation);
	attempt->generation = g_strdup(resume->generation);
	attempt_start(attempt, endpoint_request_resume(resume), 0);
	return attempt;
}

static gboolean attempt_cancel_timeout(gpointer data)
{
	struct endpoint_attempt *attempt = data;

	attempt->pending_source = 0;
	attempt->owner->ended(attempt->owner->data, attempt->number);
	return G_SOURCE_REMOVE;
}

/*
 * Cancels an attempt and, unless keep_running is set, its generation if any.
 * Returns true if the caller may destroy the attempt now, false while the
 * engine has the request but has not named the generation. Closing the
 * connection then would leave the engine generating unread tokens until its
 * resume hold ends. The attempt therefore delivers no more events, waits up to
 * cancel_timeout_ms for the name, cancels the generation and ends.
 */
bool endpoint_attempt_cancel(struct endpoint_attempt *attempt,
			     bool keep_running)
{
	const struct endpoint_attempt_owner *owner = attempt->owner;

	if (attempt->cancelled)
		return false;
	if (keep_running || attempt->buffered)
		return true;
	if (*attempt->generation) {
		owner->cancel_generation(owner->data, attempt->endpoint,
					 attempt->generation);
		return true;
	}
	if (!attempt->exchange ||
	    !http_exchange_may_be_sent(attempt->exchange) || attempt->status)
		return true;
	attempt->cancelled = true;
	attempt->pending_source =
		g_timeout_add((guint)owner->cancel_timeout_ms,
			      attempt_cancel_timeout, attempt);
	return false;
}

/* Pauses or resumes reading from the connection. */
void endpoint_attempt_pause(struct endpoint_attempt *attempt, bool pause)
{
	if (attempt->exchange)
		http_exchange_pause(attempt->exchange, pause);
}
