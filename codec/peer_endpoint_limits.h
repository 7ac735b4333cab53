#ifndef CODEC_PEER_ENDPOINT_LIMITS_H
#define CODEC_PEER_ENDPOINT_LIMITS_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Body of PEER_ENDPOINT_LIMITS: the limits that endpoints state. */

#define PEER_ENDPOINT_LIMIT_FORMAT "(tuu)"
#define PEER_ENDPOINT_LIMITS_FORMAT "(tssa" PEER_ENDPOINT_LIMIT_FORMAT ")"

GVariant *peer_endpoint_limits_encode(const struct peer_message *message);
bool peer_endpoint_limits_decode(GVariant *body,
				 struct peer_endpoint_limits *limits);

G_END_DECLS

#endif
