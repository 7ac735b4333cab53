#include "adapters/gateway/attempt.h"

#include "adapters/gateway/http_reader.h"

#include <string.h>

#define STEP_ANSWER "attempt.answer"
#define MAX_HEAD_BYTES 65536

struct attempt {
	struct tcp_stream *stream;
	struct http_reader *reader;
	const struct attempt_events *events;
	void *data;
	char *address;
	char *echo_field;
	char *echo_value;
	bool has_no_body;
	bool is_ours; /* the answer being read */
	bool is_over; /* whole or failed was told */
	bool is_connected;
	bool has_extra; /* bytes behind the whole answer */
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

static bool head_is_ours(const struct attempt *attempt,
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

static bool on_head(void *data, const struct http_head *head)
{
	struct attempt *attempt = data;

	attempt->is_ours = head_is_ours(attempt, head);
	if (attempt->is_ours)
		attempt->events->head(attempt->data, head);
	return !attempt->has_no_body || head->status < 200;
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct attempt *attempt = data;

	if (attempt->is_ours && !attempt->is_over && attempt->events->body)
		attempt->events->body(attempt->data, bytes, size);
}

static const struct http_reader_events reader_events = {
	.head = on_head,
	.body = on_body,
};

/* False when the attempt is over, and perhaps gone. */
static bool attempt_take_result(struct attempt *attempt,
				enum http_reader_result result, bool has_more)
{
	switch (result) {
	case HTTP_READER_MORE:
		return true;
	case HTTP_READER_COMPLETE:
		if (!attempt->is_ours)
			return true;
		attempt->is_over = true;
		attempt->has_extra = has_more;
		attempt->events->whole(attempt->data);
		return false;
	case HTTP_READER_BAD:
	case HTTP_READER_TOO_LARGE:
		attempt_fail(attempt, ERROR_CLOSED, "not an HTTP answer");
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
 * The owner may destroy the attempt from inside any event, so it is held once
 * more while bytes are read, and asked after each message whether it is over.
 */
static void on_received(void *data, const char *bytes, size_t size)
{
	struct attempt *attempt = g_rc_box_acquire(data);
	size_t taken;

	while (size > 0 && !attempt->is_over) {
		enum http_reader_result result =
			http_reader_feed(attempt->reader, bytes, size, &taken);

		bytes += taken;
		size -= taken;
		if (attempt->is_over ||
		    !attempt_take_result(attempt, result, size > 0))
			break;
	}
	attempt_release(attempt);
}

static void on_ended(void *data)
{
	struct attempt *attempt = g_rc_box_acquire(data);
	enum http_reader_result result = HTTP_READER_BAD;

	if (http_reader_has_head(attempt->reader) && attempt->is_ours)
		result = http_reader_end(attempt->reader);
	if (!attempt->is_over && result == HTTP_READER_COMPLETE)
		attempt_take_result(attempt, result, false);
	else
		attempt_fail(attempt, ERROR_CLOSED, "closed before the end");
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
	((struct attempt *)data)->is_connected = true;
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

/* Sends the request; NULL and an error where no connection can be begun. */
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
	attempt->reader = http_reader_create(
		HTTP_READER_ANSWERS, MAX_HEAD_BYTES, &reader_events, attempt);
	attempt->stream = attempt_open(attempt, options, error);
	if (!attempt->stream) {
		g_string_free(options->request, TRUE);
		attempt_destroy(attempt);
		return NULL;
	}
	tcp_stream_write(attempt->stream, options->request->str,
			 options->request->len);
	g_string_free(options->request, TRUE);
	return attempt;
}

/*
 * Ends the attempt. Closing the connection is what tells the endpoint to stop
 * working on it. NULL is allowed.
 */
void attempt_destroy(struct attempt *attempt)
{
	if (!attempt)
		return;
	attempt->is_over = true;
	tcp_stream_destroy(g_steal_pointer(&attempt->stream));
	attempt_release(attempt);
}

/* Stops or goes on reading the answer. */
void attempt_set_reading(struct attempt *attempt, bool reading)
{
	tcp_stream_set_reading(attempt->stream, reading);
}

/* Whether any byte may have reached the endpoint. */
bool attempt_has_sent(const struct attempt *attempt)
{
	return attempt->is_connected || tcp_stream_has_sent(attempt->stream);
}

/* Whether the connection has been established. */
bool attempt_is_connected(const struct attempt *attempt)
{
	return attempt->is_connected;
}

/*
 * Gives the connection of a whole answer to the pool, unless the endpoint
 * closes it, said more than its answer, or hasn't read the whole request: it
 * would take what comes next for the rest of that one.
 */
void attempt_keep_connection(struct attempt *attempt,
			     struct endpoint_pool *pool, int64_t until_us)
{
	if (attempt->has_extra || http_reader_must_close(attempt->reader) ||
	    tcp_stream_waiting_bytes(attempt->stream) > 0)
		return;
	endpoint_pool_give(pool, attempt->address,
			   g_steal_pointer(&attempt->stream), until_us);
}
