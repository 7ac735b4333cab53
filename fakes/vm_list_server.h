#ifndef FAKES_VM_LIST_SERVER_H
#define FAKES_VM_LIST_SERVER_H

#include "fakes/fake_server.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * GET /v1/vms answers the list that POST /fake/vms set last, so much later;
 * the switch "down" makes it answer 503.
 */
struct vm_list_server;

struct vm_list_server *vm_list_server_create(struct fake_server *frame,
					     int64_t lag_ms);
void vm_list_server_destroy(struct vm_list_server *server);

G_END_DECLS

#endif
