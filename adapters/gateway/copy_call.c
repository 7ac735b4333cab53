#include "adapters/gateway/copy_call.h"

#include "adapters/gateway/answer_excess.h"
#include "adapters/gateway/attempt.h"

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_UNAVAILABLE 503

struct copy_call {
	struct copy_call_options options; /* its strings: only those below */
	const struct copy_call_events *events;
	void *data;
	char *endpoint_id;
	char *request_id;
	struct attempt *attempt;
	GByteArray *body;
	int32_t status;
	int64_t created; /* events, as the answer states; 0: it does not */
};

static const char *const result_names[] = {
	[COPY_RESULT_COPIED] = "copied",
	[COPY_RESULT_KEPT] = "kept",
	[COPY_RESULT_NO_RUN] = "no_run",
	[COPY_RESULT_REFUSED] = "refused",
	[COPY_RESULT_IN_PROGRESS] = "in_progress",
	[COPY_RESULT_NO_LISTENER] = "no_listener",
	[COPY_RESULT_NOT_SENT] = "not_sent",
	[COPY_RESULT_UNREADABLE] = "unreadable",
	[COPY_RESULT_FAILED] = "failed",
};

static void call_finish(struct copy_call *call, enum copy_result result,
			const char *handle, const char *detail)
{
	const struct copy_answer answer = {
		.result = result,
		.handle = handle,
		.status = call->status,
		.created = call->created,
		.detail = detail,
	};

	call->events->done(call->data, &answer);
}

static void on_opened(void *data)
{
	const struct copy_call *call = data;

	if (call->events->connected)
		call->events->connected(call->data);
}

static void on_head(void *data, const struct http_head *head)
{
	((struct copy_call *)data)->status = head->status;
}

/* Gives up a call whose answer may never end. */
static void call_fail_too_large(struct copy_call *call, size_t size)
{
	const struct answer_excess excess = {
		.call = "move",
		.request = call->request_id,
		.peer_kind = "endpoint",
		.peer = call->endpoint_id,
		.bytes = (int64_t)(call->body->len + size),
		.limit = MAX_OWN_ANSWER_BYTES,
	};

	answer_excess_report(&excess, call->options.log,
			     call->options.counters);
	call_finish(call, COPY_RESULT_FAILED, NULL, "answer too large");
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct copy_call *call = data;

	if (call->body->len + size > MAX_OWN_ANSWER_BYTES) {
		call_fail_too_large(call, size);
		return;
	}
	g_byte_array_append(call->body, (const guint8 *)bytes, (guint)size);
}

/*
 * An engine that has stopped the run names what it keeps of it, whether or not
 * it could copy it. Without a handle it refuses the call, and the run goes on.
 */
static void call_finish_answer(struct copy_call *call, const char *handle)
{
	if (call->status == STATUS_OK && handle)
		call_finish(call, COPY_RESULT_COPIED, handle, "copied");
	else if (call->status == STATUS_OK)
		call_finish(call, COPY_RESULT_UNREADABLE, NULL, "unreadable");
	else if (call->status == STATUS_UNAVAILABLE && handle &&
		 call->options.is_last)
		call_finish(call, COPY_RESULT_KEPT, handle, "kept");
	else if (call->status == STATUS_NOT_FOUND)
		call_finish(call, COPY_RESULT_NO_RUN, NULL, "no such run");
	else if (call->status == STATUS_CONFLICT)
		call_finish(call, COPY_RESULT_IN_PROGRESS, NULL, "in progress");
	else
		call_finish(call, COPY_RESULT_REFUSED, NULL, "refused");
}

static void on_complete(void *data)
{
	struct copy_call *call = data;
	GBytes *body = g_bytes_new(call->body->data, call->body->len);
	struct move_answer answer = {0};

	if (!call->options.dialect->read_move_answer(body, &answer))
		g_clear_pointer(&answer.handle, g_free);
	g_bytes_unref(body);
	call->created = answer.created;
	call_finish_answer(call, answer.handle);
	g_free(answer.handle);
}

/*
 * Only a refused connection tells of the engine. One that is reset before the
 * call was sent tells that it lives, as engines reset those they have no room
 * for.
 */
static void on_failed(void *data, const struct error *error)
{
	struct copy_call *call = data;
	enum copy_result result = COPY_RESULT_NOT_SENT;

	if (attempt_was_accepted(call->attempt))
		on_opened(call);
	if (attempt_is_refused(call->attempt))
		result = COPY_RESULT_NO_LISTENER;
	else if (error->code != ERROR_UNREACHABLE ||
		 attempt_may_have_sent(call->attempt))
		result = COPY_RESULT_FAILED;
	call_finish(call, result, NULL, error->detail);
}

static const struct attempt_events call_events = {
	.opened = on_opened,
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

/*
 * Sends the call. Returns NULL and sets error if no connection could be
 * started. The log, the counters and the events must outlive the call; the
 * strings of the options are copied.
 */
struct copy_call *copy_call_start(const struct copy_call_options *options,
				  const struct copy_call_events *events,
				  void *data, struct error *error)
{
	struct copy_call *call = g_new0(struct copy_call, 1);
	struct attempt_options attempt_options = {
		.address = options->address,
		.request = g_string_new(NULL),
		.now_us = options->now_us,
	};

	call->options = *options;
	call->events = events;
	call->data = data;
	call->endpoint_id = g_strdup(options->endpoint_id);
	call->request_id = g_strdup(options->request_id);
	call->body = g_byte_array_new();
	options->dialect->write_move_request(
		options->address, options->request_id, options->target_address,
		options->is_last, attempt_options.request);
	call->attempt =
		attempt_start(&attempt_options, &call_events, call, error);
	if (call->attempt)
		return call;
	copy_call_destroy(call);
	return NULL;
}

/* Ends the call and frees it; NULL is allowed. */
void copy_call_destroy(struct copy_call *call)
{
	if (!call)
		return;
	attempt_destroy(call->attempt);
	g_byte_array_unref(call->body);
	g_free(call->endpoint_id);
	g_free(call->request_id);
	g_free(call);
}

/* Whether any byte of the call may have reached the engine. */
bool copy_call_may_have_sent(const struct copy_call *call)
{
	return attempt_may_have_sent(call->attempt);
}

/* Returns the name of a result, a static string for logs. */
const char *copy_result_name(enum copy_result result)
{
	return result_names[result];
}
