/* Small blocking HTTP/1.1 helpers that the stand-ins of the review share. */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#define HEAD_BYTES 65536

struct http_message {
	char head[HEAD_BYTES + 1]; /* first line and fields, with a NUL */
	char *body;		   /* of body_size bytes; NULL: not kept */
	size_t body_size;
};

int64_t now_ms(void);
void sleep_ms(int64_t ms);
int listen_loopback(const char *ip, char *address, size_t size);
int connect_to(const char *address);
int connect_with(const char *address, int segment_bytes);
bool send_all(int fd, const void *bytes, size_t size);
bool send_text(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
void reset_channel(int fd);
bool field_get(const char *head, const char *name, char *value, size_t size);
int read_head(int fd, struct http_message *message, char *rest,
	      size_t *rest_size);
bool read_body(int fd, struct http_message *message, const char *rest,
	       size_t rest_size, bool keep);
void message_clear(struct http_message *message);

#endif
