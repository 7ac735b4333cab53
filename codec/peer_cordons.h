#ifndef CODEC_PEER_CORDONS_H
#define CODEC_PEER_CORDONS_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Body of PEER_CORDONS: the failure domains that get no new requests. */

#define PEER_CORDON_FORMAT "(xys)"
#define PEER_CORDONS_FORMAT "(tssa" PEER_CORDON_FORMAT ")"

GVariant *peer_cordons_encode(const struct peer_message *message);
bool peer_cordons_decode(GVariant *body, struct peer_cordons *cordons);

G_END_DECLS

#endif
