#include "adapters/gateway/stop_calls.h"

#include "adapters/gateway/gateway.h"

#include <string.h>

/* Calls without an answer that stay open; the oldest one is closed then. */
#define MAX_OPEN_CALLS 4

struct stop_calls {
	const struct stop_calls_events *events;
	void *data;
	GPtrArray *open;  /* struct stop_call, oldest first */
	GHashTable *ends; /* char *endpoint_id: struct run_end */
	int32_t count;	  /* started so far */
};

struct stop_call {
	struct stop_calls *calls;
	struct copy_call *call;
	char *endpoint_id;
	char *request_id;
	char *target_id; /* or NULL */
	struct log *log;
	int32_t number;
	int64_t started_us;
};

static const enum stop_call_end call_ends[] = {
	[COPY_RESULT_COPIED] = STOP_CALL_ACCEPTED,
	[COPY_RESULT_KEPT] = STOP_CALL_ACCEPTED,
	[COPY_RESULT_NO_RUN] = STOP_CALL_NO_RUN,
	[COPY_RESULT_REFUSED] = STOP_CALL_REFUSED,
	[COPY_RESULT_IN_PROGRESS] = STOP_CALL_REFUSED,
	[COPY_RESULT_NO_LISTENER] = STOP_CALL_NOT_SENT,
	[COPY_RESULT_NOT_SENT] = STOP_CALL_NOT_SENT,
	[COPY_RESULT_UNREADABLE] = STOP_CALL_REFUSED,
	[COPY_RESULT_FAILED] = STOP_CALL_LOST,
};

static void call_log(const struct stop_call *call, const char *event,
		     const char *result, const char *detail, int32_t status)
{
	char number[16], status_text[16], ms[24];

	g_snprintf(number, sizeof(number), "%d", call->number);
	g_snprintf(status_text, sizeof(status_text), "%d", status);
	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   (gateway_now_us() - call->started_us) / 1000);
	log_write(call->log, LOG_LEVEL_INFO, event, "request", call->request_id,
		  "endpoint", call->endpoint_id, "call", number, "result",
		  result, "status", status_text, "ms", ms, "detail", detail,
		  NULL);
}

static void call_destroy(void *data)
{
	struct stop_call *call = data;

	copy_call_destroy(call->call);
	g_free(call->endpoint_id);
	g_free(call->request_id);
	g_free(call->target_id);
	g_free(call);
}

static void on_connected(void *data)
{
	const struct stop_call *call = data;
	const struct stop_calls *calls = call->calls;

	calls->events->connected(calls->data, call->endpoint_id);
}

static void call_note_end(const struct stop_call *call, enum stop_call_end end)
{
	run_end_note_call_end(
		stop_calls_find_end(call->calls, call->endpoint_id), end,
		gateway_now_us());
}

static void on_done(void *data, const struct copy_answer *answer)
{
	struct stop_call *call = data;
	struct stop_calls *calls = call->calls;
	const struct stop_answer stop_answer = {
		.endpoint_id = call->endpoint_id,
		.target_id = call->target_id,
		.copy = answer,
	};
	guint index;

	call_log(call, "run_stop_answered", copy_result_name(answer->result),
		 answer->detail, answer->status);
	call_note_end(call, call_ends[answer->result]);
	run_end_note_created(stop_calls_find_end(calls, call->endpoint_id),
			     answer->created);
	if (g_ptr_array_find(calls->open, call, &index))
		g_ptr_array_steal_index(calls->open, index);
	calls->events->answered(calls->data, &stop_answer);
	call_destroy(call);
}

static const struct copy_call_events call_events = {
	.connected = on_connected,
	.done = on_done,
};

/*
 * Closes a call that has no answer. What has reached its engine may still be
 * done.
 */
static void calls_give_up(struct stop_calls *calls, guint index)
{
	struct stop_call *call = g_ptr_array_steal_index(calls->open, index);
	enum stop_call_end end = copy_call_may_have_sent(call->call)
					 ? STOP_CALL_LOST
					 : STOP_CALL_NOT_SENT;

	call_log(call, "run_stop_given_up", stop_call_end_name(end), "", 0);
	call_note_end(call, end);
	call_destroy(call);
}

