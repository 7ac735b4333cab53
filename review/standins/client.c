/*
 * A consumer, and what the operator and the platform do, for the cases of the
 * review.
 *
 *   client port IP                  prints a free port
 *   client put STORE KEY FILE       writes the file's bytes to the store
 *   client delete STORE KEY         removes a key from the store
 *   client ready ADDRESS            0: the node is ready
 *   client anon PID                 prints the anonymous memory in kB
 *   client send FRONT ID PATH [--method M] [--tokens IN,OUT]
 *          [--deadline-ms N] [--body-bytes N] [--kept PATH]
 *          [--pause-at BYTES --pause-ms N] [--receive-buffer N] [--at MS]
 *          [--segment-bytes N]
 *
 * send makes one request and prints a line: what came, and how it ended. With
 * --kept, a short request goes before it on the same channel; with --at, it is
 * made at that time of the real clock.
 */
#define _GNU_SOURCE
#include "http.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PATIENCE_MS 45000

struct request {
	const char *front, *id, *path, *method, *tokens, *kept_path;
	long deadline_ms, body_bytes, pause_at, pause_ms, receive_buffer, at_ms;
	long segment_bytes;
};

struct answer {
	int status;
	size_t bytes; /* of the channel, head included */
	int events;
	bool is_whole;
	const char *end;
};

static int command_port(const char *ip)
{
	char address[64];
	int fd = listen_loopback(ip, address, sizeof(address));

	printf("%s\n", strrchr(address, ':') + 1);
	close(fd);
	return 0;
}

/* Reads one answer with a length. Returns its status; 0: none. */
static int read_short(int fd)
{
	struct http_message *message = calloc(1, sizeof(*message));
	char *rest = malloc(HEAD_BYTES);
	size_t rest_size = 0;
	int status = 0;

	if (read_head(fd, message, rest, &rest_size) == 1 &&
	    read_body(fd, message, rest, rest_size, false))
		sscanf(message->head, "HTTP/1.1 %d", &status);
	free(rest);
	free(message);
	return status;
}

static int command_ready(const char *address)
{
	int fd = connect_to(address);
	int status;

	if (fd < 0)
		return 1;
	send_text(fd, "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
	status = read_short(fd);
	close(fd);
	return status == 200 ? 0 : 1;
}

static int command_put(const char *store, const char *key, const char *path)
{
	FILE *file = fopen(path, "r");
	size_t size = 0;
	char *json = NULL;
	FILE *out = open_memstream(&json, &size);
	int c, fd, status;

	if (!file || !out)
		return 2;
	fprintf(out, "{\"key\":\"%s\",\"value\":\"", key);
	while ((c = fgetc(file)) != EOF) {
		if (c == '"' || c == '\\')
			fputc('\\', out);
		if (c == '\n' || c == '\t')
			c = ' ';
		fputc(c, out);
	}
	fputs("\"}", out);
	fclose(out);
	fclose(file);
	fd = connect_to(store);
	if (fd < 0)
		return 1;
	send_text(fd,
		  "POST /fake/put HTTP/1.1\r\nHost: store\r\n"
		  "Content-Length: %zu\r\n\r\n",
		  size);
	send_all(fd, json, size);
	status = read_short(fd);
	close(fd);
	free(json);
	return status == 200 ? 0 : 1;
}

static int command_delete(const char *store, const char *key)
{
	int fd = connect_to(store);
	int status;

	if (fd < 0)
		return 1;
	send_text(fd,
		  "POST /fake/delete HTTP/1.1\r\nHost: store\r\n"
		  "Content-Length: %zu\r\n\r\n{\"key\":\"%s\"}",
		  strlen(key) + 10, key);
	status = read_short(fd);
	close(fd);
	return status == 200 ? 0 : 1;
}

static int command_anon(const char *pid)
{
	char path[64], line[256];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%s/status", pid);
	file = fopen(path, "r");
	if (!file)
		return 1;
	while (fgets(line, sizeof(line), file)) {
		if (strncmp(line, "RssAnon:", 8) == 0)
			printf("%ld\n", atol(line + 8));
	}
	fclose(file);
	return 0;
}

static int count_text(const char *bytes, const char *text)
{
	int count = 0;

	for (const char *at = bytes; (at = strstr(at, text)); at++)
		count++;
	return count;
}

/* Whether the bytes hold a whole answer: by its length or its last chunk. */
static bool is_whole(char *bytes, size_t size)
{
	char *body = strstr(bytes, "\r\n\r\n");
	char length[32], coding[32];

	if (!body)
		return false;
	body += 4;
	if (field_get(bytes, "Content-Length", length, sizeof(length)))
		return (size_t)(bytes + size - body) >=
		       strtoul(length, NULL, 10);
	return field_get(bytes, "Transfer-Encoding", coding, sizeof(coding)) &&
	       size >= 7 && memcmp(bytes + size - 7, "\r\n0\r\n\r\n", 7) == 0;
}

static void read_answer(int fd, const struct request *request,
			struct answer *answer)
{
	size_t capacity = 8 << 20;
	char *bytes = malloc(capacity);
	int64_t until_ms = now_ms() + PATIENCE_MS;
	bool has_paused = request->pause_ms == 0;

	answer->end = "late";
	while (now_ms() < until_ms && answer->bytes < capacity - 1) {
		struct pollfd poll_fd = {.fd = fd, .events = POLLIN};
		ssize_t got;

		if (!has_paused && answer->bytes >= (size_t)request->pause_at) {
			has_paused = true;
			sleep_ms(request->pause_ms);
		}
		if (poll(&poll_fd, 1, 100) <= 0)
			continue;
		got = recv(fd, bytes + answer->bytes,
			   has_paused ? capacity - 1 - answer->bytes : 4096, 0);
		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0) {
			answer->end = got == 0 ? "closed" : "reset";
			break;
		}
		answer->bytes += (size_t)got;
		bytes[answer->bytes] = '\0';
		answer->is_whole = is_whole(bytes, answer->bytes);
		if (answer->is_whole) {
			answer->end = "whole";
			break;
		}
	}
	bytes[answer->bytes] = '\0';
	sscanf(bytes, "HTTP/1.1 %d", &answer->status);
	answer->events = count_text(bytes, "\nid: ");
	free(bytes);
}

