#include "fakes/fake_server.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * A stand-in for the platform's engines, plain and generating. Event I of a
 * generation is a function of the request's id, so that any engine can go on
 * with it and a test sees what is missing or doubled. What it was told and how
 * often it ran a request is told by GET /fake/state; the faults are switches.
 */
#define FIELD(name) "X-Siskinlink-" name

struct backend {
	char *id;
	char *journal_path; /* NULL: none is kept */
	FILE *journal;
	int plain;
	int64_t events;	 /* of a generation */
	int64_t pace_ms; /* between two */
	bool full;	 /* runs nothing: 503 */
	bool failing;	 /* its own 500 */
	bool no_copy;	 /* has no memory to go on from */
	bool no_room;	 /* for a copy of another engine's run */
	bool unframed;	 /* answers without a length */
	bool crashing;	 /* each request resets its connection at once */
	int64_t runs;
	int64_t taken_over;
	int64_t left; /* callers that closed early */
	int64_t moves;
	char *tenant; /* of the last request */
	char *deadline;
	bool saw_key;
};

struct generation {
	struct backend *backend;
	SoupServerMessage *message;
	char *id;
	int64_t next;
	guint timer;
};

/*
 * One line for what happens to a request, written at once: a process that is
 * killed leaves a journal of all that it did. The time is that of
 * CLOCK_MONOTONIC, which all processes of a machine share.
 */
static void backend_note(const struct backend *backend, const char *event,
			 const char *request, bool from_copy)
{
	if (!backend->journal)
		return;
	fprintf(backend->journal, "%" PRId64 " %s %s %s %d\n",
		g_get_monotonic_time(), event, request, backend->id, from_copy);
	fflush(backend->journal);
}

static bool backend_open_journal(struct backend *backend)
{
	if (!backend->journal_path)
		return true;
	backend->journal = fopen(backend->journal_path, "a");
	if (!backend->journal)
		perror(backend->journal_path);
	return backend->journal != NULL;
}

static void generation_end(struct generation *generation)
{
	if (generation->timer)
		g_source_remove(generation->timer);
	g_object_unref(generation->message);
	g_free(generation->id);
	g_free(generation);
}

static gboolean generation_step(gpointer data)
{
	struct generation *generation = data;
	SoupMessageBody *body =
		soup_server_message_get_response_body(generation->message);
	char event[160];

	if (generation->next < generation->backend->events) {
		g_snprintf(event, sizeof(event),
			   "id: %" G_GINT64_FORMAT
			   "\ndata: {\"text\":\"%s.%" G_GINT64_FORMAT "\"}\n\n",
			   generation->next, generation->id, generation->next);
		soup_message_body_append(body, SOUP_MEMORY_COPY, event,
					 strlen(event));
		generation->next++;
		soup_server_message_unpause(generation->message);
		return G_SOURCE_CONTINUE;
	}
	soup_message_body_complete(body);
	soup_server_message_unpause(generation->message);
	generation->timer = 0;
	return G_SOURCE_REMOVE;
}

static void on_finished(SoupServerMessage *message, gpointer data)
{
	struct generation *generation = data;

	(void)message;
	if (generation->next < generation->backend->events)
		generation->backend->left++;
	backend_note(generation->backend, "end", generation->id, false);
	generation_end(generation);
}

static void generate(struct backend *backend, SoupServerMessage *message,
		     const char *id)
{
	struct generation *generation = g_new0(struct generation, 1);
	const char *last = fake_message_header(message, "Last-Event-Id");
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);

	generation->backend = backend;
	generation->message = g_object_ref(message);
	generation->id = g_strdup(id);
	if (last)
		generation->next = g_ascii_strtoll(last, NULL, 10) + 1;
	soup_message_headers_set_encoding(
		headers,
		backend->unframed ? SOUP_ENCODING_EOF : SOUP_ENCODING_CHUNKED);
	soup_message_headers_replace(headers, "Content-Type",
				     "text/event-stream");
	soup_message_body_set_accumulate(
		soup_server_message_get_response_body(message), FALSE);
	soup_server_message_set_status(message, 200, NULL);
	soup_server_message_pause(message);
	g_signal_connect(message, "finished", G_CALLBACK(on_finished),
			 generation);
	generation->timer = g_timeout_add((guint)backend->pace_ms,
					  generation_step, generation);
}

/* A request to such a path crashes whoever runs it, a moment later. */
#define CRASHING_PATH "/poison"
#define CRASH_MS 200
#define CRASH_STATUS 9

static gboolean crash(gpointer data)
{
	(void)data;
	_exit(CRASH_STATUS);
}

/* As the engine's host does when its process is gone. */
static void reset_connection(SoupServerMessage *message)
{
	GSocket *socket = soup_server_message_get_socket(message);
	struct linger linger = {1, 0};
	GIOStream *stream;

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	stream = soup_server_message_steal_connection(message);
	g_io_stream_close(stream, NULL, NULL);
	g_object_unref(stream);
}

static void answer_not_run(SoupServerMessage *message, unsigned status)
{
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		FIELD("Not-Executed"), "1");
	fake_message_answer_text(message, status, "");
}

/* What the request says beside its path; false when it isn't run here. */
static bool backend_accepts(struct backend *backend, SoupServerMessage *message)
{
	const char *expected =
		fake_message_header(message, FIELD("Expect-Instance"));
	const char *from = fake_message_header(message, "Kv-From");

	if (expected && strcmp(expected, backend->id) != 0)
		answer_not_run(message, 421);
	else if (backend->full || (from && backend->no_copy))
		answer_not_run(message, 503);
	else
		return true;
	return false;
}

