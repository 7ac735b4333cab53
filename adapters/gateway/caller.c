#include "adapters/gateway/caller.h"

#include "adapters/gateway/answer_memory.h"
#include "adapters/gateway/http_reader.h"
#include "adapters/gateway/tcp_stream.h"
#include "core/gateway/read_progress.h"

#include <string.h>
#include <unistd.h>

/* Bytes read beyond the current request; above this, reading pauses. */
#define MAX_UNPARSED_BYTES 65536

/*
 * While more bytes than this wait to be sent, no further request is begun: the
 * answers to many that were sent at once would be kept in memory.
 */
#define MAX_WAITING_BYTES (128 * 1024)

/* How often it is looked whether the last answer has been read. */
#define UNREAD_INTERVAL_US (500 * 1000)

/* Connections beyond max_callers whose requests are refused. */
#define MAX_EXCESS 64

/*
 * Times are those of the last step before, so a connection may have been active
 * this much later than is known.
 */
#define STEP_SLACK_US (50 * 1000)

/*
 * A drain doesn't close a connection so soon after its begin: its first request
 * may be on the way.
 */
#define FIRST_REQUEST_US (200 * 1000)

/* Limits until the first configuration is applied. */
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES (1 << 20)
#define DEFAULT_HEADER_TIMEOUT_US (5 * G_USEC_PER_SEC)
#define DEFAULT_IDLE_TIMEOUT_US (30 * G_USEC_PER_SEC)

struct caller_set {
	struct caller_handler handler;
	struct caller_limits limits;
	GHashTable *callers; /* set of struct caller */
	size_t max_callers;
	size_t busy;
	int64_t now_us;
	bool is_draining;
};

struct caller {
	struct caller_set *set;
	struct tcp_stream *stream; /* NULL: closed */
	struct http_reader *reader;
	/*
	 * The limits that held when the last answer ended, and higher ones
	 * since: the caller can't know of lower ones yet.
	 */
	struct caller_limits promised;
	GByteArray *unparsed; /* received and not parsed yet */
	GByteArray *body;
	const struct http_head *head; /* of the request that arrives */
	struct memory_grant *grant;   /* of that request, or NULL */
	void *request; /* the handler's data for the current request */
	bool is_busy;  /* the handler has a request that isn't answered yet */
	bool must_close;
	bool has_asked; /* a whole request has arrived */
	bool has_sent;	/* part of the current answer */
	bool is_parsing;
	bool is_refused;
	bool is_excess;	    /* beyond max_callers */
	bool may_be_unread; /* bytes were sent since it was looked */
	struct read_progress progress;
	int64_t accepted_us;
	int64_t request_start_us; /* of the request being read; 0: none */
	int64_t last_activity_us; /* last bytes received, answer ended or unread
				   */
};

static const struct {
	int32_t status;
	const char *text;
} status_texts[] = {
	{200, "OK"},
	{400, "Bad Request"},
	{401, "Unauthorized"},
	{404, "Not Found"},
	{408, "Request Timeout"},
	{413, "Content Too Large"},
	{431, "Request Header Fields Too Large"},
	{502, "Bad Gateway"},
	{503, "Service Unavailable"},
	{504, "Gateway Timeout"},
};

/* The reason phrase of a status; "Status" if the table does not list it. */
const char *http_status_text(int32_t status)
{
	for (size_t i = 0; i < G_N_ELEMENTS(status_texts); i++) {
		if (status_texts[i].status == status)
			return status_texts[i].text;
	}
	return "Status";
}

static void caller_free(gpointer data)
{
	struct caller *caller = data;

	tcp_stream_destroy(caller->stream);
	http_reader_destroy(caller->reader);
	g_byte_array_unref(caller->unparsed);
	g_byte_array_unref(caller->body);
	memory_grant_destroy(caller->grant, caller->set->now_us);
}

static void caller_release(gpointer data)
{
	g_rc_box_release_full(data, caller_free);
}

/* Calls gone if a request is unanswered, and closes the connection. */
static void caller_disconnect(struct caller *caller, const char *detail)
{
	struct caller_set *set = caller->set;
	void *request = g_steal_pointer(&caller->request);

	if (caller->is_busy) {
		caller->is_busy = false;
		set->busy--;
		if (request && set->handler.gone)
			set->handler.gone(set->handler.data, request, detail);
	}
	tcp_stream_destroy(g_steal_pointer(&caller->stream));
	g_hash_table_remove(set->callers, caller);
}

