#include "adapters/gateway/exchange_state.h"
#include "adapters/gateway/tcp_stream.h"

#include <string.h>

/*
 * Collects evidence of whether endpoints that broke off runs have ended:
 * connections that they refuse, and their registrations.
 */

/* A reachable endpoint accepts a connection sooner. */
#define REACH_TIMEOUT_US (600 * 1000)

static void reach_check_step(struct gateway *gateway);

/* A connection to an endpoint that broke off a run. */
struct end_probe {
	struct gateway *gateway;
	struct lost_endpoint *lost;
	struct tcp_stream *stream;
};

static void end_probe_destroy(gpointer data)
{
	struct end_probe *probe = data;

	tcp_stream_destroy(probe->stream);
	g_free(probe);
}

/* Frees the probe: another one may follow. */
static void end_probe_end(struct end_probe *probe)
{
	probe->lost->probe = NULL;
	end_probe_destroy(probe);
}

static void on_probe_opened(void *data)
{
	struct end_probe *probe = data;

	lost_endpoint_note(probe->lost, CONNECTION_ACCEPTED, gateway_now_us());
	end_probe_end(probe);
}

static void on_probe_ended(void *data)
{
	end_probe_end(data);
}

/* Whether a request has a connection to the endpoint. */
static bool endpoint_is_connected(const struct gateway *gateway,
				  const char *endpoint_id)
{
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, gateway->exchanges);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		const struct leg *leg = ((const struct exchange *)key)->leg;

		if (leg && leg->attempt && attempt_is_open(leg->attempt) &&
		    strcmp(leg->endpoint_id, endpoint_id) == 0)
			return true;
	}
	return false;
}

/*
 * What a reset connection shows. An endpoint that has too many resets new ones,
 * and so does a forwarder whose endpoint has ended; but a process that ends
 * closes all of its connections.
 */
static enum connection_sign reset_sign(const struct gateway *gateway,
				       const char *endpoint_id)
{
	return endpoint_is_connected(gateway, endpoint_id) ? CONNECTION_ACCEPTED
							   : CONNECTION_RESET;
}

/* A connection that was neither refused nor reset shows nothing. */
static void on_probe_failed(void *data, const struct error *error)
{
	struct end_probe *probe = data;
	struct gateway *gateway = probe->gateway;
	struct lost_endpoint *lost = probe->lost;

	(void)error;
	if (tcp_stream_is_refused(probe->stream))
		lost_endpoint_note(lost, CONNECTION_REFUSED, gateway_now_us());
	else if (tcp_stream_was_accepted(probe->stream))
		lost_endpoint_note(lost, reset_sign(gateway, lost->id),
				   gateway_now_us());
	end_probe_end(probe);
	reach_check_step(gateway);
}

static void on_received(void *data, const char *bytes, size_t size)
{
	(void)data;
	(void)bytes;
	(void)size;
}

static const struct tcp_stream_events probe_events = {
	.opened = on_probe_opened,
	.received = on_received,
	.ended = on_probe_ended,
	.failed = on_probe_failed,
};

static gpointer probe_begin(void *data, struct lost_endpoint *lost)
{
	struct end_probe *probe = g_new0(struct end_probe, 1);
	struct error error;

	probe->gateway = data;
	probe->lost = lost;
	probe->stream =
		tcp_stream_connect(lost->address, &probe_events, probe, &error);
	if (probe->stream)
		return probe;
	g_free(probe);
	return NULL;
}

/* A connection to some endpoint, to see whether this node reaches any. */
struct reach_check {
	struct gateway *gateway;
	struct tcp_stream *stream;
	uint64_t endpoint_key;
	int64_t begun_us;
};

static void reach_check_end(struct gateway *gateway)
{
	struct reach_check *check = g_steal_pointer(&gateway->reach_check);

	if (!check)
		return;
	tcp_stream_destroy(check->stream);
	g_free(check);
}

static void on_reach_opened(void *data)
{
	struct reach_check *check = data;
	struct gateway *gateway = check->gateway;

	end_watch_note_heard(gateway->ends, check->endpoint_key,
			     gateway_now_us());
	reach_check_end(gateway);
	gateway_ends_step(gateway);
}

static void on_reach_failed(void *data, const struct error *error)
{
	(void)error;
	reach_check_end(((struct reach_check *)data)->gateway);
}

static void on_reach_ended(void *data)
{
	reach_check_end(((struct reach_check *)data)->gateway);
}

static const struct tcp_stream_events reach_events = {
	.opened = on_reach_opened,
	.received = on_received,
	.ended = on_reach_ended,
	.failed = on_reach_failed,
};

/* Returns a random endpoint that has broken off no run lately, or NULL. */
static const struct endpoint *pick_reach_target(struct gateway *gateway)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	guint first = endpoints->len > 0
			      ? (guint)g_rand_int_range(gateway->random, 0,
							(gint32)endpoints->len)
			      : 0;

	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint = g_ptr_array_index(
			endpoints, (first + i) % endpoints->len);

		if (endpoint_is_usable(endpoint) &&
		    !end_watch_has(gateway->ends, endpoint->key))
			return endpoint;
	}
	return NULL;
}