static void note(char **to, SoupServerMessage *message, const char *name)
{
	const char *value = fake_message_header(message, name);

	g_free(*to);
	*to = g_strdup(value ? value : "");
}

static void on_request(void *data, SoupServerMessage *message, const char *path)
{
	struct backend *backend = data;
	const char *id = fake_message_header(message, FIELD("Request-Id"));
	SoupMessageHeaders *headers =
		soup_server_message_get_response_headers(message);
	char text[256];
	bool from_copy;

	if (!id) {
		answer_not_run(message, 400);
		return;
	}
	soup_message_headers_replace(headers, FIELD("Request-Id"), id);
	from_copy = fake_message_header(message, "Kv-From") != NULL;
	backend_note(backend, "arrived", id, from_copy);
	if (!backend_accepts(backend, message))
		return;
	note(&backend->tenant, message, FIELD("Tenant"));
	note(&backend->deadline, message, FIELD("Deadline-Ms"));
	backend->saw_key |=
		fake_message_header(message, "Authorization") != NULL;
	soup_message_headers_replace(headers, FIELD("Engine-Stamp"),
				     backend->id);
	if (from_copy)
		backend->taken_over++;
	else
		backend->runs++;
	backend_note(backend, from_copy ? "go_on" : "run", id, from_copy);
	if (g_str_has_suffix(path, CRASHING_PATH))
		g_timeout_add(CRASH_MS, crash, NULL);
	if (backend->crashing) {
		reset_connection(message);
	} else if (backend->failing) {
		fake_message_answer_text(message, 500, "failed");
	} else if (backend->plain) {
		g_snprintf(text, sizeof(text), "%s %s %s", backend->id, id,
			   path);
		fake_message_answer_text(message, 200, text);
	} else {
		generate(backend, message, id);
	}
}

static void on_move(void *data, SoupServerMessage *message, const char *path)
{
	struct backend *backend = data;

	(void)path;
	backend->moves++;
	if (backend->no_room)
		fake_message_answer_text(message, 503, "no room");
	else
		fake_message_answer_text(message, 200,
					 "{\"handle\":\"h1\",\"created\":1}");
}

static void on_state(void *data, SoupServerMessage *message, const char *path)
{
	struct backend *backend = data;
	char *text = g_strdup_printf(
		"{\"runs\":%" G_GINT64_FORMAT
		",\"taken_over\":%" G_GINT64_FORMAT
		",\"left\":%" G_GINT64_FORMAT ",\"moves\":%" G_GINT64_FORMAT
		",\"tenant\":\"%s\",\"deadline\":\"%s\",\"saw_key\":%s}",
		backend->runs, backend->taken_over, backend->left,
		backend->moves, backend->tenant ? backend->tenant : "",
		backend->deadline ? backend->deadline : "",
		backend->saw_key ? "true" : "false");

	(void)path;
	fake_message_answer_text(message, 200, text);
	g_free(text);
}

int main(int argc, const char **argv)
{
	struct backend backend = {.events = 60, .pace_ms = 20};
	char *id = NULL;
	struct poptOption options[] = {
		{"id", 0, POPT_ARG_STRING, &id, 0, "of this start", "ID"},
		{"plain", 0, POPT_ARG_NONE, &backend.plain, 0,
		 "answers at once, no stream", NULL},
		{"events", 0, POPT_ARG_LONG, &backend.events, 0,
		 "of a generation", "COUNT"},
		{"pace-ms", 0, POPT_ARG_LONG, &backend.pace_ms, 0,
		 "between two of them", "MS"},
		{"journal", 0, POPT_ARG_STRING, &backend.journal_path, 0,
		 "a line for what happens to each request", "FILE"},
		POPT_TABLEEND};
	struct fake_server *server = fake_server_create(argc, argv, options);
	const struct fake_mode modes[] = {
		{"events", FAKE_MODE_INT, &backend.events},
		{"pace_ms", FAKE_MODE_INT, &backend.pace_ms},
		{"full", FAKE_MODE_BOOL, &backend.full},
		{"failing", FAKE_MODE_BOOL, &backend.failing},
		{"no_copy", FAKE_MODE_BOOL, &backend.no_copy},
		{"no_room", FAKE_MODE_BOOL, &backend.no_room},
		{"unframed", FAKE_MODE_BOOL, &backend.unframed},
		{"crashing", FAKE_MODE_BOOL, &backend.crashing},
	};
	int status;

	if (!server)
		return 2;
	backend.id = id ? id : g_strdup("i-0");
	if (!backend_open_journal(&backend))
		return 2;
	fake_server_add_handler(server, "/v1/kv-move", on_move, &backend);
	fake_server_add_handler(server, "/fake/state", on_state, &backend);
	fake_server_add_handler(server, "/", on_request, &backend);
	fake_server_set_modes(server, modes, G_N_ELEMENTS(modes), NULL, NULL);
	status = fake_server_run(server);
	fake_server_destroy(server);
	g_clear_pointer(&backend.journal, fclose);
	g_free(backend.journal_path);
	g_free(backend.id);
	g_free(backend.tenant);
	g_free(backend.deadline);
	return status;
}