/* Closes the connection once its queued bytes are sent. */
static void caller_finish(struct caller *caller)
{
	tcp_stream_finish(g_steal_pointer(&caller->stream));
	g_hash_table_remove(caller->set->callers, caller);
}

/*
 * Returns whether the head of the current answer is to say that the connection
 * closes, and sees to it that it does. To be called when that head is written:
 * a drain that begins later closes only after the next answer, as a caller that
 * was told nothing may have sent its next request already.
 */
bool caller_decide_close(struct caller *caller)
{
	caller->must_close = caller->must_close || caller->set->is_draining;
	return caller->must_close;
}

static void caller_append_head(struct caller *caller, int32_t status,
			       const char *fields, GString *out)
{
	g_string_append_printf(out, "HTTP/1.1 %d %s\r\n%s", status,
			       http_status_text(status), fields ? fields : "");
	if (caller_decide_close(caller))
		g_string_append(out, "Connection: close\r\n");
}

/*
 * Refuses input that is malformed, too large or too slow. Where the next
 * request would begin is then unknown, so the connection closes.
 */
static void caller_refuse_with(struct caller *caller, int32_t status,
			       const char *fields)
{
	GString *out = g_string_new(NULL);

	caller->is_refused = true;
	caller->must_close = true;
	caller_append_head(caller, status, fields, out);
	g_string_append(out, "Content-Length: 0\r\n\r\n");
	tcp_stream_write(caller->stream, out->str, out->len);
	g_string_free(out, TRUE);
}

static void caller_refuse(struct caller *caller, int32_t status)
{
	caller_refuse_with(caller, status, NULL);
}

/* Drops what has arrived of a request, and the memory that it was granted. */
static void caller_drop_request(struct caller *caller)
{
	g_byte_array_unref(caller->body);
	caller->body = g_byte_array_new();
	memory_grant_destroy(g_steal_pointer(&caller->grant),
			     caller->set->now_us);
}

static void caller_refuse_memory(struct caller *caller, size_t bytes)
{
	const struct caller_handler *handler = &caller->set->handler;
	GString *fields = g_string_new(NULL);
	int32_t status =
		handler->no_memory(handler->data, caller->head, bytes, fields);

	caller_drop_request(caller);
	caller_refuse_with(caller, status, fields->str);
	g_string_free(fields, TRUE);
}

/*
 * Gets the memory of the request whose head has been read, before its body is.
 * Refuses the request and returns false if there is no room.
 */
static bool caller_get_grant(struct caller *caller)
{
	const struct caller_handler *handler = &caller->set->handler;
	int64_t body_bytes = MAX(caller->head->content_length, 0);
	size_t bytes =
		http_reader_head_bytes(caller->reader) + (size_t)body_bytes;

	caller_drop_request(caller);
	if (!handler->grant)
		return true;
	caller->grant = handler->grant(handler->data, caller->head, bytes);
	if (!caller->grant) {
		caller_refuse_memory(caller, bytes);
		return false;
	}
	if (body_bytes > (int64_t)MAX_UNPARSED_BYTES) {
		g_byte_array_unref(caller->body);
		caller->body = g_byte_array_sized_new((guint)body_bytes);
	}
	return true;
}

/* Makes room for more of a body whose size the head doesn't say. */
static bool caller_grow_grant(struct caller *caller, size_t size)
{
	size_t bytes = http_reader_head_bytes(caller->reader) +
		       caller->body->len + size;

	if (!caller->grant || caller->head->content_length >= 0 ||
	    memory_grant_resize(caller->grant, bytes))
		return true;
	caller_refuse_memory(caller, bytes);
	return false;
}

