#ifndef CORE_GATEWAY_HELD_BYTES_H
#define CORE_GATEWAY_HELD_BYTES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/* What each holder may hold, whatever the others do. */
#define HELD_FREE_BYTES ((size_t)64 * 1024)

/* With more held in all, none may hold more than its free bytes. */
#define HELD_MAX_BYTES ((size_t)16 * 1024 * 1024)

/* What answers may hold in all. */
#define HELD_ANSWERS_BYTES ((size_t)16 * 1024 * 1024)

/* What each answer may hold, whatever the others do. */
#define HELD_ANSWERS_FREE_BYTES ((size_t)4 * 1024)

/*
 * Bounds the memory of all holders together: one that is held back loses only
 * what no sound peer needs, and many faulty ones can't use up the machine.
 */
struct held_bytes {
	size_t total;
};

void held_bytes_change(struct held_bytes *held, size_t before, size_t after);
bool held_bytes_allows(const struct held_bytes *held, size_t own);
size_t held_bytes_share(const struct held_bytes *held, size_t most);

G_END_DECLS

#endif
