#ifndef CORE_BASE_STORE_POSITION_H
#define CORE_BASE_STORE_POSITION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A point in the history of a store: an era and a revision in one number, so
 * that a plain comparison orders points of different eras. A store that comes
 * back from a copy begins an era, and gives revisions out again. Without eras,
 * or for a store that has none, a position is the revision itself (era 0).
 */
#define STORE_ERA_MAX ((int64_t)0xfffff)
#define STORE_REVISION_MAX ((int64_t)0x7ffffffffff)

/* A header that names the era is absent or not a number in range. */
enum { STORE_ERA_NONE = 0, STORE_ERA_INVALID = -1 };

bool store_position_make(int64_t era, int64_t revision, int64_t *position);
int64_t store_position_era(int64_t position);
int64_t store_position_revision(int64_t position);
int64_t store_position_in_era(int64_t position, int64_t era);

G_END_DECLS

#endif
