#include "adapters/gateway/attempt.h"

#include "adapters/gateway/http_reader.h"

#include <string.h>

#define STEP_ANSWER "attempt.answer"
#define MAX_HEAD_BYTES 65536

/* Smaller bodies are copied, and leave with their head in one packet. */
#define MAX_COPIED_BYTES 16384

struct attempt {
	struct tcp_stream *stream;
	struct http_reader *reader;
	const struct attempt_events *events;
	void *data;
	char *address;
	char *echo_field;
	char *echo_value;
	bool has_no_body;
	int64_t max_other_bytes;
	int64_t other_bytes; /* received of answers to other requests */
	bool answer_matches; /* the answer being read is for this request */
	bool is_over;	     /* complete or failed was called, or destroyed */
	bool is_connected;
	bool has_trailing_bytes;    /* received after the complete answer */
	bool is_ended_by_close;	    /* the answer, complete or not */
	struct endpoint_pool *pool; /* gets the connection, or NULL */
	int64_t pooled_until_us;
};

static void attempt_fail(struct attempt *attempt, enum error_code code,
			 const char *detail)
{
	struct error error;

	if (attempt->is_over)
		return;
	attempt->is_over = true;
	error_set(&error, code, STEP_ANSWER, attempt->address, "%s", detail);
	attempt->events->failed(attempt->data, &error);
}

static bool head_matches_request(const struct attempt *attempt,
				 const struct http_head *head)
{
	const char *echo;

	if (head->status < 200)
		return false;
	if (!attempt->echo_value)
		return true;
	echo = http_head_get(head, attempt->echo_field);
	return echo && strcmp(echo, attempt->echo_value) == 0 &&
	       http_head_count(head, attempt->echo_field) == 1;
}

/* The length that a 304 states is that of the answer it stands for. */
static bool status_has_body(int32_t status)
{
	return status != 204 && status != 304;
}

static bool on_head(void *data, const struct http_head *head)
{
	struct attempt *attempt = data;

	attempt->answer_matches = head_matches_request(attempt, head);
	if (attempt->answer_matches)
		attempt->events->head(attempt->data, head);
	return head->status < 200 ||
	       (!attempt->has_no_body && status_has_body(head->status));
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct attempt *attempt = data;

	if (attempt->answer_matches && !attempt->is_over &&
	    attempt->events->body)
		attempt->events->body(attempt->data, bytes, size);
}

static const struct http_reader_events reader_events = {
	.head = on_head,
	.body = on_body,
};

/* Returns false if the attempt is over; its owner may have destroyed it. */
static bool attempt_handle_result(struct attempt *attempt,
				  enum http_reader_result result,
				  bool has_more_bytes)
{
	switch (result) {
	case HTTP_READER_INCOMPLETE:
		return true;
	case HTTP_READER_COMPLETE:
		if (!attempt->answer_matches)
			return true;
		attempt->is_over = true;
		attempt->has_trailing_bytes = has_more_bytes;
		attempt->events->complete(attempt->data);
		return false;
	case HTTP_READER_BAD:
	case HTTP_READER_TOO_LARGE:
		attempt_fail(attempt, ERROR_CLOSED,
			     "answer is malformed or its head is too large");
		return false;
	}
	return false;
}

static void attempt_clear(gpointer data)
{
	struct attempt *attempt = data;

	tcp_stream_destroy(attempt->stream);
	http_reader_destroy(attempt->reader);
	g_free(attempt->address);
	g_free(attempt->echo_field);
	g_free(attempt->echo_value);
}

static void attempt_release(struct attempt *attempt)
{
	g_rc_box_release_full(attempt, attempt_clear);
}

/*
 * Counts bytes that were received before the answer's head. An endpoint may
 * send interim answers, or answers to other requests, without end. Returns
 * false if the attempt is over.
 */
