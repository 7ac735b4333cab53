#ifndef TESTS_SOAK_SOAK_SOCKET_H
#define TESTS_SOAK_SOAK_SOCKET_H

#include <gio/gio.h>

G_BEGIN_DECLS

/* Socket functions of the proxy that GIO does not offer. */
GSocket *soak_socket_open(GSocketAddress *source);
void soak_socket_configure(GSocket *socket);
void soak_socket_reset(GSocket *socket);

G_END_DECLS

#endif
