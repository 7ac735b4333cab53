#include "core/node/node_state.h"
#include "core/placement/length_estimate.h"

#include <string.h>

#define MS_US 1000
#define MAX_TIMERS_PER_STEP 100000
#define PROGRESS_PER_TICKET_US 2500
#define MAX_PROGRESS_INTERVAL_US (2 * G_USEC_PER_SEC)
#define PAUSE_THRESHOLD_US G_USEC_PER_SEC
#define PAUSE_HOLD_US (500 * MS_US)
#define STEP_TOLERANCE_US (50 * MS_US)

/*
 * Records that are sent for each request, or that list all held tickets, omit
 * the sender's name and address: the receiver looks them up by incarnation.
 */
static bool peer_message_is_frequent(enum peer_message_type type)
{
	switch (type) {
	case PEER_PLACE:
	case PEER_PLACED:
	case PEER_REFUSED:
	case PEER_PROGRESS:
	case PEER_RELEASE:
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		return true;
	default:
		return false;
	}
}

/*
 * Creates a message with this node as its sender. The caller owns it until it
 * is passed to node_send.
 */
struct peer_message *node_message_create(const struct node *node,
					 enum peer_message_type type)
{
	struct peer_message *message = peer_message_create(type);

	message->incarnation = node->options.incarnation;
	if (peer_message_is_frequent(type))
		return message;
	message->from = g_strdup(node->options.name);
	message->from_address = g_strdup(node->options.peer_address);
	return message;
}

/* Sends a message to a peer and takes ownership of it. */
void node_send(struct node *node, const char *peer_address,
	       struct peer_message *message)
{
	struct action *action =
		action_list_add(node->actions, ACTION_PEER_SEND);

	action->peer_send.peer_address = g_strdup(peer_address);
	action->peer_send.message = message;
	counters_add(&node->counters, COUNTER_PEER_SENT, 1);
}

/*
 * Adds a request to the key-value service with its id and timeout set. The
 * caller fills in the rest; the action list owns the request.
 */
struct kv_request *node_kv_request(struct node *node, enum kv_op op)
{
	struct action *action = action_list_add(node->actions, ACTION_KV);

	action->kv.id = node->next_kv_id++;
	action->kv.op = op;
	action->kv.timeout_us = node->options.kv_timeout_us;
	counters_add(&node->counters, COUNTER_KV_CALLS, 1);
	return &action->kv;
}

/*
 * Sends a request to the key-value service and returns its id, which the
 * answer carries. key and value are copied or referenced. For a lease grant,
 * expected_revision is the time to live in seconds.
 */
uint64_t node_kv_send(struct node *node, enum kv_op op, const char *key,
		      GBytes *value, int64_t expected_revision, int64_t lease)
{
	struct kv_request *request = node_kv_request(node, op);

	request->key = g_strdup(key);
	request->value = value ? g_bytes_ref(value) : NULL;
	if (op == KV_LEASE_GRANT)
		request->ttl_s = expected_revision;
	else
		request->expected_revision = expected_revision;
	request->lease = lease;
	return request->id;
}

/*
 * Logs an event with one field and, unless call is NULL, the id and
 * organisation of the call.
 */
void node_log(struct node *node, enum log_level level, const char *event,
	      const struct call *call, const char *key, const char *value)
{
	char id[32];

	if (!call) {
		action_list_log(node->actions, level, event, key, value, NULL);
		return;
	}
	g_snprintf(id, sizeof(id), "%" G_GUINT64_FORMAT, call->id);
	action_list_log(node->actions, level, event, "request", id,
			"organisation", call->organisation, key, value, NULL);
}

/* Returns the members known to this node; the node owns the result. */
const struct membership *node_members(const struct node *node)
{
	return node->membership;
}

/* Announces to the other nodes that this one takes no new calls. */
void node_set_leaving(struct node *node)
{
	membership_set_state(node->membership, MEMBER_LEAVING);
}

