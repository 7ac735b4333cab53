#include "adapters/gateway/store_calls.h"

#include "adapters/gateway/answer_excess.h"
#include "adapters/gateway/attempt.h"
#include "core/base/store_position.h"
#include "core/gateway/store_era.h"

#include <string.h>

struct store_calls {
	struct store_calls_options options;
	char *address;
	struct event_sink sink;
	struct endpoint_pool *pool; /* idle connections, for reads */
	GHashTable *calls;	    /* struct store_call, a set */
	GPtrArray *watches;	    /* struct store_watch */
	struct store_era era;
	bool outage_logged;
};

struct store_call {
	struct store_calls *calls;
	struct kv_request request;
	struct attempt *attempt;
	GByteArray *body;
	int32_t status; /* 0: no answer so far */
	int64_t era;	/* that the answer names */
	guint timer;
};

struct store_watch {
	struct store_calls *calls;
	struct store_follower *follower;
	char *key;
	int64_t delivered_position;
};

static void call_destroy(gpointer data)
{
	struct store_call *call = data;

	attempt_destroy(call->attempt);
	if (call->timer)
		g_source_remove(call->timer);
	g_byte_array_unref(call->body);
	kv_request_clear(&call->request);
	g_free(call);
}

static bool op_is_read(enum kv_op op)
{
	return op == KV_GET || op == KV_LIST;
}

/* Logs the start and the end of an outage, not each failed call. */
static void calls_log_outage(struct store_calls *calls,
			     const struct error *error)
{
	if (error && !calls->outage_logged)
		log_write_error(calls->options.log, LOG_LEVEL_WARN,
				"kv_call_failed", error);
	if (!error && calls->outage_logged)
		log_write(calls->options.log, LOG_LEVEL_INFO, "kv_call_works",
			  "peer", calls->address, NULL);
	calls->outage_logged = error != NULL;
}

/* Delivers the outcome and frees the call. */
static void call_deliver(struct store_call *call, struct kv_answer *answer)
{
	struct store_calls *calls = call->calls;
	struct event event = {.type = EVENT_KV, .kv = answer};

	answer->id = call->request.id;
	answer->op = call->request.op;
	g_hash_table_remove(calls->calls, call);
	calls->sink.deliver(calls->sink.data, &event);
	kv_answer_clear(answer);
}

static void call_fail(struct store_call *call, enum kv_outcome outcome,
		      const struct error *error)
{
	struct kv_answer answer = {.outcome = outcome};

	calls_log_outage(call->calls, error);
	call_deliver(call, &answer);
}

static void on_head(void *data, const struct http_head *head)
{
	struct store_call *call = data;

	call->status = head->status;
	call->era = call->calls->options.watch_dialect->read_era(head);
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct store_call *call = data;
	struct error error;

	if (call->body->len + size > MAX_STORE_ANSWER_BYTES) {
		error_set(&error, ERROR_TOO_LARGE, "kv.call",
			  call->calls->address, "answer of more than %d bytes",
			  MAX_STORE_ANSWER_BYTES);
		call_fail(call, KV_ANSWER_LOST, &error);
		return;
	}
	g_byte_array_append(call->body, (const guint8 *)bytes, (guint)size);
}

static void on_complete(void *data)
{
	struct store_call *call = data;
	struct store_calls *calls = call->calls;
	struct kv_answer answer = {0};
	enum store_era_verdict verdict = store_era_note(&calls->era, call->era);
	struct error error;
	GBytes *body;
	bool is_read;

	if (verdict == STORE_ERA_STALE || verdict == STORE_ERA_UNKNOWN) {
		/* What an earlier era acknowledged may be gone. */
		error_set(&error, ERROR_INVALID, "kv.call", calls->address,
			  "%s", store_era_verdict_text(verdict));
		call_fail(call, KV_ANSWER_LOST, &error);
		return;
	}
	body = g_bytes_new(call->body->data, call->body->len);
	if (op_is_read(call->request.op))
		attempt_keep_connection(call->attempt, calls->pool, INT64_MAX);
	is_read = calls->options.dialect->read_call(
		&call->request, call->status, call->era, body, &answer, &error);
	g_bytes_unref(body);
	if (is_read && answer.outcome == KV_NOT_APPLIED)
		error_set(&error, ERROR_REFUSED, "kv.call", calls->address,
			  "status %d", call->status);
	calls_log_outage(calls, !is_read || answer.outcome == KV_NOT_APPLIED
					? &error
					: NULL);
	call_deliver(call, &answer);
}

/*
 * Only a request that was not sent is certain not to be applied: without an
 * answer, the store may still apply a write seconds later.
 */
static void on_failed(void *data, const struct error *error)
{
	struct store_call *call = data;

	call_fail(call,
		  attempt_may_have_sent(call->attempt) ? KV_ANSWER_LOST
						       : KV_NOT_APPLIED,
		  error);
}

static const struct attempt_events attempt_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

static gboolean on_timeout(gpointer data)
{
	struct store_call *call = data;
	struct error error;

	call->timer = 0;
	error_set(&error, ERROR_TIMEOUT, "kv.call", call->calls->address,
		  "no answer within the timeout");
	on_failed(call, &error);
	return G_SOURCE_REMOVE;
}

/*
 * Whether the request expects a revision of an earlier era: the number may have
 * been given out again, for another state of the key.
 */
