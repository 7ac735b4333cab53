#include "core/gateway/endpoint_rest.h"

/*
 * A longer rest is cut to this, so that no endpoint puts itself away by a slip:
 * if it still wants rest then, its next answer says so.
 */
#define REST_MAX_US (60 * G_USEC_PER_SEC)

/*
 * Applies an answer that arrives now. Answers overtake each other on different
 * connections, so a rest is never shortened. Returns whether a rest begins.
 */
bool endpoint_rest_apply(struct endpoint_rest *rest,
			 const struct answered_rest *answer, int64_t now_us)
{
	bool was_on = endpoint_rest_is_on(rest, now_us);

	if (answer->statement != REST_STATED || answer->rest_us <= 0)
		return false;
	if (!was_on)
		rest->spare_used = false;
	rest->until_us =
		MAX(rest->until_us, now_us + MIN(answer->rest_us, REST_MAX_US));
	return !was_on;
}

/* Whether the endpoint wants nothing from this node now. */
bool endpoint_rest_is_on(const struct endpoint_rest *rest, int64_t now_us)
{
	return now_us < rest->until_us;
}

/* Returns what is left of the rest, in us; 0: it has none. */
int64_t endpoint_rest_left_us(const struct endpoint_rest *rest, int64_t now_us)
{
	return MAX(rest->until_us - now_us, 0);
}

/*
 * Whether a run whose engine is lost may go on there: one in each rest may, as
 * its caller gets nothing otherwise.
 */
bool endpoint_rest_allows_take_over(const struct endpoint_rest *rest,
				    int64_t now_us)
{
	return !endpoint_rest_is_on(rest, now_us) || !rest->spare_used;
}

/* Counts a run that is taken over there; outside of a rest nothing counts. */
void endpoint_rest_count_take_over(struct endpoint_rest *rest)
{
	rest->spare_used = true;
}
