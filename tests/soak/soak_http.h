#ifndef TESTS_SOAK_SOAK_HTTP_H
#define TESTS_SOAK_SOAK_HTTP_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A blocking HTTP/1.1 client with one connection and one request at a time. It
 * never resends a request: a library that retries on a broken keep-alive
 * connection would make it look as if the product ran the request twice.
 */
struct soak_session;

/* How reading an answer ended. */
enum soak_end {
	SOAK_END_COMPLETE,
	SOAK_END_CLOSED,    /* the peer closed before the end of the answer */
	SOAK_END_RESET,	    /* reset, or another connection error */
	SOAK_END_TIMEOUT,   /* no more data before the deadline */
	SOAK_END_STOPPED,   /* the requested number of body bytes was read */
	SOAK_END_MALFORMED, /* invalid answer, or bytes after its end */
	SOAK_END_NOT_SENT,  /* no connection, so nothing was sent */
};

struct soak_answer {
	int32_t status;		/* 0: no status line was received */
	int64_t retry_after_us; /* -1: no Retry-After header */
	bool keeps_alive;
	bool has_engine_stamp; /* X-Siskinlink-Engine-Stamp is present */
	char *engine_stamp;    /* its value; NULL: none */
	int64_t leaving_us;    /* when Server-Leaving was read; 0: it was not */
	char *request_id;
	GString *body;
};

struct soak_answer *soak_answer_create(void);
void soak_answer_destroy(struct soak_answer *answer);
const char *soak_end_name(enum soak_end end);

struct soak_session *soak_session_create(const char *address,
					 int64_t deadline_us,
					 struct error *error);
void soak_session_destroy(struct soak_session *session);
bool soak_session_is_reusable(const struct soak_session *session);
bool soak_session_send(struct soak_session *session, const char *text,
		       int64_t deadline_us, struct error *error);
enum soak_end soak_session_read(struct soak_session *session,
				struct soak_answer *answer, int64_t deadline_us,
				int64_t stop_after_bytes);

bool soak_http_call(const char *address, const char *method, const char *path,
		    const char *body, struct soak_answer *answer,
		    int64_t timeout_us, struct error *error);

G_END_DECLS

#endif
