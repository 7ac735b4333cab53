#include "core/node/node_state.h"

#include <string.h>

/*
 * Discovery of other nodes without seeds: each node registers its peer address
 * in the key-value service under a lease, and lists the other nodes' entries.
 *
 * Without it, a node whose seeds are all gone stays alone. It accepts requests,
 * but does not learn of the other nodes' retries, leaving endpoints and
 * holdings, and callers that query it learn of no other node. An address that
 * is out of date costs one unanswered message. A node becomes a member by its
 * own answer, not by its entry.
 */
#define NODES_PREFIX "/siskinlink/nodes/"

/* How long a dead node stays listed. The lease is renewed every third of it. */
#define NODE_LEASE_S 30

/*
 * Spreads the registrations of nodes that start together. Each node makes two
 * writes, so 480 nodes make 192 writes a second, half of what the key-value
 * service allows.
 */
#define REGISTER_JITTER_US (5 * G_USEC_PER_SEC)

/* Live seeds answer within a few heartbeats; the first list comes later. */
#define FIRST_LIST_DELAY_US G_USEC_PER_SEC
#define ALONE_LIST_INTERVAL_US (2 * G_USEC_PER_SEC)
#define MAX_ALONE_LIST_US (16 * G_USEC_PER_SEC)

/*
 * Groups that started from different seeds find each other within this time.
 * 480 nodes make 16 reads a second. The reads allow stale data, which makes
 * them the cheapest kind.
 */
#define LIST_INTERVAL_US (30 * G_USEC_PER_SEC)

static int64_t random_delay_us(struct node *node, int64_t longest_us)
{
	return (int64_t)(g_rand_double(node->random) * (double)longest_us);
}

static bool node_is_active(const struct node *node)
{
	enum member_state state = membership_self(node->membership)->state;

	return state != MEMBER_LEAVING && state != MEMBER_DEAD;
}

/* Creates the holder of this node's entry. Sends nothing yet. */
void node_discovery_create(struct node *node)
{
	char *key =
		g_strdup_printf(NODES_PREFIX "%s-%016" G_GINT64_MODIFIER "x",
				node->options.name, node->options.incarnation);
	const struct holder_options options = {
		.key = key,
		.name = node->options.peer_address,
		.is_sole_claimant = true,
		.seed = node->options.seed,
		.next_kv_id = &node->next_kv_id,
		.counters = &node->counters,
		.ttl_s = NODE_LEASE_S,
		.kv_timeout_us = node->options.kv_timeout_us,
	};

	node->own_entry = holder_create(&options);
	g_free(key);
}

/* Schedules the registration and the first list of the other nodes. */
void node_discovery_start(struct node *node)
{
	if (!node->options.discovers_nodes)
		return;
	node->register_from_us =
		node->now_us + random_delay_us(node, REGISTER_JITTER_US);
	node->next_list_us = node->now_us + FIRST_LIST_DELAY_US +
			     random_delay_us(node, FIRST_LIST_DELAY_US);
}

static bool node_is_alone(const struct node *node)
{
	return membership_count(node->membership) <= 1;
}

/* A node that is alone lists again soon, with exponential backoff. */
static int64_t next_list_delay_us(struct node *node)
{
	int64_t delay_us = LIST_INTERVAL_US;

	if (node_is_alone(node))
		delay_us = MIN(ALONE_LIST_INTERVAL_US
				       << MIN(node->alone_list_count, 8),
			       MAX_ALONE_LIST_US);
	node->alone_list_count =
		node_is_alone(node) ? node->alone_list_count + 1 : 0;
	return delay_us / 2 + random_delay_us(node, delay_us / 2);
}

static void node_list_entries(struct node *node)
{
	struct kv_request *request;

	node->next_list_us = node->now_us + next_list_delay_us(node);
	if (node->list_kv_id)
		return;
	request = node_kv_request(node, KV_LIST);
	request->key = g_strdup(NODES_PREFIX);
	request->allow_stale = true;
	node->list_kv_id = request->id;
}

static void log_registered(struct node *node)
{
	bool is_registered = holder_fence(node->own_entry) != 0;

	if (node->is_registered == is_registered)
		return;
	node->is_registered = is_registered;
	node_log(node, LOG_LEVEL_INFO,
		 is_registered ? "node_registered" : "node_unregistered", NULL,
		 "address", node->options.peer_address);
}

/* Keeps this node registered until it leaves, and lists the other nodes. */
void node_discovery_step(struct node *node)
{
	bool active = node_is_active(node);

	if (!node->options.discovers_nodes)
		return;
	holder_set_wanted(node->own_entry,
			  active && node->now_us >= node->register_from_us);
	holder_step(node->own_entry, node->now_us, node->actions);
	log_registered(node);
	if (active && node->now_us >= node->next_list_us)
		node_list_entries(node);
}

/* When node_discovery_step() is due next, in us; INT64_MAX if disabled. */
int64_t node_discovery_next_due_us(const struct node *node)
{
	int64_t due_us;

	if (!node->options.discovers_nodes)
		return INT64_MAX;
	due_us = MAX(holder_next_due_us(node->own_entry),
		     node->register_from_us);
	return node_is_active(node) ? MIN(due_us, node->next_list_us) : due_us;
}

/*
 * Probes the node that an entry names, unless it is this node. The value of the
 * entry is ADDRESS:LEASE, as the holder of a key writes it.
 */
static void probe_listed_node(struct node *node, const struct kv_entry *entry)
{
	gsize size;
	const char *bytes = g_bytes_get_data(entry->value, &size);
	char *address = g_strndup(bytes ? bytes : "", size);
	char *lease = strrchr(address, ':');

	if (lease)
		*lease = '\0';
	if (lease && strcmp(address, node->options.peer_address) != 0)
		membership_discover_address(node->membership, address,
					    node->now_us, node->actions);
	g_free(address);
}

/*
 * Handles an answer of the key-value service. Returns false if the answer
 * belongs to another module.
 */
bool node_discovery_kv(struct node *node, const struct kv_answer *answer)
{
	if (holder_kv(node->own_entry, answer, node->now_us, node->actions))
		return true;
	if (!node->list_kv_id || answer->id != node->list_kv_id)
		return false;
	node->list_kv_id = 0;
	for (guint i = 0; answer->entries && i < answer->entries->len; i++)
		probe_listed_node(node, g_ptr_array_index(answer->entries, i));
	return true;
}
