#ifndef CODEC_PEER_LOSSES_H
#define CODEC_PEER_LOSSES_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* Body of PEER_LOSSES: runs of requests that endpoints didn't finish. */

#define PEER_LOSS_FORMAT "(tttuiuu)"
#define PEER_LOSSES_FORMAT "(tssa" PEER_LOSS_FORMAT ")"

GVariant *peer_losses_encode(const struct peer_message *message);
bool peer_losses_decode(GVariant *body, struct peer_losses *losses);

G_END_DECLS

#endif
