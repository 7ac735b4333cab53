#include "bench/member_network.h"

#include "codec/peer_codec.h"
#include "core/base/timer_heap.h"

#include <string.h>

#define DOMAINS 3

struct network_node {
	struct membership *membership; /* NULL: stopped */
	char *name;
	char *address;
	char *http_address;
	char *region;
	char *domain;
	uint64_t incarnation;
	int64_t paused_until_us;
	GPtrArray *inbox; /* GBytes, received while paused */
	int64_t due_us;	  /* of the timer that was set last */
};

struct delivery {
	uint32_t to;
	GBytes *record;
};

struct member_network {
	struct member_network_options options;
	struct network_node *nodes;
	char **seeds;
	bool *blocked; /* links, at from * nodes + to */
	GRand *random;
	struct timer_heap *timers;   /* id: node */
	struct timer_heap *arrivals; /* id: key of a delivery */
	GHashTable *deliveries;
	GHashTable *addresses; /* address to node + 1 */
	uint64_t next_delivery_id;
	uint64_t start_count;
	int64_t now_us;
	struct action_list *actions;
	struct member_network_totals totals;
};

static void delivery_destroy(gpointer data)
{
	struct delivery *delivery = data;

	g_bytes_unref(delivery->record);
	g_free(delivery);
}

/*
 * Sets eight nodes in one region with 1 ms between them and the timing defaults
 * of a node.
 */
void member_network_options_default(struct member_network_options *options)
{
	*options = (struct member_network_options){
		.nodes = 8,
		.regions = 1,
		.seeds = 3,
		.own_region_delay_us = 1000,
		.cross_region_delay_us = 40000,
		.heartbeat_us = 200000,
		.suspect_us = 1000000,
		.seed = 1,
	};
}

static void network_node_init(struct member_network *network, uint32_t i)
{
	struct network_node *node = &network->nodes[i];
	uint32_t region = i % network->options.regions;

	node->name = g_strdup_printf("entry-%u", i);
	node->address =
		g_strdup_printf("10.%u.%u.%u:8090", region, i / 250, i % 250);
	node->http_address =
		g_strdup_printf("10.%u.%u.%u:8080", region, i / 250, i % 250);
	node->region = g_strdup_printf("region-%u", region);
	node->domain = g_strdup_printf("region-%u-%u", region,
				       member_network_domain(network, i));
	node->inbox =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	g_hash_table_insert(network->addresses, node->address,
			    GUINT_TO_POINTER(i + 1));
}

/* Creates a network with all nodes stopped; the caller owns it. */
struct member_network *
member_network_create(const struct member_network_options *options)
{
	struct member_network *network = g_new0(struct member_network, 1);

	network->options = *options;
	network->options.seeds = MIN(options->seeds, options->nodes);
	network->nodes = g_new0(struct network_node, options->nodes);
	network->blocked = g_new0(bool, (gsize)options->nodes * options->nodes);
	network->random = g_rand_new_with_seed(options->seed);
	network->timers = timer_heap_create();
	network->arrivals = timer_heap_create();
	network->deliveries = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, delivery_destroy);
	network->addresses = g_hash_table_new(g_str_hash, g_str_equal);
	network->actions = action_list_create();
	network->now_us = 1000000;
	for (uint32_t i = 0; i < options->nodes; i++)
		network_node_init(network, i);
	network->seeds = g_new0(char *, network->options.seeds + 1);
	for (uint32_t i = 0; i < network->options.seeds; i++)
		network->seeds[i] = network->nodes[i].address;
	return network;
}

static void network_node_clear(struct network_node *node)
{
	membership_destroy(node->membership);
	g_free(node->name);
	g_free(node->address);
	g_free(node->http_address);
	g_free(node->region);
	g_free(node->domain);
	g_ptr_array_unref(node->inbox);
}

/* Frees the network and all its memberships; NULL is allowed. */
void member_network_destroy(struct member_network *network)
{
	if (!network)
		return;
	for (uint32_t i = 0; i < network->options.nodes; i++)
		network_node_clear(&network->nodes[i]);
	g_free(network->nodes);
	g_free(network->blocked);
	g_free(network->seeds);
	g_rand_free(network->random);
	timer_heap_destroy(network->timers);
	timer_heap_destroy(network->arrivals);
	g_hash_table_unref(network->deliveries);
	g_hash_table_unref(network->addresses);
	action_list_destroy(network->actions);
	g_free(network);
}

static int64_t member_network_delay_us(struct member_network *network,
				       uint32_t from, uint32_t to)
{
	bool same_region = from % network->options.regions ==
			   to % network->options.regions;
	int64_t mean_us = same_region ? network->options.own_region_delay_us
				      : network->options.cross_region_delay_us;

	return (int64_t)((double)mean_us *
			 g_rand_double_range(network->random, 0.5, 1.5));
}

