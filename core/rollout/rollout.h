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
 * Carries one confirmed rollout forward while this node holds its key: takes
 * endpoints out of use in batches of one failure domain, waits for their
 * streams to finish, orders the new target, reads back until it is there and
 * puts them into use again. What runs where is read from the endpoints, so a
 * new holder goes on from there; only failures and the end are stored.
 *
 * Orders are target states and can be repeated. An endpoint that checks the
 * fencing number refuses a paused holder's late order. For one that does not,
 * a new holder waits out the longest order before its first, and goes on
 * reading back after the end, correcting what a late order changed.
 */
struct rollout_endpoint_spec {
	const char *address;
	const char *failure_domain;
	bool checks_fence;
};

struct rollout_options {
	const char *id; /* the plan that it was confirmed with */
	const char *target;
	const struct rollout_endpoint_spec *endpoints; /* copied */
	size_t endpoint_count;
	int32_t max_parallel;	   /* out of use at once */
	int32_t min_ready_percent; /* of the endpoints, in use at all times */
	int32_t max_failures;	   /* stops above */

	uint64_t *next_kv_id;
	struct counters *counters; /* may be NULL */
	int64_t kv_timeout_us;
	int64_t order_timeout_us;  /* longest way of an order */
	int64_t order_interval_us; /* between orders: the weight store */
	int64_t read_interval_us;
	int64_t settle_us; /* from taking out until all nodes know */
	int64_t return_us; /* from putting in until all nodes know */
	int64_t drain_timeout_us;
	int64_t load_timeout_us;
	int64_t verify_interval_us; /* after the end, one endpoint each */
};

enum rollout_effect_type {
	ROLLOUT_TAKE_OUT, /* no new work for this endpoint */
	ROLLOUT_PUT_IN,	  /* into use again */
	ROLLOUT_READ,	  /* ask for its target and requests */
	ROLLOUT_ORDER
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
void rollout_let_go(struct rollout *rollout, int64_t now_us, GArray *effects);
int64_t rollout_next_due_us(const struct rollout *rollout);
bool rollout_kv(struct rollout *rollout, const struct kv_answer *answer,
		int64_t now_us);
void rollout_order_state(struct rollout *rollout,
			 const struct event_order_state *state, int64_t now_us);
void rollout_order(struct rollout *rollout, const struct event_order *order,
		   int64_t now_us);

enum rollout_phase rollout_phase(const struct rollout *rollout);
const char *rollout_id(const struct rollout *rollout);
const char *rollout_target(const struct rollout *rollout);
int64_t rollout_order_timeout_us(const struct rollout *rollout);
const char *rollout_reason(const struct rollout *rollout);

G_END_DECLS

#endif
