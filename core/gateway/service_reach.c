#include "core/gateway/service_reach.h"

/* Failures further apart than this have nothing to do with each other. */
#define FAILURE_SPAN_US (3 * G_USEC_PER_SEC)

/* Hysteresis: a link that comes and goes must not move callers back and forth.
 */
#define RETURNS_NEEDED 2

/*
 * Records that an endpoint accepted no connection. A service is lost once two
 * of its endpoints, or its only one, did so without a connection to any other
 * in between. Returns whether it is lost from now on.
 */
bool service_reach_note_failure(struct service_reach *reach,
				uint64_t endpoint_key, size_t endpoint_count,
				int64_t now_us)
{
	bool is_second = reach->failed_us &&
			 reach->failed_key != endpoint_key &&
			 now_us - reach->failed_us < FAILURE_SPAN_US;

	reach->returns = 0;
	if (reach->lost_us)
		return false;
	reach->failed_key = endpoint_key;
	reach->failed_us = now_us;
	if (!is_second && endpoint_count > 1)
		return false;
	reach->lost_us = now_us;
	return true;
}

/*
 * Records a new connection to any endpoint of the service. Returns whether the
 * service was lost and is reached from now on.
 */
bool service_reach_note_connected(struct service_reach *reach)
{
	bool was_lost = reach->lost_us > 0;

	reach->failed_us = 0;
	if (was_lost && ++reach->returns < RETURNS_NEEDED)
		return false;
	*reach = (struct service_reach){0};
	return was_lost;
}

bool service_reach_is_lost(const struct service_reach *reach)
{
	return reach->lost_us > 0;
}
