#ifndef ADAPTERS_HTTP_EXCHANGE_H
#define ADAPTERS_HTTP_EXCHANGE_H

#include "core/base/error.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One request to a peer and its answer, which is read in pieces. The callbacks
 * run from the main loop: headers once, bytes for each piece, ended once. None
 * runs after ended or after http_exchange_cancel, which a callback may call.
 * The handle is invalid after either. The error passed to ended is NULL if the
 * answer is complete.
 */
struct http_exchange;

struct http_exchange_options {
	SoupSession *session;
	SoupMessage *message; /* referenced */
	const char *step;     /* static; for errors */
	const char *peer;
	int64_t connect_timeout_ms; /* until sending starts */
	int64_t answer_timeout_us;  /* until ended; 0: none */
	void (*headers)(void *data, SoupMessage *message);
	void (*bytes)(void *data, const char *bytes, size_t length);
	void (*ended)(void *data, const struct error *error);
	void *data;
};

struct http_exchange *
http_exchange_start(const struct http_exchange_options *options);
void http_exchange_cancel(struct http_exchange *exchange);
void http_exchange_pause(struct http_exchange *exchange, bool pause);
bool http_exchange_may_be_sent(const struct http_exchange *exchange);

SoupSession *http_exchange_session_create(void);

/* A pool of sessions, over which the exchanges are spread. */
struct http_session_pool;

struct http_session_pool *http_session_pool_create(void);
void http_session_pool_destroy(struct http_session_pool *sessions);
SoupSession *http_session_pool_next(struct http_session_pool *sessions);

G_END_DECLS

#endif
