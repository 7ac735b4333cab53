#include "adapters/kv_watch.h"

#include "adapters/bounded_request.h"
#include "codec/etcd_json.h"
#include "codec/etcd_watch.h"

#include <string.h>

enum {
	READ_CHUNK_BYTES = 64 * 1024,
	READ_TIMEOUT_US = 2 * G_USEC_PER_SEC,
	OPEN_TIMEOUT_MS = 5000,
	INITIAL_BACKOFF_MS = 100,
	MAX_BACKOFF_MS = 2000,
	MAX_BACKOFF_DOUBLINGS = 5
};

/*
 * The answer of one watch request. It outlives its watch until its pending
 * asynchronous call has returned.
 */
struct kv_stream {
	struct kv_watch *watch; /* NULL after cancellation */
	GCancellable *cancellable;
	GInputStream *input;
	GByteArray *buffer; /* received, not yet parsed */
};

struct kv_watch {
	SoupSession *session;
	char *address;
	char *key;
	size_t max_answer_bytes;
	int64_t resync_ms;
	GRand *rand;
	struct log *log;
	struct counters *counters;
	struct event_sink sink;

	struct bounded_request *read;
	struct kv_stream *stream;
	GSource *retry_timer;
	GSource *resync_timer;
	GSource *open_timer;
	int failures; /* since the last change or resync, bounded */
	bool delivered;
	bool delivered_absent;
	int64_t delivered_revision;
};

static void kv_watch_read(struct kv_watch *watch);

static void increment_counter(struct kv_watch *watch, enum counter id)
{
	if (watch->counters)
		counters_add(watch->counters, id, 1);
}

static void clear_source(GSource **source)
{
	if (!*source)
		return;
	g_source_destroy(*source);
	g_clear_pointer(source, g_source_unref);
}

static GSource *start_timer(struct kv_watch *watch, int64_t delay_ms,
			    GSourceFunc run)
{
	GSource *source = g_timeout_source_new((guint)delay_ms);

	g_source_set_callback(source, run, watch, NULL);
	g_source_attach(source, g_main_context_get_thread_default());
	return source;
}

/*
 * Delivers a state unless it, or a newer one, was delivered before. A lagging
 * replica can answer a read, a reopened stream repeats changes, and a service
 * restored from a backup restarts from an earlier revision. In each case an
 * accepted configuration would appear to revert.
 */
static void kv_watch_deliver(struct kv_watch *watch, int64_t revision,
			     GBytes *value)
{
	struct event event = {.type = EVENT_KV_WATCH};

	if (watch->delivered && revision <= watch->delivered_revision)
		return;
	if (watch->delivered && !value && watch->delivered_absent)
		return;
	watch->delivered = true;
	watch->delivered_absent = value == NULL;
	watch->delivered_revision = revision;
	event.kv_watch.key = watch->key;
	event.kv_watch.mod_revision = revision;
	event.kv_watch.value = value;
	watch->sink.deliver(watch->sink.data, &event);
}

static void kv_stream_free(struct kv_stream *stream)
{
	g_clear_object(&stream->cancellable);
	g_clear_object(&stream->input);
	g_byte_array_unref(stream->buffer);
	g_free(stream);
}

static void kv_watch_cancel_stream(struct kv_watch *watch)
{
	clear_source(&watch->open_timer);
	if (!watch->stream)
		return;
	watch->stream->watch = NULL;
	g_cancellable_cancel(watch->stream->cancellable);
	watch->stream = NULL;
}

static gboolean on_retry(gpointer data)
{
	struct kv_watch *watch = data;

	clear_source(&watch->retry_timer);
	kv_watch_read(watch);
	return G_SOURCE_REMOVE;
}

/*
 * Schedules a retry, which reads the key and opens the watch again. The limit
 * of the delay doubles with each failure up to 2 s, and the delay is a random
 * value between half the limit and the limit: all nodes lose the service at
 * the same moment and must not reconnect simultaneously.
 */
static void kv_watch_back_off(struct kv_watch *watch, const struct error *error)
{
	int64_t limit_ms =
		MIN(INITIAL_BACKOFF_MS << watch->failures, MAX_BACKOFF_MS);

	if (watch->log && watch->failures == 0)
		log_write_error(watch->log, LOG_LEVEL_WARN, "kv_watch_broken",
				error);
	increment_counter(watch, COUNTER_KV_FAILED);
	watch->failures = MIN(watch->failures + 1, MAX_BACKOFF_DOUBLINGS);
	kv_watch_cancel_stream(watch);
	clear_source(&watch->retry_timer);
	watch->retry_timer = start_timer(
		watch,
		g_rand_int_range(watch->rand, (gint32)(limit_ms / 2),
				 (gint32)limit_ms + 1),
		on_retry);
}

/* Delivers the changes of one line; false if the stream must be closed. */
static bool kv_stream_process_line(struct kv_stream *stream, GBytes *line,
				   struct error *error)
{
	size_t max_bytes = stream->watch->max_answer_bytes;
	struct etcd_watch_message message;
	bool canceled;

