#include "adapters/bounded_request.h"

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
	bool cancelled; /* nobody waits: free when the library lets go */
	bounded_request_done done;
	void *data;
};

static void bounded_request_stop_timer(struct bounded_request *call)
{
	if (!call->timer)
		return;
	g_source_destroy(call->timer);
	g_clear_pointer(&call->timer, g_source_unref);
}

static void bounded_request_free(struct bounded_request *call)
{
	bounded_request_stop_timer(call);
	if (call->message)
		g_signal_handlers_disconnect_by_data(call->message, call);
	g_clear_object(&call->message);
	g_clear_object(&call->cancellable);
	g_clear_object(&call->input);
	g_byte_array_unref(call->body);
	g_free(call->peer);
	g_free(call);
}

/* The call is over before the callback runs, so that it may start another. */
static void bounded_request_finish(struct bounded_request *call,
				   struct bounded_result *result)
{
	bounded_request_done done = call->done;
	void *data = call->data;
	bool cancelled = call->cancelled;

	result->sent = call->sent;
	bounded_request_free(call);
	if (!cancelled)
		done(data, result);
}

static void bounded_request_fail(struct bounded_request *call,
				 enum error_code code, const char *detail)
{
	struct bounded_result result = {0};

	if (call->timed_out)
		code = ERROR_TIMEOUT;
	else if (code == ERROR_CLOSED && !call->sent)
		code = ERROR_UNREACHABLE;
	error_set(&result.error, code, call->step, call->peer, "%s",
		  call->timed_out ? "no whole answer in time" : detail);
	bounded_request_finish(call, &result);
}

static void bounded_request_succeed(struct bounded_request *call)
{
	struct bounded_result result = {0};
	GBytes *body = g_bytes_new(call->body->data, call->body->len);

	result.status = (int32_t)soup_message_get_status(call->message);
	result.body = body;
	bounded_request_finish(call, &result);
	g_bytes_unref(body);
}

static void bounded_request_read(struct bounded_request *call);

static void on_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct bounded_request *call = data;
	GError *cause = NULL;
	GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
							 result, &cause);
	size_t size;

	if (!bytes) {
		bounded_request_fail(call, ERROR_CLOSED, cause->message);
		g_error_free(cause);
		return;
	}
	size = g_bytes_get_size(bytes);
	if (size == 0) {
		bounded_request_succeed(call);
	} else if (call->body->len + size > call->max_answer_bytes) {
		bounded_request_fail(call, ERROR_TOO_LARGE,
				     "answer over the limit");
	} else {
		g_byte_array_append(call->body, g_bytes_get_data(bytes, NULL),
				    (guint)size);
		bounded_request_read(call);
	}
	g_bytes_unref(bytes);
}

static void bounded_request_read(struct bounded_request *call)
{
	g_input_stream_read_bytes_async(call->input, READ_BYTES,
					G_PRIORITY_DEFAULT, call->cancellable,
					on_read, call);
}

static void on_headers(GObject *source, GAsyncResult *result, gpointer data)
{
	struct bounded_request *call = data;
	GError *cause = NULL;

	call->input =
		soup_session_send_finish(SOUP_SESSION(source), result, &cause);
	if (call->input) {
		bounded_request_read(call);
		return;
	}
	bounded_request_fail(call, ERROR_CLOSED, cause->message);
	g_error_free(cause);
}

static void on_starting(SoupMessage *message, gpointer data)
{
	struct bounded_request *call = data;

	(void)message;
	call->sent = true;
}

static gboolean on_timeout(gpointer data)
{
	struct bounded_request *call = data;

	call->timed_out = true;
	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

static gboolean on_refused(gpointer data)
{
	struct bounded_request *call = data;

	bounded_request_fail(call, ERROR_INVALID,
			     call->message ? "request over the limit"
					   : "not an address");
	return G_SOURCE_REMOVE;
}

static void bounded_request_attach(struct bounded_request *call,
				   GSource *source, GSourceFunc run)
{
	call->timer = source;
	g_source_set_callback(source, run, call, NULL);
	g_source_attach(source, g_main_context_get_thread_default());
}

/* The message for a spec, or NULL if its URL is none. */
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
 * Starts a request; done is called once, never from inside this function,
 * unless the request is cancelled before. fresh_connection is for writes. On a
 * kept connection a write can be sent just as the server closes it, and is
 * then in doubt although nothing is wrong; and where the server is gone, only
 * a refused connection proves that nothing was sent. The library sends again
 * by itself only what it holds to be idempotent, which a POST is not.
 */
struct bounded_request *
bounded_request_start(SoupSession *session,
		      const struct bounded_request_spec *spec,
		      bounded_request_done done, void *data)
{
	struct bounded_request *call = g_new0(struct bounded_request, 1);

	call->message = bounded_request_create_message(spec);
	call->cancellable = g_cancellable_new();
	call->body = g_byte_array_new();
	call->max_answer_bytes = spec->max_answer_bytes;
	call->step = spec->step;
	call->peer = g_strdup(spec->peer);
	call->done = done;
	call->data = data;
	if (!call->message || (spec->body && g_bytes_get_size(spec->body) >
						     spec->max_request_bytes)) {
		bounded_request_attach(call, g_idle_source_new(), on_refused);
		return call;
	}
	g_signal_connect(call->message, "starting", G_CALLBACK(on_starting),
			 call);
	bounded_request_attach(
		call,
		g_timeout_source_new((guint)MAX(spec->timeout_us / 1000, 1)),
		on_timeout);
	soup_session_send_async(session, call->message, G_PRIORITY_DEFAULT,
				call->cancellable, on_headers, call);
	return call;
}

/* Lets go of a call; done is not called any more. NULL is allowed. */
void bounded_request_cancel(struct bounded_request *call)
{
	if (!call)
		return;
	call->cancelled = true;
	g_cancellable_cancel(call->cancellable);
}
