#ifndef CODEC_PEER_PROGRESS_H
#define CODEC_PEER_PROGRESS_H

#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* The body of PEER_PROGRESS: the grants that a node holds, in columns. */

#define PEER_PROGRESS_FORMAT "(ttbssasatauaqaqaqauauau)"

GVariant *peer_progress_encode(const struct peer_message *message);
bool peer_progress_decode(GVariant *body, struct peer_progress *result);

G_END_DECLS

#endif
