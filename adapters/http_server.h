#ifndef ADAPTERS_HTTP_SERVER_H
#define ADAPTERS_HTTP_SERVER_H

#include "adapters/log.h"
#include "core/base/counters.h"
#include "core/base/error.h"
#include "ports/action.h"
#include "ports/sink.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The HTTP server for callers and operators, by libsoup on the thread of the
 * main loop. It turns requests into EVENT_CALL and EVENT_QUERY, and
 * ACTION_CALL_* into answers.
 */
struct http_server_options {
	const char *address; /* host:port; port 0: any free port */
	const char *operator_key;
	int64_t max_header_bytes;
	int64_t max_body_bytes;
	int64_t stream_buffer_bytes;
	int64_t max_connections;
	struct log *log;
	struct counters *counters;
};

struct http_server;

struct http_server *
http_server_create(const struct http_server_options *options,
		   const struct event_sink *sink, struct error *error);
void http_server_destroy(struct http_server *server);
const char *http_server_address(const struct http_server *server);
size_t http_server_count_exchanges(const struct http_server *server);
void http_server_apply(struct http_server *server, const struct action *action);

G_END_DECLS

#endif
