#include "fakes/backend_state.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define ANSWER_LOST "lost"

/* A POST /v1/kv-move that is answered once the target has stored the copy. */
struct move {
	const struct backend *backend;
	SoupServerMessage *message;
	char *handle;
	int64_t event_count; /* events in the copy */
	bool is_last;	     /* the run has stopped and is kept here */
	bool is_stored;
};

/* A POST /v1/kv-move with last that takes effect after stop_delay_ms. */
struct delayed_stop {
	struct backend *backend;
	SoupServerMessage *message;
	char *id;
	char *target;
};

static void answer_handle(SoupServerMessage *message, unsigned status,
			  const char *handle, int64_t event_count)
{
	g_autofree char *text = g_strdup_printf(
		"{\"handle\":\"%s\",\"created\":%" G_GINT64_FORMAT "}", handle,
		event_count);

	fake_message_answer_text(message, status, text);
}

static void move_answer(const struct move *move)
{
	if (move->is_stored || move->is_last)
		answer_handle(move->message, move->is_stored ? 200 : 503,
			      move->handle, move->event_count);
	else
		fake_message_answer_text(move->message, 503, "no room");
}

/* Answers a move that is the last with "STATUS BODY" instead. */
static void move_answer_oddly(const struct move *move, const char *answer)
{
	const char *body = strchr(answer, ' ');

	fake_message_answer_text(move->message,
				 (unsigned)g_ascii_strtoull(answer, NULL, 10),
				 body ? body + 1 : "");
}

static gboolean move_finish(void *data)
{
	struct move *move = data;
	const char *odd = move->is_last ? move->backend->stop_answer : NULL;

	if (odd && strcmp(odd, ANSWER_LOST) == 0) {
		fake_message_reset_connection(move->message);
	} else {
		if (odd && *odd)
			move_answer_oddly(move, odd);
		else
			move_answer(move);
		soup_server_message_unpause(move->message);
	}
	g_object_unref(move->message);
	g_free(move->handle);
	g_free(move);
	return G_SOURCE_REMOVE;
}

static void on_move_done(void *data, bool is_stored)
{
	struct move *move = data;
	int64_t delay_ms = move->is_last ? move->backend->stop_answer_ms : 0;

	move->is_stored = is_stored;
	if (delay_ms > 0)
		g_timeout_add((guint)delay_ms, move_finish, move);
	else
		move_finish(move);
}

/* Copies a run to the target; the last copy stops it and keeps it here too. */
static void move_run(struct backend *backend, SoupServerMessage *message,
		     struct backend_run *run, const char *target, bool is_last)
{
	struct move *move = g_new0(struct move, 1);
	g_autofree char *id = g_strdup(run->id);

	move->backend = backend;
	move->message = g_object_ref(message);
	move->is_last = is_last;
	move->handle =
		backend->real_copies
			? g_strdup_printf("%s-h%" G_GINT64_FORMAT, backend->id,
					  backend->move_count)
			: g_strdup("h1");
	move->event_count = run->next_event;
	if (is_last) {
		backend_copies_keep(backend->copies, move->handle, id,
				    run->next_event, true,
				    backend->real_copies ? target : NULL);
		backend_run_stop(run);
	}
	soup_server_message_pause(message);
	if (backend->real_copies)
		backend_copy_send(backend->sender, target, move->handle, id,
				  move->event_count, on_move_done, move);
	else
		on_move_done(move, true);
}

static void stop_run(struct backend *backend, SoupServerMessage *message,
		     const char *id, const char *target)
{
	struct backend_run *run = backend_run_find(backend, id);

	if (!run)
		fake_message_answer_text(message, 404, "no such run");
	else if (backend->real_copies &&
		 backend_copy_target_is_full(backend->sender, target))
		fake_message_answer_text(message, 503, "no room");
	else
		move_run(backend, message, run, target, true);
}

static gboolean on_stop_time(gpointer data)
{
	struct delayed_stop *stop = data;

	soup_server_message_unpause(stop->message);
	stop_run(stop->backend, stop->message, stop->id, stop->target);
	g_object_unref(stop->message);
	g_free(stop->id);
	g_free(stop->target);
	g_free(stop);
	return G_SOURCE_REMOVE;
}

static void stop_run_later(struct backend *backend, SoupServerMessage *message,
			   const char *id, const char *target)
{
	struct delayed_stop *stop = g_new0(struct delayed_stop, 1);

	*stop = (struct delayed_stop){backend, g_object_ref(message),
				      g_strdup(id), g_strdup(target)};
	soup_server_message_pause(message);
	g_timeout_add((guint)backend->stop_delay_ms, on_stop_time, stop);
}

static void answer_stop(struct backend *backend, SoupServerMessage *message,
			const char *id, const char *target)
{
	if (!backend_run_find(backend, id)) {
		fake_message_answer_text(message, 404, "no such run");
	} else if (backend->stop_crashes) {
		fprintf(stderr, "crash: asked to stop request %s\n", id);
		_exit(CRASH_EXIT_STATUS);
	} else if (backend->stop_refused) {
		fake_message_answer_text(message, 503, "not stopped");
	} else if (backend->stop_delay_ms > 0) {
		stop_run_later(backend, message, id, target);
	} else {
		stop_run(backend, message, id, target);
	}
}

/* Copies the run, which goes on; without real_copies it need not exist. */
static void answer_copy(struct backend *backend, SoupServerMessage *message,
			const char *id, const char *target)
{
	struct backend_run *run = backend_run_find(backend, id);

	if (!backend->real_copies)
		answer_handle(message, 200, "h1", 1);
	else if (run)
		move_run(backend, message, run, target, false);
	else
		fake_message_answer_text(message, 404, "no such run");
}

/* Answers POST /v1/kv-move of an engine that has room for moves. */
void backend_move_answer(struct backend *backend, SoupServerMessage *message)
{
	JsonObject *object = fake_message_read_json(message);
	const char *id;
	const char *target;

	if (!object)
		return;
	id = json_object_get_string_member_with_default(object, "id", "");
	target = json_object_get_string_member_with_default(object, "target",
							    "");
	if (json_object_get_boolean_member_with_default(object, "last", FALSE))
		answer_stop(backend, message, id, target);
	else
		answer_copy(backend, message, id, target);
	json_object_unref(object);
}
