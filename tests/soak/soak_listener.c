#include "tests/soak/soak_listener.h"

#include "tests/soak/soak_socket.h"

#include <errno.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* Large, because a node opens hundreds of connections at once after a pause. */
#define LISTEN_BACKLOG 512

struct soak_listener {
	GSocket *socket;
	GSource *source; /* NULL: held */
	GSocket *filler; /* fills the accept queue while held, else NULL */
	guint16 port;
	guint16 filler_port; /* local port of the last filler */
	soak_listener_accepted accepted;
	void *data;
};

static guint16 port_of(GSocketAddress *address)
{
	return address ? g_inet_socket_address_get_port(
				 G_INET_SOCKET_ADDRESS(address))
		       : 0;
}

static bool is_filler(const struct soak_listener *listener, GSocket *socket)
{
	g_autoptr(GSocketAddress) from =
		g_socket_get_remote_address(socket, NULL);

	return from && port_of(from) == listener->filler_port;
}

static gboolean on_connection(GSocket *socket,
			      GIOCondition condition G_GNUC_UNUSED,
			      gpointer data)
{
	struct soak_listener *listener = data;
	g_autoptr(GError) error = NULL;
	GSocket *accepted = g_socket_accept(socket, NULL, &error);

	if (!accepted) {
		fprintf(stderr, "proxy: accept: %s\n", error->message);
		return G_SOURCE_CONTINUE;
	}
	if (is_filler(listener, accepted)) {
		listener->filler_port = 0;
		g_object_unref(accepted);
		return G_SOURCE_CONTINUE;
	}
	listener->accepted(listener->data, accepted);
	return G_SOURCE_CONTINUE;
}

static bool listener_bind(struct soak_listener *listener, GError **error)
{
	g_autoptr(GSocketAddress) any =
		g_inet_socket_address_new_from_string("127.0.0.1", 0);
	g_autoptr(GSocketAddress) bound = NULL;

	listener->socket =
		g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
			     G_SOCKET_PROTOCOL_TCP, error);
	if (!listener->socket)
		return false;
	g_socket_set_listen_backlog(listener->socket, LISTEN_BACKLOG);
	g_socket_set_blocking(listener->socket, FALSE);
	if (!g_socket_bind(listener->socket, any, TRUE, error) ||
	    !g_socket_listen(listener->socket, error))
		return false;
	bound = g_socket_get_local_address(listener->socket, error);
	listener->port = port_of(bound);
	return bound != NULL;
}

static void start_accepting(struct soak_listener *listener)
{
	listener->source =
		g_socket_create_source(listener->socket, G_IO_IN, NULL);
	g_source_set_callback(listener->source, G_SOURCE_FUNC(on_connection),
			      listener, NULL);
	g_source_attach(listener->source, NULL);
}

/*
 * Listens and accepts connections on the default main context. The caller
 * destroys the listener; on failure returns NULL and sets the error.
 */
struct soak_listener *soak_listener_create(soak_listener_accepted accepted,
					   void *data, GError **error)
{
	struct soak_listener *listener = g_new0(struct soak_listener, 1);

	listener->accepted = accepted;
	listener->data = data;
	if (!listener_bind(listener, error)) {
		soak_listener_destroy(listener);
		return NULL;
	}
	start_accepting(listener);
	return listener;
}

static void stop_accepting(struct soak_listener *listener)
{
	if (!listener->source)
		return;
	g_source_destroy(listener->source);
	g_clear_pointer(&listener->source, g_source_unref);
}

/* Stops listening and frees the listener; NULL is allowed. */
void soak_listener_destroy(struct soak_listener *listener)
{
	if (!listener)
		return;
	stop_accepting(listener);
	g_clear_object(&listener->filler);
	g_clear_object(&listener->socket);
	g_free(listener);
}

/* Returns the listener's port on 127.0.0.1. */
guint16 soak_listener_port(const struct soak_listener *listener)
{
	return listener->port;
}

/* A second listen() call changes the backlog of a listening socket. */
static void set_backlog(const struct soak_listener *listener, int backlog)
{
	if (listen(g_socket_get_fd(listener->socket), backlog) != 0)
		fprintf(stderr, "proxy: listen: %s\n", strerror(errno));
}

/*
 * Makes connecting to the listener hang. The kernel completes connections that
 * are not accepted until the backlog is full; then it drops further SYNs, which
 * the client resends every few seconds. A backlog of 0 leaves a queue of one,
 * which a connection opened here (the filler) fills.
 */
void soak_listener_hold(struct soak_listener *listener)
{
	g_autoptr(GSocketAddress) any =
		g_inet_socket_address_new_from_string("127.0.0.1", 0);
	g_autoptr(GSocketAddress) to = g_inet_socket_address_new_from_string(
		"127.0.0.1", listener->port);
	g_autoptr(GSocketAddress) from = NULL;

	if (!listener->source)
		return;
	stop_accepting(listener);
	set_backlog(listener, 0);
	listener->filler = soak_socket_open(any);
	if (!listener->filler)
		return;
	soak_socket_configure(listener->filler);
	from = g_socket_get_local_address(listener->filler, NULL);
	listener->filler_port = port_of(from);
	/* If the queue is already full, this one hangs like all others. */
	g_socket_connect(listener->filler, to, NULL, NULL);
}

/*
 * Accepts connections again, first those already in the queue: the filler is
 * among them and must be gone before the listener is held again.
 */
void soak_listener_resume(struct soak_listener *listener)
{
	if (listener->source)
		return;
	set_backlog(listener, LISTEN_BACKLOG);
	while (g_socket_condition_check(listener->socket, G_IO_IN))
		on_connection(listener->socket, G_IO_IN, listener);
	g_clear_object(&listener->filler);
	start_accepting(listener);
}