static bool on_head(void *data, const struct http_head *head)
{
	static const char continue_head[] = "HTTP/1.1 100 Continue\r\n\r\n";
	struct caller *caller = data;
	int64_t max_body_bytes = caller->promised.body_bytes;

	if (head->content_length > max_body_bytes) {
		caller_refuse(caller, 413);
		return true;
	}
	caller->head = head;
	if (!caller_get_grant(caller))
		return true;
	if (http_head_has_token(head, "Expect", "100-continue"))
		tcp_stream_write(caller->stream, continue_head,
				 sizeof(continue_head) - 1);
	return true;
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct caller *caller = data;

	if (caller->is_refused)
		return;
	if ((int64_t)(caller->body->len + size) > caller->promised.body_bytes) {
		caller_refuse(caller, 413);
		return;
	}
	if (caller_grow_grant(caller, size))
		g_byte_array_append(caller->body, (const guint8 *)bytes,
				    (guint)size);
}

static const struct http_reader_events reader_events = {
	.head = on_head,
	.body = on_body,
};

/*
 * Whether what was received may be parsed on. A request that has begun to
 * arrive is always read to its end.
 */
static bool caller_may_parse(const struct caller *caller)
{
	return caller->unparsed->len > 0 &&
	       (caller->request_start_us ||
		caller_waiting_bytes(caller) <=
			answer_memory_share(MAX_WAITING_BYTES));
}

static void caller_dispatch(struct caller *caller)
{
	struct caller_set *set = caller->set;
	GByteArray *body = caller->body;

	caller->body = g_byte_array_new();
	caller->is_busy = true;
	caller->has_asked = true;
	caller->has_sent = false;
	caller->request_start_us = 0;
	caller->must_close =
		http_reader_must_close(caller->reader) || caller->is_excess;
	set->busy++;
	set->handler.request(set->handler.data, caller,
			     http_reader_take_head(caller->reader), body);
}

/*
 * Parses the received bytes, one request at a time. The handler may answer
 * from inside its callback, which calls this function again; is_parsing leaves
 * the next request to the outer loop instead of recursing.
 */
static void caller_parse(struct caller *caller)
{
	if (caller->is_parsing)
		return;
	caller->is_parsing = true;
	g_rc_box_acquire(caller);
	while (caller->stream && !caller->is_busy && !caller->is_refused &&
	       caller_may_parse(caller)) {
		size_t consumed = 0;
		enum http_reader_result result;

		if (!caller->request_start_us)
			caller->request_start_us = caller->set->now_us;
		result = http_reader_feed(caller->reader,
					  (const char *)caller->unparsed->data,
					  caller->unparsed->len, &consumed);
		g_byte_array_remove_range(
			caller->unparsed, 0,
			(guint)MIN(consumed, caller->unparsed->len));
		if (caller->is_refused)
			break;
		if (result == HTTP_READER_COMPLETE)
			caller_dispatch(caller);
		else if (result == HTTP_READER_TOO_LARGE)
			caller_refuse(caller, 431);
		else if (result == HTTP_READER_BAD)
			caller_refuse(caller, 400);
	}
	caller->is_parsing = false;
	if (caller->stream && caller->is_refused)
		caller_finish(caller);
	else if (caller->stream)
		tcp_stream_set_reading(caller->stream,
				       caller->unparsed->len <
					       MAX_UNPARSED_BYTES);
	caller_release(caller);
}

static void on_received(void *data, const char *bytes, size_t size)
{
	struct caller *caller = data;

	caller->last_activity_us = caller->set->now_us;
	g_byte_array_append(caller->unparsed, (const guint8 *)bytes,
			    (guint)size);
	caller_parse(caller);
}

/* The caller closed its connection: nobody would read the answer. */
static void on_ended(void *data)
{
	caller_disconnect(data, "closed");
}

static void on_failed(void *data, const struct error *error)
{
	struct caller *caller = data;
	const struct caller_handler *handler = &caller->set->handler;
	size_t bytes = tcp_stream_unread_bytes(caller->stream);

	if (!caller->is_busy && bytes > 0 && handler->unread)
		handler->unread(handler->data, bytes, error->detail);
	caller_disconnect(caller, error->detail);
}

static void on_drained(void *data)
{
	struct caller *caller = data;
	const struct caller_handler *handler = &caller->set->handler;

	if (caller->request && handler->drained)
		handler->drained(handler->data, caller->request);
	else if (!caller->is_busy)
		caller_parse(caller);
}

static const struct tcp_stream_events stream_events = {
	.received = on_received,
	.ended = on_ended,
	.failed = on_failed,
	.drained = on_drained,
};

