#include "core/gateway/endpoint_brittle.h"

#define PAUSE_MIN_US G_USEC_PER_SEC
#define SPREAD_MAX_US (300 * G_USEC_PER_SEC)

/* Rates are in rejections per 1,000 s. */
#define RATE_SPAN_US (1000 * G_USEC_PER_SEC)

/*
 * Nodes that hear of no rejection but their own return at a third of the rate
 * that the endpoint bears.
 */
#define SPREAD_FACTOR 3

/*
 * Returns for how long a node sends the endpoint nothing after a rejection.
 * rejections is the rate that the endpoint bears from all nodes together; draw,
 * uniformly random in [0, 1), spreads the nodes' returns: the first ones find
 * out for the others whether there is room.
 */
int64_t endpoint_brittle_pause_us(const struct endpoint_limit *rejections,
				  size_t nodes, double draw)
{
	int64_t span_us = SPREAD_FACTOR * (int64_t)nodes * RATE_SPAN_US;
	int64_t spread_us = rejections->rate_per_ks > 0
				    ? CLAMP(span_us / rejections->rate_per_ks,
					    PAUSE_MIN_US, SPREAD_MAX_US)
				    : SPREAD_MAX_US;

	return PAUSE_MIN_US + (int64_t)(draw * (double)spread_us);
}
