#include "core/limit/rate_share.h"

/*
 * Returns the part of a total that belongs to the nodes from first on, of which
 * there are count. The parts of ranges that follow each other add up to the
 * part of all of them, rounded up once.
 */
static int64_t divide_range(int64_t total, const struct rate_fleet *fleet,
			    size_t first, size_t count)
{
	int64_t most = (int64_t)fleet->most_nodes;
	int64_t before = total * (int64_t)first;
	int64_t with = total * (int64_t)(first + count);

	return (with + most - 1) / most - (before + most - 1) / most;
}

/*
 * Returns this node's part of a total that is divided among the nodes. The key
 * decides which nodes get a request more than others: a node that joins or
 * leaves moves this by few places.
 */
static int64_t divide(int64_t total, const struct rate_fleet *fleet,
		      uint64_t key)
{
	int64_t nodes = (int64_t)fleet->nodes;
	int64_t heard = total * nodes / (int64_t)fleet->most_nodes;
	int64_t offset = (int64_t)(((key >> 32) * fleet->nodes) >> 32);
	int64_t rank = ((int64_t)fleet->index + offset) % nodes;

	return heard / nodes + (rank < heard % nodes);
}

/*
 * Returns how many requests this node may send in a window, or let other nodes
 * send. The sum over all nodes is at most one request above the parts, also
 * while the fleet is cut in two and each side has a home.
 */
int64_t rate_share(const struct rate_parts *parts, enum rate_chooser chooser,
		   const struct rate_fleet *fleet, uint64_t key)
{
	switch (chooser) {
	case RATE_HOME:
		return divide_range(parts->home, fleet, 0, fleet->nodes);
	case RATE_REGION_HOME:
		return divide_range(parts->home, fleet, fleet->region_before,
				    fleet->region_nodes);
	case RATE_BESIDE_HOME:
		return divide(parts->beside_home, fleet, key);
	case RATE_HOME_SILENT:
		return divide(parts->home_silent, fleet, key);
	case RATE_EACH_NODE:
		return divide(parts->each_node, fleet, key);
	}
	return 0;
}

/*
 * Starts to track; at least least_nodes are counted. With a retention of 0 the
 * peak never falls.
 */
void rate_peak_init(struct rate_peak *peak, size_t least_nodes,
		    int64_t retention_us, int64_t now_us)
{
	*peak = (struct rate_peak){
		.nodes = least_nodes,
		.seen_us = now_us,
		.started_us = now_us,
		.retention_us = retention_us,
	};
}

/* Records how many nodes are live now; called often. */
void rate_peak_update(struct rate_peak *peak, size_t nodes, int64_t now_us)
{
	if (nodes < peak->nodes &&
	    (peak->retention_us == 0 ||
	     now_us - peak->seen_us < peak->retention_us))
		return;
	peak->nodes = nodes;
	peak->seen_us = now_us;
}

/* Whether this node has run for long enough to know most other nodes. */
bool rate_peak_is_settled(const struct rate_peak *peak, int64_t now_us)
{
	return now_us - peak->started_us >= RATE_SETTLE_US;
}

/* Returns an equal part of a total for each of the most nodes. */
double rate_peak_divide(const struct rate_peak *peak, double total)
{
	return total / (double)MAX(peak->nodes, 1);
}
