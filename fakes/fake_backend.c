#include "fakes/backend_state.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Stated with the load; the backend runs all that it gets. */
#define SLOTS 24
#define HANDLE_PATH "/v1/kv-handle"

/*
 * A fake of the platform's engines, plain and generating. Event I of a
 * generation depends only on I and the request's id, so any engine can continue
 * it and a test can detect missing or duplicate events. GET /fake/state shows
 * the last request's fields and the number of runs; the journal keeps the runs
 * after the process has ended. Faults are switched by POST /fake/mode.
 *
 * When a closed connection ends its run: at the write of an event that fails;
 * with watches_close at once, also if only the caller's side is closed; with
 * close_notice_ms so many ms after the close, or never if it is negative. A run
 * whose answer has not begun ends at once except with close_notice_ms.
 *
 * POST /v1/kv-move with last stops the run before its copy is sent. With
 * stop_refused the answer is 503 and the run goes on, with stop_delay_ms it
 * goes on for so long before it stops, with stop_crashes the process ends
 * instead. With stop_answer_ms it stops at once, and the answer comes so much
 * later; with stop_answer that is "STATUS BODY" instead of the usual one, or,
 * if it is "lost", the end of the connection.
 */

static void answer_not_executed(SoupServerMessage *message, unsigned status)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		HEADER("Not-Executed"), "1");
	fake_message_answer_text(message, status, "");
}

/* Turns a request away and asks its sender for rest for so many seconds. */
static void answer_rest(const struct backend *backend,
			SoupServerMessage *message, const char *id)
{
	const char *rest_s = backend->rest_s;

	backend_journal_write_rest(
		backend->journal, id,
		(int64_t)(g_ascii_strtod(rest_s, NULL) * 1000));
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Retry-After", rest_s);
	answer_not_executed(message, 503);
}

/*
 * Removes the copy named IP:PORT/NAME from this engine's copies and returns
 * whether it existed. With no_copy no copy of another engine's run exists;
 * otherwise, without real_copies, every copy does.
 */
static bool backend_take_copy(struct backend *backend, const char *from,
			      const char *id)
{
	const char *slash = strchr(from, '/');

	if (slash && backend_copies_take(backend->copies, slash + 1, id,
					 backend->no_copy))
		return true;
	return !backend->real_copies && !backend->no_copy;
}

/* Answers with a refusal and returns false if the request must not run here. */
static bool backend_accepts(struct backend *backend, SoupServerMessage *message,
			    const char *id)
{
	const char *expected =
		fake_message_header(message, HEADER("Expect-Instance"));
	const char *from = fake_message_header(message, "Kv-From");

	if (expected && strcmp(expected, backend->id) != 0)
		answer_not_executed(message, 421);
	else if (backend->shed_silently)
		fake_message_answer_text(message, 503, "shed");
	else if (backend->rest_s && *backend->rest_s)
		answer_rest(backend, message, id);
	else if (backend->full ||
		 (from && !backend_take_copy(backend, from, id)))
		answer_not_executed(message, 503);
	else
		return true;
	return false;
}

static void save_header(char **to, SoupServerMessage *message, const char *name)
{
	const char *value = fake_message_header(message, name);

	g_free(*to);
	*to = g_strdup(value ? value : "");
}

static void save_request_headers(struct backend *backend,
				 SoupServerMessage *message)
{
	save_header(&backend->tenant, message, HEADER("Tenant"));
	save_header(&backend->deadline, message, HEADER("Deadline-Ms"));
	backend->saw_key |=
		fake_message_header(message, "Authorization") != NULL;
}

/* A request that is journaled as running until its connection is reset. */
struct reset {
	struct backend *backend;
	SoupServerMessage *message;
	char *id;
	bool from_copy;
};

static void reset_free(gpointer data)
{
	struct reset *reset = data;

	g_object_unref(reset->message);
	g_free(reset->id);
	g_free(reset);
}

