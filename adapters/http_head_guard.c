#include "adapters/http_head_guard.h"

#include "codec/status_line.h"

#include <gio/gio.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>

/*
 * libsoup opens its connections by GSocketClient, which lets a GProxy replace
 * the stream of a connection that it has opened. The guard is such a proxy,
 * without a server: its address is the peer's, and it only puts its streams
 * between libsoup and the socket.
 */
#define GUARD_PROTOCOL "siskinlink-head-guard"

/*
 * Bytes of the heads of one answer. libsoup bounds each, but not the number of
 * interim ones.
 */
#define MAX_HEADS_BYTES (256 * 1024)

/* What has been read of the answer to the last request of a connection. */
struct head {
	bool is_open; /* its empty line is still to come */
	bool has_line;
	struct status_line status_line;
	int64_t line_bytes;
	int64_t bytes; /* with those of interim answers */
	char last;
};

/* Called for each write. libsoup reads only after the last one of a request. */
static void head_start(struct head *head)
{
	*head = (struct head){.is_open = true};
}

/* Another head follows an interim answer's. */
static void head_start_next(struct head *head)
{
	*head = (struct head){.is_open = true, .bytes = head->bytes};
}

static void head_end_line(struct head *head)
{
	bool is_empty = head->line_bytes == 0 ||
			(head->line_bytes == 1 && head->last == '\r');

	head->line_bytes = 0;
	if (!is_empty)
		head->has_line = true;
	else if (head->has_line && status_line_is_interim(&head->status_line))
		head_start_next(head);
	else if (head->has_line)
		head->is_open = false;
}

static bool head_is_invalid(const struct head *head)
{
	return head->status_line.state == STATUS_LINE_INVALID;
}

static void head_read(struct head *head, const char *bytes, gssize length)
{
	for (gssize i = 0; i < length && head->is_open; i++) {
		head->bytes++;
		if (!head->has_line)
			status_line_read(&head->status_line, &bytes[i], 1);
		if (head_is_invalid(head))
			return;
		if (bytes[i] == '\n') {
			head_end_line(head);
			continue;
		}
		head->line_bytes++;
		head->last = bytes[i];
	}
}

/*
 * Returns what a read returns to libsoup: got, or -1 for a close too early, a
 * status that is none or heads without end.
 */
static gssize head_check(struct head *head, const void *buffer, gssize got,
			 GError **error)
{
	if (got > 0)
		head_read(head, buffer, got);
	if (got > 0 && head_is_invalid(head)) {
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA,
				    "the answer has a status that is none");
		return -1;
	}
	if (got > 0 && head->bytes > MAX_HEADS_BYTES) {
		g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_INVALID_DATA,
				    "the heads of the answer are too large");
		return -1;
	}
	if (got != 0 || !head->is_open)
		return got;
	g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT,
			    "the connection was closed before the end of the "
			    "answer's head");
	return -1;
}

/* The read side of a guarded connection. */
#define GUARDED_INPUT_TYPE guarded_input_get_type()
G_DECLARE_FINAL_TYPE(GuardedInput, guarded_input, GUARDED, INPUT,
		     GFilterInputStream)

struct _GuardedInput {
	GFilterInputStream parent_instance;
	struct head *head;
};

static void guarded_input_pollable_init(GPollableInputStreamInterface *iface);

G_DEFINE_TYPE_WITH_CODE(GuardedInput, guarded_input, G_TYPE_FILTER_INPUT_STREAM,
			G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_INPUT_STREAM,
					      guarded_input_pollable_init))

static GInputStream *guarded_input_base(gpointer stream)
{
	return g_filter_input_stream_get_base_stream(
		G_FILTER_INPUT_STREAM(stream));
}

static gssize guarded_input_read(GInputStream *stream, void *buffer,
				 gsize count, GCancellable *cancellable,
				 GError **error)
{
	gssize got = g_input_stream_read(guarded_input_base(stream), buffer,
					 count, cancellable, error);

	return head_check(GUARDED_INPUT(stream)->head, buffer, got, error);
}

static gssize guarded_input_read_nonblocking(GPollableInputStream *stream,
					     void *buffer, gsize count,
					     GError **error)
{
	gssize got = g_pollable_input_stream_read_nonblocking(
		G_POLLABLE_INPUT_STREAM(guarded_input_base(stream)), buffer,
		count, NULL, error);

	return head_check(GUARDED_INPUT(stream)->head, buffer, got, error);
}

static gboolean guarded_input_is_readable(GPollableInputStream *stream)
{
	return g_pollable_input_stream_is_readable(
		G_POLLABLE_INPUT_STREAM(guarded_input_base(stream)));
}

