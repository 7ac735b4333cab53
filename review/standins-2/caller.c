#include "wire.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/*
 * caller RECORD NAME SECONDS PER_S METHOD PATH FIELD ADDRESS...: consumers that
 * send PER_S plain requests a second, each on a new channel, to one address
 * after the other. FIELD is one more line of the head, or empty. With the METHOD
 * HIDE the request is a POST, whose body is one chunk that holds the end of a body
 * in chunks and then another request; FIELD is to name the coding. An answer
 * counts as invalid if a line of its head is no field (RFC 9112, 5: no space
 * before the colon), if its length is not stated once, or if the body of a
 * success is not the one that the engine makes for this request. A consumer leaves
 * at its deadline of 2,500 ms.
 */
#define DEADLINE_MS 2500

static struct {
	const char *name;
	const char *method;
	const char *path;
	const char *field;
	char **addresses;
	int count;
} options;

/* Why the head is none; NULL: it is valid. */
static const char *head_fault(const struct head *head)
{
	int lengths = 0;

	if (strncmp(head->start, "HTTP/1.1 ", 9) != 0)
		return "status line";
	for (int i = 0; i < head->count; i++) {
		if (head->fields[i].has_space)
			return "space before a colon";
		lengths += strcmp(head->fields[i].name, "Content-Length") == 0;
	}
	return lengths == 1 ? NULL : "length";
}

static void read_answer(struct wire *wire, const char *id)
{
	static __thread struct head head;
	static __thread char body[65536], wanted[256];
	const char *fault, *size;
	size_t length;
	int status;

	if (!wire_read_head(wire, &head)) {
		record("caller %s gets: no answer", id);
		return;
	}
	status = atoi(head.start + 9);
	size = head_get(&head, "Content-Length");
	length = size ? strtoul(size, NULL, 10) : 0;
	fault = head_fault(&head);
	if (!fault && (length >= sizeof(body) ||
		       !wire_read_body(wire, body, length)))
		fault = "body is cut";
	body[length < sizeof(body) ? length : 0] = '\0';
	snprintf(wanted, sizeof(wanted), "answer to %s", id);
	if (!fault && status == 200 && strcmp(body, wanted) != 0)
		fault = "body of another request";
	record("caller %s gets: %d%s%s", id, status, fault ? " INVALID: " : "",
	       fault ? fault : "");
}

/* Appends what follows the head's last field but FIELD. */
static void write_body(char *to, size_t room, const char *id)
{
	char hidden[256];

	if (strcmp(options.method, "POST") == 0) {
		snprintf(to, room, "Content-Length: 3\r\n\r\nabc");
		return;
	}
	snprintf(to, room, "\r\n");
	if (strcmp(options.method, "HIDE") != 0)
		return;
	snprintf(hidden, sizeof(hidden),
		 "0\r\n\r\nPOST /e/hidden HTTP/1.1\r\nHost: h.example\r\n"
		 "X-Siskinlink-Request-Id: hidden-in-%s\r\n"
		 "Content-Length: 0\r\n\r\n",
		 id);
	snprintf(to, room, "\r\n%zx\r\n%s\r\n0\r\n\r\n", strlen(hidden),
		 hidden);
}

static void *request_run(void *data)
{
	int number = (int)(intptr_t)data;
	const char *address = options.addresses[number % options.count];
	const struct timeval limit = {.tv_sec = DEADLINE_MS / 1000,
				      .tv_usec = DEADLINE_MS % 1000 * 1000};
	struct wire *wire = calloc(1, sizeof(*wire));
	int64_t begun_ms = wire_now_ms();
	char id[64], rest[512];

	snprintf(id, sizeof(id), "%s-%d", options.name, number);
	write_body(rest, sizeof(rest), id);
	wire->fd = wire_connect(address);
	if (wire->fd >= 0)
		setsockopt(wire->fd, SOL_SOCKET, SO_RCVTIMEO, &limit,
			   sizeof(limit));
	record("caller %s sends to %s", id, address);
	if (wire->fd >= 0 &&
	    wire_sendf(wire->fd,
		       "%s %s HTTP/1.1\r\nHost: h.example\r\n"
		       "X-Siskinlink-Request-Id: %s\r\n"
		       "Authorization: Bearer k1\r\n"
		       "X-Siskinlink-Deadline-Ms: %d\r\n%s%s%s",
		       strcmp(options.method, "GET") == 0 ? "GET" : "POST",
		       options.path, id, DEADLINE_MS, options.field,
		       *options.field ? "\r\n" : "", rest))
		read_answer(wire, id);
	else
		record("caller %s gets: no channel", id);
	record("caller %s waited %lld ms", id,
	       (long long)(wire_now_ms() - begun_ms));
	if (wire->fd >= 0)
		close(wire->fd);
	free(wire);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_attr_t attributes;
	pthread_t thread;
	double per_s;
	int total;

	if (argc < 9)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	record_open(argv[1]);
	options.name = argv[2];
	per_s = atof(argv[4]);
	total = (int)(atof(argv[3]) * per_s);
	options.method = argv[5];
	options.path = argv[6];
	options.field = argv[7];
	options.addresses = argv + 8;
	options.count = argc - 8;
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 1024 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	for (int i = 0; i < total; i++) {
		if (pthread_create(&thread, &attributes, request_run,
				   (void *)(intptr_t)i) != 0)
			return 1;
		wire_sleep_ms((int64_t)(1000 / per_s));
	}
	wire_sleep_ms(3000);
	return 0;
}
