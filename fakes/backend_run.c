#include "fakes/backend_state.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * The first backup copy is sent this long after the first event; after that it
 * is updated at the interval.
 */
#define BACKUP_START_MS 300
#define BACKUP_INTERVAL_MS 200
/* A request with this text in its body crashes each engine that runs it. */
#define POISON "[[poison]]"
/*
 * A request with this part in its prompt, at any place but the last, crashes
 * each engine that begins to answer it: at once, or after one or two events.
 */
#define POISON_PART "badbad01"
#define POISON_PART_EVENTS 3

/*
 * Returns how much longer work takes than usual; 0: the backend does not say.
 * Each run above bends_at makes all others slower by a quarter.
 */
int64_t backend_slowdown_percent(const struct backend *backend)
{
	int64_t excess = (int64_t)backend->runs->len - backend->bends_at;
	int64_t percent = backend->slowdown_percent;

	if (backend->bends_at > 0)
		percent = MAX(percent, 100) + 25 * MAX(excess, 0);
	return percent;
}

static int64_t slowed_ms(const struct backend *backend, int64_t usual_ms)
{
	int64_t percent = backend_slowdown_percent(backend);

	return percent > 0 ? usual_ms * percent / 100 : usual_ms;
}

static void crash(const char *reason, const char *request)
{
	fprintf(stderr, "crash: %s, request %s\n", reason, request);
	_exit(CRASH_EXIT_STATUS);
}

static void run_journal(const struct backend_run *run, enum backend_event event)
{
	backend_journal_write(run->backend->journal, event, run->id,
			      run->from_copy);
}

static void run_stop_close_watch(struct backend_run *run)
{
	if (!run->close_watch)
		return;
	g_source_destroy(run->close_watch);
	g_clear_pointer(&run->close_watch, g_source_unref);
}

static void run_free(struct backend_run *run)
{
	run_stop_close_watch(run);
	if (run->timer)
		g_source_remove(run->timer);
	if (run->copy_timer)
		g_source_remove(run->copy_timer);
	if (run->close_timer)
		g_source_remove(run->close_timer);
	g_ptr_array_remove_fast(run->backend->runs, run);
	g_object_unref(run->message);
	g_free(run->id);
	g_free(run->path);
	g_free(run->backup_address);
	g_free(run);
}

/*
 * Without chunks, the close of the connection is the end of the answer; the end
 * of this process before that must not look like it.
 */
static void run_set_unfinished(struct backend_run *run, bool is_unfinished)
{
	if (run->is_unframed && !run->is_detached)
		fake_message_set_reset(run->message, is_unfinished);
}

/* Ends a run before its answer is complete, and closes its connection. */
static void run_end_early(struct backend_run *run, enum backend_event event)
{
	run_journal(run, event);
	run_set_unfinished(run, event != BACKEND_STOP);
	if (!run->is_detached) {
		g_signal_handlers_disconnect_by_data(run->message, run);
		fake_message_close_connection(run->message);
	}
	run_free(run);
}

static void run_leave(struct backend_run *run)
{
	run->backend->disconnect_count++;
	run_end_early(run, BACKEND_DISCONNECT);
}

static gboolean on_close_time(gpointer data)
{
	struct backend_run *run = data;

	run->close_timer = 0;
	run_leave(run);
	return G_SOURCE_REMOVE;
}

/* Ends a run whose caller has disconnected, or lets it go on for a while. */
static void run_apply_close(struct backend_run *run)
{
	int64_t notice_ms = run->backend->close_notice_ms;

	if (notice_ms == 0)
		run_leave(run);
	else if (notice_ms > 0 && !run->close_timer)
		run->close_timer =
			g_timeout_add((guint)notice_ms, on_close_time, run);
}

static void on_message_finished(SoupServerMessage *message G_GNUC_UNUSED,
				gpointer data)
{
	struct backend_run *run = data;

	if (run->answered) {
		run_free(run);
		return;
	}
	run->is_detached = true;
	run_apply_close(run);
}

/*
 * The caller has disconnected, which libsoup would notice only at a write that
 * fails. A stream that has begun waits for that write unless a mode is set.
 */
