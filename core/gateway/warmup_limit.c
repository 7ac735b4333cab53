#include "core/gateway/warmup_limit.h"

#define PER_KS 1000

/*
 * Kept free of the bound: members that are known to some nodes only shift the
 * shares of a few others, and a grant of the home is used up to 0.1 s later.
 */
#define RESERVE_DIVISOR 10
#define RESERVE_MIN 2

/* Most requests of all nodes in a window. */
static int64_t bound(const struct warmup_bounds *bounds)
{
	return bounds->rate_per_ks * bounds->excess_percent / (100 * PER_KS) +
	       bounds->slack;
}

/*
 * Returns who may send how many requests in a window: the home has the stated
 * rate, the other nodes what the excess over it leaves.
 */
struct rate_parts warmup_parts(const struct warmup_bounds *bounds)
{
	int64_t all = bound(bounds);
	int64_t home = MIN(MAX(bounds->rate_per_ks / PER_KS, 1), all);
	int64_t reserve = MAX(all / RESERVE_DIVISOR, RESERVE_MIN);
	int64_t excess = MAX(all - home - reserve, 0);

	return (struct rate_parts){
		.home = home,
		.beside_home = excess,
		.home_silent = excess,
		.each_node = MAX(all - reserve, 1),
	};
}
