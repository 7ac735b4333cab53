#include "core/limit/suspect_list.h"

/* Lists a request and the parts of its prompt. */
void suspect_list_init(struct suspect_list *list, uint64_t fingerprint,
		       const struct prompt_parts *parts)
{
	list->keys[0] = suspect_key_of_request(fingerprint);
	list->count = 1;
	for (int32_t i = 0; i < parts->count; i++)
		list->keys[list->count++] = parts->keys[i];
}

bool suspect_list_has(const struct suspect_list *list, uint64_t key)
{
	for (int32_t i = 0; i < list->count; i++)
		if (list->keys[i] == key)
			return true;
	return false;
}
