#ifndef CODEC_VM_LIST_JSON_H
#define CODEC_VM_LIST_JSON_H

#include "core/base/error.h"
#include "ports/event.h"

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/* The list of VMs that the platform answers with. */
GArray *vm_list_json_parse(GBytes *body, size_t max_bytes, struct error *error);

G_END_DECLS

#endif