static bool attempt_count_other(struct attempt *attempt, size_t size)
{
	if (attempt->max_other_bytes <= 0 || attempt->answer_matches)
		return true;
	attempt->other_bytes += (int64_t)size;
	if (attempt->other_bytes <= attempt->max_other_bytes)
		return true;
	attempt_fail(attempt, ERROR_TOO_LARGE,
		     "too many bytes that are not of this answer");
	return false;
}

/*
 * The owner may destroy the attempt from inside any event. So this function
 * holds a reference while it reads, and checks is_over after each message.
 */
static void on_received(void *data, const char *bytes, size_t size)
{
	struct attempt *attempt = g_rc_box_acquire(data);
	size_t consumed;

	while (size > 0 && !attempt->is_over) {
		enum http_reader_result result = http_reader_feed(
			attempt->reader, bytes, size, &consumed);

		bytes += consumed;
		size -= consumed;
		if (attempt->is_over ||
		    !attempt_handle_result(attempt, result, size > 0) ||
		    !attempt_count_other(attempt, consumed))
			break;
	}
	attempt_release(attempt);
}

static void on_ended(void *data)
{
	struct attempt *attempt = g_rc_box_acquire(data);
	enum http_reader_result result = HTTP_READER_BAD;

	attempt->is_ended_by_close = true;
	if (http_reader_has_head(attempt->reader) && attempt->answer_matches)
		result = http_reader_finish(attempt->reader);
	if (!attempt->is_over && result == HTTP_READER_COMPLETE)
		attempt_handle_result(attempt, result, false);
	else
		attempt_fail(
			attempt, ERROR_CLOSED,
			"connection closed before the answer was complete");
	attempt_release(attempt);
}

static void on_failed(void *data, const struct error *error)
{
	struct attempt *attempt = data;

	if (attempt->is_over)
		return;
	attempt->is_over = true;
	attempt->events->failed(attempt->data, error);
}

static void on_opened(void *data)
{
	struct attempt *attempt = data;

	attempt->is_connected = true;
	if (attempt->events->opened)
		attempt->events->opened(attempt->data);
}

static const struct tcp_stream_events stream_events = {
	.opened = on_opened,
	.received = on_received,
	.ended = on_ended,
	.failed = on_failed,
};

static struct tcp_stream *attempt_open(struct attempt *attempt,
				       const struct attempt_options *options,
				       struct error *error)
{
	struct tcp_stream *stream = NULL;

	if (options->pool)
		stream = endpoint_pool_take(options->pool, options->address,
					    options->now_us);
	if (stream) {
		attempt->is_connected = true;
		tcp_stream_set_owner(stream, &stream_events, attempt);
		return stream;
	}
	return tcp_stream_connect(options->address, &stream_events, attempt,
				  error);
}

static void attempt_send(struct attempt *attempt,
			 const struct attempt_options *options)
{
	GByteArray *body = options->body;
	bool copies = body && body->len <= MAX_COPIED_BYTES;

	if (copies)
		g_string_append_len(options->request, (const char *)body->data,
				    body->len);
	tcp_stream_take(attempt->stream, options->request);
	if (body && !copies)
		tcp_stream_share(attempt->stream, body);
}

/*
 * Sends the request, over an idle connection of the pool if there is one.
 * Returns NULL and sets error if no connection can be opened. Takes ownership
 * of options->request in every case; the events must outlive the attempt.
 */
struct attempt *attempt_start(const struct attempt_options *options,
			      const struct attempt_events *events, void *data,
			      struct error *error)
{
	struct attempt *attempt = g_rc_box_new0(struct attempt);

	attempt->events = events;
	attempt->data = data;
	attempt->address = g_strdup(options->address);
	attempt->echo_field = g_strdup(options->echo_field);
	attempt->echo_value = g_strdup(options->echo_value);
	attempt->has_no_body = options->has_no_body;
	attempt->max_other_bytes = options->max_other_bytes;
	attempt->reader = http_reader_create(
		HTTP_READER_ANSWERS, MAX_HEAD_BYTES, &reader_events, attempt);
	attempt->stream = attempt_open(attempt, options, error);
	if (!attempt->stream) {
		g_string_free(options->request, TRUE);
		attempt_destroy(attempt);
		return NULL;
	}
	attempt_send(attempt, options);
	return attempt;
}

