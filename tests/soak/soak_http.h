#ifndef TESTS_SOAK_SOAK_HTTP_H
#define TESTS_SOAK_SOAK_HTTP_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * An HTTP/1.1 client that never sends anything by itself: a library that
 * resends on a broken kept-alive connection would look like a product that
 * runs a request twice. One connection, one request at a time, blocking.
 */
struct soak_session;

/* How the reading of an answer ended. */
enum soak_end {
	SOAK_END_WHOLE,
	SOAK_END_CLOSED,  /* by the other side, before the end */
	SOAK_END_RESET,	  /* or the connection failed otherwise */
	SOAK_END_TIMEOUT, /* nothing more by the time given */
	SOAK_END_LEFT,	  /* the reader had read as much as it wanted */
	SOAK_END_GARBLED, /* bytes that are no answer, or after one */
	SOAK_END_REFUSED, /* nothing was sent: no connection */
};

struct soak_answer {
	int32_t status;		/* 0: none came */
	int64_t retry_after_us; /* -1: not said */
	bool keeps_open;
	bool has_stamp; /* of an engine */
	char *request_id;
	GString *body;
};

struct soak_answer *soak_answer_create(void);
void soak_answer_destroy(struct soak_answer *answer);
const char *soak_end_name(enum soak_end end);

struct soak_session *soak_session_create(const char *address, int64_t until_us,
					 struct error *error);
void soak_session_destroy(struct soak_session *connection);
bool soak_session_is_sound(const struct soak_session *connection);
bool soak_session_send(struct soak_session *connection, const char *text,
		       int64_t until_us, struct error *error);
enum soak_end soak_session_read(struct soak_session *connection,
				struct soak_answer *answer, int64_t until_us,
				int64_t leave_bytes);

bool soak_http_call(const char *address, const char *method, const char *path,
		    const char *body, struct soak_answer *answer,
		    int64_t timeout_us, struct error *error);

G_END_DECLS

#endif
