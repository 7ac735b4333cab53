#ifndef TESTS_SOAK_SOAK_LISTENER_H
#define TESTS_SOAK_SOAK_LISTENER_H

#include <gio/gio.h>

G_BEGIN_DECLS

/*
 * A listening socket on a free port of 127.0.0.1 that can be made unreachable:
 * while it is held, connecting to it hangs, as in a network partition.
 */
struct soak_listener;

/* Called for each accepted connection; takes ownership of the socket. */
typedef void (*soak_listener_accepted)(void *data, GSocket *socket);

struct soak_listener *soak_listener_create(soak_listener_accepted accepted,
					   void *data, GError **error);
void soak_listener_destroy(struct soak_listener *listener);
guint16 soak_listener_port(const struct soak_listener *listener);
void soak_listener_hold(struct soak_listener *listener);
void soak_listener_resume(struct soak_listener *listener);

G_END_DECLS

#endif
