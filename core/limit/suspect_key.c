#include "core/limit/suspect_key.h"

#include <string.h>

/* The high bits of a part's key; the low ones hold its id. */
#define PART_TAG UINT64_C(0x5041)
#define TAG_SHIFT 48
#define ID_MASK ((UINT64_C(1) << TAG_SHIFT) - 1)

/* Hexadecimal digits that ID_MASK holds; longer ids are hashed. */
#define ID_DIGITS 12
#define MAX_ID_DIGITS 64

/* Returns the kind of what the key names. */
enum suspect_kind suspect_key_kind(uint64_t key)
{
	return key >> TAG_SHIFT == PART_TAG ? SUSPECT_PART : SUSPECT_REQUEST;
}

/* Returns the name of a kind, a static string for operators. */
const char *suspect_kind_name(enum suspect_kind kind)
{
	static const char *const names[SUSPECT_KIND_COUNT] = {
		[SUSPECT_REQUEST] = "request",
		[SUSPECT_PART] = "part",
	};

	return names[kind];
}

/* Returns the key of a request; no fingerprint is taken for a part. */
uint64_t suspect_key_of_request(uint64_t fingerprint)
{
	if (suspect_key_kind(fingerprint) == SUSPECT_PART)
		return fingerprint ^ (UINT64_C(1) << 63);
	return fingerprint;
}

static uint64_t hash_id(const char *digits, size_t size)
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	char *lower = g_ascii_strdown(digits, (gssize)size);
	uint8_t digest[32];
	gsize digest_size = sizeof(digest);
	uint64_t hash;

	g_checksum_update(checksum, (const guchar *)lower, (gssize)size);
	g_checksum_get_digest(checksum, digest, &digest_size);
	memcpy(&hash, digest, sizeof(hash));
	g_checksum_free(checksum);
	g_free(lower);
	return hash & ID_MASK;
}

/*
 * Returns the key of the prompt part with this id, a hexadecimal number; 0 if
 * it is none. Upper and lower case and leading zeros make no difference.
 */
uint64_t suspect_key_of_part(const char *id, size_t size)
{
	uint64_t value = 0;

	if (size == 0 || size > MAX_ID_DIGITS)
		return 0;
	for (size_t i = 0; i < size; i++)
		if (!g_ascii_isxdigit(id[i]))
			return 0;
	while (size > 1 && *id == '0') {
		id++;
		size--;
	}
	if (size > ID_DIGITS)
		return PART_TAG << TAG_SHIFT | hash_id(id, size);
	for (size_t i = 0; i < size; i++)
		value = value << 4 | (uint64_t)g_ascii_xdigit_value(id[i]);
	return PART_TAG << TAG_SHIFT | value;
}
