#ifndef ADAPTERS_HTTP_LISTENER_H
#define ADAPTERS_HTTP_LISTENER_H

#include "core/base/error.h"

#include <gio/gio.h>
#include <glib.h>
#include <libsoup/soup.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The listening socket, with a bound on its connections: one above the bound
 * is answered by a refusal and closed, and one that stays idle is closed.
 */
struct http_listener_options {
	const char *address; /* host:port; port 0 takes a free one */
	int64_t max_connections;
	int64_t idle_close_ms;	   /* nothing moved for so long */
	int32_t send_buffer_bytes; /* kernel's buffer of one connection */
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
 * A call starts, a request moves or a call ends on the connection that its
 * message came by; one with a call is not closed as idle.
 */
void http_listener_begin(SoupServerMessage *message);
void http_listener_touch(SoupServerMessage *message);
void http_listener_end(SoupServerMessage *message);
GSocket *http_listener_socket(SoupServerMessage *message);

G_END_DECLS

#endif
