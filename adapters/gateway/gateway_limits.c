#include "adapters/gateway/gateway_state.h"

/*
 * Notes the limits on requests that endpoints state in their answers, and
 * passes them on. A node learns of a limit from its own requests or from other
 * nodes; few nodes of a large fleet get an answer of a limited endpoint at all.
 */

#define MAX_RATE_TEXT 24

/* As many limits fit into one datagram; with more, each record has others. */
#define LIMITS_PER_RECORD 60

#define CHECK_INTERVAL_US G_USEC_PER_SEC

/*
 * How long a limit that no answer states any more is kept. It differs from node
 * to node: the first one that sends a request again tells the others what the
 * answer says.
 */
#define RETENTION_MIN_S 30
#define RETENTION_MAX_S 60

/* The end of a limit is passed on for as long as older news may arrive. */
#define ENDED_RETENTION_US (60 * G_USEC_PER_SEC)

/*
 * After a pause of this process, records of peers have waited in its sockets,
 * and the ages in them are too low.
 */
#define DEAF_AFTER_PAUSE_US G_USEC_PER_SEC

static const struct gossip_schedule schedule = {
	.fresh_us = 3 * G_USEC_PER_SEC,
	.fresh_period_us = 100 * 1000,
	.fresh_receivers = 3,
	.stale_period_us = G_USEC_PER_SEC,
};

static const char *limit_text(const struct endpoint_limit *limit, char *text)
{
	if (!limit->is_limited)
		return "none";
	return g_ascii_formatd(text, MAX_RATE_TEXT, "%.3f",
			       (double)limit->rate_per_ks / 1000);
}

static void log_limit(const struct gateway *gateway,
		      const struct endpoint *endpoint, const char *source)
{
	char text[MAX_RATE_TEXT];

	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_limit", "endpoint",
		  endpoint->last_registration->id, "service",
		  endpoint->last_registration->service, "per_s",
		  limit_text(&endpoint->limit, text), "source", source, NULL);
}

/* Logs a limit that changed, and lets the next steps pass it on. */
static void note_change(struct gateway *gateway, struct endpoint *endpoint,
			const char *source)
{
	endpoint->limit_changed_us = gateway->now_us;
	gateway->limits_pace.changed_us = gateway->now_us;
	gateway->knows_limits |= endpoint->limit.is_limited;
	log_limit(gateway, endpoint, source);
}

/* Logs a value without a meaning once, until the endpoint's answers change. */
static void note_unreadable(const struct gateway *gateway,
			    struct endpoint *endpoint,
			    const struct answered_limit *answer)
{
	bool is_unreadable = answer->statement == LIMIT_UNREADABLE;
	char text[MAX_RATE_TEXT];

	if (answer->statement == LIMIT_UNKNOWN ||
	    is_unreadable == endpoint->limit_was_unreadable)
		return;
	endpoint->limit_was_unreadable = is_unreadable;
	if (!is_unreadable)
		return;
	log_write(gateway->log, LOG_LEVEL_WARN, "endpoint_limit_unreadable",
		  "endpoint", endpoint->last_registration->id, "service",
		  endpoint->last_registration->service, "kept_per_s",
		  limit_text(&endpoint->limit, text), NULL);
}

static void add_limit(const struct gateway *gateway,
		      const struct endpoint *endpoint, GArray *limits)
{
	const struct endpoint_limit *limit = &endpoint->limit;
	struct peer_endpoint_limit record = {
		.endpoint_key = endpoint->key,
		.is_limited = limit->is_limited,
		.rate_per_ks = limit->rate_per_ks,
		.age_us = gateway->now_us - limit->stated_us,
	};

	g_array_append_val(limits, record);
}

/* Whether other nodes need to know the limit, or that it has ended. */
static bool is_news(const struct gateway *gateway,
		    const struct endpoint *endpoint)
{
	if (endpoint->limit.is_limited)
		return true;
	return endpoint->limit_changed_us > 0 &&
	       gateway->now_us - endpoint->limit_changed_us <
		       ENDED_RETENTION_US;
}

/* Adds the limits of up to LIMITS_PER_RECORD endpoints, from a random one on.
 */
static void add_limits(struct gateway *gateway, GArray *limits)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	guint first;

	if (endpoints->len == 0)
		return;
	first = (guint)g_rand_int_range(gateway->random, 0,
					(gint32)endpoints->len);
	for (guint i = 0; i < endpoints->len && limits->len < LIMITS_PER_RECORD;
	     i++) {
		const struct endpoint *endpoint = g_ptr_array_index(
			endpoints, (first + i) % endpoints->len);

		if (is_news(gateway, endpoint))
			add_limit(gateway, endpoint, limits);
	}
}

