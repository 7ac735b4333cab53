#include "adapters/gateway/gateway_state.h"

/*
 * Endpoints that say in their answers that they leave. Their entries say so
 * too, but may come late or not at all, as while the store is away. A node that
 * hears of it first tells the others, and nodes that start later.
 */

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