/* Starts the node: reads the configuration and contacts its peers. */
void node_start(struct node *node, int64_t now_us, struct action_list *actions)
{
	node->now_us = now_us;
	node->actions = actions;
	node->started_us = now_us;
	node->next_progress_us = now_us + node->options.progress_us;
	node->next_poll_us = now_us;
	node->next_announce_us = now_us;
	node->next_limits_us = now_us;
	membership_step(node->membership, now_us, actions);
	node->epoch_seen = membership_epoch(node->membership);
	node_config_start(node);
	node_config_step(node);
	node_discovery_start(node);
	node->actions = NULL;
}

static void node_receive_probe(struct node *node,
			       const struct peer_message *message)
{
	membership_receive(node->membership, message, node->now_us,
			   node->actions);
	node_config_check_probe(node, message);
}

static const struct member *node_find_sender(const struct node *node,
					     const struct peer_message *message)
{
	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);

		if (member->incarnation == message->incarnation)
			return member;
	}
	return NULL;
}

static void node_dispatch_peer(struct node *node,
			       const struct peer_message *message)
{
	switch (message->type) {
	case PEER_PING:
	case PEER_ACK:
	case PEER_PROBE:
		node_receive_probe(node, message);
		break;
	case PEER_PLACE:
		if (node->config)
			node_home_place(node, message);
		break;
	case PEER_PLACED:
		node_place_granted(node, message->placed.ticket,
				   message->placed.endpoint);
		break;
	case PEER_REFUSED:
		node_place_refused(node, message->refused.ticket,
				   message->refused.refusal,
				   message->refused.retry_after_us);
		break;
	case PEER_PROGRESS:
		node_home_progress(node, message);
		break;
	case PEER_RELEASE:
		node_home_release(node, message->release.ticket,
				  message->release.outcome,
				  message->release.tokens);
		break;
	case PEER_CONFIG:
	case PEER_CONFIG_REQUEST:
		node_config_peer(node, message);
		break;
	case PEER_LEAVING:
		node_leaving_peer(node, &message->leaving);
		break;
	case PEER_LOSSES:
		node_losses_receive(node, message);
		break;
	case PEER_LIMIT_REPORT:
	case PEER_LIMIT_SHARE:
		node_limits_receive(node, message);
		break;
	case PEER_STANDING:
	case PEER_ROUTES:
	case PEER_ROUTES_REQUEST:
	case PEER_CHOOSE:
	case PEER_CORDONS:
	case PEER_ENDPOINT_LIMITS:
	case PEER_ENDPOINT_SPEEDS:
	case PEER_FAILURE_NOTICE:
	case PEER_REACH:
	case PEER_ENDPOINT_FULL:
	case PEER_ENDPOINT_LEAVING:
	case PEER_AWAIT:
	case PEER_WAITING:
	case PEER_UNAVAILABLE:
	case PEER_WITHDRAW:
	case PEER_CHOSEN: /* handled by the gateway */
	case PEER_MESSAGE_TYPE_COUNT:
		break;
	}
}

static void node_receive_peer(struct node *node,
			      const struct peer_message *message)
{
	struct peer_message known = *message;
	const struct member *sender;

	counters_add(&node->counters, COUNTER_PEER_RECEIVED, 1);
	if (message->from && *message->from) {
		node_dispatch_peer(node, message);
		return;
	}
	sender = node_find_sender(node, message);
	if (!sender) {
		/*
		 * The sender is not a member yet or its incarnation was
		 * replaced. Senders repeat their requests.
		 */
		counters_add(&node->counters, COUNTER_EVENTS_UNKNOWN, 1);
		return;
	}
	known.from = sender->name;
	known.from_address = sender->peer_address;
	node_dispatch_peer(node, &known);
}

static void node_receive_kv(struct node *node, const struct kv_answer *answer)
{
	if (answer->outcome == KV_ANSWER_LOST)
		counters_add(&node->counters, COUNTER_KV_LOST, 1);
	else if (answer->outcome == KV_NOT_APPLIED)
		counters_add(&node->counters, COUNTER_KV_FAILED, 1);
	else
		node->kv_contact_us = node->now_us;
	if (!node_config_kv(node, answer) && !node_claim_kv(node, answer) &&
	    !plan_book_handle_kv_answer(node->plans, answer, node->now_us,
					node->actions) &&
	    !node_rollout_kv(node, answer) && !node_discovery_kv(node, answer))
		counters_add(&node->counters, COUNTER_EVENTS_UNKNOWN, 1);
}