	if (!etcd_watch_message_parse(line, max_bytes, &message, error))
		return false;
	clear_source(&stream->watch->open_timer);
	for (guint i = 0; stream->watch && i < message.changes->len; i++) {
		const struct etcd_change *change =
			g_ptr_array_index(message.changes, i);

		if (strcmp(change->key, stream->watch->key) != 0)
			continue;
		stream->watch->failures = 0;
		kv_watch_deliver(stream->watch, change->mod_revision,
				 change->value);
	}
	canceled = message.canceled;
	etcd_watch_message_clear(&message);
	if (canceled)
		error_set(error, ERROR_CLOSED, "kv.watch", "",
			  "the service ended the watch");
	return !canceled;
}

/* Processes the complete lines of the buffer; a partial one stays in it. */
static bool kv_stream_process_lines(struct kv_stream *stream,
				    struct error *error)
{
	guint8 *end;

	while (stream->watch && stream->buffer->len &&
	       (end = memchr(stream->buffer->data, '\n',
			     stream->buffer->len))) {
		guint size = (guint)(end - stream->buffer->data);
		GBytes *line = g_bytes_new(stream->buffer->data, size);
		bool ok;

		g_byte_array_remove_range(stream->buffer, 0, size + 1);
		ok = size == 0 || kv_stream_process_line(stream, line, error);
		g_bytes_unref(line);
		if (!ok)
			return false;
	}
	if (stream->watch &&
	    stream->buffer->len > stream->watch->max_answer_bytes) {
		error_set(error, ERROR_TOO_LARGE, "kv.watch",
			  stream->watch->address, "line exceeds %zu bytes",
			  stream->watch->max_answer_bytes);
		return false;
	}
	return true;
}

/* Frees a stream whose last asynchronous call has returned. */
static void kv_stream_end(struct kv_stream *stream, const struct error *error)
{
	struct kv_watch *watch = stream->watch;

	if (watch) {
		watch->stream = NULL;
		kv_watch_back_off(watch, error);
	}
	kv_stream_free(stream);
}

static void kv_stream_read(struct kv_stream *stream);

static void on_stream_read(GObject *source, GAsyncResult *result, gpointer data)
{
	struct kv_stream *stream = data;
	struct error error;
	GBytes *bytes = g_input_stream_read_bytes_finish(G_INPUT_STREAM(source),
							 result, NULL);
	bool ok = bytes && g_bytes_get_size(bytes) > 0;

	error_set(&error, ERROR_CLOSED, "kv.watch",
		  stream->watch ? stream->watch->address : "",
		  "the stream ended");
	if (ok && stream->watch) {
		g_byte_array_append(stream->buffer,
				    g_bytes_get_data(bytes, NULL),
				    (guint)g_bytes_get_size(bytes));
		ok = kv_stream_process_lines(stream, &error);
	}
	g_clear_pointer(&bytes, g_bytes_unref);
	if (ok && stream->watch)
		kv_stream_read(stream);
	else
		kv_stream_end(stream, &error);
}

static void kv_stream_read(struct kv_stream *stream)
{
	g_input_stream_read_bytes_async(stream->input, READ_CHUNK_BYTES,
					G_PRIORITY_DEFAULT, stream->cancellable,
					on_stream_read, stream);
}

static void on_stream_headers(GObject *source, GAsyncResult *result,
			      gpointer data)
{
	struct kv_stream *stream = data;
	SoupMessage *message = soup_session_get_async_result_message(
		SOUP_SESSION(source), result);
	unsigned status = soup_message_get_status(message);
	struct error error;

	stream->input =
		soup_session_send_finish(SOUP_SESSION(source), result, NULL);
	if (stream->input && status == SOUP_STATUS_OK && stream->watch) {
		kv_stream_read(stream);
		return;
	}
	error_set(&error, ERROR_REFUSED, "kv.watch",
		  stream->watch ? stream->watch->address : "",
		  "could not open the watch, status %u", status);
	kv_stream_end(stream, &error);
}

static gboolean on_open_timeout(gpointer data)
{
	struct kv_watch *watch = data;
	struct error error;

	clear_source(&watch->open_timer);
	error_set(&error, ERROR_TIMEOUT, "kv.watch", watch->address,
		  "the watch did not open in time");
	kv_watch_back_off(watch, &error);
	return G_SOURCE_REMOVE;
}

static void kv_watch_open(struct kv_watch *watch, int64_t start_revision)
{
	struct kv_stream *stream = g_new0(struct kv_stream, 1);
	char *url = g_strdup_printf("http://%s/v3/watch", watch->address);
	GBytes *body = etcd_watch_format_request(watch->key, start_revision);
	struct bounded_request_spec spec = {.method = "POST",
					    .url = url,
					    .body = body,
					    .fresh_connection = true};
	SoupMessage *message = bounded_request_create_message(&spec);

	increment_counter(watch, COUNTER_KV_CALLS);
	stream->watch = watch;
	stream->cancellable = g_cancellable_new();
	stream->buffer = g_byte_array_new();
	watch->stream = stream;
	watch->open_timer =
		start_timer(watch, OPEN_TIMEOUT_MS, on_open_timeout);
	soup_session_send_async(watch->session, message, G_PRIORITY_DEFAULT,
				stream->cancellable, on_stream_headers, stream);
	g_object_unref(message);
	g_bytes_unref(body);
	g_free(url);
}

