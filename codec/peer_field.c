#include "codec/peer_field.h"

#include "core/base/plain_text.h"

/* Returns the text to encode: text itself, or "" for NULL. */
const char *peer_field_text(const char *text)
{
	return text ? text : "";
}

/* Returns the token count to encode, clamped to what the decoder accepts. */
guint32 peer_field_tokens(int64_t tokens)
{
	return (guint32)CLAMP(tokens, 0, PEER_FIELD_MAX_TOKENS);
}

/*
 * Checks a decoded text. Texts go into logs, dumps and connection addresses, so
 * they must be short and contain no control characters.
 */
bool peer_field_text_is_valid(const char *text, bool may_be_empty)
{
	return (*text || may_be_empty) &&
	       plain_text_is_valid(text, PEER_FIELD_MAX_TEXT_BYTES);
}