static void on_disconnect(void *data)
{
	struct backend_run *run = data;

	run_stop_close_watch(run);
	if (run->is_waiting || run->backend->watches_close ||
	    run->backend->close_notice_ms != 0)
		run_apply_close(run);
}

static void run_watch_close(struct backend_run *run)
{
	run->close_watch =
		fake_message_on_disconnect(run->message, on_disconnect, run);
}

/* Calls step after answer_delay_ms, unless the caller disconnects first. */
static void run_delay(struct backend_run *run, GSourceFunc step)
{
	soup_server_message_pause(run->message);
	run_watch_close(run);
	run->is_waiting = true;
	run->timer = g_timeout_add(
		(guint)slowed_ms(run->backend, run->backend->answer_delay_ms),
		step, run);
}

static gboolean run_send_copy(gpointer data)
{
	struct backend_run *run = data;

	backend_copy_send(run->backend->sender, run->backup_address, run->id,
			  run->id, run->next_event, NULL, NULL);
	run->copy_timer = g_timeout_add(BACKUP_INTERVAL_MS, run_send_copy, run);
	return G_SOURCE_REMOVE;
}

/*
 * Marks the answer as complete, journals the end of the run and has its backup
 * copy removed. Whether the answer reaches the caller is not known here.
 */
static void run_complete(struct backend_run *run)
{
	run->answered = true;
	run_set_unfinished(run, false);
	run_journal(run, BACKEND_END);
	if (run->close_timer)
		g_source_remove(run->close_timer);
	run->close_timer = 0;
	if (!run->copy_timer)
		return;
	g_source_remove(run->copy_timer);
	run->copy_timer = 0;
	backend_copy_send_end(run->backend->sender, run->backup_address,
			      run->id);
}

static void run_send_event(struct backend_run *run)
{
	char event[160];

	run->events_sent++;
	if (run->is_detached) {
		run->next_event++;
		return;
	}
	g_snprintf(event, sizeof(event),
		   "id: %" G_GINT64_FORMAT
		   "\ndata: {\"text\":\"%s.%" G_GINT64_FORMAT "\"}\n\n",
		   run->next_event, run->id, run->next_event);
	soup_message_body_append(
		soup_server_message_get_response_body(run->message),
		SOUP_MEMORY_COPY, event, strlen(event));
	soup_server_message_unpause(run->message);
	run->next_event++;
}

static gboolean generation_step(gpointer data);

/* Returns whether the run's timer goes on; a new one may replace it. */
static gboolean run_keep_pace(struct backend_run *run)
{
	const struct backend *backend = run->backend;
	int64_t pace_ms =
		MAX(slowed_ms(backend, backend->pace_ms), backend->min_pace_ms);

	if (run->timer && pace_ms == run->pace_ms)
		return G_SOURCE_CONTINUE;
	run->pace_ms = pace_ms;
	run->timer = g_timeout_add((guint)pace_ms, generation_step, run);
	return G_SOURCE_REMOVE;
}

static gboolean generation_step(gpointer data)
{
	struct backend_run *run = data;
	const struct backend *backend = run->backend;

	if (run->has_poison_part &&
	    run->events_sent >= g_str_hash(run->id) % POISON_PART_EVENTS)
		crash("poison part", run->id);

	if (backend->crash_after_events &&
	    run->events_sent >= backend->crash_after_events)
		crash("after crash_after_events events", run->id);
	if (run->next_event < backend->events) {
		run_send_event(run);
		if (run->events_sent == 1 && run->backup_address &&
		    backend->real_copies)
			run->copy_timer = g_timeout_add(BACKUP_START_MS,
							run_send_copy, run);
		return run_keep_pace(run);
	}
	run_complete(run);
	run->timer = 0;
	if (run->is_detached) {
		run_free(run);
		return G_SOURCE_REMOVE;
	}
	soup_message_body_complete(
		soup_server_message_get_response_body(run->message));
	soup_server_message_unpause(run->message);
	return G_SOURCE_REMOVE;
}

static gboolean generation_start(gpointer data)
{
	struct backend_run *run = data;

	run->is_waiting = false;
	run->timer = 0;
	return run_keep_pace(run);
}

