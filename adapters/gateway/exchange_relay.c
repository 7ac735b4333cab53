#include "adapters/gateway/answer_excess.h"
#include "adapters/gateway/exchange_state.h"
#include "core/gateway/answer_end.h"

#include <string.h>

/*
 * Passes a request on through another node while this one reaches no endpoint
 * of its service. The other node serves it as a caller's request, with the same
 * id, key and what is left of its time, and passes it on to endpoints only.
 */

/* Nodes that one request is passed on to at most, one after the other. */
#define MAX_RELAYS 3

/* A node that accepts requests accepts a connection sooner. */
#define CONNECT_TIMEOUT_US (300 * 1000)

#define STATUS_OK 200
#define STATUS_FAILED 502
#define STATUS_REFUSED 503

struct relay {
	struct exchange *exchange;
	struct attempt *attempt;      /* NULL if it could not start */
	struct event_scanner *events; /* of a resumable stream, or NULL */
	struct answer_limit limit;    /* on the answer's body */
	char *node;
	int32_t attempts;   /* runs that the node may begin */
	int64_t last_event; /* that the caller had before */
	int64_t sent_us;
	bool head_received;
};

/* Ends the relayed request and frees the relay; NULL is allowed. */
void relay_destroy(struct relay *relay)
{
	if (!relay)
		return;
	attempt_destroy(relay->attempt);
	event_scanner_destroy(relay->events);
	g_free(relay->node);
	g_free(relay);
}

/* The attempt whose answer the caller gets, at an endpoint or a node; or NULL.
 */
struct attempt *exchange_attempt(const struct exchange *exchange)
{
	if (exchange->relay)
		return exchange->relay->attempt;
	return exchange->leg ? exchange->leg->attempt : NULL;
}

static bool was_tried(const struct exchange *exchange, const char *node)
{
	return g_ptr_array_find_with_equal_func(exchange->avoided_nodes, node,
						g_str_equal, NULL);
}

/* Whether the request may be sent to that region. */
static bool region_is_allowed(const struct exchange *exchange,
			      const struct member *member)
{
	const struct member *self = membership_self(
		exchange->gateway->host.members(exchange->gateway->host.data));
	bool is_bound =
		exchange->route->regions ||
		(exchange->organisation && exchange->organisation->regions);

	return !is_bound || strcmp(member->region, self->region) == 0;
}

static bool may_help(const struct exchange *exchange, const char *name,
		     const struct gateway_peer *peer)
{
	struct gateway *gateway = exchange->gateway;
	const struct member *member = membership_find(
		gateway->host.members(gateway->host.data), name);

	return member && member->state == MEMBER_LIVE &&
	       peer->accepts_requests && peer->address && *peer->address &&
	       gateway_peer_is_heard(gateway, peer) &&
	       gateway_peer_reaches(gateway, peer, exchange->service_name) &&
	       region_is_allowed(exchange, member) &&
	       !was_tried(exchange, name);
}

/* Returns a random node that may reach the service, or NULL. */
static const char *pick_node(const struct exchange *exchange,
			     const struct gateway_peer **picked)
{
	struct gateway *gateway = exchange->gateway;
	const char *node = NULL;
	guint32 count = 0;
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, gateway->peers);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		if (!may_help(exchange, name, value) ||
		    g_rand_int(gateway->random) % ++count != 0)
			continue;
		node = name;
		*picked = value;
	}
	return node;
}

/* Whether the answer may go on after the last event that the caller has. */
static bool exchange_may_resume(const struct exchange *exchange)
{
	return exchange->route->is_resumable && exchange->last_event >= 0;
}

/*
 * Whether the request is to be passed on through another node. A relayed one is
 * not passed on again, so that no request goes round.
 */
bool exchange_wants_relay(const struct exchange *exchange)
{
	const struct gateway_peer *peer;

	return !exchange->is_relayed &&
	       (!exchange->answer_begun || exchange_may_resume(exchange)) &&
	       exchange->avoided_nodes->len < MAX_RELAYS &&
	       (exchange->runs == 0 || route_may_repeat(exchange->route)) &&
	       gateway_reach_is_lost(exchange->gateway,
				     exchange->service_name) &&
	       pick_node(exchange, &peer) != NULL;
}

static void relay_fail(struct relay *relay, bool may_have_run,
		       const char *detail);

/*
 * Whether the caller does not get the node's own answer: a promise that the
 * request has not run if it ran before, or one that another node may replace.
 */
static bool is_replaced(const struct exchange *exchange,
			const struct http_head *head)
{
	if (exchange->said.is_from_endpoint)
		return false;
	if (exchange->said.status_implies_not_run && exchange->runs > 0)
		return true;
	return (head->status == STATUS_REFUSED ||
		head->status == STATUS_FAILED) &&
	       exchange_wants_relay(exchange);
}