static gboolean reset_run(gpointer data)
{
	const struct reset *reset = data;

	backend_journal_write(reset->backend->journal, BACKEND_STOP, reset->id,
			      reset->from_copy);
	fake_message_reset_connection(reset->message);
	return G_SOURCE_REMOVE;
}

/*
 * Journals and counts a run without running it, then resets the connection,
 * after crash_after_ms, as an engine that crashes while the request is queued.
 */
static void journal_and_reset(struct backend *backend,
			      SoupServerMessage *message, const char *id,
			      bool from_copy)
{
	struct reset *reset = g_new0(struct reset, 1);

	if (from_copy) {
		backend_journal_write(backend->journal, BACKEND_CONTINUE, id,
				      true);
		backend->takeover_count++;
	} else {
		backend_journal_write_run(backend->journal, id,
					  backend_first_event(message));
		backend->run_count++;
	}
	*reset = (struct reset){backend, g_object_ref(message), g_strdup(id),
				from_copy};
	if (backend->crash_after_ms == 0) {
		reset_run(reset);
		reset_free(reset);
		return;
	}
	soup_server_message_pause(message);
	g_timeout_add_full(G_PRIORITY_DEFAULT, (guint)backend->crash_after_ms,
			   reset_run, reset, reset_free);
}

static void state_load(const struct backend *backend,
		       SoupMessageHeaders *headers)
{
	int64_t percent = backend_slowdown_percent(backend);
	g_autofree char *text =
		g_strdup_printf("%u,0,%d,%" G_GINT64_FORMAT,
				MIN(backend->runs->len, SLOTS), SLOTS, percent);

	if (percent > 0)
		soup_message_headers_replace(headers, HEADER("Engine-Load"),
					     text);
}

static void on_request(void *data, SoupServerMessage *message, const char *path)
{
	struct backend *backend = data;
	const char *id = fake_message_header(message, HEADER("Request-Id"));
	bool from_copy = fake_message_header(message, "Kv-From") != NULL;
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	backend_journal_write(backend->journal, BACKEND_ARRIVAL, id ? id : "-",
			      from_copy);
	if (backend->says_leaving)
		soup_message_headers_replace(
			headers, "Server-Leaving",
			backend->leaving_text ? backend->leaving_text : "1");
	if (!id) {
		answer_not_executed(message, 400);
		return;
	}
	if (backend->mute) {
		soup_server_message_pause(message);
		return;
	}
	soup_message_headers_replace(headers, HEADER("Request-Id"), id);
	if (!backend_accepts(backend, message, id)) {
		backend_journal_write(backend->journal, BACKEND_REFUSAL, id,
				      from_copy);
		return;
	}
	save_request_headers(backend, message);
	soup_message_headers_replace(headers, HEADER("Engine-Stamp"),
				     backend->id);
	state_load(backend, headers);
	if (backend->server_limit && *backend->server_limit)
		soup_message_headers_replace(headers, "Server-Limit",
					     backend->server_limit);
	if (backend->leave_at_us)
		soup_message_headers_replace(headers, "Connection", "close");
	if (backend->crashing)
		journal_and_reset(backend, message, id, from_copy);
	else
		backend_run_begin(backend, message, id, path);
}

static void on_move(void *data, SoupServerMessage *message, const char *path)
{
	struct backend *backend = data;

	(void)path;
	backend->move_count++;
	if (backend->mute)
		soup_server_message_pause(message);
	else if (backend->no_room)
		fake_message_answer_text(message, 503, "no room");
	else
		backend_move_answer(backend, message);
}

/* DELETE /v1/kv-handle/NAME frees a copy, whether or not it exists. */
static void on_handle(void *data, SoupServerMessage *message, const char *path)
{
	const struct backend *backend = data;

	backend_copies_free(backend->copies, backend->sender,
			    path + strlen(HANDLE_PATH "/"));
	fake_message_answer_text(message, 200, "ok\n");
}

