#ifndef CODEC_PEER_CODEC_H
#define CODEC_PEER_CODEC_H

#include "core/base/error.h"
#include "ports/peer_message.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * Peer messages as GVariant records in little-endian normal form behind a
 * magic and a version byte. Decoding trusts nothing: size, normal form, type,
 * lengths and ranges are checked, and ERROR_INVALID names what was wrong.
 */
GBytes *peer_codec_encode(const struct peer_message *message);
struct peer_message *peer_codec_decode(GBytes *record, struct error *error);

G_END_DECLS

#endif
