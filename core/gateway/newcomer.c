#include "core/gateway/newcomer.h"

/* On average; none of so many are drawn in one start of 400. */
#define TELLERS 6.0

/*
 * Whether this node is one of those that tell it. others: nodes that hear the
 * new one, this one included; draw: even in [0, 1).
 */
bool newcomer_is_told(size_t others, double draw)
{
	return draw * (double)others < TELLERS;
}
