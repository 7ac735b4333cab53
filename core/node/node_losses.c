#include "core/node/node_state.h"

#include "core/limit/suspect_text.h"

#include <string.h>

/*
 * Requests under which endpoints end. An endpoint that broke off an attempt is
 * asked for its load, over a connection of its own: it has ended if it refuses
 * that while another endpoint answers. Callers name no parts of their prompts
 * here, so a request is the only suspect of its runs.
 */

/* How often this node asks whether it reaches any endpoint. */
#define REACH_INTERVAL_US (100 * 1000)

static uint64_t endpoint_key(const char *address)
{
	return home_hash(address, "", 0);
}

static void poll_endpoint(struct node *node, const char *address)
{
	action_list_add(node->actions, ACTION_POLL_LOAD)->poll_load.endpoint =
		g_strdup(address);
}

/* Its result is an EVENT_LOAD. */
static gpointer probe_endpoint(void *data, struct lost_endpoint *lost)
{
	poll_endpoint(data, lost->address);
	return NULL;
}

/* The addresses of the endpoints of all services, but for this one. */
static GPtrArray *list_others(const struct node *node, const char *address)
{
	GPtrArray *others = g_ptr_array_new();

	for (guint i = 0; node->config && i < node->config->services->len;
	     i++) {
		const struct config_service *service =
			g_ptr_array_index(node->config->services, i);

		for (guint k = 0; k < service->endpoints->len; k++) {
			const struct config_endpoint *endpoint =
				g_ptr_array_index(service->endpoints, k);

			if (!address || strcmp(endpoint->address, address) != 0)
				g_ptr_array_add(others, endpoint->address);
		}
	}
	return others;
}

static bool has_other(void *data, const struct lost_endpoint *lost)
{
	GPtrArray *others = list_others(data, lost->address);
	bool is_any = others->len > 0;

	g_ptr_array_unref(others);
	return is_any;
}

/* That an address leaves the configuration does not end its endpoint. */
static bool is_registered(void *data, const struct lost_endpoint *lost)
{
	(void)data;
	(void)lost;
	return true;
}

/* Asks a random endpoint that has broken off no run lately. */
static void check_reach(void *data)
{
	struct node *node = data;
	GPtrArray *others;
	guint first;

	if (node->now_us - node->reach_checked_us < REACH_INTERVAL_US)
		return;
	node->reach_checked_us = node->now_us;
	others = list_others(node, NULL);
	first = others->len > 0 ? (guint)g_rand_int_range(node->random, 0,
							  (gint32)others->len)
				: 0;
	for (guint i = 0; i < others->len; i++) {
		const char *address =
			g_ptr_array_index(others, (first + i) % others->len);

		if (end_watch_has(node->ends, endpoint_key(address)))
			continue;
		poll_endpoint(node, address);
		break;
	}
	g_ptr_array_unref(others);
}

static void on_ended(void *data, const struct lost_endpoint *lost,
		     const char *evidence)
{
	struct node *node = data;

	if (!quarantine_report_end(node->quarantine, &lost->start,
				   node->now_us))
		return;
	action_list_log(node->actions, LOG_LEVEL_INFO, "endpoint_ended",
			"endpoint", lost->address, "evidence", evidence, NULL);
}

static struct peer_message *create_message(const struct node *node,
					   const struct peer_loss *losses,
					   guint count)
{
	struct peer_message *message = node_message_create(node, PEER_LOSSES);

	g_array_append_vals(message->losses.losses, losses, count);
	return message;
}

static bool is_other(const struct node *node, const struct member *member)
{
	return strcmp(member->name, node->options.name) != 0;
}

static void send_to_all(void *data, const struct peer_loss *losses, guint count)
{
	struct node *node = data;

	for (size_t i = 0; i < membership_count(node->membership); i++) {
		const struct member *member =
			membership_get(node->membership, i);

		if (is_other(node, member))
			node_send(node, member->peer_address,
				  create_message(node, losses, count));
	}
}

static void send_to_some(void *data, const GArray *losses, size_t receivers)
{
	struct node *node = data;
	gint32 count = (gint32)membership_count(node->membership);

	for (size_t i = 0; count > 1 && i < receivers; i++) {
		const struct member *member = membership_get(
			node->membership,
			(size_t)g_rand_int_range(node->random, 0, count));

		if (is_other(node, member))
			node_send(
				node, member->peer_address,
				create_message(
					node,
					(const struct peer_loss *)losses->data,
					losses->len));
	}
}

