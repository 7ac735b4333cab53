#include "adapters/gateway/gateway_state.h"
#include "core/gateway/endpoint_brittle.h"

/*
 * Endpoints that state that they end if they have to reject too many requests.
 * A node that one rejects tells all others, and nobody sends it anything for a
 * while; at other times nobody lets requests wait there.
 */

static void log_brittle(const struct gateway *gateway,
			const struct endpoint *endpoint)
{
	char text[24];

	g_ascii_formatd(text, sizeof(text), "%.3f",
			(double)endpoint->brittle.rate_per_ks / 1000);
	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_brittle", "endpoint",
		  endpoint->last_registration->id, "service",
		  endpoint->last_registration->service, "rejections_per_s",
		  endpoint->brittle.is_limited ? text : "any", NULL);
}

/* Logs a value without a meaning once, until the endpoint's answers change. */
static void note_unreadable(const struct gateway *gateway,
			    struct endpoint *endpoint, bool is_unreadable)
{
	if (is_unreadable && !endpoint->brittle_was_unreadable)
		log_write(gateway->log, LOG_LEVEL_WARN,
			  "endpoint_brittle_unreadable", "endpoint",
			  endpoint->last_registration->id, "service",
			  endpoint->last_registration->service, NULL);
	endpoint->brittle_was_unreadable = is_unreadable;
}

static void announce(struct gateway *gateway, const struct endpoint *endpoint)
{
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_ENDPOINT_FULL);

	message->endpoint_full.endpoint_key = endpoint->key;
	message->endpoint_full.is_over = !endpoint->brittle.is_limited;
	message->endpoint_full.rejections_per_ks =
		endpoint->brittle.rate_per_ks;
	gateway_send_to_all(gateway, message);
}

/* Applies what an answer that arrives now says of its endpoint. */
void gateway_brittle_note_answer(struct gateway *gateway,
				 struct endpoint *endpoint,
				 const struct answered_limit *answer)
{
	bool was_brittle = endpoint->brittle.is_limited;

	if (answer->statement != LIMIT_UNKNOWN)
		note_unreadable(gateway, endpoint,
				answer->statement == LIMIT_UNREADABLE);
	if (endpoint_limit_apply_answer(&endpoint->brittle, answer,
					gateway->now_us))
		log_brittle(gateway, endpoint);
	if (!was_brittle || endpoint->brittle.is_limited)
		return;
	endpoint->full_until_us = 0;
	announce(gateway, endpoint);
}

static int64_t pause_us(struct gateway *gateway,
			const struct endpoint *endpoint)
{
	return endpoint_brittle_pause_us(&endpoint->brittle,
					 gateway_node_count(gateway),
					 g_rand_double(gateway->random));
}

/* A brittle endpoint rejected a request of this node: all nodes pause. */
void gateway_brittle_note_rejection(struct gateway *gateway,
				    struct endpoint *endpoint)
{
	if (!endpoint->brittle.is_limited)
		return;
	endpoint->full_until_us = gateway->now_us + pause_us(gateway, endpoint);
	announce(gateway, endpoint);
}

/*
 * A brittle endpoint rejected a request of another node, or told it that it is
 * brittle no longer: this node's pause ends with that.
 */
void gateway_brittle_receive(struct gateway *gateway,
			     const struct peer_message *message)
{
	struct endpoint *endpoint = registry_find_key(
		gateway->registry, message->endpoint_full.endpoint_key);
	const struct answered_limit said = {
		.statement = LIMIT_STATED,
		.rate_per_ks = message->endpoint_full.rejections_per_ks,
	};

	if (!endpoint)
		return;
	if (message->endpoint_full.is_over) {
		endpoint->brittle = (struct endpoint_limit){0};
		endpoint->full_until_us = 0;
		return;
	}
	gateway_brittle_note_answer(gateway, endpoint, &said);
	endpoint->full_until_us =
		MAX(endpoint->full_until_us,
		    gateway->now_us + pause_us(gateway, endpoint));
}
