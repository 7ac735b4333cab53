#ifndef DAEMONS_NODE_LOOP_H
#define DAEMONS_NODE_LOOP_H

#include "adapters/settings.h"
#include "core/base/error.h"

#include <glib.h>

G_BEGIN_DECLS

/* One node as a process: the core, its adapters and the event loop. */
struct node_loop;

struct node_loop *node_loop_create(const struct settings *settings,
				   const char *config_path,
				   struct error *error);
void node_loop_destroy(struct node_loop *loop);
void node_loop_run(struct node_loop *loop);

G_END_DECLS

#endif
