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
 * One entry VM's decisions. No clock, socket, thread or global: time comes
 * with each step, randomness from the seed, and all effects are actions.
 */

/* How entry nodes get room on engines. */
enum node_placement {
	NODE_PLACEMENT_HOME,  /* each shard of engines has one home node */
	NODE_PLACEMENT_SHARES /* each node counts its share by itself */
};

struct node_options {
	const char *name;
	const char *region;
	const char *failure_domain;
	const char *http_address;
	const char *peer_address;
	const char *const *seeds; /* peer addresses, NULL-terminated */
	uint64_t incarnation;	  /* random, never used by an earlier start */
	uint64_t seed;
	const char *event_key; /* secret shared by nodes; signs event ids */
	bool discovers_nodes;  /* also by the key-value service */
	enum node_placement placement;
	enum placement_policy policy;

	int64_t heartbeat_us;	/* one probe of a random peer */
	int64_t suspect_us;	/* from no answer to dead */
	int64_t load_poll_us;	/* home asks its endpoints */
	int64_t progress_us;	/* entry node reports to homes */
	int64_t answer_keep_us; /* life of a /v1/nodes answer */
	int64_t id_memory_us;	/* outcomes of ids are remembered */
	int64_t first_token_timeout_us;
	int64_t stall_timeout_us; /* between chunks of a stream */
	int64_t plain_timeout_us;
	int64_t kv_timeout_us;
	int64_t drain_timeout_us;
	int64_t isolation_us; /* neither service nor most peers for so long */
	int32_t max_calls;    /* open calls */
	int32_t max_waiting;  /* calls waiting for an endpoint */
	int32_t max_outcomes; /* ids remembered */
	int32_t max_outcome_bytes; /* kept of one outcome */
	int32_t retry_percent;	   /* retries as a share of first attempts */
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
