#ifndef CODEC_PEER_CHOOSE_H
#define CODEC_PEER_CHOOSE_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Bodies of PEER_CHOOSE, with which a gateway requests an engine from its home,
 * and of PEER_CHOSEN, the answer of the home.
 */

#define PEER_CHOOSE_FORMAT "(ttuuyssssas)"
#define PEER_CHOSEN_FORMAT "(ttssss)"

GVariant *peer_choose_encode(const struct peer_message *message);
GVariant *peer_choose_encode_avoid(const GPtrArray *avoid);
bool peer_choose_decode_fields(GVariant *body, gsize avoid_index,
			       struct peer_choose *choose);
bool peer_choose_decode(GVariant *body, struct peer_choose *choose);
GVariant *peer_chosen_encode(const struct peer_message *message);
bool peer_chosen_decode(GVariant *body, struct peer_chosen *chosen);

G_END_DECLS

#endif