static struct peer_message *create_message(struct gateway *gateway)
{
	return gateway->host.message(gateway->host.data, PEER_ENDPOINT_LIMITS);
}

/* Sends the limits that this node knows to others, if it knows any. */
static void send_limits(struct gateway *gateway, GPtrArray *addresses)
{
	struct peer_message *message = create_message(gateway);

	add_limits(gateway, message->endpoint_limits.limits);
	if (message->endpoint_limits.limits->len > 0)
		gateway->host.send(gateway->host.data, addresses, message);
	else
		peer_message_destroy(message);
}

/* Sends the limits that this node knows to one node. */
void gateway_limits_send(struct gateway *gateway, const char *peer_address)
{
	GPtrArray *addresses = g_ptr_array_new();

	g_ptr_array_add(addresses, (gpointer)peer_address);
	send_limits(gateway, addresses);
	g_ptr_array_unref(addresses);
}

/* Sends one limit to all nodes without delay. */
static void announce_limit(struct gateway *gateway,
			   const struct endpoint *endpoint)
{
	struct peer_message *message = create_message(gateway);

	add_limit(gateway, endpoint, message->endpoint_limits.limits);
	gateway_send_to_all(gateway, message);
}

/* Applies what an answer that arrives now says about its endpoint's limit. */
void gateway_limits_note_answer(struct gateway *gateway,
				struct endpoint *endpoint,
				const struct answered_limit *answer)
{
	bool was_limited = endpoint->limit.is_limited;

	note_unreadable(gateway, endpoint, answer);
	if (!endpoint_limit_apply_answer(&endpoint->limit, answer,
					 gateway->now_us))
		return;
	note_change(gateway, endpoint, "its answer");
	if (!was_limited)
		announce_limit(gateway, endpoint);
}

/* Applies the limits that another node knows. */
void gateway_limits_receive(struct gateway *gateway,
			    const struct peer_message *message)
{
	const GArray *limits = message->endpoint_limits.limits;

	if (gateway->now_us < gateway->limits_deaf_until_us)
		return;
	for (guint i = 0; i < limits->len; i++) {
		const struct peer_endpoint_limit *record =
			&g_array_index(limits, struct peer_endpoint_limit, i);
		const struct endpoint_limit news = {
			.is_limited = record->is_limited,
			.rate_per_ks = record->rate_per_ks,
			.stated_us = gateway->now_us - record->age_us,
		};
		struct endpoint *endpoint = registry_find_key(
			gateway->registry, record->endpoint_key);

		if (endpoint && endpoint_limit_apply(&endpoint->limit, &news))
			note_change(gateway, endpoint, message->from);
	}
}

/* Ignores for a while what other nodes said during a pause of this process. */
void gateway_limits_excuse_pause(struct gateway *gateway)
{
	gateway->limits_deaf_until_us = gateway_now_us() + DEAF_AFTER_PAUSE_US;
}

/*
 * Forgets limits that no answer states any more. This is no news: other nodes
 * find out by themselves.
 */
static void expire_limits(struct gateway *gateway)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	int64_t before_us = gateway->now_us - gateway->limits_retention_us;

	gateway->knows_limits = false;
	for (guint i = 0; i < endpoints->len; i++) {
		struct endpoint *endpoint = g_ptr_array_index(endpoints, i);

		if (endpoint_limit_expire(&endpoint->limit, before_us)) {
			endpoint->limit_changed_us = 0;
			log_limit(gateway, endpoint, "no answer");
		}
		gateway->knows_limits |= endpoint->limit.is_limited;
	}
}

/* To be called once, before the first step. */
void gateway_limits_init(struct gateway *gateway)
{
	gateway->limits_retention_us =
		(int64_t)(g_rand_double_range(gateway->random, RETENTION_MIN_S,
					      RETENTION_MAX_S) *
			  G_USEC_PER_SEC);
}

/* Forgets old limits and passes the others on to a few random nodes. */
void gateway_limits_step(struct gateway *gateway)
{
	GPtrArray *addresses;
	size_t count;

	if (gateway->now_us - gateway->limits_checked_us >= CHECK_INTERVAL_US) {
		gateway->limits_checked_us = gateway->now_us;
		expire_limits(gateway);
	}
	if (!gateway->knows_limits && gateway->limits_pace.changed_us == 0)
		return;
	count = gossip_pace_count_receivers(&gateway->limits_pace, &schedule,
					    gateway->now_us);
	if (count == 0)
		return;
	addresses = g_ptr_array_new();
	gateway_add_random_members(gateway, count, addresses);
	if (addresses->len > 0)
		send_limits(gateway, addresses);
	g_ptr_array_unref(addresses);
}
