#include "tests/soak/soak_socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>

/*
 * Creates a TCP socket bound to source, which the caller owns. On failure it
 * prints the reason to standard error and returns NULL.
 */
GSocket *soak_socket_open(GSocketAddress *source)
{
	g_autoptr(GError) error = NULL;
	GSocket *socket = g_socket_new(g_socket_address_get_family(source),
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, &error);

	if (socket && g_socket_bind(socket, source, FALSE, &error))
		return socket;
	fprintf(stderr, "proxy: can't create a socket: %s\n", error->message);
	g_clear_object(&socket);
	return NULL;
}

/*
 * Makes the socket non-blocking and sets TCP_NODELAY, so that the single bytes
 * of a trickle are sent at once.
 */
void soak_socket_configure(GSocket *socket)
{
	g_socket_set_blocking(socket, FALSE);
	g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
}

/* Closes the socket with a zero linger time: the peer gets a reset. */
void soak_socket_reset(GSocket *socket)
{
	struct linger linger = {1, 0};

	setsockopt(g_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	g_socket_close(socket, NULL);
}