/* Creates an empty set of calls. The events must outlive it. */
struct stop_calls *stop_calls_create(const struct stop_calls_events *events,
				     void *data)
{
	struct stop_calls *calls = g_new0(struct stop_calls, 1);

	calls->events = events;
	calls->data = data;
	calls->open = g_ptr_array_new_with_free_func(call_destroy);
	calls->ends =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return calls;
}

/* Closes the calls without an answer and frees the set; NULL is allowed. */
void stop_calls_destroy(struct stop_calls *calls)
{
	if (!calls)
		return;
	g_ptr_array_unref(calls->open);
	g_hash_table_unref(calls->ends);
	g_free(calls);
}

/* The same as stop_calls_find_end, for an engine that may be new. */
struct run_end *stop_calls_take_end(struct stop_calls *calls,
				    const char *endpoint_id)
{
	struct run_end *end = stop_calls_find_end(calls, endpoint_id);

	if (end)
		return end;
	end = g_new0(struct run_end, 1);
	g_hash_table_insert(calls->ends, g_strdup(endpoint_id), end);
	return end;
}

/*
 * Sends one more call to stop the run, and to copy it to the target; target_id
 * may be NULL. The options are those of copy_call_start. Returns false and sets
 * error if no connection could be started.
 */
bool stop_calls_start(struct stop_calls *calls,
		      const struct copy_call_options *options,
		      const char *target_id, struct error *error)
{
	struct stop_call *call = g_new0(struct stop_call, 1);

	call->calls = calls;
	call->endpoint_id = g_strdup(options->endpoint_id);
	call->request_id = g_strdup(options->request_id);
	call->target_id = g_strdup(target_id);
	call->log = options->log;
	call->number = ++calls->count;
	call->started_us = options->now_us;
	call->call = copy_call_start(options, &call_events, call, error);
	if (!call->call) {
		call_destroy(call);
		return false;
	}
	run_end_note_call(stop_calls_take_end(calls, options->endpoint_id));
	g_ptr_array_add(calls->open, call);
	if (calls->open->len > MAX_OPEN_CALLS)
		calls_give_up(calls, 0);
	return true;
}

/* What is known of the calls to an engine; NULL: it was sent none. */
struct run_end *stop_calls_find_end(const struct stop_calls *calls,
				    const char *endpoint_id)
{
	return g_hash_table_lookup(calls->ends, endpoint_id);
}

/*
 * Whether a call may have stopped the run at an engine by now: one that is not
 * sent yet can't have.
 */
bool stop_calls_may_have_stopped(const struct stop_calls *calls,
				 const char *endpoint_id)
{
	const struct run_end *end = stop_calls_find_end(calls, endpoint_id);
	struct run_end sent;

	if (!end)
		return false;
	sent = *end;
	for (guint i = 0; i < calls->open->len; i++) {
		const struct stop_call *call =
			g_ptr_array_index(calls->open, i);

		if (strcmp(call->endpoint_id, endpoint_id) == 0 &&
		    !copy_call_may_have_sent(call->call))
			sent.calls_open--;
	}
	return run_end_may_be_stopped(&sent);
}

/* When the newest call without an answer was sent to an engine; 0: none. */
int64_t stop_calls_started_us(const struct stop_calls *calls,
			      const char *endpoint_id)
{
	for (guint i = calls->open->len; i > 0; i--) {
		const struct stop_call *call =
			g_ptr_array_index(calls->open, i - 1);

		if (strcmp(call->endpoint_id, endpoint_id) == 0)
			return call->started_us;
	}
	return 0;
}

/*
 * Closes the calls to an engine, or only those of which no byte has been sent.
 * calls may be NULL.
 */
void stop_calls_give_up(struct stop_calls *calls, const char *endpoint_id,
			bool only_unsent)
{
	for (guint i = calls ? calls->open->len : 0; i > 0; i--) {
		const struct stop_call *call =
			g_ptr_array_index(calls->open, i - 1);

		if (strcmp(call->endpoint_id, endpoint_id) == 0 &&
		    !(only_unsent && copy_call_may_have_sent(call->call)))
			calls_give_up(calls, i - 1);
	}
}