/* Creates an empty set that serves at most max_callers at once. */
struct caller_set *caller_set_create(const struct caller_handler *handler,
				     size_t max_callers)
{
	struct caller_set *set = g_new0(struct caller_set, 1);
	struct tcp_stream_loss earlier;

	/* What was lost before is no loss of this set's callers. */
	if (handler->unread)
		tcp_stream_take_loss(&earlier);
	set->handler = *handler;
	set->max_callers = max_callers;
	set->limits = (struct caller_limits){
		.header_bytes = DEFAULT_HEADER_BYTES,
		.body_bytes = DEFAULT_BODY_BYTES,
		.header_timeout_us = DEFAULT_HEADER_TIMEOUT_US,
		.idle_timeout_us = DEFAULT_IDLE_TIMEOUT_US,
	};
	set->callers = g_hash_table_new_full(NULL, NULL, caller_release, NULL);
	return set;
}

/*
 * Closes all connections and frees the set, without calling gone. NULL is
 * allowed.
 */
void caller_set_destroy(struct caller_set *set)
{
	if (!set)
		return;
	set->handler.gone = NULL;
	g_hash_table_unref(set->callers);
	g_free(set);
}

/* Raises what the caller was promised where the new limits are higher. */
static void caller_raise_limits(struct caller *caller,
				const struct caller_limits *limits)
{
	struct caller_limits *promised = &caller->promised;

	promised->header_bytes =
		MAX(promised->header_bytes, limits->header_bytes);
	promised->body_bytes = MAX(promised->body_bytes, limits->body_bytes);
	promised->header_timeout_us =
		MAX(promised->header_timeout_us, limits->header_timeout_us);
	promised->idle_timeout_us =
		MAX(promised->idle_timeout_us, limits->idle_timeout_us);
	http_reader_set_max_head(caller->reader,
				 (size_t)promised->header_bytes);
}

/*
 * Applies new limits. On open connections, lower ones apply after the next
 * answer: until then their callers may use them as they were told before.
 */
void caller_set_apply_limits(struct caller_set *set,
			     const struct caller_limits *limits)
{
	GHashTableIter iter;
	gpointer caller;

	set->limits = *limits;
	g_hash_table_iter_init(&iter, set->callers);
	while (g_hash_table_iter_next(&iter, &caller, NULL))
		caller_raise_limits(caller, limits);
}

/*
 * Takes over an accepted connection. While max_callers are served, the handler
 * is to refuse what comes on it; if there are many of these too, it is closed.
 */
void caller_set_accept(struct caller_set *set, int fd, int64_t now_us)
{
	size_t count = g_hash_table_size(set->callers);
	struct caller *caller;

	if (count >= set->max_callers + MAX_EXCESS) {
		close(fd);
		return;
	}
	caller = g_rc_box_new0(struct caller);
	caller->set = set;
	caller->is_excess = count >= set->max_callers;
	caller->unparsed = g_byte_array_new();
	caller->body = g_byte_array_new();
	caller->accepted_us = now_us;
	caller->last_activity_us = now_us;
	caller->promised = set->limits;
	caller->reader = http_reader_create(HTTP_READER_REQUESTS,
					    (size_t)set->limits.header_bytes,
					    &reader_events, caller);
	caller->stream = tcp_stream_adopt(fd, &stream_events, caller);
	g_hash_table_add(set->callers, caller);
}

/*
 * Whether no request is being read or answered, and none waits here or in the
 * socket. One may wait there when this process stood still: it came in time,
 * and if the connection closed, it would get no answer.
 */
static bool caller_is_idle(const struct caller *caller)
{
	return !caller->is_busy && !caller->request_start_us &&
	       caller->unparsed->len == 0 &&
	       !tcp_stream_has_unread(caller->stream);
}

/* Whether the first request on the connection is to be expected yet. */
static bool caller_is_new(const struct caller *caller)
{
	return !caller->has_asked &&
	       caller->set->now_us - caller->accepted_us < FIRST_REQUEST_US;
}

/* Refuses a request that took too long to arrive. */
static void caller_time_out(struct caller *caller)
{
	caller_refuse(caller, 408);
	caller_finish(caller);
}