static bool send_request(int fd, const struct request *request)
{
	char *body = calloc(1, (size_t)request->body_bytes + 1);
	bool sent = send_text(
		fd,
		"%s %s HTTP/1.1\r\nHost: h.example\r\n"
		"X-Siskinlink-Request-Id: %s\r\n"
		"X-Siskinlink-Model: m\r\n"
		"%s%s%s"
		"X-Siskinlink-Deadline-Ms: %ld\r\n"
		"Authorization: Bearer key-of-atlas\r\n"
		"Content-Length: %ld\r\n\r\n",
		request->method, request->path, request->id,
		request->tokens ? "X-Siskinlink-Token-Count: " : "",
		request->tokens ? request->tokens : "",
		request->tokens ? "\r\n" : "", request->deadline_ms,
		request->body_bytes);

	memset(body, 'b', (size_t)request->body_bytes);
	sent = sent && send_all(fd, body, (size_t)request->body_bytes);
	free(body);
	return sent;
}

/* A short request before, so that the channel is a kept one. */
static bool send_kept(int fd, const struct request *request)
{
	struct request first = *request;
	char id[200];

	snprintf(id, sizeof(id), "%s-before", request->id);
	first.id = id;
	first.path = request->kept_path;
	first.method = "GET";
	first.tokens = NULL;
	first.body_bytes = 0;
	first.deadline_ms = 2500;
	return send_request(fd, &first) && read_short(fd) == 200;
}

static int command_send(const struct request *request)
{
	struct answer answer = {.end = "refused"};
	int64_t sent_ms = now_ms();
	int fd;
	int buffer = (int)request->receive_buffer;

	if (request->at_ms > sent_ms)
		sleep_ms(request->at_ms - sent_ms);
	sent_ms = now_ms();
	fd = connect_with(request->front, (int)request->segment_bytes);
	if (fd >= 0 && buffer > 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	if (fd >= 0 && request->kept_path && !send_kept(fd, request)) {
		answer.end = "no channel";
	} else if (fd >= 0) {
		sent_ms = now_ms();
		if (send_request(fd, request))
			read_answer(fd, request, &answer);
		else
			answer.end = "unsent";
	}
	printf("%lld client %s sent %s status %d bytes %zu events %d end %s "
	       "after_ms %lld\n",
	       (long long)sent_ms, request->id, request->path, answer.status,
	       answer.bytes, answer.events, answer.end,
	       (long long)(now_ms() - sent_ms));
	if (fd >= 0)
		close(fd);
	return 0;
}

static int read_options(int argc, char **argv, struct request *request)
{
	for (int i = 5; i + 1 < argc; i += 2) {
		const char *name = argv[i], *value = argv[i + 1];

		if (strcmp(name, "--method") == 0)
			request->method = value;
		else if (strcmp(name, "--tokens") == 0)
			request->tokens = value;
		else if (strcmp(name, "--deadline-ms") == 0)
			request->deadline_ms = atol(value);
		else if (strcmp(name, "--body-bytes") == 0)
			request->body_bytes = atol(value);
		else if (strcmp(name, "--kept") == 0)
			request->kept_path = value;
		else if (strcmp(name, "--pause-at") == 0)
			request->pause_at = atol(value);
		else if (strcmp(name, "--pause-ms") == 0)
			request->pause_ms = atol(value);
		else if (strcmp(name, "--at") == 0)
			request->at_ms = atol(value);
		else if (strcmp(name, "--segment-bytes") == 0)
			request->segment_bytes = atol(value);
		else if (strcmp(name, "--receive-buffer") == 0)
			request->receive_buffer = atol(value);
		else
			return 2;
	}
	return 0;
}

int main(int argc, char **argv)
{
	struct request request = {.method = "POST", .deadline_ms = 39000};

	if (argc == 3 && strcmp(argv[1], "port") == 0)
		return command_port(argv[2]);
	if (argc == 3 && strcmp(argv[1], "ready") == 0)
		return command_ready(argv[2]);
	if (argc == 3 && strcmp(argv[1], "anon") == 0)
		return command_anon(argv[2]);
	if (argc == 5 && strcmp(argv[1], "put") == 0)
		return command_put(argv[2], argv[3], argv[4]);
	if (argc == 4 && strcmp(argv[1], "delete") == 0)
		return command_delete(argv[2], argv[3]);
	if (argc < 5 || strcmp(argv[1], "send") != 0)
		return 2;
	request.front = argv[2];
	request.id = argv[3];
	request.path = argv[4];
	if (read_options(argc, argv, &request) != 0)
		return 2;
	return command_send(&request);
}
