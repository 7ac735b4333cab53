#include "adapters/http_exchange.h"

#include "adapters/http_head_guard.h"

#define READ_BYTES 4096
#define CONNECTIONS_MAX 100000
#define IDLE_TIMEOUT_S 30
#define US_PER_MS 1000
#define SESSION_COUNT 128

struct http_exchange {
	SoupSession *session;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *input; /* NULL before the headers */
	const char *step;
	char *peer;
	void (*headers)(void *data, SoupMessage *message);
	void (*bytes)(void *data, const char *bytes, size_t length);
	void (*ended)(void *data, const struct error *error);
	void *data;
	gulong starting_handler;
	guint connect_source;
	guint answer_source;
	bool may_be_sent;
	bool paused;
	bool closed;		/* no more callbacks */
	int64_t received_bytes; /* of the body */
	char buffer[READ_BYTES];
};

static void exchange_clear_timers(struct http_exchange *exchange)
{
	if (exchange->connect_source)
		g_source_remove(exchange->connect_source);
	if (exchange->answer_source)
		g_source_remove(exchange->answer_source);
	exchange->connect_source = 0;
	exchange->answer_source = 0;
}

static void exchange_input_closed(GObject *source, GAsyncResult *result,
				  gpointer data)
{
	(void)data;
	g_input_stream_close_finish(G_INPUT_STREAM(source), result, NULL);
}

static void exchange_free_members(gpointer data)
{
	struct http_exchange *exchange = data;

	g_signal_handler_disconnect(exchange->message,
				    exchange->starting_handler);
	if (exchange->input)
		g_input_stream_close_async(exchange->input, G_PRIORITY_DEFAULT,
					   NULL, exchange_input_closed, NULL);
	g_clear_object(&exchange->input);
	g_object_unref(exchange->cancellable);
	g_object_unref(exchange->message);
	g_object_unref(exchange->session);
	g_free(exchange->peer);
}

/*
 * An open exchange holds one reference, and each pending operation and running
 * callback another.
 */
static void exchange_ref(struct http_exchange *exchange)
{
	g_rc_box_acquire(exchange);
}

static void exchange_unref(struct http_exchange *exchange)
{
	g_rc_box_release_full(exchange, exchange_free_members);
}

static void exchange_close(struct http_exchange *exchange)
{
	exchange->closed = true;
	exchange_clear_timers(exchange);
	g_cancellable_cancel(exchange->cancellable);
	exchange_unref(exchange);
}

/* Cancels without a callback and closes the connection. NULL is allowed. */
void http_exchange_cancel(struct http_exchange *exchange)
{
	if (!exchange || exchange->closed)
		return;
	exchange_close(exchange);
}

static void exchange_end(struct http_exchange *exchange,
			 const struct error *error)
{
	if (exchange->closed)
		return;
	exchange_ref(exchange);
	exchange_close(exchange);
	exchange->ended(exchange->data, error);
	exchange_unref(exchange);
}

