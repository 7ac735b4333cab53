#ifndef CORE_NODE_NODE_H
#define CORE_NODE_NODE_H

#include "core/base/counters.h"
#include "core/membership/membership.h"
#include "core/placement/placement.h"
#include "ports/action.h"
#include "ports/event.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The decision logic of one entry VM. It uses no clock, socket, thread or
 * global: the caller passes the time with each step, random numbers come from
 * the seed, and all effects are returned as actions.
 */

/* How entry nodes obtain capacity on engines. */
enum node_placement {
	NODE_PLACEMENT_HOME,  /* granted by the home node of each shard */
	NODE_PLACEMENT_SHARES /* each node uses its local share */
};

struct node_options {
	const char *name;
	const char *region;
	const char *failure_domain;
	const char *http_address;
	const char *peer_address;
	const char *const *seeds; /* peer addresses, NULL-terminated */
	uint64_t incarnation;	  /* random; unique to this start of the node */
	uint64_t seed;
	const char *event_key; /* secret of all nodes; signs event ids */
	bool discovers_nodes;  /* also through the key-value service */
	enum node_placement placement;
	enum placement_policy policy;

	int64_t heartbeat_us; /* interval between probes of a random peer */
	int64_t suspect_us;   /* from a missed answer until the peer counts as
				 dead */
	int64_t load_poll_us; /* interval at which a home polls its endpoints */
	int64_t progress_us;  /* shortest interval of reports to homes */
	int64_t answer_keep_us; /* validity of a /v1/nodes answer */
	int64_t id_memory_us;	/* how long outcomes of request ids are kept */
	int64_t first_token_timeout_us;
	int64_t stall_timeout_us; /* longest time between two chunks */
	int64_t plain_timeout_us;
	int64_t kv_timeout_us;
	int64_t drain_timeout_us;
	int64_t isolation_us; /* longest time without the key-value service and
				 most peers */
	int32_t max_calls;    /* open calls at this node */
	int32_t max_waiting;  /* calls waiting for an endpoint */
	int32_t max_outcomes; /* request ids whose outcome is kept */
	int32_t max_outcome_bytes; /* stored per outcome */
	int32_t retry_percent;	   /* retries in percent of first attempts */
	int32_t max_attempts;
	int32_t engines_per_shard;
};

struct node;

void node_options_default(struct node_options *options);
struct node *node_create(const struct node_options *options);
void node_destroy(struct node *node);
void node_start(struct node *node, int64_t now_us, struct action_list *actions);
void node_step(struct node *node, int64_t now_us, const struct event *event,
	       struct action_list *actions);
int64_t node_next_due_us(const struct node *node);
struct counters *node_counters(struct node *node);
const struct membership *node_members(const struct node *node);
struct peer_message *node_message_create(const struct node *node,
					 enum peer_message_type type);
void node_set_leaving(struct node *node);
GVariant *node_dump(const struct node *node, int64_t now_us);

G_END_DECLS

#endif
