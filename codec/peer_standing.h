#ifndef CODEC_PEER_STANDING_H
#define CODEC_PEER_STANDING_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* The body of PEER_STANDING: the record that a node announces. */
#define PEER_HELD_FORMAT "(tuuuu)"
#define PEER_REGISTRATION_FORMAT "(ssssxxxuyy)"
#define PEER_STANDING_FORMAT                                                   \
	"(txtbbsssa" PEER_HELD_FORMAT "a" PEER_REGISTRATION_FORMAT ")"

GVariant *peer_standing_encode(const struct peer_message *message);
bool peer_standing_decode(GVariant *body, struct peer_standing *standing);

G_END_DECLS

#endif
