#include "core/limit/prompt_parts.h"

#include <inttypes.h>

static int32_t find(const struct prompt_parts *parts, uint64_t key)
{
	int32_t i = 0;

	while (i < parts->count && parts->keys[i] != key)
		i++;
	return i;
}

/* Adds a part, once; a key of 0 is one without an id. */
void prompt_parts_add(struct prompt_parts *parts, uint64_t key)
{
	if (key && find(parts, key) < parts->count)
		return;
	if (!key || parts->count == PROMPT_PARTS_MAX) {
		parts->is_incomplete = true;
		return;
	}
	parts->keys[parts->count++] = key;
}

/* Removes a part, if it is there. */
void prompt_parts_remove(struct prompt_parts *parts, uint64_t key)
{
	int32_t at = find(parts, key);

	if (at == parts->count)
		return;
	parts->count--;
	for (int32_t i = at; i < parts->count; i++)
		parts->keys[i] = parts->keys[i + 1];
}

/* Returns the keys as text, for logs; to be freed with g_free. */
char *prompt_parts_format(const struct prompt_parts *parts)
{
	GString *text = g_string_new(NULL);

	for (int32_t i = 0; i < parts->count; i++)
		g_string_append_printf(text, "%s%016" PRIx64, i ? "," : "",
				       parts->keys[i]);
	return g_string_free(text, FALSE);
}
