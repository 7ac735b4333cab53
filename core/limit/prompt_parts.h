#ifndef CORE_LIMIT_PROMPT_PARTS_H
#define CORE_LIMIT_PROMPT_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Further parts of a prompt are left out. */
#define PROMPT_PARTS_MAX 16

/* The parts of a request's prompt that other requests may have too. */
struct prompt_parts {
	uint64_t keys[PROMPT_PARTS_MAX]; /* suspect_key_of_part, in order */
	int32_t count;
	bool is_incomplete; /* some have no id, or there are too many */
};

void prompt_parts_add(struct prompt_parts *parts, uint64_t key);
void prompt_parts_remove(struct prompt_parts *parts, uint64_t key);
char *prompt_parts_format(const struct prompt_parts *parts);

G_END_DECLS

#endif
