#include "codec/field_name.h"

#include <string.h>

/*
 * Whether the name of a header field or trailer is a token (RFC 9110, 5.6.2):
 * not empty, and without spaces.
 */
bool field_name_is_valid(const char *name, size_t size)
{
	for (size_t i = 0; i < size; i++) {
		if (!g_ascii_isalnum(name[i]) &&
		    (!name[i] || !strchr("!#$%&'*+-.^_`|~", name[i])))
			return false;
	}
	return size > 0;
}