static void node_begin_drain(struct node *node)
{
	if (node->draining)
		return;
	node->draining = true;
	node->drain_started_us = node->now_us;
	membership_set_state(node->membership, MEMBER_LEAVING);
	node_log(node, LOG_LEVEL_INFO, "drain", NULL, "node",
		 node->options.name);
}

static void node_dispatch(struct node *node, const struct event *event)
{
	switch (event->type) {
	case EVENT_TIMER:
	case EVENT_TYPES:
		break;
	case EVENT_CALL:
		node_call_receive(node, &event->call);
		break;
	case EVENT_CALL_GONE:
		node_call_disconnect(node, event->call_gone);
		break;
	case EVENT_CALL_FLOW:
		node_call_flow(node, &event->call_flow);
		break;
	case EVENT_QUERY:
		node_query_receive(node, &event->query);
		break;
	case EVENT_ATTEMPT_STARTED:
		node_attempt_started(node, &event->started);
		break;
	case EVENT_ATTEMPT_CHUNK:
		node_attempt_chunk(node, &event->chunk);
		break;
	case EVENT_ATTEMPT_DONE:
		node_attempt_done(node, &event->done);
		break;
	case EVENT_ATTEMPT_ANSWER:
		node_attempt_answer(node, &event->answer);
		break;
	case EVENT_ATTEMPT_FAILED:
		node_attempt_failed(node, &event->failed);
		break;
	case EVENT_LOAD:
		node_losses_note_load(node, &event->load);
		node_home_update_load(node, &event->load);
		break;
	case EVENT_ORDER:
		node_rollout_order(node, &event->order);
		break;
	case EVENT_ORDER_STATE:
		node_rollout_order_state(node, &event->order_state);
		break;
	case EVENT_PEER:
		node_receive_peer(node, event->peer);
		break;
	case EVENT_KV:
		node_receive_kv(node, event->kv);
		break;
	case EVENT_KV_WATCH:
		node_config_watch(node, &event->kv_watch);
		break;
	case EVENT_VM_LIST:
		node_leaving_vm_list(node, &event->vm_list);
		break;
	case EVENT_SHUTDOWN:
		node_begin_drain(node);
		break;
	}
}

static void node_run_call_timers(struct node *node)
{
	uint64_t id;

	for (int32_t i = 0; i < MAX_TIMERS_PER_STEP; i++) {
		struct call *call;

		if (!timer_heap_pop(node->timers, node->now_us, &id))
			return;
		call = g_hash_table_lookup(node->calls, &id);
		if (call)
			node_call_handle_timer(node, call);
	}
}

static void node_check_drained(struct node *node)
{
	int64_t grace_end_us =
		node->drain_started_us + node->options.answer_keep_us;

	if (!node->draining || node->stopped || node->now_us <= grace_end_us)
		return;
	/*
	 * Calls that arrived during a pause, however short, may still be
	 * waiting in the event queue.
	 */
	if (node->now_us <
	    MAX(node->dispatch_from_us, node->drain_check_from_us))
		return;
	if (g_hash_table_size(node->calls) > 0 &&
	    (node->options.drain_timeout_us == 0 ||
	     node->now_us <
		     node->drain_started_us + node->options.drain_timeout_us))
		return;
	node->stopped = true;
	action_list_add(node->actions, ACTION_STOPPED);
}

/*
 * The interval of progress reports grows with the number of held tickets,
 * since the size of a report does. Between reports, homes extrapolate from the
 * speed of each engine.
 */
static int64_t node_progress_interval_us(const struct node *node)
{
	int64_t held = g_hash_table_size(node->tickets);

	return CLAMP(held * PROGRESS_PER_TICKET_US, node->options.progress_us,
		     MAX(MAX_PROGRESS_INTERVAL_US, node->options.progress_us));
}

