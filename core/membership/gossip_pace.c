#include "core/membership/gossip_pace.h"

/*
 * Returns how many random nodes get the state now, and counts them as told. To
 * be called often, with what changed last in pace->changed_us.
 */
size_t gossip_pace_count_receivers(struct gossip_pace *pace,
				   const struct gossip_schedule *schedule,
				   int64_t now_us)
{
	bool is_fresh = now_us - pace->changed_us < schedule->fresh_us;
	int64_t period_us = is_fresh ? schedule->fresh_period_us
				     : schedule->stale_period_us;

	if (now_us - pace->passed_on_us < period_us)
		return 0;
	pace->passed_on_us = now_us;
	return is_fresh ? schedule->fresh_receivers : 1;
}