static void caller_give_up(struct caller *caller)
{
	const struct caller_handler *handler = &caller->set->handler;

	if (handler->unread)
		handler->unread(handler->data,
				tcp_stream_unread_bytes(caller->stream),
				"not read");
	tcp_stream_reset(g_steal_pointer(&caller->stream));
	g_hash_table_remove(caller->set->callers, caller);
}

/*
 * Looks whether the last answer has been read: until then the connection isn't
 * idle. Gives it up if its caller reads nothing for too long; returns false
 * then.
 */
static bool caller_check_read(struct caller *caller, int64_t now_us)
{
	int64_t stalled_us;

	caller->may_be_unread = tcp_stream_unread_bytes(caller->stream) > 0;
	if (!caller->may_be_unread)
		return true;
	caller->last_activity_us = now_us;
	stalled_us = read_progress_note(&caller->progress,
					tcp_stream_taken_bytes(caller->stream),
					now_us);
	if (stalled_us <= READ_STALL_US)
		return true;
	caller_give_up(caller);
	return false;
}

/* Whether a request that has begun to arrive takes too long to be whole. */
static bool caller_is_slow(const struct caller *caller, int64_t now_us)
{
	int64_t timeout_us = caller->promised.header_timeout_us;

	return caller->request_start_us &&
	       now_us - caller->request_start_us > timeout_us &&
	       (!http_reader_has_head(caller->reader) ||
		now_us - caller->last_activity_us > timeout_us);
}

/*
 * Reads what waits in the socket: the rest of a request that came in time, if
 * this process is late. Returns false if the request is whole then, or the
 * connection closed.
 */
static bool caller_read_waiting(struct caller *caller)
{
	tcp_stream_read_waiting(caller->stream);
	return caller->stream && !caller->is_busy;
}

static void caller_step(struct caller *caller, int64_t now_us)
{
	const struct caller_limits *limits = &caller->promised;
	int64_t idle_us;

	/* A request that this step has read may have ended others. */
	if (!caller->stream || caller->is_busy)
		return;
	if (caller_is_slow(caller, now_us) && !caller_read_waiting(caller))
		return;
	if (caller_is_slow(caller, now_us)) {
		caller_time_out(caller);
		return;
	}
	idle_us = MIN(limits->idle_timeout_us, UNREAD_INTERVAL_US);
	if (caller->may_be_unread && !caller->request_start_us &&
	    now_us - caller->last_activity_us > idle_us &&
	    !caller_check_read(caller, now_us))
		return;
	if (now_us - caller->last_activity_us >
		    limits->idle_timeout_us + STEP_SLACK_US &&
	    caller_is_idle(caller))
		caller_finish(caller);
}

/* Returns all callers, held: a step may close their connections. */
static GPtrArray *caller_set_list(const struct caller_set *set)
{
	GPtrArray *callers = g_ptr_array_new_with_free_func(caller_release);
	GHashTableIter iter;
	gpointer caller;

	g_hash_table_iter_init(&iter, set->callers);
	while (g_hash_table_iter_next(&iter, &caller, NULL))
		g_ptr_array_add(callers, g_rc_box_acquire(caller));
	return callers;
}

/* Sets the time of what arrives from now on. */
void caller_set_note_time(struct caller_set *set, int64_t now_us)
{
	set->now_us = now_us;
}

/*
 * Closes connections that have been idle or slow for too long, and calls unread
 * for last answers that were not read.
 */
void caller_set_step(struct caller_set *set, int64_t now_us)
{
	GPtrArray *callers = caller_set_list(set);
	const struct caller_handler *handler = &set->handler;
	struct tcp_stream_loss loss;

	set->now_us = now_us;
	if (handler->unread && tcp_stream_take_loss(&loss))
		handler->unread(handler->data, loss.bytes, loss.detail);
	for (guint i = 0; i < callers->len; i++)
		caller_step(g_ptr_array_index(callers, i), now_us);
	g_ptr_array_unref(callers);
}

/* From now on, each answer says that its connection closes. */
void caller_set_drain(struct caller_set *set)
{
	set->is_draining = true;
}

/*
 * Closes connections on which no request is being read or answered, but for
 * those that have just begun.
 */
void caller_set_close_idle(struct caller_set *set)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, set->callers);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		struct caller *caller = value;

		if (!caller_is_idle(caller) || caller_is_new(caller))
			continue;
		tcp_stream_finish(g_steal_pointer(&caller->stream));
		g_hash_table_iter_remove(&iter);
	}
}