/*
 * Whether the connection can serve another request. Not if the endpoint will
 * close it, if bytes followed the answer, or if part of the request is still
 * unsent: the endpoint would read the next request as the rest of this one.
 */
static bool attempt_may_reuse(const struct attempt *attempt)
{
	return !attempt->has_trailing_bytes &&
	       !http_reader_must_close(attempt->reader) &&
	       tcp_stream_unsent_bytes(attempt->stream) == 0;
}

/*
 * Ends the attempt and frees it; NULL is allowed. The connection goes to the
 * pool that attempt_keep_connection named. Else it is closed, which makes the
 * endpoint stop working on the request.
 */
void attempt_destroy(struct attempt *attempt)
{
	struct tcp_stream *stream;

	if (!attempt)
		return;
	attempt->is_over = true;
	stream = g_steal_pointer(&attempt->stream);
	if (stream && attempt->pool)
		endpoint_pool_put(attempt->pool, attempt->address, stream,
				  attempt->pooled_until_us);
	else
		tcp_stream_destroy(stream);
	attempt_release(attempt);
}

/* Pauses or resumes reading the answer. */
void attempt_set_reading(struct attempt *attempt, bool reading)
{
	tcp_stream_set_reading(attempt->stream, reading);
}

/*
 * Handles what waits in the socket of the answer. The attempt may be over on
 * return, and destroyed by its owner.
 */
void attempt_read_waiting(struct attempt *attempt)
{
	tcp_stream_read_waiting(attempt->stream);
}

/*
 * Closes the connection for sending, once the whole request was sent. An
 * endpoint that notices ends its work and closes its own side.
 */
void attempt_close_sending(struct attempt *attempt)
{
	tcp_stream_close_sending(attempt->stream);
}

/* Whether any byte of the request may have reached the endpoint. */
bool attempt_may_have_sent(const struct attempt *attempt)
{
	return attempt->is_connected || tcp_stream_has_sent(attempt->stream);
}

/* Whether no process listens at the endpoint's address. */
bool attempt_is_refused(const struct attempt *attempt)
{
	return tcp_stream_is_refused(attempt->stream);
}

/* Whether the endpoint has accepted the connection, and may have reset it. */
bool attempt_was_accepted(const struct attempt *attempt)
{
	return attempt->is_connected ||
	       tcp_stream_was_accepted(attempt->stream);
}

/* Whether the connection has been established. */
bool attempt_is_connected(const struct attempt *attempt)
{
	return attempt->is_connected;
}

/*
 * Whether the endpoint has a connection for the answer now: it was established,
 * and the answer has not ended.
 */
bool attempt_is_open(const struct attempt *attempt)
{
	return attempt->is_connected && !attempt->is_over;
}

/*
 * Returns when the connection was established, in us: for a reused one, before
 * the attempt began. 0: not yet.
 */
int64_t attempt_connected_us(const struct attempt *attempt)
{
	return tcp_stream_opened_us(attempt->stream);
}

/*
 * Whether the answer ended with its connection. One that is complete says
 * nothing of whether its endpoint has ended.
 */
bool attempt_is_ended_by_close(const struct attempt *attempt)
{
	return attempt->is_ended_by_close;
}

/*
 * After a complete answer: gives the connection to the pool, for reuse until
 * until_us, once the attempt is destroyed. The attempt can be used as before
 * until then: its owner may still deliver the answer.
 */
void attempt_keep_connection(struct attempt *attempt,
			     struct endpoint_pool *pool, int64_t until_us)
{
	if (!attempt_may_reuse(attempt))
		return;
	attempt->pool = pool;
	attempt->pooled_until_us = until_us;
}
