#include "codec/peer_field.h"

#include <string.h>

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
	size_t length = strlen(text);

	if (length > PEER_FIELD_MAX_TEXT_BYTES ||
	    (length == 0 && !may_be_empty))
		return false;
	for (const char *p = text; *p; p++) {
		if (g_ascii_iscntrl(*p))
			return false;
	}
	return true;
}
