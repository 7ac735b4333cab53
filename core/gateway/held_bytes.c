#include "core/gateway/held_bytes.h"

/* One answer may hold this part of what all have left. */
#define SHARE_DIVISOR 16

/* Counts that a holder now holds after bytes, and held before bytes. */
void held_bytes_change(struct held_bytes *held, size_t before, size_t after)
{
	held->total -= before;
	held->total += after;
}

/* Whether a holder, whose own bytes are counted, may hold them. */
bool held_bytes_allows(const struct held_bytes *held, size_t own)
{
	return own <= HELD_FREE_BYTES || held->total <= HELD_MAX_BYTES;
}

/*
 * Returns how much one answer may hold, of at most most bytes: a part of what
 * all have left. So those that hold most are slowed down first, and what is
 * left never goes to a few.
 */
size_t held_bytes_share(const struct held_bytes *held, size_t most)
{
	size_t left = held->total < HELD_ANSWERS_BYTES
			      ? HELD_ANSWERS_BYTES - held->total
			      : 0;

	return MIN(most, MAX(left / SHARE_DIVISOR, HELD_ANSWERS_FREE_BYTES));
}
