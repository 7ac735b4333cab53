#include "bench/world_state.h"

#include <string.h>

#define EVENT_KEY "the event key of this world"
#define SEED_NODES 3
/* Mean extra delay of a late message; each is half to twice this. */
#define LATE_DELAY_US (4 * G_USEC_PER_SEC)
#define MIN_WAKE_DELAY_US 100 /* time advances even if a node is always due */

static const char unreachable_address[] = "10.0.9.9:7000";

static struct node_options node_options_for(struct world *world, int32_t index,
					    const char **seeds)
{
	const struct world_node *node = &world->nodes[index];
	struct node_options options = world->options.node;
	int32_t count = MIN(SEED_NODES, world->options.node_count);

	for (int32_t i = 0; i < count; i++)
		seeds[i] = world->options.seeds_unreachable
				   ? unreachable_address
				   : world->nodes[i].peer_address;
	seeds[count] = NULL;
	options.name = node->name;
	if (!options.region)
		options.region = "r";
	options.http_address = node->http_address;
	options.peer_address = node->peer_address;
	options.seeds = seeds;
	options.incarnation = node->incarnation;
	options.seed = g_rand_int(world->random);
	options.event_key = EVENT_KEY;
	return options;
}

static void node_wake(struct world *world, void *data)
{
	struct world_node *node = data;
	const struct event event = {.type = EVENT_TIMER};

	/* This wake-up is obsolete: the node has already been woken earlier. */
	if (node->wake_us > world->now_us)
		return;
	node->wake_us = INT64_MAX;
	world_node_step(world, (int32_t)(node - world->nodes), &event);
}

static void node_queue_wake(struct world *world, int32_t index)
{
	struct world_node *node = &world->nodes[index];
	int64_t due_us = MAX(node_next_due_us(node->node),
			     world->now_us + MIN_WAKE_DELAY_US);

	if (due_us >= node->wake_us)
		return;
	node->wake_us = due_us;
	world_post_node(world, due_us, index, node_wake, node, NULL);
}

/* A message in transit between two nodes. */
struct peer_delivery {
	int32_t from;
	int32_t to;
	struct peer_message *message;
};

static void peer_delivery_clear(gpointer data)
{
	struct peer_delivery *delivery = data;

	peer_message_destroy(delivery->message);
}

static void peer_delivery_unref(gpointer data)
{
	g_rc_box_release_full(data, peer_delivery_clear);
}

static void peer_arrive(struct world *world, void *data)
{
	const struct peer_delivery *delivery = data;
	const struct event event = {.type = EVENT_PEER,
				    .peer = delivery->message};

	if (!world_link_cut(world, delivery->from, delivery->to))
		world_node_step(world, delivery->to, &event);
}

static int32_t find_peer(const struct world *world, const char *address)
{
	for (int32_t i = 0; i < world->options.node_count; i++) {
		if (strcmp(world->nodes[i].peer_address, address) == 0)
			return i;
	}
	return INDEX_NONE;
}

static int64_t peer_delay_us(struct world *world)
{
	int64_t delay_us = world_delay_us(world, world->options.peer_delay_us);

	if (world_chance(world, world->options.peer_late_permille))
		delay_us += world_delay_us(world, LATE_DELAY_US);
	return delay_us;
}

/* Takes the message out of the action; may lose or duplicate it. */
static void node_send_peer(struct world *world, int32_t from,
			   struct action_peer_send *send)
{
	int32_t to = find_peer(world, send->peer_address);
	int32_t copies = 1;
	struct peer_delivery *delivery;

	if (to == INDEX_NONE || !world->nodes[to].node ||
	    world_chance(world, world->options.peer_drop_permille))
		return;
	if (world_chance(world, world->options.peer_duplicate_permille))
		copies = 2;
	delivery = g_rc_box_new0(struct peer_delivery);
	delivery->from = from;
	delivery->to = to;
	delivery->message = g_steal_pointer(&send->message);
	for (int32_t i = 0; i < copies; i++)
		world_post_node(world, world->now_us + peer_delay_us(world), to,
				peer_arrive, g_rc_box_acquire(delivery),
				peer_delivery_unref);
	peer_delivery_unref(delivery);
}