static void on_copy(void *data, SoupServerMessage *message, const char *path)
{
	const struct backend *backend = data;

	(void)path;
	if (backend->no_room || backend->no_copy)
		fake_message_answer_text(message, 503, "no room");
	else
		backend_copies_receive(backend->copies, message);
}

static void on_report(void *data, SoupServerMessage *message, const char *path)
{
	const struct backend *backend = data;

	(void)path;
	if (backend->mute)
		soup_server_message_pause(message);
	else
		backend_report_answer(backend, message);
}

/* The status check: 200 with the engine's id, 503 as it drains. */
static void on_status(void *data, SoupServerMessage *message, const char *path)
{
	const struct backend *backend = data;
	bool serves = !backend->draining && !backend->says_leaving &&
		      !backend->leave_at_us;

	(void)path;
	if (backend->mute) {
		soup_server_message_pause(message);
		return;
	}
	if (backend->full) {
		answer_not_executed(message, 503);
		return;
	}
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		HEADER("Instance-Id"), backend->id);
	fake_message_answer_text(message, serves ? 200 : 503, "");
}

static void on_state(void *data, SoupServerMessage *message, const char *path)
{
	(void)path;
	backend_state_answer(data, message);
}

static gboolean on_leave_time(gpointer data)
{
	const struct backend *backend = data;

	fprintf(stderr, "leave time reached, %u active runs\n",
		backend->runs->len);
	_exit(0);
}

static void on_modes_changed(void *data)
{
	struct backend *backend = data;

	if (backend->leave_ms <= 0 || backend->leave_at_us)
		return;
	backend->leave_at_us =
		g_get_monotonic_time() + backend->leave_ms * 1000;
	g_timeout_add((guint)backend->leave_ms, on_leave_time, backend);
}

static void backend_add_handlers(struct backend *backend,
				 struct fake_server *server)
{
	fake_server_add_handler(server, "/v1/kv-move", on_move, backend);
	fake_server_add_handler(server, HANDLE_PATH "/", on_handle, backend);
	fake_server_add_handler(server, "/v1/report", on_report, backend);
	fake_server_add_handler(server, "/health", on_status, backend);
	fake_server_add_handler(server, "/fake/copy", on_copy, backend);
	fake_server_add_handler(server, "/fake/state", on_state, backend);
	fake_server_add_handler(server, "/", on_request, backend);
}

static bool backend_init(struct backend *backend, char *id, const char *journal)
{
	backend->id = id ? id : g_strdup("i-0");
	backend->copies = backend_copies_create();
	backend->sender = backend_copy_sender_create();
	backend->runs = g_ptr_array_new();
	if (journal)
		backend->journal = backend_journal_create(journal, backend->id);
	return !journal || backend->journal;
}

/* Must be called after the server and its messages are destroyed. */
static void backend_clear(struct backend *backend)
{
	backend_copy_sender_destroy(backend->sender);
	backend_copies_destroy(backend->copies);
	backend_journal_destroy(backend->journal);
	g_ptr_array_unref(backend->runs);
	g_free(backend->id);
	g_free(backend->tenant);
	g_free(backend->deadline);
	g_free(backend->server_limit);
	g_free(backend->leaving_text);
	g_free(backend->stop_answer);
	g_free(backend->rest_s);
}