static void run_generate(struct backend_run *run)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(run->message);

	run->is_unframed = run->backend->unframed;
	run_set_unfinished(run, true);
	soup_message_headers_set_encoding(
		headers,
		run->is_unframed ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(run->message), FALSE);
	soup_server_message_set_status(run->message, 200, NULL);
	if (run->backend->answer_delay_ms > 0) {
		run_delay(run, generation_start);
		return;
	}
	soup_server_message_pause(run->message);
	run_watch_close(run);
	generation_start(run);
}

/*
 * Returns whether the request is answered with an error: always if the mode
 * failing is set, else for error_percent of the request ids. The hash of the id
 * decides, so that a request fails at each engine or at none.
 */
static bool is_failing(const struct backend *backend, const char *id)
{
	return backend->failing ||
	       g_str_hash(id) % 100 < (guint64)backend->error_percent;
}

static void run_answer_plain(struct backend_run *run)
{
	const struct backend *backend = run->backend;
	char text[256];

	run_complete(run);
	if (backend->crash_before_answer)
		crash("before the answer", run->id);
	if (backend->own_status || is_failing(backend, run->id)) {
		fake_message_answer_text(
			run->message,
			backend->own_status ? (guint)backend->own_status : 500,
			"failed");
		return;
	}
	g_snprintf(text, sizeof(text), "%s %s %s", backend->id, run->id,
		   run->path);
	fake_message_answer_text(run->message, 200, text);
}

static gboolean answer_delayed(gpointer data)
{
	struct backend_run *run = data;

	run_stop_close_watch(run);
	run->timer = 0;
	run_answer_plain(run);
	soup_server_message_unpause(run->message);
	return G_SOURCE_REMOVE;
}

static void run_answer(struct backend_run *run)
{
	if (run->backend->answer_delay_ms > 0)
		run_delay(run, answer_delayed);
	else
		run_answer_plain(run);
}

static bool is_poison(SoupServerMessage *message)
{
	g_autoptr(GBytes) body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	gsize size;
	const char *text = g_bytes_get_data(body, &size);

	return text && g_strstr_len(text, (gssize)size, POISON);
}

static bool has_poison_part(SoupServerMessage *message)
{
	const char *parts =
		fake_message_header(message, HEADER("Prompt-Prefix"));
	const char *part = parts ? strstr(parts, POISON_PART ":") : NULL;

	return part && strchr(part, ',');
}

/* The event with which an answer to the request begins. */
int64_t backend_first_event(SoupServerMessage *message)
{
	const char *last = fake_message_header(message, "Last-Event-Id");

	return last ? g_ascii_strtoll(last, NULL, 10) + 1 : 0;
}

/* Runs a request, or continues another engine's run of it. */
void backend_run_begin(struct backend *backend, SoupServerMessage *message,
		       const char *id, const char *path)
{
	struct backend_run *run = g_new0(struct backend_run, 1);

	run->backend = backend;
	run->message = g_object_ref(message);
	run->id = g_strdup(id);
	run->path = g_strdup(path);
	run->backup_address =
		g_strdup(fake_message_header(message, HEADER("Kv-Backup")));
	run->from_copy = fake_message_header(message, "Kv-From") != NULL;
	run->has_poison_part = has_poison_part(message);
	run->next_event = backend_first_event(message);
	g_ptr_array_add(backend->runs, run);
	if (run->from_copy)
		backend->takeover_count++;
	else
		backend->run_count++;
	if (run->from_copy)
		run_journal(run, BACKEND_CONTINUE);
	else
		backend_journal_write_run(backend->journal, id,
					  run->next_event);
	if (is_poison(message))
		crash("poison", id);
	g_signal_connect(message, "finished", G_CALLBACK(on_message_finished),
			 run);
	if (backend->plain || backend->own_status || is_failing(backend, id))
		run_answer(run);
	else
		run_generate(run);
}

/* Returns the unfinished run of a request, or NULL; the backend owns it. */
struct backend_run *backend_run_find(const struct backend *backend,
				     const char *id)
{
	for (guint i = 0; i < backend->runs->len; i++) {
		struct backend_run *run = g_ptr_array_index(backend->runs, i);

		if (!run->answered && strcmp(run->id, id) == 0)
			return run;
	}
	return NULL;
}

/* Stops a run; its stream is closed without its end. */
void backend_run_stop(struct backend_run *run)
{
	run_end_early(run, BACKEND_STOP);
}
