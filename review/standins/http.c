#define _GNU_SOURCE
#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Milliseconds of the real clock, which all processes of a case share. */
int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void sleep_ms(int64_t ms)
{
	struct timespec left = {ms / 1000, ms % 1000 * 1000000};

	while (nanosleep(&left, &left) != 0 && errno == EINTR)
		;
}

/* Listens on a free port of a loopback address; exits if it can't. */
int listen_loopback(const char *ip, char *address, size_t size)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t length = sizeof(at);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, ip, &at.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, 512) != 0 ||
	    getsockname(fd, (struct sockaddr *)&at, &length) != 0) {
		perror("listen");
		exit(2);
	}
	snprintf(address, size, "%s:%d", ip, ntohs(at.sin_port));
	return fd;
}

/*
 * Connects to IP:PORT; -1 if it can't. With a segment_bytes above 0, the channel
 * carries no larger segments, as on an Ethernet: those of the loopback device
 * hold 64 kB, and its sockets buffer megabytes.
 */
int connect_with(const char *address, int segment_bytes)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	char ip[64];
	const char *colon = strrchr(address, ':');
	int one = 1;
	int fd;

	if (!colon)
		return -1;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	inet_pton(AF_INET, ip, &to.sin_addr);
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (segment_bytes > 0)
		setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
			   sizeof(segment_bytes));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return fd;
	close(fd);
	return -1;
}

int connect_to(const char *address)
{
	return connect_with(address, 0);
}

bool send_all(int fd, const void *bytes, size_t size)
{
	const char *at = bytes;

	while (size > 0) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		at += sent;
		size -= (size_t)sent;
	}
	return true;
}

bool send_text(int fd, const char *format, ...)
{
	va_list list;
	char *text;
	bool sent;
	int size;

	va_start(list, format);
	size = vasprintf(&text, format, list);
	va_end(list);
	if (size < 0)
		return false;
	sent = send_all(fd, text, (size_t)size);
	free(text);
	return sent;
}

/* Closes a channel with a reset. */
void reset_channel(int fd)
{
	struct linger linger = {.l_onoff = 1, .l_linger = 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

/* Copies the value of the first field of that name; false: there is none. */
bool field_get(const char *head, const char *name, char *value, size_t size)
{
	size_t length = strlen(name);

	for (const char *line = strstr(head, "\r\n"); line;
	     line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, length) != 0 || line[length] != ':')
			continue;
		line += length + 1;
		line += strspn(line, " \t");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r\n"), line);
		return true;
	}
	return false;
}

/*
 * Reads one head. rest holds HEAD_BYTES bytes: what was read beyond the message
 * before, and then what was read beyond this head. 1: read; 0: the peer closed
 * first; -1: error.
 */
int read_head(int fd, struct http_message *message, char *rest,
	      size_t *rest_size)
{
	size_t size = *rest_size;
	char *end;

	memcpy(message->head, rest, size);
	message->head[size] = '\0';
	while (!(end = strstr(message->head, "\r\n\r\n"))) {
		ssize_t got;

		if (size == HEAD_BYTES)
			return -1;
		got = recv(fd, message->head + size, HEAD_BYTES - size, 0);
		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return got == 0 && size == 0 ? 0 : -1;
		size += (size_t)got;
		message->head[size] = '\0';
	}
	*rest_size = size - (size_t)(end + 4 - message->head);
	memcpy(rest, end + 4, *rest_size);
	end[2] = '\0';
	return 1;
}

/* Reads a body of the stated length; the rest must not hold more than that. */
bool read_body(int fd, struct http_message *message, const char *rest,
	       size_t rest_size, bool keep)
{
	char length[32] = "0";
	char bytes[65536];
	size_t done = rest_size;

	field_get(message->head, "Content-Length", length, sizeof(length));
	message->body_size = strtoul(length, NULL, 10);
	if (keep) {
		message->body = calloc(1, message->body_size + 1);
		memcpy(message->body, rest, rest_size);
	}
	while (done < message->body_size) {
		size_t wanted = message->body_size - done;
		ssize_t got = recv(fd, bytes,
				   wanted < sizeof(bytes) ? wanted
							  : sizeof(bytes),
				   0);

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return false;
		if (keep)
			memcpy(message->body + done, bytes, (size_t)got);
		done += (size_t)got;
	}
	return true;
}

void message_clear(struct http_message *message)
{
	free(message->body);
	message->body = NULL;
}
