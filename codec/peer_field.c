#include "codec/peer_field.h"

#include <string.h>

/* The text to be written; NULL is written as "". */
const char *peer_field_text(const char *text)
{
	return text ? text : "";
}

/* A number of tokens to be written, cut to what a reader accepts. */
guint32 peer_field_tokens(int64_t tokens)
{
	return (guint32)CLAMP(tokens, 0, PEER_FIELD_MAX_TOKENS);
}

/*
 * Whether a text that was read may be used. Texts end up in logs, dumps and
 * connects: short, and no control bytes.
 */
bool peer_field_text_is_legal(const char *text, bool may_be_empty)
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
