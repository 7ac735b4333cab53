#include "core/base/endpoint_start.h"

/* Bits of a start's key that hold its number. */
#define NUMBER_BITS 16
#define NUMBER_MASK ((UINT64_C(1) << NUMBER_BITS) - 1)

static enum start_order compare_numbers(int64_t number, int64_t other)
{
	if (number == other)
		return START_SAME;
	return number < other ? START_EARLIER : START_LATER;
}

/* Returns whether the start is earlier or later than the other one. */
enum start_order endpoint_start_compare(const struct endpoint_start *start,
					const struct endpoint_start *other)
{
	if (start->endpoint_key == 0 ||
	    start->endpoint_key != other->endpoint_key)
		return START_UNKNOWN;
	if (start->born_ms && other->born_ms &&
	    start->born_ms != other->born_ms)
		return compare_numbers(start->born_ms, other->born_ms);
	return compare_numbers(start->number, other->number);
}

/*
 * Returns the key that names the start in the records that nodes exchange. All
 * nodes that know of the same ends name it alike; born_ms is no part of it, as
 * some nodes learn it late.
 */
uint64_t endpoint_start_key(const struct endpoint_start *start)
{
	return (start->endpoint_key & ~NUMBER_MASK) |
	       ((uint64_t)start->number & NUMBER_MASK);
}
