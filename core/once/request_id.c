#include "core/once/request_id.h"

#include <string.h>

#define REQUEST_ID_PREFIX "sk1"

/*
 * Formats the prefix to which a caller appends its own part; issued_us is in us
 * on the issuer's clock. Free with g_free.
 */
char *request_id_format_prefix(const char *issuer, uint64_t incarnation,
			       int64_t issued_us)
{
	return g_strdup_printf(REQUEST_ID_PREFIX "~%s~%016" G_GINT64_MODIFIER
						 "x~%" G_GINT64_FORMAT "~",
			       issuer, incarnation, issued_us);
}

static bool request_id_read_fields(struct request_id *id, char **parts)
{
	guint64 issued_us;

	if (strcmp(parts[0], REQUEST_ID_PREFIX) != 0 || !parts[4][0])
		return false;
	if (!parts[1][0] || strlen(parts[1]) >= sizeof(id->issuer))
		return false;
	if (!g_ascii_string_to_unsigned(parts[2], 16, 0, G_MAXUINT64,
					&id->incarnation, NULL))
		return false;
	if (!g_ascii_string_to_unsigned(parts[3], 10, 0, G_MAXINT64, &issued_us,
					NULL))
		return false;
	g_strlcpy(id->issuer, parts[1], sizeof(id->issuer));
	id->issued_us = (int64_t)issued_us;
	return true;
}

/* Parses an id; returns false for a plain key, which has no issuer. */
bool request_id_parse(struct request_id *id, const char *text)
{
	char **parts = g_strsplit(text, "~", 5);
	bool valid =
		g_strv_length(parts) == 5 && request_id_read_fields(id, parts);

	g_strfreev(parts);
	return valid;
}