static enum error_code exchange_error_code(const struct http_exchange *exchange,
					   const GError *problem)
{
	if (!exchange->may_be_sent)
		return ERROR_UNREACHABLE;
	if (g_error_matches(problem, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
		return ERROR_TIMEOUT;
	if (problem->domain == SOUP_SESSION_ERROR)
		return ERROR_INVALID;
	return ERROR_CLOSED;
}

static void exchange_fail(struct http_exchange *exchange, GError *problem)
{
	char *text = http_head_guard_error_text(problem);
	struct error error;

	error_set(&error, exchange_error_code(exchange, problem),
		  exchange->step, exchange->peer, "%s", text);
	g_free(text);
	g_error_free(problem);
	exchange_end(exchange, &error);
}

static void exchange_read(struct http_exchange *exchange);

static bool exchange_has_body(const struct http_exchange *exchange)
{
	SoupStatus status = soup_message_get_status(exchange->message);

	return status != SOUP_STATUS_NO_CONTENT &&
	       status != SOUP_STATUS_NOT_MODIFIED &&
	       !g_str_equal(soup_message_get_method(exchange->message), "HEAD");
}

/*
 * libsoup accepts an answer that is shorter than its Content-Length if the
 * connection was to be closed after it. If such a truncated answer were
 * forwarded, it would be taken for a complete one.
 */
static bool exchange_is_truncated(const struct http_exchange *exchange)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(exchange->message);

	return exchange_has_body(exchange) &&
	       soup_message_headers_get_encoding(headers) ==
		       SOUP_ENCODING_CONTENT_LENGTH &&
	       exchange->received_bytes <
		       soup_message_headers_get_content_length(headers);
}

static void exchange_got_eof(struct http_exchange *exchange)
{
	struct error error;

	if (!exchange_is_truncated(exchange)) {
		exchange_end(exchange, NULL);
		return;
	}
	error_set(&error, ERROR_CLOSED, exchange->step, exchange->peer,
		  "the answer is shorter than its Content-Length");
	exchange_end(exchange, &error);
}

static void exchange_got_bytes(GObject *source, GAsyncResult *result,
			       gpointer data)
{
	struct http_exchange *exchange = data;
	GError *problem = NULL;
	gssize got = g_input_stream_read_finish(G_INPUT_STREAM(source), result,
						&problem);

	if (exchange->closed) {
		g_clear_error(&problem);
	} else if (got < 0) {
		exchange_fail(exchange, problem);
	} else if (got == 0) {
		exchange_got_eof(exchange);
	} else {
		exchange->received_bytes += got;
		exchange->bytes(exchange->data, exchange->buffer, (size_t)got);
	}
	if (!exchange->closed && !exchange->paused)
		exchange_read(exchange);
	exchange_unref(exchange);
}

static void exchange_read(struct http_exchange *exchange)
{
	if (g_input_stream_has_pending(exchange->input))
		return;
	exchange_ref(exchange);
	g_input_stream_read_async(exchange->input, exchange->buffer,
				  sizeof(exchange->buffer), G_PRIORITY_DEFAULT,
				  exchange->cancellable, exchange_got_bytes,
				  exchange);
}

/*
 * Returns false for an answer whose end is marked only by the close of the
 * connection: a truncated answer looks the same and, if it were forwarded,
 * would be taken for a complete one.
 */
static bool exchange_has_framing(struct http_exchange *exchange)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(exchange->message);

	return !exchange_has_body(exchange) ||
	       soup_message_headers_get_encoding(headers) != SOUP_ENCODING_EOF;
}

static void exchange_got_headers(GObject *source, GAsyncResult *result,
				 gpointer data)
{
	struct http_exchange *exchange = data;
	GError *problem = NULL;
	struct error error;

	exchange->input = soup_session_send_finish(SOUP_SESSION(source), result,
						   &problem);
	if (exchange->closed) {
		g_clear_error(&problem);
	} else if (!exchange->input) {
		exchange_fail(exchange, problem);
	} else if (!exchange_has_framing(exchange)) {
		error_set(
			&error, ERROR_INVALID, exchange->step, exchange->peer,
			"the answer has no Content-Length and is not chunked");
		exchange_end(exchange, &error);
	} else {
		exchange->headers(exchange->data, exchange->message);
	}
	if (!exchange->closed && !exchange->paused)
		exchange_read(exchange);
	exchange_unref(exchange);
}

/*
 * libsoup emits "starting" before it writes the first byte of the request. If
 * the exchange fails earlier, the request was certainly not sent.
 */
static void exchange_starting(SoupMessage *message, gpointer data)
{
	struct http_exchange *exchange = data;

	(void)message;
	exchange->may_be_sent = true;
	if (exchange->connect_source)
		g_source_remove(exchange->connect_source);
	exchange->connect_source = 0;
}

static gboolean exchange_connect_timed_out(gpointer data)
{
	struct http_exchange *exchange = data;
	struct error error;

	exchange->connect_source = 0;
	error_set(&error, ERROR_UNREACHABLE, exchange->step, exchange->peer,
		  "the connect timeout expired");
	exchange_end(exchange, &error);
	return G_SOURCE_REMOVE;
}

