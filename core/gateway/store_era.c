#include "core/gateway/store_era.h"

#include "core/base/store_position.h"

/*
 * Judges the era of an answer, which is above 0, STORE_ERA_NONE or
 * STORE_ERA_INVALID, and remembers the highest. Eras that were skipped make no
 * difference: nothing known from before any of them counts as current.
 */
enum store_era_verdict store_era_note(struct store_era *era, int64_t answered)
{
	int64_t highest = era->highest;

	if (answered < 0 || answered > STORE_ERA_MAX ||
	    (answered == STORE_ERA_NONE && highest != STORE_ERA_NONE))
		return STORE_ERA_UNKNOWN;
	if (answered < highest)
		return STORE_ERA_STALE;
	era->highest = answered;
	return answered > highest && highest != STORE_ERA_NONE
		       ? STORE_ERA_RISEN
		       : STORE_ERA_CURRENT;
}

/* Returns why an answer is not used, for errors and logs. */
const char *store_era_verdict_text(enum store_era_verdict verdict)
{
	switch (verdict) {
	case STORE_ERA_CURRENT:
		return "current era";
	case STORE_ERA_RISEN:
		return "the store came back from a copy";
	case STORE_ERA_STALE:
		return "answer from an earlier era";
	case STORE_ERA_UNKNOWN:
		return "answer without a valid era";
	}
	return "";
}
