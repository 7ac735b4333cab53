#ifndef CODEC_PEER_ENDPOINT_SPEEDS_H
#define CODEC_PEER_ENDPOINT_SPEEDS_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Body of PEER_ENDPOINT_SPEEDS: how fast endpoints are. */

#define PEER_ENDPOINT_SPEED_FORMAT "(txuqq)"
#define PEER_ENDPOINT_SPEEDS_FORMAT "(tssa" PEER_ENDPOINT_SPEED_FORMAT ")"

GVariant *peer_endpoint_speeds_encode(const struct peer_message *message);
bool peer_endpoint_speeds_decode(GVariant *body,
				 struct peer_endpoint_speeds *speeds);

G_END_DECLS

#endif