/*
 * Delivers the state that was read, and opens a stream if none is open. If the
 * state is new although a stream is open, that stream is late or has stalled
 * without closing, and a new one replaces it.
 */
static void kv_watch_apply_read(struct kv_watch *watch,
				const struct kv_answer *answer)
{
	const struct kv_entry *entry =
		answer->entries->len ? g_ptr_array_index(answer->entries, 0)
				     : NULL;
	int64_t previous_revision =
		watch->delivered ? watch->delivered_revision : -1;
	int64_t revision = answer->revision;

	if (entry)
		kv_watch_deliver(watch, entry->mod_revision, entry->value);
	else
		kv_watch_deliver(watch, revision, NULL);
	if (watch->stream && watch->delivered_revision == previous_revision)
		return;
	kv_watch_cancel_stream(watch);
	kv_watch_open(watch, revision + 1);
}

static void on_watch_read(void *data, const struct bounded_result *result)
{
	struct kv_watch *watch = data;
	struct kv_request request = {.op = KV_GET};
	struct error error = result->error;
	struct kv_answer answer;

	watch->read = NULL;
	if (result->status != SOUP_STATUS_OK) {
		if (result->status)
			error_set(&error, ERROR_REFUSED, "kv.watch",
				  watch->address, "status %d", result->status);
	} else if (etcd_json_parse_answer(&request, result->body,
					  watch->max_answer_bytes, &answer,
					  &error)) {
		kv_watch_apply_read(watch, &answer);
		kv_answer_clear(&answer);
		return;
	}
	if (!watch->stream)
		kv_watch_back_off(watch, &error);
}

static void kv_watch_read(struct kv_watch *watch)
{
	struct kv_request request = {.op = KV_GET, .key = watch->key};
	char *url = g_strdup_printf("http://%s%s", watch->address,
				    etcd_json_path(KV_GET));
	GBytes *body = etcd_json_format_request(&request);
	struct bounded_request_spec spec = {
		.method = "POST",
		.url = url,
		.body = body,
		.max_request_bytes = watch->max_answer_bytes,
		.max_answer_bytes = watch->max_answer_bytes,
		.timeout_us = READ_TIMEOUT_US,
		.step = "kv.watch",
		.peer = watch->address,
	};

	increment_counter(watch, COUNTER_KV_CALLS);
	watch->read = bounded_request_start(watch->session, &spec,
					    on_watch_read, watch);
	g_bytes_unref(body);
	g_free(url);
}

static void kv_watch_schedule_resync(struct kv_watch *watch);

/*
 * Reads the watched key periodically. A connection can stall without closing,
 * and its watch then looks like one of a key that does not change: the node
 * would keep an old configuration for ever. At the default interval of 10 s,
 * each watching node reads a tenth of a time per second, which is 3 reads per
 * second for the 30 watchers of 10 regions, or 48 if all of 480 nodes watched.
 */
static gboolean on_resync(gpointer data)
{
	struct kv_watch *watch = data;

	kv_watch_schedule_resync(watch);
	if (watch->stream && !watch->read) {
		watch->failures = 0;
		kv_watch_read(watch);
	}
	return G_SOURCE_REMOVE;
}

static void kv_watch_schedule_resync(struct kv_watch *watch)
{
	double factor = g_rand_double_range(watch->rand, 0.8, 1.2);

	clear_source(&watch->resync_timer);
	watch->resync_timer = start_timer(
		watch, (int64_t)((double)watch->resync_ms * factor), on_resync);
}

/*
 * Starts watching a key. Options and sink are copied; the log and the counters
 * must outlive the watch. No event is delivered before this function returns.
 */
struct kv_watch *kv_watch_create(const struct kv_watch_options *options,
				 const struct event_sink *sink)
{
	struct kv_watch *watch = g_new0(struct kv_watch, 1);

	watch->session = g_object_ref(options->session);
	watch->address = g_strdup(options->address);
	watch->key = g_strdup(options->key);
	watch->max_answer_bytes = options->max_answer_bytes;
	watch->resync_ms = options->resync_ms;
	watch->rand = g_rand_new_with_seed((guint32)options->seed);
	watch->log = options->log;
	watch->counters = options->counters;
	watch->sink = *sink;
	kv_watch_schedule_resync(watch);
	kv_watch_read(watch);
	return watch;
}

/* Stops and frees a watch; no event follows. NULL is allowed. */
void kv_watch_destroy(struct kv_watch *watch)
{
	if (!watch)
		return;
	bounded_request_cancel(watch->read);
	kv_watch_cancel_stream(watch);
	clear_source(&watch->retry_timer);
	clear_source(&watch->resync_timer);
	g_rand_free(watch->rand);
	g_object_unref(watch->session);
	g_free(watch->address);
	g_free(watch->key);
	g_free(watch);
}

/* Returns the watched key, which the watch owns. */
const char *kv_watch_key(const struct kv_watch *watch)
{
	return watch->key;
}
