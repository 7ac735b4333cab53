#ifndef ADAPTERS_HTTP_LISTENER_H
#define ADAPTERS_HTTP_LISTENER_H

#include "core/base/error.h"

#include <gio/gio.h>
#include <glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The listening socket and its connections, whose number is bounded. A
 * connection above the bound gets a refusal and is closed. An idle connection
 * is closed.
 */
struct http_listener_options {
	const char *address; /* host:port; port 0: any free port */
	int64_t max_connections;
	int64_t idle_timeout_ms;   /* time without traffic */
	int32_t send_buffer_bytes; /* SO_SNDBUF; 0: default */
	void (*accept)(void *data, GSocketConnection *connection,
		       GSocketAddress *local, GSocketAddress *remote);
	void *data;
};

struct http_listener;

struct http_listener *
http_listener_create(const struct http_listener_options *options,
		     struct error *error);
void http_listener_destroy(struct http_listener *listener);
const char *http_listener_address(const struct http_listener *listener);

/*
 * Record that a call starts, that bytes of a request arrive or that a call
 * ends on the connection of a message. A connection with a call is not closed
 * as idle.
 */
void http_listener_begin_call(SoupServerMessage *message);
void http_listener_record_bytes(SoupServerMessage *message);
void http_listener_end_call(SoupServerMessage *message);
GSocket *http_listener_socket(SoupServerMessage *message);

G_END_DECLS

#endif
