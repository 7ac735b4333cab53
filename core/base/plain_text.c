#include "core/base/plain_text.h"

#include <string.h>

/*
 * Whether a text of another program may go into header fields, records between
 * nodes, logs and terminals: UTF-8 of at most max_bytes without control
 * characters. A line break would begin a header field of the writer's choice.
 * U+FFFD stands for what was no character.
 */
bool plain_text_is_valid(const char *text, size_t max_bytes)
{
	static const char replacement[] = "\xef\xbf\xbd";

	if (strlen(text) > max_bytes || !g_utf8_validate(text, -1, NULL) ||
	    strstr(text, replacement))
		return false;
	for (const char *p = text; *p; p++) {
		if (g_ascii_iscntrl(*p))
			return false;
	}
	return true;
}
