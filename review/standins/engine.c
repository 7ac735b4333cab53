/*
 * A model engine or plain service of the users' pages, for the cases of the
 * review.
 *
 *   engine --ip IP --id ID --journal FILE [--plain] [--delay-ms N]
 *          [--events N] [--gap-ms N] [--event-bytes N]
 *          [--spoil-run N --spoil-event N --busy-ms N] [--rest-file FILE]
 *          [--refusal-ms N] [--limit N] [--answer-bytes N]
 *          [--long-path PREFIX]
 *
 * It keeps copies of running requests (X-Siskinlink-Kv-Backup), goes on from
 * them (Kv-From), stops a run at POST /v1/kv-move with last, and is one of the
 * engines that do not drop a request when its channel closes. With --spoil-run
 * N it is at fault: in its Nth new run, at that event, it sends bytes that are
 * no answer. For --busy-ms from then on it accepts no further channels: it
 * resets them. A request with X-Siskinlink-Token-Count: IN,OUT gets OUT / 4
 * events, others --events; only runs of at least LONG_EVENTS count for N. While
 * FILE exists, it turns requests away with 503 and asks for rest, each after the
 * time of --refusal-ms. With --limit, its answers name a Server-Limit. With
 * --answer-bytes, a plain answer has that many bytes more, to all paths or to
 * those that begin with PREFIX.
 */
#define _GNU_SOURCE
#include "http.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_RUNS 1024
#define COPY_INTERVAL_MS 150
#define LONG_EVENTS 100
#define TOKENS_PER_EVENT 4

struct run {
	char id[160];
	int made;	/* events */
	bool is_active; /* works on it */
	bool must_stop;
	int copied; /* events in the copy that is kept here; -1: no copy */
};

static const char *engine_id = "i-1";
static bool is_plain;
static int64_t delay_ms;
static int event_count = 100;
static int64_t gap_ms = 10;
static int event_bytes = 64;
static int spoil_run;
static int spoil_event;
static int64_t busy_ms;
static const char *rest_file = "";
static int64_t refusal_ms;
static size_t answer_bytes; /* further ones of a plain answer's body */
static const char *long_path = ""; /* to paths that begin so */
static char limit_field[64]; /* a line of each answer's head, or empty */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct run runs[MAX_RUNS];
static int run_count;
static int new_runs;
static int64_t busy_until_ms;
static FILE *journal;

static void note(const char *format, ...)
	__attribute__((format(printf, 1, 2)));

static void note(const char *format, ...)
{
	va_list list;

	va_start(list, format);
	pthread_mutex_lock(&lock);
	fprintf(journal, "%lld %s ", (long long)now_ms(), engine_id);
	vfprintf(journal, format, list);
	fputc('\n', journal);
	fflush(journal);
	pthread_mutex_unlock(&lock);
	va_end(list);
}

/* Returns the run or copy of that request, which is added if need be. */
static struct run *find_run(const char *id)
{
	struct run *run = NULL;

	pthread_mutex_lock(&lock);
	for (int i = 0; i < run_count && !run; i++) {
		if (strcmp(runs[i].id, id) == 0)
			run = &runs[i];
	}
	if (!run && run_count < MAX_RUNS) {
		run = &runs[run_count++];
		snprintf(run->id, sizeof(run->id), "%s", id);
		run->copied = -1;
	}
	pthread_mutex_unlock(&lock);
	return run;
}

/* Sends the backup's engine what the run has made so far. */
static void send_copy(const char *backup, const char *id, int made)
{
	struct http_message answer = {.body = NULL};
	char rest[HEAD_BYTES];
	size_t rest_size = 0;
	int fd = connect_to(backup);

	if (fd < 0)
		return;
	send_text(fd,
		  "POST /copy HTTP/1.1\r\nHost: e\r\nCopy-Id: %s\r\n"
		  "Copy-Events: %d\r\nContent-Length: 0\r\n\r\n",
		  id, made);
	read_head(fd, &answer, rest, &rest_size);
	close(fd);
}

static bool send_event(int fd, int number)
{
	char *text = malloc((size_t)event_bytes + 64);
	int size = sprintf(text, "id: %d\ndata: ", number);
	bool sent;

	memset(text + size, 'x', (size_t)event_bytes);
	size += event_bytes;
	memcpy(text + size, "\n\n", 2);
	size += 2;
	sent = send_text(fd, "%x\r\n", (unsigned int)size) &&
	       send_all(fd, text, (size_t)size) && send_all(fd, "\r\n", 2);
	free(text);
	return sent;
}

/* Whether this run is the one whose answer is spoilt. */
static bool count_new_run(int count)
{
	bool is_spoilt;

	if (count < LONG_EVENTS)
		return false;

	pthread_mutex_lock(&lock);
	is_spoilt = ++new_runs == spoil_run;
	pthread_mutex_unlock(&lock);
	return is_spoilt;
}

