#ifndef ADAPTERS_HTTP_ROUTE_H
#define ADAPTERS_HTTP_ROUTE_H

#include "adapters/http_server.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

/* Maps the paths of the HTTP interface to handlers and checks access. */
void http_route_dispatch(struct http_server *server,
			 SoupServerMessage *message);

G_END_DECLS

#endif
