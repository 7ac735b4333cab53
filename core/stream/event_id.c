#include "core/stream/event_id.h"

#include <string.h>

#define EVENT_ID_MAX_LENGTH 512
#define EVENT_ID_SIGNATURE_LENGTH 32 /* hex digits: 128 bits */

/*
 * Whether a text has 1 to max_length bytes, all of them letters, digits or
 * "._:-". Engines choose generation names; a separator or a line break in one
 * could forge another field of the id or another line of the stream.
 */
bool event_id_is_safe_name(const char *text, size_t max_length)
{
	size_t length = strlen(text);

	if (length == 0 || length > max_length)
		return false;
	for (size_t i = 0; i < length; i++) {
		if (!g_ascii_isalnum(text[i]) && !strchr("._:-", text[i]))
			return false;
	}
	return true;
}

static char *event_id_sign(const char *payload, const char *organisation,
			   const char *key)
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));
	char *signature;

	g_hmac_update(hmac, (const guchar *)organisation,
		      (gssize)strlen(organisation) + 1);
	g_hmac_update(hmac, (const guchar *)payload, (gssize)strlen(payload));
	signature =
		g_strndup(g_hmac_get_string(hmac), EVENT_ID_SIGNATURE_LENGTH);
	g_hmac_unref(hmac);
	return signature;
}

/*
 * Compares in constant time, so that the duration does not reveal how many
 * leading digits of a forged signature are right.
 */
static bool signature_equal(const char *a, const char *b)
{
	unsigned char difference = 0;

	if (strlen(a) != EVENT_ID_SIGNATURE_LENGTH ||
	    strlen(b) != EVENT_ID_SIGNATURE_LENGTH)
		return false;
	for (size_t i = 0; i < EVENT_ID_SIGNATURE_LENGTH; i++)
		difference |= (unsigned char)(a[i] ^ b[i]);
	return difference == 0;
}

/*
 * Formats an id for the callers of one organisation and signs it with the key,
 * in base64. Free with g_free.
 */
char *event_id_format(const struct event_id *id, const char *organisation,
		      const char *key)
{
	char *payload = g_strdup_printf("%s|%s|%" G_GINT64_FORMAT, id->endpoint,
					id->generation, id->token_count);
	char *signature = event_id_sign(payload, organisation, key);
	char *text = g_strconcat(payload, "|", signature, NULL);
	char *encoded = g_base64_encode((const guchar *)text, strlen(text));

	g_free(text);
	g_free(signature);
	g_free(payload);
	return encoded;
}

static bool event_id_read_fields(struct event_id *id, char **parts)
{
	guint64 token_count;

	if (!event_id_is_safe_name(parts[0], sizeof(id->endpoint) - 1) ||
	    !event_id_is_safe_name(parts[1], sizeof(id->generation) - 1))
		return false;
	if (!g_ascii_string_to_unsigned(parts[2], 10, 0, INT32_MAX,
					&token_count, NULL))
		return false;
	g_strlcpy(id->endpoint, parts[0], sizeof(id->endpoint));
	g_strlcpy(id->generation, parts[1], sizeof(id->generation));
	id->token_count = (int64_t)token_count;
	return true;
}

/* Verifies the signature, then reads the fields. */
static bool event_id_verify(struct event_id *id, const char *decoded,
			    const char *organisation, const char *key)
{
	char **parts = g_strsplit(decoded, "|", 5);
	bool valid = false;

	if (g_strv_length(parts) == 4) {
		const char *last = strrchr(decoded, '|');
		char *payload = g_strndup(decoded, (gsize)(last - decoded));
		char *signature = event_id_sign(payload, organisation, key);

		valid = signature_equal(signature, parts[3]) &&
			event_id_read_fields(id, parts);
		g_free(signature);
		g_free(payload);
	}
	g_strfreev(parts);
	return valid;
}

/*
 * Parses an id that a caller of this organisation sent back. Returns false if
 * the id is malformed, forged, or was issued to another organisation.
 */
bool event_id_parse(struct event_id *id, const char *text,
		    const char *organisation, const char *key)
{
	guchar *decoded;
	gsize length;
	char *terminated;
	bool valid;

	if (strlen(text) > EVENT_ID_MAX_LENGTH)
		return false;
	decoded = g_base64_decode(text, &length);
	terminated = g_strndup((const char *)decoded, length);
	valid = strlen(terminated) == length &&
		event_id_verify(id, terminated, organisation, key);
	g_free(terminated);
	g_free(decoded);
	return valid;
}
