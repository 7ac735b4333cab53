#include "wire.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * engine RECORD MODE EVENTS GAP_MS ID:PORT...: engines of the users' platform,
 * each at its own port, in one process. It records each request that it runs,
 * and for which tenant.
 *
 * MODE stream: EVENTS events, GAP_MS apart, with the ids 0, 1, 2 and so on.
 * plain: one body as the answer, after GAP_MS of work, or 220 ms for each tenth
 * request. garble: the same, but each EVENTS-th answer has a head that is none:
 * there is a space between a field's name and the colon. repeat: the same, but in
 * each EVENTS-th answer the engine writes on and on in the head, 60 KB, before the
 * answer's length and its body.
 */
enum mode { MODE_PLAIN, MODE_STREAM, MODE_GARBLE, MODE_REPEAT };

static struct {
	enum mode mode;
	int events;
	int gap_ms;
} options;

static int answers; /* so far, of all engines of this process */

struct engine {
	const char *id;
	int listener;
};

struct connection {
	const struct engine *engine;
	int fd;
};

static bool answer_head(int fd, const char *id, const char *more)
{
	return wire_sendf(fd,
			  "HTTP/1.1 200 OK\r\nX-Siskinlink-Request-Id: %s\r\n"
			  "X-Siskinlink-Engine-Stamp: stamp.%s\r\n%s\r\n",
			  id, id, more);
}

/* An answer in chunks whose coding is named in a line that is no field. */
static bool answer_garbled(int fd, const char *id, const char *body)
{
	record("engine spoils the head of its answer to %s", id);
	return answer_head(fd, id, "Transfer-Encoding : chunked\r\n") &&
	       wire_sendf(fd, "%zx\r\n%s\r\n0\r\n\r\n", strlen(body), body);
}

/* A head in which a separator and then a line are repeated. */
static bool answer_repeating(int fd, const char *id, const char *body)
{
	static __thread char head[65536];
	size_t size;

	record("engine repeats itself in the head of its answer to %s", id);
	size = (size_t)snprintf(head, sizeof(head),
				"HTTP/1.1 200 OK\r\n"
				"X-Siskinlink-Request-Id: %s\r\n"
				"X-Siskinlink-Engine-Stamp: stamp.%s\r\n"
				"Connection: close",
				id, id);
	memset(head + size, ',', 16000);
	size += 16000;
	memcpy(head + size, "\r\n", 2);
	size += 2;
	for (int i = 0; i < 7000; i++) {
		memcpy(head + size, "b:c\r\n", 5);
		size += 5;
	}
	return wire_send(fd, head, size) &&
	       wire_sendf(fd, "Content-Length: %zu\r\n\r\n%s", strlen(body),
			  body);
}

static bool answer_plain(int fd, const char *id)
{
	int number = __atomic_add_fetch(&answers, 1, __ATOMIC_RELAXED);
	char body[256], more[64];

	wire_sleep_ms(number % 10 ? options.gap_ms : 220);
	snprintf(body, sizeof(body), "answer to %s", id);
	if (options.mode == MODE_GARBLE && number % options.events == 0)
		return answer_garbled(fd, id, body);
	if (options.mode == MODE_REPEAT && number % options.events == 0)
		return answer_repeating(fd, id, body);
	snprintf(more, sizeof(more), "Content-Length: %zu\r\n", strlen(body));
	return answer_head(fd, id, more) && wire_send(fd, body, strlen(body));
}

static bool answer_stream(int fd, const char *id)
{
	char event[128];

	if (!answer_head(fd, id,
			 "Content-Type: text/event-stream\r\n"
			 "Transfer-Encoding: chunked\r\n"))
		return false;
	for (int i = 0; i < options.events; i++) {
		snprintf(event, sizeof(event), "id: %d\ndata: piece %d\n\n", i,
			 i);
		if (!wire_sendf(fd, "%zx\r\n%s\r\n", strlen(event), event))
			return false;
		wire_sleep_ms(options.gap_ms);
	}
	return wire_send(fd, "0\r\n\r\n", 5);
}

/* Answers another engine's address with 421, as PROTOCOL.md says. */
static bool is_for_other(const struct engine *engine, const struct head *head)
{
	const char *expected = head_get(head, "X-Siskinlink-Expect-Instance");

	return expected && strcmp(expected, engine->id) != 0;
}