static bool is_stream(const struct exchange *exchange,
		      const struct http_head *head)
{
	return head->status == STATUS_OK && exchange->said.is_from_endpoint &&
	       exchange->said.is_event_stream;
}

/*
 * Forwards an event of a resumable stream whole, so that the answer can go on
 * elsewhere after it. Returns false on a gap in the ids.
 */
static bool on_event(void *data, const char *bytes, size_t size, int64_t id)
{
	struct exchange *exchange = ((struct relay *)data)->exchange;

	if (!exchange_event_is_due(exchange, id))
		return exchange_event_is_known(exchange, id);
	exchange_receive_body(exchange, bytes, size);
	return true;
}

/* Gives up an answer of more bytes than allowed. */
static void relay_fail_too_large(struct relay *relay)
{
	struct exchange *exchange = relay->exchange;
	const struct answer_excess excess = {
		.call = "relay",
		.request = exchange->parsed_request.id,
		.peer_kind = "node",
		.peer = relay->node,
		.bytes = relay->limit.received,
		.limit = relay->limit.max,
	};

	answer_excess_report(&excess, exchange->gateway->log,
			     exchange->gateway->options.counters);
	relay_fail(relay, true, "answer too large");
}

static void on_head(void *data, const struct http_head *head)
{
	struct relay *relay = data;
	struct exchange *exchange = relay->exchange;

	exchange->gateway->now_us = gateway_now_us();
	exchange->gateway->dialect->read_answer(head, &exchange->said);
	if (is_replaced(exchange, head)) {
		relay_fail(relay, !exchange->said.status_implies_not_run,
			   "not served by the node");
		return;
	}
	relay->head_received = true;
	if (!exchange_accepts_stated_size(exchange, head, &relay->limit)) {
		relay_fail_too_large(relay);
		return;
	}
	if (exchange->answer_begun && !is_stream(exchange, head)) {
		relay_fail(relay, head->status != STATUS_REFUSED,
			   "not continued by the node");
		return;
	}
	if (exchange->route->is_resumable && is_stream(exchange, head))
		relay->events = event_scanner_create(
			on_event, relay, &exchange->gateway->held_events);
	if (exchange->answer_begun)
		return;
	exchange->status = head->status;
	exchange_store_head(exchange, head, NULL);
	if (exchange_may_have_body(exchange, head->status) &&
	    (exchange->answer_size < 0 || relay->events))
		exchange_begin_unsized(exchange);
}

static void on_body(void *data, const char *bytes, size_t size)
{
	struct relay *relay = data;

	if (answer_limit_add(&relay->limit, (int64_t)size) != ANSWER_SIZE_OK)
		relay_fail_too_large(relay);
	else if (!relay->events)
		exchange_receive_body(relay->exchange, bytes, size);
	else if (!exchange_feed_events(relay->exchange, relay->events, bytes,
				       size))
		exchange_abort(relay->exchange, "events_do_not_follow");
}

static void on_complete(void *data)
{
	struct relay *relay = data;
	struct exchange *exchange = relay->exchange;
	struct caller *caller = exchange->caller;
	const struct answer_end_input input = {
		.is_from_node = true,
		.is_ended_by_close = attempt_is_ended_by_close(relay->attempt),
		.is_within_event = relay->events &&
				   !event_scanner_at_boundary(relay->events),
	};
	enum answer_end end = answer_end_decide(&input);

	if (end != ANSWER_WHOLE) {
		relay_fail(relay, true, answer_end_name(end));
		return;
	}
	exchange_finish_answer(exchange);
	exchange_end(exchange,
		     exchange->said.is_from_endpoint ? "whole" : "refused",
		     "relayed");
	caller_end_answer(caller, false);
}

static void on_failed(void *data, const struct error *error)
{
	struct relay *relay = data;

	relay_fail(relay,
		   error->code != ERROR_UNREACHABLE ||
			   attempt_may_have_sent(relay->attempt),
		   error->detail);
}

static const struct attempt_events relay_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.failed = on_failed,
};

static GString *relay_render(const struct exchange *exchange)
{
	const struct gateway *gateway = exchange->gateway;
	const struct relay_request request = {
		.node = gateway->options.node_name,
		.patience_us = exchange->deadline_us - gateway->now_us,
		.after_event = exchange->route->is_resumable
				       ? exchange->last_event
				       : -1,
		.attempts = exchange->relay->attempts,
		.age_us = gateway->now_us - exchange->begun_us,
	};
	GString *out = g_string_sized_new(1024);

	gateway->dialect->write_relay(exchange->head, &request,
				      exchange->body->len, out);
	return out;
}

/*
 * Returns how many runs the node may begin. This node does not learn how many
 * it began if it is lost, so one is kept for another node, or for this one,
 * which can go on with a resumable stream once it reaches an endpoint.
 */
static int32_t count_attempts(const struct exchange *exchange)
{
	int32_t left = exchange->max_attempts - exchange->runs;
	bool keeps_one =
		exchange->route->is_resumable || exchange_wants_relay(exchange);

	return left > 1 && keeps_one ? left - 1 : MAX(left, 1);
}

