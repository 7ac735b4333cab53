#ifndef CORE_GATEWAY_JOIN_SYNC_H
#define CORE_GATEWAY_JOIN_SYNC_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Decides which nodes send a node that has just started the list of all
 * endpoints, which it needs if it can't reach the store. If each of 87 other
 * nodes sent the list, some 9 KB each, the new node would read nothing else for
 * a second, and after a loss of power all nodes start at once.
 */
bool join_sync_is_sender(size_t others, double draw);

G_END_DECLS

#endif