static void member_network_send(struct member_network *network, uint32_t from,
				const struct action_peer_send *send)
{
	uint32_t to = GPOINTER_TO_UINT(
		g_hash_table_lookup(network->addresses, send->peer_address));
	struct delivery *delivery;
	GBytes *record;
	int64_t *key;

	if (to-- == 0)
		return;
	record = peer_codec_encode(send->message);
	network->totals.messages++;
	network->totals.bytes += g_bytes_get_size(record);
	if (network->blocked[from * network->options.nodes + to] ||
	    g_rand_double(network->random) < network->options.loss) {
		g_bytes_unref(record);
		return;
	}
	delivery = g_new0(struct delivery, 1);
	delivery->to = to;
	delivery->record = record;
	key = g_new(int64_t, 1);
	*key = (int64_t)network->next_delivery_id++;
	timer_heap_add(network->arrivals,
		       network->now_us +
			       member_network_delay_us(network, from, to),
		       (uint64_t)*key);
	g_hash_table_insert(network->deliveries, key, delivery);
}

static bool member_network_is_up(const struct member_network *network,
				 const struct network_node *node)
{
	return node->membership && network->now_us >= node->paused_until_us;
}

/*
 * A death is false if the node runs and no link between it and the observer,
 * which declares it dead, is blocked.
 */
static void member_network_count_death(struct member_network *network,
				       uint32_t observer,
				       const struct action_log *log)
{
	const char *name = g_ptr_array_index(log->fields, 1);
	const char *text = g_ptr_array_index(log->fields, 3);
	uint64_t incarnation = g_ascii_strtoull(text, NULL, 16);

	network->totals.deaths++;
	for (uint32_t i = 0; i < network->options.nodes; i++) {
		const struct network_node *node = &network->nodes[i];

		if (strcmp(node->name, name) == 0 &&
		    node->incarnation == incarnation &&
		    member_network_is_up(network, node) &&
		    !network->blocked[i * network->options.nodes + observer] &&
		    !network->blocked[observer * network->options.nodes + i])
			network->totals.false_deaths++;
	}
}

static void member_network_execute(struct member_network *network, uint32_t i)
{
	struct network_node *node = &network->nodes[i];
	int64_t due_us = membership_next_due_us(node->membership);

	for (size_t k = 0; k < action_list_count(network->actions); k++) {
		const struct action *action =
			action_list_get(network->actions, k);

		if (action->type == ACTION_PEER_SEND)
			member_network_send(network, i, &action->peer_send);
		else if (action->type == ACTION_LOG &&
			 strcmp(action->log.event, "member_dead") == 0)
			member_network_count_death(network, i, &action->log);
	}
	action_list_clear(network->actions);
	if (due_us != node->due_us) {
		node->due_us = due_us;
		timer_heap_add(network->timers, MAX(due_us, network->now_us),
			       i);
	}
}

/*
 * Starts a node as a new incarnation under its old name and address; a running
 * node is stopped first.
 */
void member_network_start(struct member_network *network, uint32_t i)
{
	struct network_node *node = &network->nodes[i];
	struct member self = {
		.name = node->name,
		.incarnation = ++network->start_count * 7919,
		.version = 1,
		.state = MEMBER_LIVE,
		.http_address = node->http_address,
		.peer_address = node->address,
		.region = node->region,
		.failure_domain = node->domain,
	};
	struct membership_options options = {
		.self = &self,
		.seeds = (const char *const *)network->seeds,
		.heartbeat_us = network->options.heartbeat_us,
		.suspect_us = network->options.suspect_us,
		.seed = g_rand_int(network->random),
	};

	member_network_stop(network, i);
	node->incarnation = self.incarnation;
	node->membership = membership_create(&options);
	node->due_us = network->now_us;
	timer_heap_add(network->timers, network->now_us, i);
}

/* Stops a node without notice; records that it has sent still arrive. */
void member_network_stop(struct member_network *network, uint32_t i)
{
	struct network_node *node = &network->nodes[i];

	g_clear_pointer(&node->membership, membership_destroy);
	g_ptr_array_set_size(node->inbox, 0);
	node->paused_until_us = 0;
}

/* Pauses a node until until_us; records that arrive before then are queued. */
void member_network_pause(struct member_network *network, uint32_t i,
			  int64_t until_us)
{
	network->nodes[i].paused_until_us = until_us;
	timer_heap_add(network->timers, until_us, i);
}

/* Makes a node announce that it is leaving; it continues to answer. */
void member_network_leave(struct member_network *network, uint32_t i)
{
	struct network_node *node = &network->nodes[i];

	membership_set_state(node->membership, MEMBER_LEAVING);
	timer_heap_add(network->timers, network->now_us, i);
}