static void node_stopped(struct world *world, int32_t index)
{
	world_kill_node(world, index);
}

static void node_execute_action(struct world *world, int32_t index,
				struct action *action)
{
	switch (action->type) {
	case ACTION_CALL_ANSWER:
	case ACTION_CALL_REFUSE:
	case ACTION_CALL_BEGIN:
	case ACTION_CALL_CHUNK:
	case ACTION_CALL_END:
		world_caller_answer(world, action);
		break;
	case ACTION_ATTEMPT_SEND:
		world_attempt_send(world, index, &action->send);
		break;
	case ACTION_ATTEMPT_RESUME:
		world_attempt_resume(world, index, &action->resume);
		break;
	case ACTION_ATTEMPT_CANCEL:
		world_attempt_cancel(world, index, &action->cancel);
		break;
	case ACTION_ATTEMPT_FLOW:
		world_attempt_flow(world, index, &action->flow);
		break;
	case ACTION_POLL_LOAD:
		world_poll_load(world, index, action->poll_load.endpoint);
		break;
	case ACTION_PEER_SEND:
		node_send_peer(world, index, &action->peer_send);
		break;
	case ACTION_KV:
		world_kv_send(world, index, &action->kv);
		break;
	case ACTION_KV_WATCH:
		world_kv_watch(world, index, action->kv_watch);
		break;
	case ACTION_LOG:
		if (world->listener.logged)
			world->listener.logged(world->listener.data, index,
					       &action->log);
		break;
	case ACTION_ORDER:
	case ACTION_READ_ORDER:
		break; /* no workload uses a rollout */
	case ACTION_STOPPED:
		node_stopped(world, index);
		break;
	case ACTION_CONFIG: /* for a gateway; a world has none */
	case ACTION_TYPES:
		break;
	}
}

static void node_execute_actions(struct world *world, int32_t index,
				 struct action_list *actions)
{
	for (size_t i = 0; i < action_list_count(actions); i++)
		node_execute_action(world, index, action_list_get(actions, i));
	action_list_clear(actions);
	if (world->nodes[index].node)
		node_queue_wake(world, index);
}

/* Steps a living node with an event and executes the resulting actions. */
void world_node_step(struct world *world, int32_t index,
		     const struct event *event)
{
	node_step(world->nodes[index].node, world->now_us, event,
		  world->actions);
	node_execute_actions(world, index, world->actions);
}

/* Delivers the VM list, which lags behind, and schedules the next read. */
static void node_read_vm_list(struct world *world, void *data)
{
	struct world_node *node = data;
	int32_t index = (int32_t)(node - world->nodes);
	struct vm *vms = g_new0(struct vm, world->endpoint_count);
	struct event event = {.type = EVENT_VM_LIST};

	for (int32_t i = 0; i < world->endpoint_count; i++) {
		vms[i].address = world->endpoints[i].address;
		vms[i].leaving =
			world->endpoints[i].leaving_vm_us <= world->now_us;
	}
	event.vm_list.vms = vms;
	event.vm_list.vm_count = (size_t)world->endpoint_count;
	world_post_node(world, world->now_us + world->options.vm_list_poll_us,
			index, node_read_vm_list, node, NULL);
	world_node_step(world, index, &event);
	g_free(vms);
}

/*
 * Starts the process of a dead node with the same name and a new incarnation. A
 * living node is left as it is.
 */
void world_start_node(struct world *world, int32_t index)
{
	struct world_node *node = &world->nodes[index];
	const char *seeds[SEED_NODES + 1];
	struct node_options options;

	if (node->node)
		return;
	node->incarnation = g_rand_int(world->random);
	node->incarnation =
		(node->incarnation << 32) | g_rand_int(world->random);
	node->paused = false;
	node->wake_us = INT64_MAX;
	options = node_options_for(world, index, seeds);
	node->node = node_create(&options);
	node_start(node->node, world->now_us, world->actions);
	node_execute_actions(world, index, world->actions);
	world_post_node(
		world,
		world->now_us +
			world_delay_us(world, world->options.kv_delay_us),
		index, node_read_vm_list, node, NULL);
}

