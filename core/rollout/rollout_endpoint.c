#include "core/rollout/rollout_internal.h"

#include <string.h>

/* Enters a state; the first read in it is due at now_us. */
void rollout_endpoint_set_state(struct rollout_endpoint *endpoint,
				enum endpoint_state state, int64_t now_us)
{
	endpoint->state = state;
	endpoint->state_since_us = now_us;
	endpoint->next_read_us = now_us;
	endpoint->drained = false;
}

/* Takes an endpoint out of use, so that no new requests are sent to it. */
void rollout_take_out(const struct rollout *rollout,
		      struct rollout_endpoint *endpoint, GArray *effects)
{
	if (endpoint->out_of_use)
		return;
	endpoint->out_of_use = true;
	rollout_add_effect(rollout, effects, ROLLOUT_TAKE_OUT, endpoint);
}

/* Puts an endpoint that was taken out back into use. */
void rollout_put_back(const struct rollout *rollout,
		      struct rollout_endpoint *endpoint, GArray *effects)
{
	if (!endpoint->out_of_use)
		return;
	endpoint->out_of_use = false;
	endpoint->returning_until_us = rollout->last_step_us +
				       rollout->options.put_back_propagation_us;
	rollout_add_effect(rollout, effects, ROLLOUT_PUT_BACK, endpoint);
}

/*
 * Marks an endpoint as failed and stops the rollout if more than max_failures
 * endpoints have failed. The failure is stored before the next batch begins, so
 * that the limit holds across a change of holder. The endpoint is then kept out
 * of use, since it is uncertain what it runs.
 */
static void rollout_fail_endpoint(struct rollout *rollout,
				  struct rollout_endpoint *endpoint,
				  const char *what, int64_t now_us)
{
	char *reason;

	rollout_endpoint_set_state(endpoint, ENDPOINT_FAILED, now_us);
	if (!g_ptr_array_find_with_equal_func(rollout->state.failed,
					      endpoint->address, g_str_equal,
					      NULL))
		g_ptr_array_add(rollout->state.failed,
				g_strdup(endpoint->address));
	rollout->dirty = true;
	if (rollout->state.phase != ROLLOUT_RUNNING ||
	    (int32_t)rollout->state.failed->len <=
		    rollout->options.max_failures)
		return;
	reason = g_strdup_printf("%u endpoints failed, at most %d allowed; "
				 "the last, %s, %s",
				 rollout->state.failed->len,
				 rollout->options.max_failures,
				 endpoint->address, what);
	rollout_stop(rollout, reason);
	g_free(reason);
}

/*
 * Returns whether an order may be sent. The lease must outlast the order. The
 * previous holder may have sent its last order just as its lease ended, so if
 * the endpoint does not check the fencing number, this holder's first order
 * waits until that last order can no longer be in flight.
 */
static bool may_send_order(const struct rollout *rollout,
			   const struct rollout_endpoint *endpoint,
			   int64_t now_us)
{
	if (now_us < rollout->next_order_us ||
	    !holder_may_act(rollout->holder, now_us,
			    rollout->options.order_timeout_us))
		return false;
	return endpoint->checks_fence ||
	       now_us >= rollout->held_since_us +
				 rollout->options.order_timeout_us;
}

static void send_order(struct rollout *rollout,
		       struct rollout_endpoint *endpoint, int64_t now_us,
		       GArray *effects)
{
	endpoint->orders_sent++;
	rollout_endpoint_set_state(endpoint, ENDPOINT_ORDERED, now_us);
	rollout->next_order_us = now_us + rollout->options.order_interval_us;
	rollout_add_effect(rollout, effects, ROLLOUT_ORDER, endpoint);
}

static void read_if_due(struct rollout *rollout,
			struct rollout_endpoint *endpoint, int64_t now_us,
			GArray *effects)
{
	if (now_us < endpoint->next_read_us)
		return;
	endpoint->next_read_us = now_us + rollout->options.read_interval_us;
	rollout_add_effect(rollout, effects, ROLLOUT_READ, endpoint);
}

static void step_draining(struct rollout *rollout,
			  struct rollout_endpoint *endpoint, int64_t now_us,
			  GArray *effects)
{
	if (endpoint->drained) {
		if (may_send_order(rollout, endpoint, now_us))
			send_order(rollout, endpoint, now_us, effects);
	} else if (now_us - endpoint->state_since_us >=
		   rollout->options.drain_timeout_us) {
		rollout_put_back(rollout, endpoint, effects);
		rollout_fail_endpoint(rollout, endpoint,
				      "did not finish its requests", now_us);
	} else {
		read_if_due(rollout, endpoint, now_us, effects);
	}
}

/* Carries out what is due in the endpoint's state. */
void rollout_endpoint_step(struct rollout *rollout,
			   struct rollout_endpoint *endpoint, int64_t now_us,
			   GArray *effects)
{
	int64_t waited_us = now_us - endpoint->state_since_us;

	switch (endpoint->state) {
	case ENDPOINT_UNREAD:
		if (waited_us >= ROLLOUT_READS_UNTIL_UNREACHABLE *
					 rollout->options.read_interval_us)
			rollout_fail_endpoint(rollout, endpoint,
					      "cannot be reached", now_us);
		else
			read_if_due(rollout, endpoint, now_us, effects);
		break;
	case ENDPOINT_DRAINING:
		step_draining(rollout, endpoint, now_us, effects);
		break;
	case ENDPOINT_ORDERED:
		if (waited_us >= 2 * rollout->options.order_timeout_us)
			rollout_endpoint_set_state(endpoint, ENDPOINT_LOADING,
						   now_us);
		break;
	case ENDPOINT_LOADING:
		if (waited_us >= rollout->options.load_timeout_us)
			rollout_fail_endpoint(rollout, endpoint,
					      "did not reach the target",
					      now_us);
		else
			read_if_due(rollout, endpoint, now_us, effects);
		break;
	case ENDPOINT_READY:
		rollout_put_back(rollout, endpoint, effects);
		break;
	case ENDPOINT_FAILED:
		rollout_take_out(rollout, endpoint, effects);
		break;
	case ENDPOINT_WAITING:
		break;
	}
}