/* Drops a body in chunks. */
static bool drop_chunks(struct wire *wire)
{
	char line[256];
	size_t size;

	do {
		if (!wire_read_line(wire, line, sizeof(line)))
			return false;
		size = strtoul(line, NULL, 16);
		if (!wire_read_body(wire, NULL, size) ||
		    !wire_read_line(wire, line, sizeof(line)))
			return false;
	} while (size > 0);
	return true;
}

/* Drops the body. Chunks go before a length (RFC 9112, 6.3). */
static bool drop_body(struct wire *wire, const struct head *head)
{
	const char *coding = head_get(head, "Transfer-Encoding");
	const char *size = head_get(head, "Content-Length");

	if (coding && strcasecmp(coding, "chunked") == 0)
		return drop_chunks(wire);
	return !size || wire_read_body(wire, NULL, strtoul(size, NULL, 10));
}

/* What the engine says of itself; it never leaves. */
static bool answer_report(int fd)
{
	static const char body[] =
		"{\"stage\":\"both\",\"queued\":0,\"running\":0,"
		"\"state\":\"ready\",\"kv_used\":0,\"kv_total\":34292}";

	return wire_sendf(fd,
			  "HTTP/1.1 200 OK\r\nContent-Type: application/json"
			  "\r\nContent-Length: %zu\r\n\r\n%s",
			  sizeof(body) - 1, body);
}

static bool serve(const struct connection *connection, struct wire *wire)
{
	static __thread struct head head;
	const char *id, *tenant;
	bool is_done;

	if (!wire_read_head(wire, &head) || !drop_body(wire, &head))
		return false;
	if (strncmp(head.start, "GET /v1/report", 14) == 0)
		return answer_report(wire->fd);
	id = head_get(&head, "X-Siskinlink-Request-Id");
	if (!id || is_for_other(connection->engine, &head))
		return wire_sendf(wire->fd,
				  "HTTP/1.1 %s\r\nX-Siskinlink-Not-Executed: 1"
				  "\r\nContent-Length: 0\r\n\r\n",
				  id ? "421 Misdirected" : "400 Bad Request");
	tenant = head_get(&head, "X-Siskinlink-Tenant");
	record("engine %s runs %s for tenant %s", connection->engine->id, id,
	       tenant ? tenant : "none");
	is_done = options.mode == MODE_STREAM ? answer_stream(wire->fd, id)
					      : answer_plain(wire->fd, id);
	record("engine %s %s %s", connection->engine->id,
	       is_done ? "ends" : "loses the channel of", id);
	return is_done;
}

static void *connection_run(void *data)
{
	struct connection *connection = data;
	struct wire *wire = calloc(1, sizeof(*wire));

	wire->fd = connection->fd;
	while (serve(connection, wire))
		continue;
	close(wire->fd);
	free(wire);
	free(connection);
	return NULL;
}

static void *engine_run(void *data)
{
	const struct engine *engine = data;
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 512 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	for (;;) {
		struct connection *connection = calloc(1, sizeof(*connection));

		connection->engine = engine;
		connection->fd = accept(engine->listener, NULL, NULL);
		if (connection->fd < 0 ||
		    pthread_create(&thread, &attributes, connection_run,
				   connection) != 0)
			return NULL;
	}
}

int main(int argc, char **argv)
{
	pthread_t thread;

	if (argc < 6)
		return 2;
	record_open(argv[1]);
	options.mode = strcmp(argv[2], "stream") == 0	? MODE_STREAM
		       : strcmp(argv[2], "garble") == 0 ? MODE_GARBLE
		       : strcmp(argv[2], "repeat") == 0 ? MODE_REPEAT
							: MODE_PLAIN;
	options.events = atoi(argv[3]);
	options.gap_ms = atoi(argv[4]);
	for (int i = 5; i < argc; i++) {
		struct engine *engine = calloc(1, sizeof(*engine));
		char *colon = strchr(argv[i], ':');

		if (!colon)
			return 2;
		*colon = '\0';
		engine->id = argv[i];
		engine->listener = wire_listen(atoi(colon + 1));
		if (engine->listener < 0 ||
		    pthread_create(&thread, NULL, engine_run, engine) != 0)
			return 1;
	}
	puts("ready");
	fflush(stdout);
	pthread_join(thread, NULL);
	return 0;
}
