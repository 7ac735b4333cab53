#include "core/base/store_position.h"

#define REVISION_BITS 43

/*
 * Combines an era and a revision. Returns false if either is out of range; the
 * position is then unchanged.
 */
bool store_position_make(int64_t era, int64_t revision, int64_t *position)
{
	if (era < 0 || era > STORE_ERA_MAX || revision < 0 ||
	    revision > STORE_REVISION_MAX)
		return false;
	*position = era << REVISION_BITS | revision;
	return true;
}

/* Returns the era of a position, which must not be negative. */
int64_t store_position_era(int64_t position)
{
	return position >> REVISION_BITS;
}

/* Returns the revision within the era of a position. */
int64_t store_position_revision(int64_t position)
{
	return position & STORE_REVISION_MAX;
}

/*
 * Returns the position, or the same revision in the given era if the position
 * has none. Nodes of an earlier build send positions without an era.
 */
int64_t store_position_in_era(int64_t position, int64_t era)
{
	return store_position_era(position) ? position
					    : position | era << REVISION_BITS;
}
