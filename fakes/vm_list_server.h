#ifndef FAKES_VM_LIST_SERVER_H
#define FAKES_VM_LIST_SERVER_H

#include "fakes/fake_server.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Serves a VM list: POST /fake/vms sets it, and GET /v1/vms returns it once a
 * lag has passed. While the mode "down" is set, GET answers 503.
 */
struct vm_list_server;

struct vm_list_server *vm_list_server_create(struct fake_server *fake,
					     int64_t lag_ms);
void vm_list_server_destroy(struct vm_list_server *server);

G_END_DECLS

#endif
