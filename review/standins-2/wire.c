#include "wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static FILE *record_file;

int64_t wire_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void wire_sleep_ms(int64_t ms)
{
	usleep((useconds_t)(ms * 1000));
}

/* Opens the file to which record() appends lines. */
void record_open(const char *path)
{
	record_file = fopen(path, "a");
	if (record_file)
		setvbuf(record_file, NULL, _IOLBF, 4096);
}

/* Appends a line with the time in ms. */
void record(const char *format, ...)
{
	char line[2048];
	va_list list;

	va_start(list, format);
	vsnprintf(line, sizeof(line), format, list);
	va_end(list);
	if (record_file)
		fprintf(record_file, "%lld %s\n", (long long)wire_now_ms(),
			line);
}

static void address_fill(struct sockaddr_in *at, const char *host, int port)
{
	memset(at, 0, sizeof(*at));
	at->sin_family = AF_INET;
	at->sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, host, &at->sin_addr);
}

/* Listens at 127.0.0.1:port; -1 if it can't. */
int wire_listen(int port)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), yes = 1;
	struct sockaddr_in at;

	address_fill(&at, "127.0.0.1", port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
	if (bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
	    listen(fd, 512) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Connects to 127.0.0.1:PORT; -1 if it can't. */
int wire_connect(const char *address)
{
	const char *colon = strrchr(address, ':');
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), yes = 1;
	struct sockaddr_in to;

	address_fill(&to, "127.0.0.1", colon ? atoi(colon + 1) : atoi(address));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends all bytes; false if the connection is broken. */
bool wire_send(int fd, const char *bytes, size_t size)
{
	while (size > 0) {
		ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		size -= (size_t)sent;
	}
	return true;
}

bool wire_sendf(int fd, const char *format, ...)
{
	char text[8192];
	va_list list;
	int size;

	va_start(list, format);
	size = vsnprintf(text, sizeof(text), format, list);
	va_end(list);
	return size < (int)sizeof(text) && wire_send(fd, text, (size_t)size);
}

static bool wire_fill(struct wire *wire)
{
	ssize_t got;

	if (wire->size == sizeof(wire->bytes))
		return false;
	got = recv(wire->fd, wire->bytes + wire->size,
		   sizeof(wire->bytes) - wire->size, 0);
	if (got <= 0)
		return false;
	wire->size += (size_t)got;
	return true;
}

static void wire_drop(struct wire *wire, size_t size)
{
	wire->size -= size;
	memmove(wire->bytes, wire->bytes + size, wire->size);
}

/* Splits the head's lines in place. */
static void head_split(struct head *head)
{
	char *line = strtok(head->text, "\r\n");

	head->start = line;
	head->count = 0;
	while ((line = strtok(NULL, "\r\n")) && head->count < MAX_FIELDS) {
		char *colon = strchr(line, ':'), *end;

		if (!colon)
			continue;
		end = colon;
		while (end > line && (end[-1] == ' ' || end[-1] == '\t'))
			end--;
		head->fields[head->count].has_space = end != colon;
		*end = '\0';
		head->fields[head->count].name = line;
		head->fields[head->count++].value =
			colon + 1 + strspn(colon + 1, " \t");
	}
}

/* Reads a head up to its empty line; false at the end of the connection. */
bool wire_read_head(struct wire *wire, struct head *head)
{
	static __thread char copy[MAX_HEAD + 1];
	const char *end;
	size_t size;

	for (;;) {
		memcpy(copy, wire->bytes, wire->size);
		copy[wire->size] = '\0';
		end = strstr(copy, "\r\n\r\n");
		if (end)
			break;
		if (!wire_fill(wire))
			return false;
	}
	size = (size_t)(end - copy);
	if (size >= sizeof(head->text))
		return false;
	memcpy(head->text, copy, size);
	head->text[size] = '\0';
	wire_drop(wire, size + 4);
	head_split(head);
	return head->start != NULL;
}

/* Reads so many bytes of a body; to may be NULL to drop them. */
bool wire_read_body(struct wire *wire, char *to, size_t size)
{
	while (size > 0) {
		size_t some;

		if (wire->size == 0 && !wire_fill(wire))
			return false;
		some = wire->size < size ? wire->size : size;
		if (to) {
			memcpy(to, wire->bytes, some);
			to += some;
		}
		wire_drop(wire, some);
		size -= some;
	}
	return true;
}

/* Reads a line without its end; false at the end of the connection. */
bool wire_read_line(struct wire *wire, char *to, size_t room)
{
	char *end;

	while (!(end = memchr(wire->bytes, '\n', wire->size))) {
		if (!wire_fill(wire))
			return false;
	}
	if ((size_t)(end - wire->bytes) + 1 > room)
		return false;
	memcpy(to, wire->bytes, (size_t)(end - wire->bytes));
	to[end - wire->bytes] = '\0';
	if (end > wire->bytes && end[-1] == '\r')
		to[end - wire->bytes - 1] = '\0';
	wire_drop(wire, (size_t)(end - wire->bytes) + 1);
	return true;
}

/* The value of the first field of that name; NULL: there is none. */
const char *head_get(const struct head *head, const char *name)
{
	for (int i = 0; i < head->count; i++) {
		if (strcasecmp(head->fields[i].name, name) == 0)
			return head->fields[i].value;
	}
	return NULL;
}