int main(int argc, const char **argv)
{
	struct backend backend = {.events = 60, .pace_ms = 20};
	char *id = NULL;
	char *journal = NULL;
	int real_copies = 0;
	struct poptOption options[] = {
		{"id", 0, POPT_ARG_STRING, &id, 0,
		 "instance id, \"i-0\" by default", "ID"},
		{"journal", 0, POPT_ARG_STRING, &journal, 0,
		 "journal of requests and runs to append to", "FILE"},
		{"events", 0, POPT_ARG_LONG, &backend.events, 0,
		 "number of events of a generation", "COUNT"},
		{"pace-ms", 0, POPT_ARG_LONG, &backend.pace_ms, 0,
		 "time between two events", "MS"},
		{"answer-delay-ms", 0, POPT_ARG_LONG, &backend.answer_delay_ms,
		 0, "delay before an answer or its first event", "MS"},
		{"real-copies", 0, POPT_ARG_NONE, &real_copies, 0,
		 "continue only from copies that were received", NULL},
		{"plain", 0, POPT_ARG_NONE, &backend.plain, 0,
		 "answer with one body instead of a stream", NULL},
		POPT_TABLEEND};
	struct fake_server *server = fake_server_create(argc, argv, options);
	const struct fake_mode modes[] = {
		{"events", FAKE_MODE_INT, &backend.events},
		{"pace_ms", FAKE_MODE_INT, &backend.pace_ms},
		{"slowdown_percent", FAKE_MODE_INT, &backend.slowdown_percent},
		{"bends_at", FAKE_MODE_INT, &backend.bends_at},
		{"full", FAKE_MODE_BOOL, &backend.full},
		{"failing", FAKE_MODE_BOOL, &backend.failing},
		{"no_copy", FAKE_MODE_BOOL, &backend.no_copy},
		{"no_room", FAKE_MODE_BOOL, &backend.no_room},
		{"unframed", FAKE_MODE_BOOL, &backend.unframed},
		{"crashing", FAKE_MODE_BOOL, &backend.crashing},
		{"crash_after_events", FAKE_MODE_INT,
		 &backend.crash_after_events},
		{"crash_before_answer", FAKE_MODE_BOOL,
		 &backend.crash_before_answer},
		{"crash_after_ms", FAKE_MODE_INT, &backend.crash_after_ms},
		{"own_status", FAKE_MODE_INT, &backend.own_status},
		{"shed_silently", FAKE_MODE_BOOL, &backend.shed_silently},
		{"error_percent", FAKE_MODE_INT, &backend.error_percent},
		{"mute", FAKE_MODE_BOOL, &backend.mute},
		{"answer_delay_ms", FAKE_MODE_INT, &backend.answer_delay_ms},
		{"real_copies", FAKE_MODE_BOOL, &backend.real_copies},
		{"leave_ms", FAKE_MODE_INT, &backend.leave_ms},
		{"min_pace_ms", FAKE_MODE_INT, &backend.min_pace_ms},
		{"watches_close", FAKE_MODE_BOOL, &backend.watches_close},
		{"close_notice_ms", FAKE_MODE_INT, &backend.close_notice_ms},
		{"stop_refused", FAKE_MODE_BOOL, &backend.stop_refused},
		{"stop_delay_ms", FAKE_MODE_INT, &backend.stop_delay_ms},
		{"stop_answer_ms", FAKE_MODE_INT, &backend.stop_answer_ms},
		{"stop_answer", FAKE_MODE_STRING, &backend.stop_answer},
		{"stop_crashes", FAKE_MODE_BOOL, &backend.stop_crashes},
		{"server_limit", FAKE_MODE_STRING, &backend.server_limit},
		{"says_leaving", FAKE_MODE_BOOL, &backend.says_leaving},
		{"draining", FAKE_MODE_BOOL, &backend.draining},
		{"leaving_text", FAKE_MODE_STRING, &backend.leaving_text},
		{"rest_s", FAKE_MODE_STRING, &backend.rest_s},
	};
	int status = 2;

	if (!server)
		return status;
	backend.real_copies = real_copies != 0;
	if (backend_init(&backend, id, journal)) {
		backend_add_handlers(&backend, server);
		fake_server_set_modes(server, modes, G_N_ELEMENTS(modes),
				      on_modes_changed, &backend);
		status = fake_server_run(server);
	}
	fake_server_destroy(server);
	backend_clear(&backend);
	g_free(journal);
	return status;
}
