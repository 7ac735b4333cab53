#include "core/limit/rate_fleet.h"

#include <string.h>

/* Returns the fleet as this node sees it now, and updates its peak. */
struct rate_fleet rate_fleet_read(const struct membership *members,
				  struct rate_peak *peak, int64_t now_us)
{
	const struct member *self = membership_self(members);
	size_t count = membership_count(members);
	struct rate_fleet fleet = {.nodes = MAX(count, 1)};

	for (size_t i = 0; i < count; i++) {
		const struct member *member = membership_get(members, i);
		int order = strcmp(member->region, self->region);

		if (strcmp(member->name, self->name) == 0)
			fleet.index = i;
		fleet.region_nodes += order == 0;
		fleet.region_before += order < 0;
	}
	fleet.region_nodes = MAX(fleet.region_nodes, 1);
	rate_peak_update(peak, fleet.nodes, now_us);
	fleet.most_nodes = peak->nodes;
	return fleet;
}