static GSource *guarded_input_create_source(GPollableInputStream *stream,
					    GCancellable *cancellable)
{
	GSource *base = g_pollable_input_stream_create_source(
		G_POLLABLE_INPUT_STREAM(guarded_input_base(stream)), NULL);
	GSource *source = g_pollable_source_new_full(stream, base, cancellable);

	g_source_unref(base);
	return source;
}

static void guarded_input_finalize(GObject *object)
{
	g_rc_box_release(GUARDED_INPUT(object)->head);
	G_OBJECT_CLASS(guarded_input_parent_class)->finalize(object);
}

static void guarded_input_init(GuardedInput *input)
{
	(void)input;
}

static void guarded_input_class_init(GuardedInputClass *class)
{
	G_OBJECT_CLASS(class)->finalize = guarded_input_finalize;
	G_INPUT_STREAM_CLASS(class)->read_fn = guarded_input_read;
}

static void guarded_input_pollable_init(GPollableInputStreamInterface *iface)
{
	iface->is_readable = guarded_input_is_readable;
	iface->create_source = guarded_input_create_source;
	iface->read_nonblocking = guarded_input_read_nonblocking;
}

/* The write side of a guarded connection. */
#define GUARDED_OUTPUT_TYPE guarded_output_get_type()
G_DECLARE_FINAL_TYPE(GuardedOutput, guarded_output, GUARDED, OUTPUT,
		     GFilterOutputStream)

struct _GuardedOutput {
	GFilterOutputStream parent_instance;
	struct head *head;
};

static void guarded_output_pollable_init(GPollableOutputStreamInterface *iface);

G_DEFINE_TYPE_WITH_CODE(GuardedOutput, guarded_output,
			G_TYPE_FILTER_OUTPUT_STREAM,
			G_IMPLEMENT_INTERFACE(G_TYPE_POLLABLE_OUTPUT_STREAM,
					      guarded_output_pollable_init))

static GOutputStream *guarded_output_base(gpointer stream)
{
	return g_filter_output_stream_get_base_stream(
		G_FILTER_OUTPUT_STREAM(stream));
}

static gssize guarded_output_write(GOutputStream *stream, const void *bytes,
				   gsize count, GCancellable *cancellable,
				   GError **error)
{
	head_start(GUARDED_OUTPUT(stream)->head);
	return g_output_stream_write(guarded_output_base(stream), bytes, count,
				     cancellable, error);
}

static gssize guarded_output_write_nonblocking(GPollableOutputStream *stream,
					       const void *bytes, gsize count,
					       GError **error)
{
	head_start(GUARDED_OUTPUT(stream)->head);
	return g_pollable_output_stream_write_nonblocking(
		G_POLLABLE_OUTPUT_STREAM(guarded_output_base(stream)), bytes,
		count, NULL, error);
}

static gboolean guarded_output_is_writable(GPollableOutputStream *stream)
{
	return g_pollable_output_stream_is_writable(
		G_POLLABLE_OUTPUT_STREAM(guarded_output_base(stream)));
}

static GSource *guarded_output_create_source(GPollableOutputStream *stream,
					     GCancellable *cancellable)
{
	GSource *base = g_pollable_output_stream_create_source(
		G_POLLABLE_OUTPUT_STREAM(guarded_output_base(stream)), NULL);
	GSource *source = g_pollable_source_new_full(stream, base, cancellable);

	g_source_unref(base);
	return source;
}

static void guarded_output_finalize(GObject *object)
{
	g_rc_box_release(GUARDED_OUTPUT(object)->head);
	G_OBJECT_CLASS(guarded_output_parent_class)->finalize(object);
}

static void guarded_output_init(GuardedOutput *output)
{
	(void)output;
}

static void guarded_output_class_init(GuardedOutputClass *class)
{
	G_OBJECT_CLASS(class)->finalize = guarded_output_finalize;
	G_OUTPUT_STREAM_CLASS(class)->write_fn = guarded_output_write;
}

static void guarded_output_pollable_init(GPollableOutputStreamInterface *iface)
{
	iface->is_writable = guarded_output_is_writable;
	iface->create_source = guarded_output_create_source;
	iface->write_nonblocking = guarded_output_write_nonblocking;
}

static GIOStream *guard_stream(GIOStream *connection)
{
	struct head *head = g_rc_box_new0(struct head);
	GuardedInput *input =
		g_object_new(GUARDED_INPUT_TYPE, "base-stream",
			     g_io_stream_get_input_stream(connection), NULL);
	GuardedOutput *output =
		g_object_new(GUARDED_OUTPUT_TYPE, "base-stream",
			     g_io_stream_get_output_stream(connection), NULL);
	GIOStream *stream;

	input->head = head;
	output->head = g_rc_box_acquire(head);
	stream = g_simple_io_stream_new(G_INPUT_STREAM(input),
					G_OUTPUT_STREAM(output));
	/* The socket is closed with its connection's last reference. */
	g_object_set_data_full(G_OBJECT(stream), "connection",
			       g_object_ref(connection), g_object_unref);
	g_object_unref(input);
	g_object_unref(output);
	return stream;
}

