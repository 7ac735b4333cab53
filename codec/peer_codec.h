#ifndef CODEC_PEER_CODEC_H
#define CODEC_PEER_CODEC_H

#include "core/base/error.h"
#include "ports/peer_message.h"

#include <glib.h>

G_BEGIN_DECLS

/*
 * Messages between nodes, encoded as GVariant records in little-endian normal
 * form after a header with a magic and a version byte. Records are untrusted
 * input: the decoder checks size, normal form, type, lengths and ranges, and
 * the detail of ERROR_INVALID names the failed check.
 */
GBytes *peer_codec_encode(const struct peer_message *message);
struct peer_message *peer_codec_decode(GBytes *record, struct error *error);

G_END_DECLS

#endif
