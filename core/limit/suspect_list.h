#ifndef CORE_LIMIT_SUSPECT_LIST_H
#define CORE_LIMIT_SUSPECT_LIST_H

#include "core/limit/prompt_parts.h"
#include "core/limit/suspect_key.h"

G_BEGIN_DECLS

/* All that a request may be refused for. */
struct suspect_list {
	uint64_t keys[1 + PROMPT_PARTS_MAX]; /* the request's own key first */
	int32_t count;
};

void suspect_list_init(struct suspect_list *list, uint64_t fingerprint,
		       const struct prompt_parts *parts);
bool suspect_list_has(const struct suspect_list *list, uint64_t key);

G_END_DECLS

#endif