/* Makes the events from first on. Works on also when nobody reads them. */
static void run_stream(int fd, struct run *run, int first, int count,
		       const char *backup, bool is_spoilt)
{
	int64_t copied_ms = now_ms();
	bool is_read = true;

	send_text(fd,
		  "HTTP/1.1 200 OK\r\nX-Siskinlink-Request-Id: %s\r\n"
		  "X-Siskinlink-Engine-Stamp: stamp-%s\r\n"
		  "%sContent-Type: text/event-stream\r\n"
		  "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
		  run->id, engine_id, limit_field);
	run->is_active = true;
	for (int i = first; i < count && !run->must_stop; i++) {
		if (is_spoilt && i == spoil_event) {
			note("spoils %s at event %d", run->id, i);
			pthread_mutex_lock(&lock);
			busy_until_ms = now_ms() + busy_ms;
			pthread_mutex_unlock(&lock);
			send_all(fd, "\001no answer\001\r\n", 13);
			is_read = false;
		}
		if (is_read && !send_event(fd, i)) {
			note("unread %s", run->id);
			is_read = false;
		}
		run->made = i + 1;
		note("made %s %d", run->id, i);
		if (*backup && now_ms() - copied_ms >= COPY_INTERVAL_MS) {
			send_copy(backup, run->id, run->made);
			copied_ms = now_ms();
		}
		sleep_ms(gap_ms);
	}
	run->is_active = false;
	note("%s %s", run->must_stop ? "stopped" : "ended", run->id);
	if (is_read && !run->must_stop)
		send_all(fd, "0\r\n\r\n", 5);
}

/* fields: more lines of the head, or none. */
static void refuse(int fd, const char *id, int status, const char *fields)
{
	send_text(fd,
		  "HTTP/1.1 %d No\r\nX-Siskinlink-Request-Id: %s\r\n"
		  "X-Siskinlink-Not-Executed: 1\r\n%s"
		  "Content-Length: 0\r\n\r\n",
		  status, id, fields);
}

static void serve_plain(int fd, const char *head, const char *id)
{
	const char *path = strchr(head, ' ');
	size_t more = path && strncmp(path + 1, long_path,
				      strlen(long_path)) == 0
			      ? answer_bytes
			      : 0;

	note("runs %s", id);
	sleep_ms(delay_ms);
	note("ended %s", id);
	send_text(fd,
		  "HTTP/1.1 200 OK\r\nX-Siskinlink-Request-Id: %s\r\n"
		  "X-Siskinlink-Engine-Stamp: stamp-%s\r\n"
		  "%sContent-Length: %zu\r\n\r\n%s %s",
		  id, engine_id, limit_field,
		  strlen(engine_id) + strlen(id) + 1 + more, engine_id,
		  id);
	if (more > 0) {
		char *rest = malloc(more);

		memset(rest, 'a', more);
		send_all(fd, rest, more);
		free(rest);
	}
}

