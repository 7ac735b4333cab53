#ifndef ADAPTERS_VM_LIST_CLIENT_H
#define ADAPTERS_VM_LIST_CLIENT_H

#include "adapters/log.h"
#include "core/base/error.h"
#include "ports/sink.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Polls the platform's VM list. GET /v1/vms answers
 * {"vms":[{"address":"127.0.0.1:9001","state":"live"|"leaving"}, ...]}.
 * Delivers EVENT_VM_LIST for each well-formed answer.
 */
struct vm_list_client_options {
	const char *address;
	int64_t poll_ms;
	int64_t timeout_ms;
	struct log *log;
};

struct vm_list_client;

struct vm_list_client *
vm_list_client_create(const struct vm_list_client_options *options,
		      const struct event_sink *sink);
void vm_list_client_destroy(struct vm_list_client *client);

G_END_DECLS

#endif
