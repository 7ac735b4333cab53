#include "adapters/gateway/gateway_state.h"

/*
 * Endpoints that say themselves whether they leave. Their entries say so too,
 * but may come late, out of order or not at all, as while the store is away. A
 * node that hears of it first in an answer tells the others, and nodes that
 * start later. An endpoint whose entries contradict each other is asked.
 */

/* A report may be older than an entry for as long as these calls take. */
#define ASKS_BEFORE_REPORT 3

static struct peer_message *create_message(struct gateway *gateway,
					   const struct endpoint *endpoint)
{
	struct peer_message *message = gateway->host.message(
		gateway->host.data, PEER_ENDPOINT_LEAVING);

	message->endpoint_leaving.endpoint_key = endpoint->key;
	message->endpoint_leaving.started_ms = endpoint->leaving_start_ms;
	return message;
}

/*
 * Notes an answer of the endpoint that says that it leaves. known_us is when
 * the start that was asked was first seen: the word of an earlier start says
 * nothing of the present one.
 */
void gateway_leaving_note_answer(struct gateway *gateway,
				 struct endpoint *endpoint, int64_t known_us)
{
	if (endpoint->known_us != known_us ||
	    !endpoint_note_leaving(endpoint, 0, gateway->now_us))
		return;
	counters_add(gateway->options.counters, COUNTER_GATEWAY_LEAVING, 1);
	gateway_log_endpoint(gateway, endpoint->last_registration->id,
			     "its answer");
	gateway_send_to_all(gateway, create_message(gateway, endpoint));
}

/* Tells one node of all endpoints that said that they leave. */
void gateway_leaving_send(struct gateway *gateway, const char *peer_address)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);

	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		if (endpoint->said_leaving_us &&
		    endpoint->presence == PRESENCE_LEAVING)
			gateway_send(gateway, peer_address,
				     create_message(gateway, endpoint));
	}
}

/* An endpoint said to another node that it leaves. */
void gateway_leaving_receive(struct gateway *gateway,
			     const struct peer_message *message)
{
	const struct peer_endpoint_leaving *news = &message->endpoint_leaving;
	struct endpoint *endpoint =
		registry_find_key(gateway->registry, news->endpoint_key);

	if (endpoint &&
	    endpoint_note_leaving(endpoint, news->started_ms, gateway->now_us))
		gateway_log_endpoint(gateway, endpoint->last_registration->id,
				     message->from);
}

static void on_status(void *data, const char *endpoint_id,
		      enum endpoint_status status)
{
	struct gateway *gateway = data;

	if (!registry_note_status(gateway->registry, endpoint_id, status,
				  gateway->now_us))
		return;
	gateway_log_endpoint(gateway, endpoint_id, "its status");
	gateway_peers_announce_endpoint(gateway, endpoint_id);
}

/* Creates what asks endpoints for their status. */
void gateway_leaving_init(struct gateway *gateway)
{
	const struct report_poll_options statuses = {
		.dialect = gateway->dialect,
		.log = gateway->log,
		.counters = gateway->options.counters,
		.on_status = on_status,
		.data = gateway,
	};

	gateway->statuses = report_poll_create(&statuses);
}

/*
 * Asks an endpoint whether it serves. A busy one turns the check away; if it is
 * an engine, its report tells, which takes no slot.
 */
static void ask_status(struct gateway *gateway, struct endpoint *endpoint,
		       const struct config_service *service)
{
	bool asks_report = service->kind == SERVICE_GENERATION &&
			   (!service->status_path ||
			    endpoint->unclear_asks >= ASKS_BEFORE_REPORT);

	endpoint_note_status_ask(endpoint, gateway->now_us);
	if (!asks_report && !service->status_path)
		on_status(gateway, endpoint->last_registration->id,
			  ENDPOINT_NOT_ASKED);
	else
		report_poll_ask(gateway->statuses, endpoint,
				asks_report ? NULL : service->status_path,
				gateway->now_us);
}

/* Asks the endpoints that have to confirm their entries. */
void gateway_leaving_step(struct gateway *gateway)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);

	for (guint i = 0; gateway->table && i < endpoints->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);
		const struct config_service *service;

		if (!endpoint_wants_status(endpoint, gateway->now_us))
			continue;
		if (!report_poll_has_room(gateway->statuses, gateway->now_us))
			return;
		service = route_table_find_service(
			gateway->table, endpoint->last_registration->service);
		if (service)
			ask_status(gateway, endpoint, service);
	}
}