/* The resolver that names the proxy, and the proxy. */
#define HEAD_GUARD_TYPE head_guard_get_type()
G_DECLARE_FINAL_TYPE(HeadGuard, head_guard, HEAD, GUARD, GObject)

struct _HeadGuard {
	GObject parent_instance;
};

static void head_guard_resolver_init(GProxyResolverInterface *iface);
static void head_guard_proxy_init(GProxyInterface *iface);

G_DEFINE_TYPE_WITH_CODE(HeadGuard, head_guard, G_TYPE_OBJECT,
			G_IMPLEMENT_INTERFACE(G_TYPE_PROXY_RESOLVER,
					      head_guard_resolver_init)
				G_IMPLEMENT_INTERFACE(G_TYPE_PROXY,
						      head_guard_proxy_init))

static char **head_guard_lookup(GProxyResolver *resolver, const char *uri,
				GCancellable *cancellable, GError **error)
{
	char **proxies = g_new0(char *, 2);

	(void)resolver;
	(void)cancellable;
	(void)error;
	proxies[0] = g_strconcat(GUARD_PROTOCOL, strchr(uri, ':'), NULL);
	return proxies;
}

static void head_guard_lookup_async(GProxyResolver *resolver, const char *uri,
				    GCancellable *cancellable,
				    GAsyncReadyCallback callback, gpointer data)
{
	GTask *task = g_task_new(resolver, cancellable, callback, data);

	g_task_return_pointer(task,
			      head_guard_lookup(resolver, uri, NULL, NULL),
			      (GDestroyNotify)g_strfreev);
	g_object_unref(task);
}

static char **head_guard_lookup_finish(GProxyResolver *resolver,
				       GAsyncResult *result, GError **error)
{
	(void)resolver;
	return g_task_propagate_pointer(G_TASK(result), error);
}

static GIOStream *head_guard_connect(GProxy *proxy, GIOStream *connection,
				     GProxyAddress *address,
				     GCancellable *cancellable, GError **error)
{
	(void)proxy;
	(void)address;
	(void)cancellable;
	(void)error;
	return guard_stream(connection);
}

static void head_guard_connect_async(GProxy *proxy, GIOStream *connection,
				     GProxyAddress *address,
				     GCancellable *cancellable,
				     GAsyncReadyCallback callback,
				     gpointer data)
{
	GTask *task = g_task_new(proxy, cancellable, callback, data);

	(void)address;
	g_task_return_pointer(task, guard_stream(connection), g_object_unref);
	g_object_unref(task);
}

static GIOStream *head_guard_connect_finish(GProxy *proxy, GAsyncResult *result,
					    GError **error)
{
	(void)proxy;
	return g_task_propagate_pointer(G_TASK(result), error);
}

/* Keeps GIO from resolving the peer's name a second time. */
static gboolean head_guard_supports_hostname(GProxy *proxy)
{
	(void)proxy;
	return TRUE;
}

static void head_guard_resolver_init(GProxyResolverInterface *iface)
{
	iface->lookup = head_guard_lookup;
	iface->lookup_async = head_guard_lookup_async;
	iface->lookup_finish = head_guard_lookup_finish;
}

static void head_guard_proxy_init(GProxyInterface *iface)
{
	iface->connect = head_guard_connect;
	iface->connect_async = head_guard_connect_async;
	iface->connect_finish = head_guard_connect_finish;
	iface->supports_hostname = head_guard_supports_hostname;
}

static void head_guard_class_init(HeadGuardClass *class)
{
	(void)class;
	g_io_extension_point_register(G_PROXY_EXTENSION_POINT_NAME);
	g_io_extension_point_implement(G_PROXY_EXTENSION_POINT_NAME,
				       HEAD_GUARD_TYPE, GUARD_PROTOCOL, 0);
}

static void head_guard_init(HeadGuard *guard)
{
	(void)guard;
}

/* Guards the connections that the session opens from now on. */
void http_head_guard_add(SoupSession *session)
{
	HeadGuard *guard = g_object_new(HEAD_GUARD_TYPE, NULL);

	soup_session_set_proxy_resolver(session, G_PROXY_RESOLVER(guard));
	g_object_unref(guard);
}

/*
 * Returns the text of an error of a guarded session. GIO takes the peer for the
 * proxy that the guard is to it, and says so where it can't connect. The caller
 * frees the text.
 */
char *http_head_guard_error_text(const GError *error)
{
	GString *text = g_string_new(error->message);

	g_string_replace(text, " to proxy server ", " to ", 1);
	return g_string_free(text, FALSE);
}
