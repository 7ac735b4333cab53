#ifndef ADAPTERS_DATAGRAM_SOCKET_H
#define ADAPTERS_DATAGRAM_SOCKET_H

#include "core/base/error.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A UDP socket bound to an address of the form host:port. Packets are received
 * on the thread's default main context. Sending never blocks; a packet that
 * cannot be sent is lost.
 */
struct datagram_socket_sink {
	void *data;
	void (*receive)(void *data, const char *address, const uint8_t *packet,
			size_t size);
};

struct datagram_socket;

struct datagram_socket *
datagram_socket_create(const char *address,
		       const struct datagram_socket_sink *sink,
		       struct error *error);
void datagram_socket_destroy(struct datagram_socket *sock);
void datagram_socket_send(struct datagram_socket *sock, const char *address,
			  GBytes *packet);

G_END_DECLS

#endif
