#ifndef ADAPTERS_GATEWAY_LISTENER_H
#define ADAPTERS_GATEWAY_LISTENER_H

#include "adapters/gateway/caller.h"
#include "core/base/error.h"

#include <glib.h>

G_BEGIN_DECLS

/* Accepts connections at one address for a set of callers. */
struct listener;

struct listener *listener_create(const char *address, struct caller_set *set,
				 struct error *error);
void listener_finish(struct listener *listener);
void listener_destroy(struct listener *listener);

G_END_DECLS

#endif