/* Answers requests that are still arriving with 408, and closes. */
void caller_set_refuse_arriving(struct caller_set *set)
{
	GPtrArray *callers = caller_set_list(set);

	for (guint i = 0; i < callers->len; i++) {
		struct caller *caller = g_ptr_array_index(callers, i);

		if (!caller->stream || caller->is_busy ||
		    !caller_read_waiting(caller))
			continue;
		if (caller->request_start_us || caller->unparsed->len > 0)
			caller_time_out(caller);
	}
	g_ptr_array_unref(callers);
}

/*
 * The number of requests that have begun to arrive and are not whole yet, or
 * that are to be expected on connections that have just begun.
 */
size_t caller_set_arriving_count(const struct caller_set *set)
{
	GHashTableIter iter;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, set->callers);
	while (g_hash_table_iter_next(&iter, &value, NULL)) {
		const struct caller *caller = value;

		count += !caller->is_busy &&
			 (!caller_is_idle(caller) || caller_is_new(caller));
	}
	return count;
}

/* The number of requests that are not answered yet. */
size_t caller_set_busy_count(const struct caller_set *set)
{
	return set->busy;
}

/* Sets the handler's data for the current request: gone and drained get it. */
void caller_attach_request(struct caller *caller, void *request)
{
	caller->request = request;
}

/*
 * Sends a complete answer and ends it. fields holds header lines that end with
 * CR LF, or is NULL.
 */
void caller_answer(struct caller *caller, int32_t status, const char *fields,
		   const char *body, size_t body_size)
{
	GString *out = g_string_new(NULL);

	caller_append_head(caller, status, fields, out);
	g_string_append_printf(out, "Content-Length: %zu\r\n\r\n", body_size);
	g_string_append_len(out, body, (gssize)body_size);
	caller_send(caller, out->str, out->len);
	g_string_free(out, TRUE);
	caller_end_answer(caller, false);
}

/* Sends bytes of the answer, head included, unchanged. */
void caller_send(struct caller *caller, const char *bytes, size_t size)
{
	if (!caller->stream)
		return;
	caller->has_sent = true;
	caller->may_be_unread = true;
	tcp_stream_write(caller->stream, bytes, size);
}

/*
 * Ends a complete answer. The connection then closes if must_close is set, if
 * the request asked for it or if the answer's head said so; else the next
 * request is parsed.
 */
void caller_end_answer(struct caller *caller, bool must_close)
{
	struct caller_set *set = caller->set;

	caller->request = NULL;
	caller->is_busy = false;
	set->busy--;
	caller->last_activity_us = set->now_us;
	caller->promised = set->limits;
	http_reader_set_max_head(caller->reader,
				 (size_t)set->limits.header_bytes);
	if (must_close || caller->must_close) {
		caller_finish(caller);
		return;
	}
	caller_parse(caller);
}

/*
 * Lets the close of the connection end the current answer, which has no other
 * end. To be called before its head is written. Until the answer is complete,
 * any close is a reset, also the kernel's when this process ends: the caller
 * would take a part for the whole.
 */
void caller_end_by_close(struct caller *caller)
{
	caller->must_close = true;
	if (caller->stream)
		tcp_stream_reset_unless_finished(caller->stream);
}

/*
 * Closes the connection in the middle of the answer. Its last bytes are
 * missing, or the close is a reset, so the caller cannot mistake it for a
 * complete one.
 */
void caller_abort(struct caller *caller)
{
	caller->request = NULL;
	caller_disconnect(caller, "");
}

/*
 * Hands the memory of the current request over to its handler, which frees the
 * grant; NULL if none is counted. To be called before the answer ends.
 */
struct memory_grant *caller_take_grant(struct caller *caller)
{
	return g_steal_pointer(&caller->grant);
}

/* Whether max_callers were served when the connection was accepted. */
bool caller_is_excess(const struct caller *caller)
{
	return caller->is_excess;
}

/* Bytes kept for the caller until all are sent; 0 if none wait, or closed. */
size_t caller_waiting_bytes(const struct caller *caller)
{
	return caller->stream ? tcp_stream_kept_bytes(caller->stream) : 0;
}
