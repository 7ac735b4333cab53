#define _GNU_SOURCE /* accept4 */
#include "adapters/gateway/listener.h"

#include "adapters/gateway/gateway.h"
#include "adapters/gateway/tcp_stream.h"

#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>

/* Per wake-up, so that a burst of connections does not starve the loop. */
#define MAX_ACCEPTS 32

struct listener {
	struct caller_set *set;
	int fd;
	guint source;
};

/* Accepts one connection; false if none waits. */
static bool listener_accept(struct listener *listener)
{
	int accepted =
		accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (accepted < 0)
		return false;
	caller_set_accept(listener->set, accepted, gateway_now_us());
	return true;
}

static gboolean on_connection(gint fd, GIOCondition condition, gpointer data)
{
	(void)fd;
	(void)condition;
	for (int i = 0; i < MAX_ACCEPTS; i++) {
		if (!listener_accept(data))
			break;
	}
	return G_SOURCE_CONTINUE;
}

/*
 * Listens at IPv4:PORT and hands each connection to the set, which the caller
 * keeps. NULL and an error if the address is invalid or can't be bound.
 */
struct listener *listener_create(const char *address, struct caller_set *set,
				 struct error *error)
{
	int fd = tcp_listen(address, error);
	struct listener *listener;

	if (fd < 0)
		return NULL;
	listener = g_new0(struct listener, 1);
	listener->set = set;
	listener->fd = fd;
	listener->source = g_unix_fd_add(fd, G_IO_IN, on_connection, listener);
	return listener;
}

/*
 * Stops listening and frees the listener. Connections that wait to be accepted
 * go to the set first: a close would reset them. NULL is allowed.
 */
void listener_finish(struct listener *listener)
{
	int count = 0;

	while (listener && count++ < TCP_LISTEN_BACKLOG &&
	       listener_accept(listener))
		continue;
	listener_destroy(listener);
}

/* Stops listening; open connections stay. NULL is allowed. */
void listener_destroy(struct listener *listener)
{
	if (!listener)
		return;
	g_source_remove(listener->source);
	close(listener->fd);
	g_free(listener);
}
