#ifndef ADAPTERS_HTTP_ROUTE_H
#define ADAPTERS_HTTP_ROUTE_H

#include "adapters/http_server.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

/* The paths of the product's own interface, and who may ask for them. */
void http_route_run(struct http_server *server, SoupServerMessage *message);

G_END_DECLS

#endif