/*
 * Returns when an order may be sent. INT64_MAX means that only the remaining
 * time of the lease prevents it: the answer to the renewal triggers a step.
 */
static int64_t order_due_us(const struct rollout *rollout,
			    const struct rollout_endpoint *endpoint)
{
	int64_t due_us = rollout->next_order_us;

	if (!endpoint->checks_fence)
		due_us = MAX(due_us, rollout->held_since_us +
					     rollout->options.order_timeout_us);
	return due_us <= rollout->last_step_us ? INT64_MAX : due_us;
}

/*
 * Returns the time in us at which an endpoint next has something to do, or
 * INT64_MAX if it has nothing to do before another event arrives.
 */
int64_t rollout_endpoint_due_us(const struct rollout *rollout,
				const struct rollout_endpoint *endpoint)
{
	switch (endpoint->state) {
	case ENDPOINT_DRAINING:
		return endpoint->drained ? order_due_us(rollout, endpoint)
					 : endpoint->next_read_us;
	case ENDPOINT_ORDERED:
		return endpoint->state_since_us +
		       2 * rollout->options.order_timeout_us;
	case ENDPOINT_UNREAD:
	case ENDPOINT_LOADING:
		return endpoint->next_read_us;
	case ENDPOINT_WAITING:
	case ENDPOINT_READY:
	case ENDPOINT_FAILED:
		break;
	}
	if (endpoint->returning_until_us > rollout->last_step_us)
		return endpoint->returning_until_us;
	return INT64_MAX;
}

static bool is_ordering(const struct rollout_endpoint *endpoint)
{
	return endpoint->state == ENDPOINT_ORDERED ||
	       endpoint->state == ENDPOINT_LOADING;
}

/*
 * Handles a reading in which the endpoint does not run the target. If the
 * target was ordered before, that order was lost, or a late order of an earlier
 * holder arrived after it: the target is ordered again, with at most
 * ROLLOUT_MAX_ORDERS orders in one batch. A draining endpoint has drained once
 * it runs no requests and all nodes know that it is out of use. An endpoint
 * that was unread or ready waits for a batch.
 */
static void handle_other_target(struct rollout *rollout,
				struct rollout_endpoint *endpoint,
				const struct event_order_state *reading,
				int64_t now_us)
{
	switch (endpoint->state) {
	case ENDPOINT_DRAINING:
		endpoint->drained =
			reading->requests_running == 0 &&
			now_us - endpoint->state_since_us >=
				rollout->options.take_out_propagation_us;
		break;
	case ENDPOINT_LOADING:
		if (reading->loading ||
		    now_us - endpoint->state_since_us <
			    2 * rollout->options.order_timeout_us)
			break;
		if (endpoint->orders_sent >= ROLLOUT_MAX_ORDERS) {
			rollout_fail_endpoint(rollout, endpoint,
					      "does not keep the target",
					      now_us);
			break;
		}
		rollout_endpoint_set_state(endpoint, ENDPOINT_DRAINING, now_us);
		break;
	case ENDPOINT_UNREAD:
	case ENDPOINT_READY:
		rollout_endpoint_set_state(endpoint, ENDPOINT_WAITING, now_us);
		if (rollout->state.phase == ROLLOUT_DONE)
			rollout->state.phase = ROLLOUT_RUNNING;
		break;
	case ENDPOINT_WAITING:
	case ENDPOINT_ORDERED:
	case ENDPOINT_FAILED:
		break;
	}
}

/*
 * Handles the answer to a read of an endpoint. Ignores unknown endpoints and
 * reads that got no answer.
 */
void rollout_handle_order_state(struct rollout *rollout,
				const struct event_order_state *reading,
				int64_t now_us)
{
	struct rollout_endpoint *endpoint =
		rollout_find_endpoint(rollout, reading->endpoint);

	if (!endpoint || !reading->target || !rollout->fence)
		return;
	if (strcmp(reading->target, rollout->target) != 0) {
		handle_other_target(rollout, endpoint, reading, now_us);
		return;
	}
	if (endpoint->state != ENDPOINT_FAILED &&
	    endpoint->state != ENDPOINT_READY)
		rollout_endpoint_set_state(endpoint, ENDPOINT_READY, now_us);
}

/*
 * Handles the outcome of an order. If the answer was lost, reading the endpoint
 * back shows whether the order took effect. An order that the endpoint refused
 * for its old fencing number shows that this node no longer holds the key.
 */
void rollout_handle_order(struct rollout *rollout,
			  const struct event_order *order, int64_t now_us)
{
	struct rollout_endpoint *endpoint =
		rollout_find_endpoint(rollout, order->endpoint);

	if (!endpoint || !is_ordering(endpoint) || !rollout->fence)
		return;
	switch (order->outcome) {
	case ORDER_ACCEPTED:
	case ORDER_UNCONFIRMED:
		if (endpoint->state == ENDPOINT_ORDERED)
			rollout_endpoint_set_state(endpoint, ENDPOINT_LOADING,
						   now_us);
		break;
	case ORDER_REFUSED:
		rollout_fail_endpoint(rollout, endpoint, "refused the order",
				      now_us);
		break;
	case ORDER_STALE:
		holder_step_down(rollout->holder, now_us);
		break;
	}
}
