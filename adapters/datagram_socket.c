#include "adapters/datagram_socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define STEP_BIND "peer.bind_datagrams"
#define MAX_PACKETS_PER_DISPATCH 64
#define MAX_PACKET_BYTES 2048
#define RECEIVE_BUFFER_BYTES (1 << 20)
#define MAX_HOST_BYTES 64
#define MAX_ADDRESS_BYTES (INET6_ADDRSTRLEN + 10)

struct datagram_socket {
	struct datagram_socket_sink sink;
	int fd;
	GSource *source;
};

union socket_address {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
};

/*
 * Parses a numeric address, IP:PORT or [IP]:PORT. Returns the size of the
 * result, or 0 if it is invalid.
 */
static socklen_t parse_address(const char *text, union socket_address *address)
{
	const char *colon = strrchr(text, ':');
	bool is_v6 = *text == '[' && colon && colon > text && colon[-1] == ']';
	char host[MAX_HOST_BYTES];
	guint64 port;
	size_t length;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX,
						  &port, NULL))
		return 0;
	length = (size_t)(colon - text) - (is_v6 ? 2 : 0);
	if (length >= sizeof(host))
		return 0;
	memcpy(host, text + (is_v6 ? 1 : 0), length);
	host[length] = '\0';
	memset(address, 0, sizeof(*address));
	if (is_v6) {
		address->v6.sin6_family = AF_INET6;
		address->v6.sin6_port = htons((uint16_t)port);
		return inet_pton(AF_INET6, host, &address->v6.sin6_addr) == 1
			       ? sizeof(address->v6)
			       : 0;
	}
	address->v4.sin_family = AF_INET;
	address->v4.sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &address->v4.sin_addr) == 1
		       ? sizeof(address->v4)
		       : 0;
}

static void format_address(const union socket_address *address, char *text,
			   size_t size)
{
	char host[INET6_ADDRSTRLEN] = "";

	if (address->any.sa_family == AF_INET6) {
		inet_ntop(AF_INET6, &address->v6.sin6_addr, host, sizeof(host));
		g_snprintf(text, size, "[%s]:%u", host,
			   ntohs(address->v6.sin6_port));
		return;
	}
	inet_ntop(AF_INET, &address->v4.sin_addr, host, sizeof(host));
	g_snprintf(text, size, "%s:%u", host, ntohs(address->v4.sin_port));
}

static bool receive_packet(struct datagram_socket *sock)
{
	union socket_address from;
	socklen_t from_size = sizeof(from);
	char address[MAX_ADDRESS_BYTES];
	uint8_t packet[MAX_PACKET_BYTES];
	ssize_t size = recvfrom(sock->fd, packet, sizeof(packet), MSG_DONTWAIT,
				&from.any, &from_size);

	if (size < 0)
		return errno == EINTR || errno == ECONNREFUSED;
	format_address(&from, address, sizeof(address));
	sock->sink.receive(sock->sink.data, address, packet, (size_t)size);
	return true;
}

/* Receives a bounded number of packets: a busy peer must not block the loop. */
static gboolean socket_readable(int fd, GIOCondition condition, gpointer data)
{
	(void)fd;
	(void)condition;
	for (int i = 0; i < MAX_PACKETS_PER_DISPATCH; i++) {
		if (!receive_packet(data))
			break;
	}
	return G_SOURCE_CONTINUE;
}

static void socket_attach(struct datagram_socket *sock)
{
	sock->source = g_unix_fd_source_new(sock->fd, G_IO_IN);
	g_source_set_callback(sock->source,
			      G_SOURCE_FUNC((GUnixFDSourceFunc)socket_readable),
			      sock, NULL);
	g_source_attach(sock->source, g_main_context_get_thread_default());
}

/*
 * Binds a socket and attaches it to the thread's default main context. Returns
 * NULL and ERROR_INVALID for an invalid address, or ERROR_UNREACHABLE for one
 * that cannot be bound. The caller destroys the result.
 */
struct datagram_socket *
datagram_socket_create(const char *address,
		       const struct datagram_socket_sink *sink,
		       struct error *error)
{
	union socket_address bound;
	socklen_t size = parse_address(address, &bound);
	const int buffer_bytes = RECEIVE_BUFFER_BYTES;
	struct datagram_socket *sock;
	int fd;

	if (size == 0) {
		error_set(error, ERROR_INVALID, STEP_BIND, address,
			  "not an address, expected IP:PORT");
		return NULL;
	}
	fd = socket(bound.any.sa_family,
		    SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0 || bind(fd, &bound.any, size) != 0) {
		error_set(error, ERROR_UNREACHABLE, STEP_BIND, address, "%s",
			  g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	/* The default holds few packets while all nodes of a fleet start. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	sock = g_new0(struct datagram_socket, 1);
	sock->sink = *sink;
	sock->fd = fd;
	socket_attach(sock);
	return sock;
}

/* Closes the socket. NULL is allowed. */
void datagram_socket_destroy(struct datagram_socket *sock)
{
	if (!sock)
		return;
	g_source_destroy(sock->source);
	g_source_unref(sock->source);
	close(sock->fd);
	g_free(sock);
}

/* Sends a packet to an address. */
void datagram_socket_send(struct datagram_socket *sock, const char *address,
			  GBytes *packet)
{
	union socket_address to;
	socklen_t to_size = parse_address(address, &to);
	gsize size;
	const void *data = g_bytes_get_data(packet, &size);

	if (to_size)
		sendto(sock->fd, data, size, MSG_DONTWAIT | MSG_NOSIGNAL,
		       &to.any, to_size);
}
