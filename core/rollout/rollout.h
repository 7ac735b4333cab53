#ifndef CORE_ROLLOUT_ROLLOUT_H
#define CORE_ROLLOUT_ROLLOUT_H

#include "core/rollout/rollout_json.h"
#include "core/lease/holder.h"
#include "ports/action.h"
#include "ports/event.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Carries out one confirmed rollout while this node holds the key. It takes
 * endpoints out of use in batches within one failure domain, waits for their
 * requests to finish, orders the new target, reads the endpoints until they run
 * it and puts them back into use. What each endpoint runs is read from the
 * endpoint, so a new holder can continue; only the phase, the reason for a stop
 * and the failed endpoints are stored.
 *
 * An order names a target and can be repeated safely. An endpoint that checks
 * the fencing number refuses a late order of a paused holder. For an endpoint
 * that does not check it, a new holder waits as long as an order may be in
 * flight before it sends its first one, and keeps reading back after the end to
 * correct what a late order changed.
 */
struct rollout_endpoint_spec {
	const char *address;
	const char *failure_domain;
	bool checks_fence;
};

struct rollout_options {
	const char *id; /* of the plan that last set the rollout */
	const char *target;
	const struct rollout_endpoint_spec *endpoints; /* copied */
	size_t endpoint_count;
	int32_t max_parallel;	   /* endpoints out of use at once */
	int32_t min_ready_percent; /* of all endpoints, kept in use */
	int32_t max_failures;	   /* the rollout stops above this */

	uint64_t *next_kv_id;
	struct counters *counters; /* may be NULL */
	int64_t kv_timeout_us;
	int64_t order_timeout_us; /* longest time an order is in flight */
	/* Time between two orders; limits the load on the weight store. */
	int64_t order_interval_us;
	int64_t read_interval_us;
	/* Time until all nodes know that an endpoint is taken out or back. */
	int64_t take_out_propagation_us;
	int64_t put_back_propagation_us;
	int64_t drain_timeout_us;
	int64_t load_timeout_us;
	int64_t verify_interval_us; /* time between two reads after the end */
};

enum rollout_effect_type {
	ROLLOUT_TAKE_OUT, /* send no new requests to the endpoint */
	ROLLOUT_PUT_BACK, /* put the endpoint back into use */
	ROLLOUT_READ,	  /* read its target and running requests */
	ROLLOUT_ORDER	  /* order it to load the target */
};

struct rollout_effect {
	enum rollout_effect_type type;
	const char *address; /* valid as long as the rollout */
	int64_t fence;
};

struct rollout;

void rollout_options_default(struct rollout_options *options);
struct rollout *rollout_create(const struct rollout_options *options,
			       struct holder *holder);
void rollout_destroy(struct rollout *rollout);

void rollout_step(struct rollout *rollout, int64_t now_us,
		  struct action_list *actions, GArray *effects);
void rollout_reset(struct rollout *rollout, int64_t now_us, GArray *effects);
int64_t rollout_next_due_us(const struct rollout *rollout);
bool rollout_handle_kv(struct rollout *rollout, const struct kv_answer *answer,
		       int64_t now_us);
void rollout_handle_order_state(struct rollout *rollout,
				const struct event_order_state *state,
				int64_t now_us);
void rollout_handle_order(struct rollout *rollout,
			  const struct event_order *order, int64_t now_us);

enum rollout_phase rollout_phase(const struct rollout *rollout);
const char *rollout_id(const struct rollout *rollout);
const char *rollout_target(const struct rollout *rollout);
int64_t rollout_order_timeout_us(const struct rollout *rollout);
const char *rollout_reason(const struct rollout *rollout);

G_END_DECLS

#endif
