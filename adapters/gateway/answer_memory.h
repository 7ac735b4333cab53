#ifndef ADAPTERS_GATEWAY_ANSWER_MEMORY_H
#define ADAPTERS_GATEWAY_ANSWER_MEMORY_H

#include <glib.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * What the answers to all callers of this process hold: bytes that are held
 * back before they are passed on, and bytes that wait until their callers read.
 * The latter outlive their requests, and those who sent them.
 */
void answer_memory_change(size_t before, size_t after);
size_t answer_memory_share(size_t most);
size_t answer_memory_held(void);

G_END_DECLS

#endif