static gboolean exchange_answer_timed_out(gpointer data)
{
	struct http_exchange *exchange = data;
	struct error error;

	exchange->answer_source = 0;
	error_set(&error,
		  exchange->may_be_sent ? ERROR_TIMEOUT : ERROR_UNREACHABLE,
		  exchange->step, exchange->peer, "the answer timeout expired");
	exchange_end(exchange, &error);
	return G_SOURCE_REMOVE;
}

static void exchange_start_timers(struct http_exchange *exchange,
				  const struct http_exchange_options *options)
{
	if (options->connect_timeout_ms > 0)
		exchange->connect_source =
			g_timeout_add((guint)options->connect_timeout_ms,
				      exchange_connect_timed_out, exchange);
	if (options->answer_timeout_us > 0)
		exchange->answer_source = g_timeout_add(
			(guint)(options->answer_timeout_us / US_PER_MS + 1),
			exchange_answer_timed_out, exchange);
}

/* Sends the message. No callback runs before the main loop does. */
struct http_exchange *
http_exchange_start(const struct http_exchange_options *options)
{
	struct http_exchange *exchange = g_rc_box_new0(struct http_exchange);

	exchange->session = g_object_ref(options->session);
	exchange->message = g_object_ref(options->message);
	exchange->cancellable = g_cancellable_new();
	exchange->step = options->step;
	exchange->peer = g_strdup(options->peer);
	exchange->headers = options->headers;
	exchange->bytes = options->bytes;
	exchange->ended = options->ended;
	exchange->data = options->data;
	exchange->starting_handler =
		g_signal_connect(exchange->message, "starting",
				 G_CALLBACK(exchange_starting), exchange);
	exchange_start_timers(exchange, options);
	exchange_ref(exchange);
	soup_session_send_async(exchange->session, exchange->message,
				G_PRIORITY_DEFAULT, exchange->cancellable,
				exchange_got_headers, exchange);
	return exchange;
}

/*
 * Pauses or resumes reading. While paused, the socket's buffer fills and TCP
 * flow control stops the peer. A read that is already pending still delivers
 * one piece.
 */
void http_exchange_pause(struct http_exchange *exchange, bool pause)
{
	exchange->paused = pause;
	if (!pause && exchange->input && !exchange->closed)
		exchange_read(exchange);
}

/* Returns false if no byte of the request can have reached the peer. */
bool http_exchange_may_be_sent(const struct http_exchange *exchange)
{
	return exchange->may_be_sent;
}

/*
 * Creates a session without proxies, cookies, authentication and content
 * decoding, because peers are addressed by IP address and their bytes are
 * forwarded unchanged. The caller unrefs it.
 */
SoupSession *http_exchange_session_create(void)
{
	SoupSession *session = soup_session_new_with_options(
		"max-conns", CONNECTIONS_MAX, "max-conns-per-host",
		CONNECTIONS_MAX, "idle-timeout", IDLE_TIMEOUT_S, "timeout", 0,
		"user-agent", "siskinlink", NULL);

	http_head_guard_add(session);
	soup_session_remove_feature_by_type(session, SOUP_TYPE_AUTH_MANAGER);
	soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
	return session;
}

/*
 * A libsoup session iterates over all its messages, open streams included,
 * whenever one of them starts or ends. With a single session, a node with a
 * thousand streams would spend its time on this and would open no connection
 * for seconds.
 */
struct http_session_pool {
	SoupSession *sessions[SESSION_COUNT];
	uint32_t next;
};

/* Creates a pool. Each session is created at its first use. */
struct http_session_pool *http_session_pool_create(void)
{
	return g_new0(struct http_session_pool, 1);
}

/* Unrefs the sessions; exchanges keep their own reference. NULL is allowed. */
void http_session_pool_destroy(struct http_session_pool *sessions)
{
	if (!sessions)
		return;
	for (size_t i = 0; i < SESSION_COUNT; i++)
		g_clear_object(&sessions->sessions[i]);
	g_free(sessions);
}

/* Returns the sessions in turn. The pool owns the session. */
SoupSession *http_session_pool_next(struct http_session_pool *sessions)
{
	SoupSession **session = &sessions->sessions[sessions->next];

	sessions->next = (sessions->next + 1) % SESSION_COUNT;
	if (!*session)
		*session = http_exchange_session_create();
	return *session;
}
