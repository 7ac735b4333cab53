#ifndef ADAPTERS_HTTP_REQUEST_H
#define ADAPTERS_HTTP_REQUEST_H

#include "core/base/error.h"
#include "ports/request.h"

#include <glib.h>
#include <libsoup/soup.h>

G_BEGIN_DECLS

/* Converts a caller's HTTP request to a struct request; checks its headers. */
struct request *http_request_read_generation(SoupServerMessage *message,
					     struct error *error);
struct request *http_request_read_plain(SoupServerMessage *message,
					struct error *error);
int64_t http_request_header_bytes(SoupServerMessage *message);
const char *http_request_bearer(SoupServerMessage *message);
const char *http_request_operator(SoupServerMessage *message);

G_END_DECLS

#endif
