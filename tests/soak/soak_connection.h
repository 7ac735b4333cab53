#ifndef TESTS_SOAK_SOAK_CONNECTION_H
#define TESTS_SOAK_SOAK_CONNECTION_H

#include "tests/soak/soak_link.h"

#include <gio/gio.h>

/*
 * One connection through the proxy: two sockets, and a pipe for each direction.
 * It treats the bytes as its link says; the owner of the link may change it
 * (see soak_connection_link_changed). When the connection is over, ended is
 * called once and takes ownership of it.
 */
struct soak_connection;

typedef void (*soak_connection_ended)(void *data,
				      struct soak_connection *connection);

struct soak_connection *
soak_connection_create(GSocket *client, GSocketAddress *source,
		       GSocketAddress *target, const struct soak_link *link,
		       soak_connection_ended ended, void *data);
void soak_connection_destroy(struct soak_connection *connection);
void soak_connection_link_changed(struct soak_connection *connection);
void soak_connection_reset(struct soak_connection *connection);

#endif
