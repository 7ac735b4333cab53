#ifndef CODEC_PEER_FIELD_H
#define CODEC_PEER_FIELD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Fields of the records between nodes, and their limits. */

#define PEER_FIELD_MAX_TEXT_BYTES 64
#define PEER_FIELD_MAX_TOKENS ((int64_t)1 << 31)

const char *peer_field_text(const char *text);
guint32 peer_field_tokens(int64_t tokens);
bool peer_field_text_is_valid(const char *text, bool may_be_empty);

G_END_DECLS

#endif
