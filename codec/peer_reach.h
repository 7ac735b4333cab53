#ifndef CODEC_PEER_REACH_H
#define CODEC_PEER_REACH_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Body of PEER_REACH: the services whose endpoints the sender doesn't reach. */

#define PEER_REACH_FORMAT "(tssbat)"

GVariant *peer_reach_encode(const struct peer_message *message);
bool peer_reach_decode(GVariant *body, struct peer_reach *reach);

G_END_DECLS

#endif