static void log_suspect(void *data, uint64_t key, const char *source)
{
	struct node *node = data;
	struct suspect_text text;

	suspect_text_init(&text, node->quarantine, key, node->now_us);
	action_list_log(node->actions, text.level, text.event, "fingerprint",
			text.fingerprint, "for_s", text.for_s, "ends",
			text.ends, "source", source, NULL);
	suspect_text_clear(&text);
}

/* To be called once, before any other function here. */
void node_losses_init(struct node *node)
{
	const struct end_watch_host ends = {
		.probe = probe_endpoint,
		.check_reach = check_reach,
		.has_other = has_other,
		.is_registered = is_registered,
		.ended = on_ended,
		.data = node,
	};
	const struct loss_gossip_host gossip = {
		.send_to_all = send_to_all,
		.send_to_some = send_to_some,
		.changed = log_suspect,
		.data = node,
	};
	struct quarantine_options options;

	quarantine_options_default(&options);
	node->quarantine = quarantine_create(&options);
	node->ends = end_watch_create(&ends);
	node->loss_gossip =
		loss_gossip_create(node->quarantine, node->random, &gossip);
}

/* Frees what node_losses_init created. */
void node_losses_clear(struct node *node)
{
	loss_gossip_destroy(node->loss_gossip);
	end_watch_destroy(node->ends);
	quarantine_destroy(node->quarantine);
}

/* Records which start of its endpoint the call's attempt goes to. */
void node_losses_begin(struct node *node, struct call *call)
{
	call->start = quarantine_current_start(node->quarantine,
					       endpoint_key(call->endpoint));
}

/* Records that the endpoint broke off the call's attempt. */
void node_losses_record(struct node *node, const struct call *call)
{
	const struct quarantine_run run = {
		.key = suspect_key_of_request(call->fingerprint),
		.owner_key = home_hash(call->organisation, "", 0),
		.start = call->start,
	};

	quarantine_report_loss(node->quarantine, &run, node->now_us);
	end_watch_add(node->ends, call->endpoint, call->endpoint, &call->start,
		      true, node->now_us);
}

/* Records that the endpoint refused a connection. */
void node_losses_note_refused(struct node *node, const char *endpoint)
{
	end_watch_note_connection(node->ends, endpoint, CONNECTION_REFUSED,
				  node->now_us);
}

/* Records that the endpoint is alive. */
void node_losses_note_heard(struct node *node, const char *endpoint)
{
	end_watch_note_heard(node->ends, endpoint_key(endpoint), node->now_us);
}

/* Records what a poll of an endpoint's load shows. */
void node_losses_note_load(struct node *node, const struct event_load *event)
{
	if (event->is_refused) {
		node_losses_note_refused(node, event->endpoint);
		return;
	}
	if (!event->reached)
		return;
	node_losses_note_heard(node, event->endpoint);
	end_watch_note_connection(node->ends, event->endpoint,
				  CONNECTION_ACCEPTED, node->now_us);
}

/* Records that an endpoint answered the call whole. */
void node_losses_note_whole(struct node *node, const struct call *call)
{
	quarantine_report_success(node->quarantine,
				  suspect_key_of_request(call->fingerprint),
				  node->now_us, node->now_us);
}

/* Applies the losses that another node knows. */
void node_losses_receive(struct node *node, const struct peer_message *message)
{
	loss_gossip_receive(node->loss_gossip, message->losses.losses,
			    message->from, node->now_us);
}

static bool is_admitted(struct node *node, struct call *call)
{
	const struct suspect_list suspects = {
		.keys = {suspect_key_of_request(call->fingerprint)},
		.count = 1,
	};

	if (call->admission.is_trial && call->attempts == 0)
		return true;
	return admission_ask(&call->admission, node->quarantine, &suspects,
			     node->membership, node->now_us);
}

/*
 * Refuses the call if endpoints have ended under its request, and returns
 * whether it did. To be asked before each attempt: another node may have found
 * out meanwhile.
 */
bool node_losses_refuse(struct node *node, struct call *call)
{
	int64_t until_us;

	if (is_admitted(node, call))
		return false;
	until_us = quarantine_until_us(node->quarantine, call->admission.key,
				       node->now_us);
	counters_add(&node->counters, COUNTER_QUARANTINED, 1);
	node_call_refuse(node, call, REFUSAL_QUARANTINED,
			 call->maybe_run ? RUN_UNKNOWN : RUN_NO,
			 until_us ? until_us - node->now_us
				  : NODE_RETRY_AFTER_US);
	return true;
}

/* Looks for evidence of ends, and passes losses on. */
void node_losses_step(struct node *node)
{
	end_watch_step(node->ends, node->now_us);
	loss_gossip_step(node->loss_gossip, node->now_us);
}