static bool expects_earlier_era(const struct store_calls *calls,
				const struct kv_request *request)
{
	return request->expected_revision != 0 &&
	       store_position_era(request->expected_revision) <
		       calls->era.highest;
}

static gboolean on_earlier_era(gpointer data)
{
	struct store_call *call = data;
	struct kv_answer answer = {.outcome = KV_CONFLICT};

	call->timer = 0;
	call_deliver(call, &answer);
	return G_SOURCE_REMOVE;
}

/*
 * Runs from the loop: an event delivered from inside store_calls_apply would
 * reach the sender while it is still carrying out its actions.
 */
static gboolean on_not_started(gpointer data)
{
	struct store_call *call = data;
	struct error error;

	call->timer = 0;
	error_set(&error, ERROR_UNREACHABLE, "kv.call", call->calls->address,
		  "cannot start a connection");
	call_fail(call, KV_NOT_APPLIED, &error);
	return G_SOURCE_REMOVE;
}

static void request_copy(struct kv_request *copy,
			 const struct kv_request *request)
{
	*copy = *request;
	copy->key = g_strdup(request->key);
	copy->value = NULL;
}

/*
 * Each write opens a new connection: a pooled one on which an answer was lost
 * may be dead, and the write would wait there until its timeout.
 */
static void calls_start(struct store_calls *calls,
			const struct kv_request *request)
{
	struct store_call *call = g_new0(struct store_call, 1);
	struct attempt_options options = {
		.address = calls->address,
		.pool = op_is_read(request->op) ? calls->pool : NULL,
		.request = g_string_new(NULL),
		.now_us = g_get_monotonic_time(),
	};
	struct error error;

	call->calls = calls;
	call->body = g_byte_array_new();
	request_copy(&call->request, request);
	calls->options.dialect->write_call(calls->address, request,
					   options.request);
	g_hash_table_add(calls->calls, call);
	if (expects_earlier_era(calls, request)) {
		g_string_free(options.request, TRUE);
		call->timer = g_idle_add(on_earlier_era, call);
		return;
	}
	call->attempt = attempt_start(&options, &attempt_events, call, &error);
	if (call->attempt)
		call->timer = g_timeout_add((guint)(request->timeout_us / 1000),
					    on_timeout, call);
	else
		call->timer = g_idle_add(on_not_started, call);
}

/* Delivers a state only if its position is after the last delivered one. */
static void watch_deliver_item(struct store_watch *watch,
			       const struct store_item *item)
{
	struct event event = {.type = EVENT_KV_WATCH};

	if (strcmp(item->key, watch->key) != 0 ||
	    item->position <= watch->delivered_position)
		return;
	watch->delivered_position = item->position;
	event.kv_watch.key = watch->key;
	event.kv_watch.mod_revision = item->position;
	event.kv_watch.value = item->value;
	watch->calls->sink.deliver(watch->calls->sink.data, &event);
}

static void on_page(void *data, const struct store_page *page)
{
	for (guint i = 0; i < page->items->len; i++)
		watch_deliver_item(data, g_ptr_array_index(page->items, i));
}

static void watch_destroy(gpointer data)
{
	struct store_watch *watch = data;

	store_follower_destroy(watch->follower);
	g_free(watch->key);
	g_free(watch);
}

static void calls_start_watch(struct store_calls *calls, const char *key)
{
	struct store_watch *watch = g_new0(struct store_watch, 1);
	const struct store_follower_options options = {
		.address = calls->address,
		.prefix = key,
		.dialect = calls->options.watch_dialect,
		.log = calls->options.log,
		.seed = calls->options.seed + calls->watches->len,
	};
	const struct store_follower_events events = {
		.listed = on_page,
		.changed = on_page,
		.data = watch,
	};

	watch->calls = calls;
	watch->key = g_strdup(key);
	watch->follower = store_follower_create(&options, &events);
	g_ptr_array_add(calls->watches, watch);
}

/*
 * Does not connect yet. Options and sink are copied, the address too; the
 * dialects and the log must outlive the result, which the caller owns.
 */
struct store_calls *
store_calls_create(const struct store_calls_options *options,
		   const struct event_sink *sink)
{
	struct store_calls *calls = g_new0(struct store_calls, 1);

	calls->options = *options;
	calls->address = g_strdup(options->address);
	calls->sink = *sink;
	calls->pool = endpoint_pool_create();
	calls->calls = g_hash_table_new_full(NULL, NULL, call_destroy, NULL);
	calls->watches = g_ptr_array_new_with_free_func(watch_destroy);
	return calls;
}

/* Aborts all calls and watches without delivering them; NULL is allowed. */
void store_calls_destroy(struct store_calls *calls)
{
	if (!calls)
		return;
	g_hash_table_unref(calls->calls);
	g_ptr_array_unref(calls->watches);
	endpoint_pool_destroy(calls->pool);
	g_free(calls->address);
	g_free(calls);
}

/* Carries out ACTION_KV and ACTION_KV_WATCH; ignores other types. */
void store_calls_apply(struct store_calls *calls, const struct action *action)
{
	switch (action->type) {
	case ACTION_KV:
		calls_start(calls, &action->kv);
		break;
	case ACTION_KV_WATCH:
		calls_start_watch(calls, action->kv_watch);
		break;
	default:
		break;
	}
}