static void node_run_periodic(struct node *node)
{
	if (node->now_us >= node->next_poll_us) {
		node->next_poll_us = node->now_us + node->options.load_poll_us;
		node_home_poll_load(node);
		node_leaving_expire(node);
	}
	if (node->now_us >= node->next_progress_us) {
		node->next_progress_us =
			node->now_us + node_progress_interval_us(node);
		node_progress_send(node);
	}
	if (node->now_us >= node->next_limits_us)
		node_limits_report(node);
	if (node->now_us >= node->next_announce_us)
		node_leaving_announce(node);
}

static void node_check_members(struct node *node)
{
	uint64_t epoch = membership_epoch(node->membership);

	if (epoch == node->epoch_seen)
		return;
	node->epoch_seen = epoch;
	node_shard_members_changed(node);
}

/*
 * Advances the node's time. Its timers make it step several times a second, so
 * a longer gap means that the process was paused. The node's state is then as
 * old as the gap, and it could dispatch new work to an endpoint that has left
 * meanwhile. Dispatch is held for half a second, in which the node handles the
 * queued events and hears from its peers and endpoints.
 */
static void node_advance(struct node *node, int64_t now_us)
{
	int64_t threshold_us =
		MAX(PAUSE_THRESHOLD_US, 4 * node->options.progress_us);
	char gap_ms[32];

	if (now_us - node->now_us >
	    node->options.progress_us + STEP_TOLERANCE_US)
		node->drain_check_from_us = now_us + STEP_TOLERANCE_US;
	if (node->now_us && now_us - node->now_us > threshold_us) {
		node->dispatch_from_us = now_us + PAUSE_HOLD_US;
		node->next_poll_us = now_us;
		g_snprintf(gap_ms, sizeof(gap_ms), "%" G_GINT64_FORMAT,
			   (now_us - node->now_us) / MS_US);
		node_log(node, LOG_LEVEL_WARN, "node_stood_still", NULL, "ms",
			 gap_ms);
	}
	node->now_us = MAX(now_us, node->now_us);
}

/*
 * Handles one event and all work that is due, and appends the resulting
 * actions. Time does not go back: a now_us below that of an earlier step counts
 * as the earlier one. The caller carries out the actions in order before the
 * next step.
 */
void node_step(struct node *node, int64_t now_us, const struct event *event,
	       struct action_list *actions)
{
	node->actions = actions;
	node_advance(node, now_us);
	node_dispatch(node, event);
	node_run_call_timers(node);
	membership_step(node->membership, node->now_us, actions);
	node_check_members(node);
	node_config_step(node);
	plan_book_step(node->plans, node->now_us, actions);
	node_rollout_step(node);
	node_discovery_step(node);
	node_run_periodic(node);
	node_losses_step(node);
	node_home_step(node);
	node_share_step(node);
	node_check_drained(node);
	node->actions = NULL;
}

/* Returns when the next EVENT_TIMER is due, in us. */
int64_t node_next_due_us(const struct node *node)
{
	int64_t due_us = timer_heap_next_due_us(node->timers);
	GHashTableIter iter;
	gpointer share;

	due_us = MIN(due_us, membership_next_due_us(node->membership));
	due_us = MIN(due_us, node->next_poll_us);
	due_us = MIN(due_us, node->next_progress_us);
	due_us = MIN(due_us, node_home_next_due_us(node));
	due_us = MIN(due_us, plan_book_next_due_us(node->plans));
	due_us = MIN(due_us, node_rollout_next_due_us(node));
	due_us = MIN(due_us, node_discovery_next_due_us(node));
	due_us = MIN(due_us, end_watch_next_due_us(node->ends));
	g_hash_table_iter_init(&iter, node->shares);
	while (g_hash_table_iter_next(&iter, NULL, &share))
		due_us = MIN(due_us, placement_next_due_us(share));
	return due_us;
}

/* Returns the node's counters. Adapters of this process add to them too. */
struct counters *node_counters(struct node *node)
{
	return &node->counters;
}
