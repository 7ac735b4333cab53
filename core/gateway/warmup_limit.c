#include "core/gateway/warmup_limit.h"

/* The bound holds for any second: the window in which requests are counted. */
#define WINDOW_US G_USEC_PER_SEC

#define PER_KS 1000

/* How long a node counts nodes that it no longer hears. */
#define PEAK_RETENTION_US (60 * G_USEC_PER_SEC)

/* A node that has just started may not know most of the others yet. */
#define SETTLE_US (3 * G_USEC_PER_SEC)

/*
 * Kept free of the bound: members that are known to some nodes only shift the
 * shares of a few others, and a grant of the home is used up to 0.1 s later.
 */
#define RESERVE_DIVISOR 10
#define RESERVE_MIN 2

struct warmup_window {
	GArray *sent_us; /* int64_t, oldest first */
};

/* a x b / c, rounded up; all at least 0, c above 0. */
static int64_t scale_up(int64_t a, int64_t b, int64_t c)
{
	return (a * b + c - 1) / c;
}

/* Most requests of all nodes in a second. */
static int64_t bound(const struct warmup_bounds *bounds)
{
	return bounds->rate_per_ks * bounds->excess_percent / (100 * PER_KS) +
	       bounds->slack;
}

/* The home's part of the bound. */
static int64_t home_part(const struct warmup_bounds *bounds)
{
	int64_t rate = MAX(bounds->rate_per_ks / PER_KS, 1);

	return MIN(rate, bound(bounds));
}

/*
 * Returns this node's part of a total that is divided among the nodes. Nodes
 * that are not heard any more may go on behind a cut, with their own parts.
 */
static int64_t node_part(int64_t total, const struct warmup_fleet *fleet,
			 uint64_t endpoint_key)
{
	int64_t nodes = (int64_t)fleet->nodes;
	int64_t heard = total * nodes / (int64_t)fleet->most_nodes;
	int64_t rank = (int64_t)((fleet->index + endpoint_key % fleet->nodes) %
				 fleet->nodes);

	return heard / nodes + (rank < heard % nodes);
}

/*
 * Returns how many requests this node may send to a cold endpoint, or let other
 * nodes send, in any second. The sum over all nodes stays below the bound also
 * while the fleet is cut in two and each part has a home.
 */
int32_t warmup_quota(const struct warmup_bounds *bounds,
		     enum warmup_chooser chooser,
		     const struct warmup_fleet *fleet, uint64_t endpoint_key)
{
	int64_t home = home_part(bounds);
	int64_t reserve = MAX(bound(bounds) / RESERVE_DIVISOR, RESERVE_MIN);
	int64_t quota = 0;

	switch (chooser) {
	case WARMUP_HOME:
		quota = scale_up(home, (int64_t)fleet->nodes,
				 (int64_t)fleet->most_nodes);
		break;
	case WARMUP_BESIDE_HOME:
		quota = node_part(MAX(bound(bounds) - home - reserve, 0), fleet,
				  endpoint_key);
		break;
	case WARMUP_EACH_NODE:
		quota = node_part(MAX(bound(bounds) - reserve, 1), fleet,
				  endpoint_key);
		break;
	}
	return (int32_t)MIN(quota, G_MAXINT32);
}

/* Frees a window; NULL is allowed. */
void warmup_window_destroy(struct warmup_window *window)
{
	if (!window)
		return;
	g_array_unref(window->sent_us);
	g_free(window);
}

/* Counts a request that is sent now; creates the window if it is NULL. */
void warmup_window_add(struct warmup_window **window, int64_t now_us)
{
	GArray *sent_us;
	guint old = 0;

	if (!*window) {
		*window = g_new0(struct warmup_window, 1);
		(*window)->sent_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	sent_us = (*window)->sent_us;
	while (old < sent_us->len &&
	       now_us - g_array_index(sent_us, int64_t, old) > WINDOW_US)
		old++;
	g_array_remove_range(sent_us, 0, old);
	g_array_append_val(sent_us, now_us);
}

/* Whether one more request may be sent now. A window that is NULL is empty. */
bool warmup_window_allows(const struct warmup_window *window, int32_t quota,
			  int64_t now_us)
{
	int32_t recent = 0;

	for (guint i = window ? window->sent_us->len : 0; i-- > 0;) {
		if (now_us - g_array_index(window->sent_us, int64_t, i) >
		    WINDOW_US)
			break;
		recent++;
	}
	return recent < quota;
}

/* Records how many nodes are live now; called often. */
void warmup_peak_update(struct warmup_peak *peak, size_t nodes, int64_t now_us)
{
	if (peak->started_us == 0)
		peak->started_us = now_us;
	if (nodes < peak->nodes && now_us - peak->seen_us < PEAK_RETENTION_US)
		return;
	peak->nodes = nodes;
	peak->seen_us = now_us;
}

/* Whether this node has run for long enough to know most other nodes. */
bool warmup_peak_is_settled(const struct warmup_peak *peak, int64_t now_us)
{
	return peak->started_us != 0 && now_us - peak->started_us >= SETTLE_US;
}