/* Connects to an endpoint, unless that is under way. */
static void reach_check_step(struct gateway *gateway)
{
	const struct endpoint *endpoint;
	struct reach_check *check = gateway->reach_check;
	struct error error;

	if (check && gateway->now_us - check->begun_us < REACH_TIMEOUT_US)
		return;
	reach_check_end(gateway);
	endpoint = pick_reach_target(gateway);
	if (!endpoint)
		return;
	check = g_new0(struct reach_check, 1);
	check->gateway = gateway;
	check->endpoint_key = endpoint->key;
	check->begun_us = gateway->now_us;
	check->stream = tcp_stream_connect(endpoint->last_registration->address,
					   &reach_events, check, &error);
	gateway->reach_check = check;
}

/*
 * Whether the endpoint is registered as it was when it ran the request. A new
 * start may have another id at the same address, or the same id.
 */
static bool is_registered(void *data, const struct lost_endpoint *lost)
{
	const struct gateway *gateway = data;
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	const struct endpoint *endpoint =
		registry_find(gateway->registry, lost->id);
	struct endpoint_start registered = lost->start;

	if (!endpoint || endpoint->presence == PRESENCE_GONE ||
	    strcmp(endpoint->last_registration->address, lost->address) != 0)
		return false;
	registered.born_ms = endpoint->last_registration->started_ms;
	if (endpoint_start_compare(&lost->start, &registered) == START_EARLIER)
		return false;
	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *other = g_ptr_array_index(endpoints, i);

		if (other != endpoint && other->known_us > lost->lost_us &&
		    strcmp(other->last_registration->address, lost->address) ==
			    0)
			return false;
	}
	return true;
}

/* Whether another address has an endpoint that this node may hear. */
static bool has_other(void *data, const struct lost_endpoint *lost)
{
	const struct gateway *gateway = data;
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);

	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		if (endpoint_is_usable(endpoint) &&
		    strcmp(endpoint->last_registration->address,
			   lost->address) != 0)
			return true;
	}
	return false;
}

static void check_reach(void *data)
{
	reach_check_step(data);
}

static void log_endpoint_ended(const struct gateway *gateway,
			       const struct lost_endpoint *lost,
			       const char *evidence)
{
	char ms[24];

	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   (gateway->now_us - lost->lost_us) / 1000);
	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_ended", "endpoint",
		  lost->id, "evidence", evidence, "after_ms", ms, NULL);
}

static void on_ended(void *data, const struct lost_endpoint *lost,
		     const char *evidence)
{
	struct gateway *gateway = data;

	struct endpoint *endpoint = registry_find(gateway->registry, lost->id);

	gateway_closes_note_end(gateway, &lost->start);
	if (endpoint &&
	    !lost_endpoint_may_live(lost, is_registered(gateway, lost)))
		endpoint->certain_ends++;
	if (quarantine_report_end(gateway->quarantine, &lost->start,
				  gateway->now_us))
		log_endpoint_ended(gateway, lost, evidence);
}

/* To be called once, before any other function here. */
void gateway_ends_init(struct gateway *gateway)
{
	const struct end_watch_host host = {
		.probe = probe_begin,
		.destroy_probe = end_probe_destroy,
		.check_reach = check_reach,
		.has_other = has_other,
		.is_registered = is_registered,
		.ended = on_ended,
		.data = gateway,
	};

	gateway->ends = end_watch_create(&host);
}

/* Frees what gateway_ends_init created. */
void gateway_ends_clear(struct gateway *gateway)
{
	reach_check_end(gateway);
	end_watch_destroy(gateway->ends);
}

/*
 * Begins to find out whether the start has ended, which broke off a run, or
 * closed the connection of one that looks whole.
 */
void gateway_ends_watch(struct gateway *gateway,
			const struct endpoint *endpoint,
			const struct endpoint_start *start, bool is_broken)
{
	const struct registration *said = endpoint->last_registration;

	end_watch_add(gateway->ends, said->id, said->address, start, is_broken,
		      gateway->now_us);
}

/* Records what a connection to the endpoint shows. */
void gateway_ends_note(struct gateway *gateway, const char *endpoint_id,
		       enum connection_sign sign)
{
	if (end_watch_note_connection(gateway->ends, endpoint_id, sign,
				      gateway->now_us))
		gateway_ends_step(gateway);
}

/* Records that a connection to the endpoint was reset before its first byte. */
void gateway_ends_note_reset(struct gateway *gateway, const char *endpoint_id)
{
	gateway_ends_note(gateway, endpoint_id,
			  reset_sign(gateway, endpoint_id));
}

/* Records that the endpoint is alive. */
void gateway_ends_note_heard(struct gateway *gateway,
			     const struct endpoint *endpoint)
{
	end_watch_note_heard(gateway->ends, endpoint->key, gateway_now_us());
}

/* Checks the evidence; quarantine learns of each endpoint that has ended. */
void gateway_ends_step(struct gateway *gateway)
{
	gateway->now_us = gateway_now_us();
	end_watch_step(gateway->ends, gateway->now_us);
}
