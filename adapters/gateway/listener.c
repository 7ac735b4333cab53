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

static gboolean on_connection(gint fd, GIOCondition condition, gpointer data)
{
	struct listener *listener = data;

	(void)condition;
	for (int i = 0; i < MAX_ACCEPTS; i++) {
		int accepted =
			accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (accepted < 0)
			break;
		caller_set_accept(listener->set, accepted, gateway_now_us());
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

/* Stops listening; open connections stay. NULL is allowed. */
void listener_destroy(struct listener *listener)
{
	if (!listener)
		return;
	g_source_remove(listener->source);
	close(listener->fd);
	g_free(listener);
}