/* POST /v1/kv-move: copies nothing unless it is the last call. */
static void serve_move(int fd, const struct http_message *message)
{
	char id[160] = "";
	const char *at = strstr(message->body, "\"id\"");
	bool is_last = strstr(message->body, "\"last\":true") != NULL;
	struct run *run;

	if (at)
		sscanf(at, "\"id\" : \"%159[^\"]", id);
	if (!*id && at)
		sscanf(at, "\"id\":\"%159[^\"]", id);
	run = find_run(id);
	note("asked to %s %s", is_last ? "stop" : "copy", id);
	if (!run || !run->is_active) {
		send_text(fd, "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
		return;
	}
	if (!is_last) {
		send_text(fd, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
		return;
	}
	run->must_stop = true;
	while (run->is_active)
		sleep_ms(1);
	run->copied = run->made;
	at = "{\"handle\":\"kept\",\"created\":1}";
	send_text(fd,
		  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n\r\n%s",
		  strlen(at), at);
}

/* Returns whether the channel is kept. */
static bool serve(int fd, const struct http_message *message)
{
	char id[160] = "", from[256] = "", backup[128] = "", text[160] = "";
	int first = 0, count = event_count;
	struct run *run;

	if (strncmp(message->head, "POST /copy ", 11) == 0) {
		field_get(message->head, "Copy-Id", id, sizeof(id));
		field_get(message->head, "Copy-Events", text, sizeof(text));
		run = find_run(id);
		run->copied = atoi(text);
		return send_text(fd,
				 "HTTP/1.1 200 OK\r\n"
				 "Content-Length: 0\r\n\r\n");
	}
	if (strncmp(message->head, "POST /v1/kv-move ", 17) == 0) {
		serve_move(fd, message);
		return true;
	}
	if (strncmp(message->head, "GET /v1/report ", 15) == 0)
		return send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 2"
				     "\r\n\r\n{}");
	if (strncmp(message->head, "DELETE ", 7) == 0)
		return send_text(fd, "HTTP/1.1 200 OK\r\n"
				     "Content-Length: 0\r\n\r\n");
	field_get(message->head, "X-Siskinlink-Request-Id", id, sizeof(id));
	if (field_get(message->head, "X-Siskinlink-Expect-Instance", text,
		      sizeof(text)) &&
	    strcmp(text, engine_id) != 0) {
		refuse(fd, id, 421, "");
		return true;
	}
	note("arrival %s", id);
	if (*rest_file && access(rest_file, F_OK) == 0) {
		note("turns away %s", id);
		sleep_ms(refusal_ms);
		refuse(fd, id, 503, "Retry-After: 2\r\n");
		return true;
	}
	if (is_plain) {
		serve_plain(fd, message->head, id);
		return true;
	}
	field_get(message->head, "X-Siskinlink-Kv-Backup", backup,
		  sizeof(backup));
	if (field_get(message->head, "X-Siskinlink-Token-Count", text,
		      sizeof(text)) &&
	    strchr(text, ','))
		count = atoi(strchr(text, ',') + 1) / TOKENS_PER_EVENT;
	run = find_run(id);
	if (field_get(message->head, "Kv-From", from, sizeof(from))) {
		if (!run || run->copied < 0) {
			note("has no copy of %s", id);
			refuse(fd, id, 503, "");
			return true;
		}
		if (field_get(message->head, "Last-Event-Id", text,
			      sizeof(text)))
			first = atoi(text) + 1;
		note("goes on with %s at event %d", id, first);
		run->must_stop = false;
		run_stream(fd, run, first, count, "", false);
		return false;
	}
	note("runs %s", id);
	sleep_ms(delay_ms);
	run_stream(fd, run, 0, count, backup, count_new_run(count));
	return false;
}

static void *serve_channel(void *data)
{
	int fd = (int)(intptr_t)data;
	struct http_message *message = calloc(1, sizeof(*message));
	char *rest = malloc(HEAD_BYTES);
	size_t rest_size = 0;
	bool is_kept = true;

	while (is_kept && read_head(fd, message, rest, &rest_size) == 1) {
		if (!read_body(fd, message, rest, rest_size, true))
			break;
		rest_size = 0;
		is_kept = serve(fd, message);
		message_clear(message);
	}
	message_clear(message);
	free(message);
	free(rest);
	close(fd);
	return NULL;
}

static bool is_busy(void)
{
	bool busy;

	pthread_mutex_lock(&lock);
	busy = now_ms() < busy_until_ms;
	pthread_mutex_unlock(&lock);
	return busy;
}

static void accept_channels(int listener)
{
	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		int one = 1;
		pthread_attr_t attributes;
		pthread_t thread;

		if (fd < 0)
			continue;
		if (is_busy()) {
			reset_channel(fd);
			note("resets a further channel");
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_attr_init(&attributes);
		pthread_attr_setdetachstate(&attributes,
					    PTHREAD_CREATE_DETACHED);
		pthread_attr_setstacksize(&attributes, 512 * 1024);
		if (pthread_create(&thread, &attributes, serve_channel,
				   (void *)(intptr_t)fd) != 0)
			close(fd);
	}
}

int main(int argc, char **argv)
{
	const char *ip = "127.0.0.1";
	char address[64];
	int listener;

	journal = stderr;
	for (int i = 1; i < argc; i++) {
		const char *name = argv[i];
		const char *value = i + 1 < argc ? argv[i + 1] : "";

		if (strcmp(name, "--plain") == 0) {
			is_plain = true;
			continue;
		}
		i++;
		if (strcmp(name, "--ip") == 0)
			ip = value;
		else if (strcmp(name, "--id") == 0)
			engine_id = value;
		else if (strcmp(name, "--journal") == 0)
			journal = fopen(value, "a");
		else if (strcmp(name, "--delay-ms") == 0)
			delay_ms = atoll(value);
		else if (strcmp(name, "--events") == 0)
			event_count = atoi(value);
		else if (strcmp(name, "--gap-ms") == 0)
			gap_ms = atoll(value);
		else if (strcmp(name, "--event-bytes") == 0)
			event_bytes = atoi(value);
		else if (strcmp(name, "--spoil-run") == 0)
			spoil_run = atoi(value);
		else if (strcmp(name, "--spoil-event") == 0)
			spoil_event = atoi(value);
		else if (strcmp(name, "--refusal-ms") == 0)
			refusal_ms = atoll(value);
		else if (strcmp(name, "--answer-bytes") == 0)
			answer_bytes = strtoul(value, NULL, 10);
		else if (strcmp(name, "--long-path") == 0)
			long_path = value;
		else if (strcmp(name, "--limit") == 0)
			snprintf(limit_field, sizeof(limit_field),
				 "Server-Limit: %s\r\n", value);
		else if (strcmp(name, "--rest-file") == 0)
			rest_file = value;
		else if (strcmp(name, "--busy-ms") == 0)
			busy_ms = atoll(value);
		else
			return 2;
	}
	if (!journal)
		return 2;
	listener = listen_loopback(ip, address, sizeof(address));
	printf("listening %s\n", address);
	fflush(stdout);
	accept_channels(listener);
	return 0;
}
