#ifndef ADAPTERS_HTTP_SERVER_STATE_H
#define ADAPTERS_HTTP_SERVER_STATE_H

#include "adapters/http_answer.h"
#include "adapters/http_server.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Private to http_server.c and http_route.c. */
struct http_server {
	SoupServer *soup;
	struct http_listener *listener;
	struct http_uploads *uploads;
	struct event_sink sink;
	struct log *log; /* NULL: none */
	struct counters *counters;
	char *operator_key;
	int64_t max_body_bytes;
	int64_t stream_buffer_bytes;
	uint64_t last_call;
	size_t open_exchanges; /* request read, answer not yet written */
	GHashTable *calls;     /* uint64_t -> struct http_call */
	GArray *ended_calls;   /* uint64_t: EVENT_CALL_GONE is due */
	guint ended_calls_source;
};

void http_server_deliver(struct http_server *server, const struct event *event);
void http_server_refuse(struct http_server *server, SoupServerMessage *message,
			const struct http_problem *problem);
uint64_t http_server_open_call(struct http_server *server,
			       SoupServerMessage *message, bool stream,
			       bool chat);

G_END_DECLS

#endif
