#ifndef ADAPTERS_HTTP_BODY_H
#define ADAPTERS_HTTP_BODY_H

#include "core/base/error.h"
#include "ports/request.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Reads the fields that a node needs from the JSON body of /v1/completions and
 * /v1/chat/completions. The body itself is forwarded unchanged.
 */
bool http_body_read(struct request *request, struct error *error);
uint64_t http_body_hash(const char *text, size_t length);

G_END_DECLS

#endif
