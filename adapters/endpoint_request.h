#ifndef ADAPTERS_ENDPOINT_REQUEST_H
#define ADAPTERS_ENDPOINT_REQUEST_H

#include "ports/action.h"

#include <libsoup/soup.h>

G_BEGIN_DECLS

/*
 * Creates the HTTP messages sent to engines, plain endpoints and other nodes.
 * Each function returns a message that the caller owns, or NULL if address and
 * path form no valid URI.
 */
SoupMessage *endpoint_request_send(const struct action_attempt_send *send,
				   const char *node_name);
SoupMessage *
endpoint_request_resume(const struct action_attempt_resume *resume);
SoupMessage *endpoint_request_cancel(const char *endpoint,
				     const char *generation);
SoupMessage *endpoint_request_load(const char *endpoint);

G_END_DECLS

#endif