/* Blocks or unblocks the link in one direction. */
void member_network_block(struct member_network *network, uint32_t from,
			  uint32_t to, bool blocked)
{
	network->blocked[from * network->options.nodes + to] = blocked;
}

/* Sets the probability, from 0 to 1, that a record is lost. */
void member_network_set_loss(struct member_network *network, double loss)
{
	network->options.loss = loss;
}

static void member_network_receive(struct member_network *network, uint32_t i,
				   GBytes *record)
{
	struct network_node *node = &network->nodes[i];
	struct error error;
	struct peer_message *message = peer_codec_decode(record, &error);

	g_assert_nonnull(message);
	membership_receive(node->membership, message, network->now_us,
			   network->actions);
	peer_message_destroy(message);
	network->totals.steps++;
	member_network_execute(network, i);
}

static void member_network_step(struct member_network *network, uint32_t i)
{
	struct network_node *node = &network->nodes[i];

	if (!member_network_is_up(network, node))
		return;
	membership_step(node->membership, network->now_us, network->actions);
	network->totals.steps++;
	member_network_execute(network, i);
	while (node->inbox->len > 0) {
		GBytes *record = g_ptr_array_steal_index(node->inbox, 0);

		member_network_receive(network, i, record);
		g_bytes_unref(record);
	}
}

static void member_network_deliver(struct member_network *network, uint64_t id)
{
	int64_t key = (int64_t)id;
	const struct delivery *delivery =
		g_hash_table_lookup(network->deliveries, &key);
	struct network_node *node = &network->nodes[delivery->to];

	if (node->membership && !member_network_is_up(network, node))
		g_ptr_array_add(node->inbox, g_bytes_ref(delivery->record));
	else if (node->membership)
		member_network_receive(network, delivery->to, delivery->record);
	g_hash_table_remove(network->deliveries, &key);
}

/* Runs all nodes until the virtual time until_us. */
void member_network_run(struct member_network *network, int64_t until_us)
{
	for (;;) {
		int64_t timer_us = timer_heap_next_due_us(network->timers);
		int64_t arrival_us = timer_heap_next_due_us(network->arrivals);
		int64_t next_us = MIN(timer_us, arrival_us);
		uint64_t id;

		if (next_us > until_us)
			break;
		network->now_us = MAX(network->now_us, next_us);
		if (arrival_us <= timer_us) {
			timer_heap_pop(network->arrivals, network->now_us, &id);
			member_network_deliver(network, id);
		} else {
			timer_heap_pop(network->timers, network->now_us, &id);
			member_network_step(network, (uint32_t)id);
		}
	}
	network->now_us = until_us;
}

/* Returns the virtual time, which starts at one second. */
int64_t member_network_now_us(const struct member_network *network)
{
	return network->now_us;
}

/* Returns a node's membership, which the network owns; NULL if stopped. */
struct membership *member_network_membership(struct member_network *network,
					     uint32_t i)
{
	return network->nodes[i].membership;
}

/* Returns a node's name, which the network owns. */
const char *member_network_name(const struct member_network *network,
				uint32_t i)
{
	return network->nodes[i].name;
}

/* Returns the number of a node's failure domain within its region. */
uint32_t member_network_domain(const struct member_network *network, uint32_t i)
{
	return i / network->options.regions % DOMAINS;
}

/*
 * Returns the counts since the network was created; the network owns them and
 * updates them in place.
 */
const struct member_network_totals *
member_network_totals(const struct member_network *network)
{
	return &network->totals;
}

/*
 * Returns whether node i lists node other in this state and with its current
 * incarnation. A node that is not listed counts as dead.
 */
bool member_network_lists(const struct member_network *network, uint32_t i,
			  uint32_t other, enum member_state state)
{
	const struct membership *membership = network->nodes[i].membership;
	const struct member *member =
		membership_find(membership, network->nodes[other].name);

	if (!member)
		return state == MEMBER_DEAD;
	return member->incarnation == network->nodes[other].incarnation &&
	       member->state == state;
}

static bool network_node_has_converged(const struct member_network *network,
				       uint32_t i)
{
	for (uint32_t other = i % network->options.regions;
	     other < network->options.nodes;
	     other += network->options.regions) {
		bool runs = network->nodes[other].membership != NULL;

		if (!member_network_lists(network, i, other,
					  runs ? MEMBER_LIVE : MEMBER_DEAD))
			return false;
	}
	return true;
}

/* Whether each running node lists exactly the running nodes of its region. */
bool member_network_has_converged(const struct member_network *network)
{
	for (uint32_t i = 0; i < network->options.nodes; i++) {
		if (network->nodes[i].membership &&
		    !network_node_has_converged(network, i))
			return false;
	}
	return true;
}