static void deferred_destroy(gpointer data)
{
	queued_event_clear(data);
	g_free(data);
}

/* Ends a node's process as SIGKILL would; its connections close. */
void world_kill_node(struct world *world, int32_t index)
{
	struct world_node *node = &world->nodes[index];

	if (!node->node)
		return;
	g_clear_pointer(&node->node, node_destroy);
	g_queue_clear_full(&node->deferred, deferred_destroy);
	world_attempts_drop(world, index);
	world_break_callers(world, index);
}

static void node_resume(struct world *world, void *data)
{
	struct world_node *node = data;
	GQueue deferred = node->deferred;

	node->paused = false;
	g_queue_init(&node->deferred);
	while (!g_queue_is_empty(&deferred)) {
		struct queued_event *item = g_queue_pop_head(&deferred);

		item->at_us = world->now_us;
		event_queue_add(world->queue, item);
		g_free(item);
	}
}

static void node_resume_if_same(struct world *world, void *data)
{
	const struct queued_event *resume = data;
	struct world_node *node = &world->nodes[resume->node];

	if (node->node && node->incarnation == resume->incarnation &&
	    node->paused)
		node_resume(world, node);
}

/* Pauses a node's process until until_us and defers its events until then. */
void world_pause_node(struct world *world, int32_t index, int64_t until_us)
{
	struct world_node *node = &world->nodes[index];
	struct queued_event *resume;

	if (!node->node || node->paused)
		return;
	node->paused = true;
	resume = g_new0(struct queued_event, 1);
	resume->node = index;
	resume->incarnation = node->incarnation;
	world_post(world, until_us, node_resume_if_same, resume, g_free);
}

static void node_shut_down(struct world *world, void *data)
{
	const struct world_node *node = data;
	const struct event event = {.type = EVENT_SHUTDOWN};

	world_node_step(world, (int32_t)(node - world->nodes), &event);
}

/* Drains a node as SIGTERM would; its process ends once it has stopped. */
void world_drain_node(struct world *world, int32_t index)
{
	world_post_node(world, world->now_us, index, node_shut_down,
			&world->nodes[index], NULL);
}

/* Returns whether the node's process runs; a paused one counts as running. */
bool world_node_alive(const struct world *world, int32_t index)
{
	return world->nodes[index].node != NULL;
}

/* Returns the incarnation of the node's process, or of its last one. */
uint64_t world_node_incarnation(const struct world *world, int32_t index)
{
	return world->nodes[index].incarnation;
}

/* Returns the node, which the world owns, or NULL for a dead one. */
struct node *world_node(struct world *world, int32_t index)
{
	return world->nodes[index].node;
}

/* Creates all nodes and starts them. */
void world_nodes_create(struct world *world)
{
	world->nodes = g_new0(struct world_node, world->options.node_count);
	for (int32_t i = 0; i < world->options.node_count; i++) {
		struct world_node *node = &world->nodes[i];

		node->name = g_strdup_printf("n%d", i);
		node->http_address = g_strdup_printf("10.0.0.1:%d", 8000 + i);
		node->peer_address = g_strdup_printf("10.0.0.1:%d", 7000 + i);
		g_queue_init(&node->deferred);
		node->attempts = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, NULL, world_attempt_unref);
	}
	for (int32_t i = 0; i < world->options.node_count; i++)
		world_start_node(world, i);
}

/* Frees the nodes and their deferred events. */
void world_nodes_destroy(struct world *world)
{
	for (int32_t i = 0; i < world->options.node_count; i++) {
		struct world_node *node = &world->nodes[i];

		node_destroy(node->node);
		g_queue_clear_full(&node->deferred, deferred_destroy);
		g_hash_table_unref(node->attempts);
		g_free(node->name);
		g_free(node->http_address);
		g_free(node->peer_address);
	}
	g_free(world->nodes);
}