/*
 * Sends the request to another node if exchange_wants_relay; returns whether it
 * did. The exchange may be over and freed on return.
 */
bool exchange_relay(struct exchange *exchange)
{
	struct gateway *gateway = exchange->gateway;
	const struct gateway_peer *peer = NULL;
	struct attempt_options options = {
		.echo_field = gateway->dialect->id_field,
		.echo_value = exchange->parsed_request.id,
		.now_us = gateway->now_us,
		.has_no_body = strcmp(exchange->head->method, "HEAD") == 0,
		.max_other_bytes = exchange_max_other_bytes(exchange),
	};
	struct relay *relay;
	struct error error;
	const char *node;

	if (!exchange_wants_relay(exchange))
		return false;
	node = pick_node(exchange, &peer);
	g_assert(peer); /* as exchange_wants_relay found one */
	relay = g_new0(struct relay, 1);
	relay->exchange = exchange;
	relay->node = g_strdup(node);
	relay->sent_us = gateway->now_us;
	g_ptr_array_add(exchange->avoided_nodes, g_strdup(node));
	relay->attempts = count_attempts(exchange);
	relay->last_event = exchange->last_event;
	exchange->relay = relay;
	options.address = peer->address;
	options.request = relay_render(exchange);
	options.body = exchange->body;
	log_write(gateway->log, LOG_LEVEL_INFO, "request_relayed", "request",
		  exchange->parsed_request.id, "service",
		  exchange->service_name, "node", node, NULL);
	counters_add(gateway->options.counters, COUNTER_GATEWAY_RELAYED, 1);
	relay->attempt = attempt_start(&options, &relay_events, relay, &error);
	if (!relay->attempt)
		relay_fail(relay, false, error.detail);
	return true;
}

/* Whether a run that may have begun at the node may be repeated elsewhere. */
static bool may_repeat(struct exchange *exchange)
{
	struct retry_window *budget =
		gateway_budget(exchange->gateway, exchange->service_name);

	if (!route_may_repeat(exchange->route) ||
	    exchange->runs >= exchange->max_attempts ||
	    retry_window_remaining(budget) <= 0)
		return false;
	retry_window_take(budget);
	return true;
}

/*
 * A node that has sent events of a resumable stream has lost an endpoint, not
 * its use: it may be asked for the run that was kept.
 */
static void forgive_node(const struct relay *relay)
{
	struct exchange *exchange = relay->exchange;
	guint i;

	if (exchange_may_resume(exchange) &&
	    exchange->last_event > relay->last_event &&
	    g_ptr_array_find_with_equal_func(exchange->avoided_nodes,
					     relay->node, g_str_equal, &i))
		g_ptr_array_remove_index(exchange->avoided_nodes, i);
}

/* Whether this node reaches the service again, and may begin a run. */
static bool may_send_itself(const struct exchange *exchange)
{
	return !gateway_reach_is_lost(exchange->gateway,
				      exchange->service_name) &&
	       (exchange->runs == 0 ||
		(route_may_repeat(exchange->route) &&
		 exchange->runs < exchange->max_attempts));
}

/*
 * The node gave no answer: tries another one, or the endpoints that are in
 * reach again, or ends the request.
 */
static void relay_fail(struct relay *relay, bool may_have_run,
		       const char *detail)
{
	struct exchange *exchange = relay->exchange;

	exchange->gateway->now_us = gateway_now_us();
	log_write(exchange->gateway->log, LOG_LEVEL_INFO, "relay_failed",
		  "request", exchange->parsed_request.id, "node", relay->node,
		  "may_have_run", may_have_run ? "yes" : "no", "detail", detail,
		  NULL);
	if (exchange->answer_begun && !exchange_may_resume(exchange)) {
		exchange_abort(exchange, "relay_broken");
		return;
	}
	if (may_have_run)
		exchange->runs += relay->attempts;
	forgive_node(relay);
	relay_destroy(g_steal_pointer(&exchange->relay));
	exchange_clear_body(exchange);
	if (may_have_run && !may_repeat(exchange)) {
		exchange_refuse(exchange, 502, -1, "relay_broken");
		return;
	}
	if (exchange_relay(exchange))
		return;
	if (may_send_itself(exchange))
		exchange_send_new(exchange);
	else if (exchange->runs > 0)
		exchange_refuse(exchange, 502, -1, "relay_broken");
	else
		exchange_refuse(exchange, 503, RETRY_SOON_US, "no_connection");
}

/* Gives up on a node that accepts no connection. */
void exchange_step_relay(struct exchange *exchange)
{
	struct relay *relay = exchange->relay;

	if (!attempt_is_connected(relay->attempt) &&
	    exchange->gateway->now_us - relay->sent_us > CONNECT_TIMEOUT_US)
		relay_fail(relay, false, "connection not established");
}
