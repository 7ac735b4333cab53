#include "wire.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * load RECORD SECONDS PER_S BODY_BYTES ADDRESS...: consumers that each send one
 * streamed request with a body of that size, PER_S of them a second for that
 * long, each to the next of the addresses that takes a new channel.
 */
static struct {
	char **addresses;
	int count;
	size_t body_bytes;
} options;

static int connect_any(int first, const char **address)
{
	for (int i = 0; i < options.count; i++) {
		int fd;

		*address = options.addresses[(first + i) % options.count];
		fd = wire_connect(*address);
		if (fd >= 0)
			return fd;
	}
	return -1;
}

static bool send_request(int fd, const char *id)
{
	static const char block[65536];
	size_t left = options.body_bytes;

	if (!wire_sendf(fd,
			"POST /d/x HTTP/1.1\r\nHost: h.example\r\n"
			"X-Siskinlink-Request-Id: %s\r\n"
			"Authorization: Bearer k1\r\n"
			"X-Siskinlink-Deadline-Ms: 39000\r\n"
			"X-Siskinlink-Token-Count: 3079,932\r\n"
			"Content-Length: %zu\r\n\r\n",
			id, left))
		return false;
	while (left > 0) {
		size_t some = left < sizeof(block) ? left : sizeof(block);

		if (!wire_send(fd, block, some))
			return false;
		left -= some;
	}
	return true;
}

/* Reads the answer to its last chunk; returns how it ended. */
static const char *read_answer(struct wire *wire, struct head *head)
{
	char line[256];

	if (!wire_read_head(wire, head))
		return "no answer";
	if (!strstr(head->start, " 200"))
		return head->start;
	while (wire_read_line(wire, line, sizeof(line))) {
		if (strcmp(line, "0") == 0)
			return "whole";
	}
	return "cut";
}

static void *consumer_run(void *data)
{
	int number = (int)(intptr_t)data;
	struct wire *wire = calloc(1, sizeof(*wire));
	struct head *head = calloc(1, sizeof(*head));
	const char *address = "";
	char id[32];

	snprintf(id, sizeof(id), "load-%d", number);
	wire->fd = connect_any(number, &address);
	if (wire->fd < 0) {
		record("consumer %s: no machine takes a channel", id);
		return NULL;
	}
	record("consumer %s sends to %s", id, address);
	if (!send_request(wire->fd, id))
		record("consumer %s: channel lost while it sends", id);
	else
		record("consumer %s gets: %s", id, read_answer(wire, head));
	close(wire->fd);
	free(wire);
	free(head);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_attr_t attributes;
	pthread_t thread;
	double per_s;
	int total;

	if (argc < 6)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	record_open(argv[1]);
	per_s = atof(argv[3]);
	total = (int)(atof(argv[2]) * per_s);
	options.body_bytes = strtoul(argv[4], NULL, 10);
	options.addresses = argv + 5;
	options.count = argc - 5;
	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 512 * 1024);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	for (int i = 0; i < total; i++) {
		if (pthread_create(&thread, &attributes, consumer_run,
				   (void *)(intptr_t)i) != 0)
			return 1;
		wire_sleep_ms((int64_t)(1000 / per_s));
	}
	return 0;
}
