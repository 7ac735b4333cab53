#include "core/limit/suspect_text.h"

#include <inttypes.h>

static const struct {
	const char *held;
	const char *suspected;
	const char *released;
} events[SUSPECT_KIND_COUNT] = {
	[SUSPECT_REQUEST] = {"request_held", "request_suspected",
			     "request_released"},
	[SUSPECT_PART] = {"part_held", "part_suspected", "part_released"},
};

/*
 * Describes a suspect as quarantine sees it now. The caller frees the text's
 * strings with suspect_text_clear.
 */
void suspect_text_init(struct suspect_text *text,
		       const struct quarantine *quarantine, uint64_t key,
		       int64_t now_us)
{
	const enum suspect_kind kind = suspect_key_kind(key);
	int64_t until_us = quarantine_until_us(quarantine, key, now_us);
	int64_t for_us = until_us ? until_us - now_us : 0;

	if (until_us)
		text->event = events[kind].held;
	else if (quarantine_is_suspect(quarantine, key, now_us))
		text->event = events[kind].suspected;
	else
		text->event = events[kind].released;
	text->level = until_us ? LOG_LEVEL_WARN : LOG_LEVEL_INFO;
	text->ends = quarantine_format_ends(quarantine, key, now_us);
	g_snprintf(text->fingerprint, sizeof(text->fingerprint), "%016" PRIx64,
		   key);
	g_snprintf(text->for_s, sizeof(text->for_s), "%" G_GINT64_FORMAT,
		   for_us / G_USEC_PER_SEC);
}

/* Frees the strings of a text. */
void suspect_text_clear(struct suspect_text *text)
{
	g_clear_pointer(&text->ends, g_free);
}
