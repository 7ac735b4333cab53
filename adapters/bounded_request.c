#include "adapters/bounded_request.h"

#include "adapters/http_head_guard.h"

#include <string.h>

enum { READ_BYTES = 64 * 1024 };

struct bounded_request {
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *input;
	GByteArray *body;
	GSource *timer;
	size_t max_answer_bytes;
	const char *step;
	char *peer;
	bool sent;
	bool timed_out;
	bool cancelled; /* done is not called; freed when libsoup finishes */
	bounded_request_done done;
	void *data;
};

static void bounded_request_stop_timer(struct bounded_request *request)
{
	if (!request->timer)
		return;
	g_source_destroy(request->timer);
	g_clear_pointer(&request->timer, g_source_unref);
}

static void bounded_request_free(struct bounded_request *request)
{
	bounded_request_stop_timer(request);
	if (request->message)
		g_signal_handlers_disconnect_by_data(request->message, request);
	g_clear_object(&request->message);
	g_clear_object(&request->cancellable);
	g_clear_object(&request->input);
	g_byte_array_unref(request->body);
	g_free(request->peer);
	g_free(request);
}

/* Frees the request before the callback runs, so that it may start another. */
static void bounded_request_finish(struct bounded_request *request,
				   struct bounded_result *result)
{
	bounded_request_done done = request->done;
	void *data = request->data;
	bool cancelled = request->cancelled;

	result->sent = request->sent;
	bounded_request_free(request);
	if (!cancelled)
		done(data, result);
}

static void bounded_request_fail(struct bounded_request *request,
				 enum error_code code, const char *detail)
{
	struct bounded_result result = {0};

	if (request->timed_out)
		code = ERROR_TIMEOUT;
	else if (code == ERROR_CLOSED && !request->sent)
		code = ERROR_UNREACHABLE;
	error_set(&result.error, code, request->step, request->peer, "%s",
		  request->timed_out ? "timed out before a complete answer"
				     : detail);
	bounded_request_finish(request, &result);
}

static void bounded_request_succeed(struct bounded_request *request)
{
	struct bounded_result result = {0};
	GBytes *body = g_bytes_new(request->body->data, request->body->len);

	result.status = (int32_t)soup_message_get_status(request->message);
	result.body = body;
	bounded_request_finish(request, &result);
	g_bytes_unref(body);
}

static void bounded_request_read(struct bounded_request *request);

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct bounded_request *request = data;
	GError *cause = NULL;
	GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
							 result, &cause);
	size_t size;

	if (!bytes) {
		bounded_request_fail(request, ERROR_CLOSED, cause->message);
		g_error_free(cause);
		return;
	}
	size = g_bytes_get_size(bytes);
	if (size == 0) {
		bounded_request_succeed(request);
	} else if (request->body->len + size > request->max_answer_bytes) {
		bounded_request_fail(request, ERROR_TOO_LARGE,
				     "answer exceeds the size limit");
	} else {
		g_byte_array_append(request->body,
				    g_bytes_get_data(bytes, NULL), (guint)size);
		bounded_request_read(request);
	}
	g_bytes_unref(bytes);
}

static void bounded_request_read(struct bounded_request *request)
{
	g_input_stream_read_bytes_async(request->input, READ_BYTES,
					G_PRIORITY_DEFAULT,
					request->cancellable, on_read, request);
}

static void on_headers(GObject *source, GAsyncResult *result, gpointer data)
{
	struct bounded_request *request = data;
	GError *cause = NULL;
	char *text;

	request->input =
		soup_session_send_finish(SOUP_SESSION(source), result, &cause);
	if (request->input) {
		bounded_request_read(request);
		return;
	}
	text = http_head_guard_error_text(cause);
	bounded_request_fail(request, ERROR_CLOSED, text);
	g_free(text);
	g_error_free(cause);
}

static void on_starting(SoupMessage *message, gpointer data)
{
	struct bounded_request *request = data;

	(void)message;
	request->sent = true;
}

static gboolean on_timeout(gpointer data)
{
	struct bounded_request *request = data;

	request->timed_out = true;
	g_cancellable_cancel(request->cancellable);
	return G_SOURCE_REMOVE;
}

static gboolean on_invalid_request(gpointer data)
{
	struct bounded_request *request = data;

	bounded_request_fail(request, ERROR_INVALID,
			     request->message ? "request exceeds the size limit"
					      : "invalid URL");
	return G_SOURCE_REMOVE;
}

static void bounded_request_add_source(struct bounded_request *request,
				       GSource *source, GSourceFunc run)
{
	request->timer = source;
	g_source_set_callback(source, run, request, NULL);
	g_source_attach(source, g_main_context_get_thread_default());
}

/*
 * Creates the message for a request, without starting it. NULL if the URL is
 * invalid; the caller owns the message.
 */
SoupMessage *
bounded_request_create_message(const struct bounded_request_spec *spec)
{
	SoupMessage *message = soup_message_new(spec->method, spec->url);

	if (!message)
		return NULL;
	soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
	if (spec->fresh_connection)
		soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
	if (spec->body)
		soup_message_set_request_body_from_bytes(
			message, "application/json", spec->body);
	return message;
}

/*
 * Starts a request. done is called once, never from inside this function, and
 * not at all if the request is cancelled first. The request is freed before
 * done is called. An invalid URL or a body over max_request_bytes fails with
 * ERROR_INVALID.
 *
 * Writes set fresh_connection. On a reused connection a write can be sent just
 * as the server closes it, which leaves its outcome in doubt although nothing
 * failed; and if the server is down, only a refused connection proves that
 * nothing was sent. libsoup resends by itself only methods that it takes for
 * idempotent, which POST is not.
 */
struct bounded_request *
bounded_request_start(SoupSession *session,
		      const struct bounded_request_spec *spec,
		      bounded_request_done done, void *data)
{
	struct bounded_request *request = g_new0(struct bounded_request, 1);

	request->message = bounded_request_create_message(spec);
	request->cancellable = g_cancellable_new();
	request->body = g_byte_array_new();
	request->max_answer_bytes = spec->max_answer_bytes;
	request->step = spec->step;
	request->peer = g_strdup(spec->peer);
	request->done = done;
	request->data = data;
	if (!request->message ||
	    (spec->body &&
	     g_bytes_get_size(spec->body) > spec->max_request_bytes)) {
		bounded_request_add_source(request, g_idle_source_new(),
					   on_invalid_request);
		return request;
	}
	g_signal_connect(request->message, "starting", G_CALLBACK(on_starting),
			 request);
	bounded_request_add_source(
		request,
		g_timeout_source_new((guint)MAX(spec->timeout_us / 1000, 1)),
		on_timeout);
	soup_session_send_async(session, request->message, G_PRIORITY_DEFAULT,
				request->cancellable, on_headers, request);
	return request;
}

/* Cancels a request; done is no longer called. NULL is allowed. */
void bounded_request_cancel(struct bounded_request *request)
{
	if (!request)
		return;
	request->cancelled = true;
	g_cancellable_cancel(request->cancellable);
}
