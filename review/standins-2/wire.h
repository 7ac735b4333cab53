#ifndef REVIEW_STANDINS_2_WIRE_H
#define REVIEW_STANDINS_2_WIRE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Blocking HTTP/1.1 on loopback for the stand-ins of the review. */

#define MAX_FIELDS 64
#define MAX_HEAD 65536

/* One connection, with what was received and not used yet. */
struct wire {
	int fd;
	char bytes[MAX_HEAD];
	size_t size;
};

/* A head that was read; the texts point into it. */
struct head {
	char text[MAX_HEAD];
	char *start; /* the start line */
	struct {
		char *name;
		char *value;
		bool has_space; /* between the name and the colon */
	} fields[MAX_FIELDS];
	int count;
};

int64_t wire_now_ms(void);
void wire_sleep_ms(int64_t ms);
int wire_listen(int port);
int wire_connect(const char *address);
bool wire_send(int fd, const char *bytes, size_t size);
bool wire_sendf(int fd, const char *format, ...);
bool wire_read_head(struct wire *wire, struct head *head);
bool wire_read_body(struct wire *wire, char *to, size_t size);
bool wire_read_line(struct wire *wire, char *to, size_t room);
const char *head_get(const struct head *head, const char *name);
void record(const char *format, ...);
void record_open(const char *path);

#endif
