#include "core/gateway/endpoint_rates.h"

static bool is_held_cold(const struct endpoint *endpoint,
			 const struct endpoint_rates *rates, int64_t now_us)
{
	return rates->warmup.rate_per_ks > 0 &&
	       endpoint_is_cold(endpoint, rates->cold_us, now_us);
}

/*
 * Returns the time until a cold endpoint may get one more request of this node;
 * -1: not known.
 */
static int64_t cold_wait_us(const struct endpoint *endpoint,
			    const struct endpoint_rates *rates, int64_t now_us)
{
	struct rate_parts parts;

	if (!is_held_cold(endpoint, rates, now_us))
		return 0;
	if (!rates->is_settled)
		return -1;
	parts = warmup_parts(&rates->warmup);
	return rate_window_wait_us(endpoint->sent_cold,
				   rate_share(&parts, rates->warmup_chooser,
					      &rates->fleet, endpoint->key),
				   WARMUP_WINDOW_US, now_us);
}

static int64_t limit_wait_us(const struct endpoint *endpoint,
			     const struct endpoint_rates *rates, int64_t now_us)
{
	struct limit_division division;

	if (!endpoint->limit.is_limited)
		return 0;
	if (!rates->is_settled)
		return -1;
	division = endpoint_limit_divide(&endpoint->limit,
					 rates->fleet.most_nodes);
	return rate_window_wait_us(endpoint->sent_limited,
				   rate_share(&division.parts,
					      rates->limit_chooser,
					      &rates->fleet, endpoint->key),
				   division.span_us, now_us);
}

/* Whether a run may go on at a limited endpoint beyond this node's share. */
static bool has_spare(const struct endpoint *endpoint,
		      const struct endpoint_rates *rates, int64_t now_us)
{
	struct limit_division division = endpoint_limit_divide(
		&endpoint->limit, rates->fleet.most_nodes);

	return rates->is_settled &&
	       rate_window_allows(endpoint->sent_spare,
				  rate_share(&division.spare, RATE_EACH_NODE,
					     &rates->fleet, endpoint->key),
				  LIMIT_SPARE_SPAN_US, now_us);
}

/*
 * Whether this node may send the endpoint a request, or let another node send
 * one, now. A node that has just started does not know its share yet and sends
 * nothing to cold or limited endpoints.
 */
bool endpoint_rates_allow(const struct endpoint *endpoint,
			  const struct endpoint_rates *rates,
			  enum rate_purpose purpose, int64_t now_us)
{
	if (cold_wait_us(endpoint, rates, now_us) != 0)
		return false;
	if (limit_wait_us(endpoint, rates, now_us) == 0)
		return true;
	return purpose == RATE_FOR_TAKE_OVER &&
	       has_spare(endpoint, rates, now_us);
}

/*
 * Returns the time in us until this node may send the endpoint a request; -1:
 * not known.
 */
int64_t endpoint_rates_wait_us(const struct endpoint *endpoint,
			       const struct endpoint_rates *rates,
			       int64_t now_us)
{
	int64_t cold_us = cold_wait_us(endpoint, rates, now_us);
	int64_t limit_us = limit_wait_us(endpoint, rates, now_us);

	return cold_us < 0 || limit_us < 0 ? -1 : MAX(cold_us, limit_us);
}

/* Counts a request that is sent to the endpoint now, or granted to a node. */
void endpoint_rates_count(struct endpoint *endpoint,
			  const struct endpoint_rates *rates, int64_t now_us)
{
	struct limit_division division;

	if (is_held_cold(endpoint, rates, now_us))
		rate_window_add(&endpoint->sent_cold, WARMUP_WINDOW_US, now_us);
	if (!endpoint->limit.is_limited)
		return;
	division = endpoint_limit_divide(&endpoint->limit,
					 rates->fleet.most_nodes);
	if (limit_wait_us(endpoint, rates, now_us) == 0)
		rate_window_add(&endpoint->sent_limited, division.span_us,
				now_us);
	else
		rate_window_add(&endpoint->sent_spare, LIMIT_SPARE_SPAN_US,
				now_us);
}
