#include "adapters/gateway/gateway_state.h"
#include "adapters/gateway/tcp_stream.h"
#include "core/gateway/endpoint_end.h"

#include <string.h>

/*
 * Collects evidence of whether endpoints that broke off runs have ended:
 * connections that they refuse, and their registrations.
 */

/* A process that ends closes all its sockets within this time. */
#define PROBE_AFTER_US (30 * 1000)

/* A reachable endpoint accepts a connection sooner. */
#define REACH_TIMEOUT_US (600 * 1000)

#define CHECK_INTERVAL_US (50 * 1000)

/* An endpoint that broke off a run, until it is known whether it has ended. */
struct lost_endpoint {
	struct gateway *gateway;
	char *id;
	char *address;
	uint64_t key;
	int64_t known_us; /* start of the endpoint that ran the request */
	int64_t lost_us;
	int64_t refused_us;	  /* last refused connection; 0: none */
	bool is_replaced;	  /* another one answers at its address */
	struct tcp_stream *probe; /* NULL: not begun, or over */
	bool is_probed;
};

static void note_heard(struct gateway *gateway, uint64_t endpoint_key)
{
	struct heard_endpoint *last = &gateway->heard[0];

	if (last->key != endpoint_key)
		gateway->heard[1] = *last;
	*last = (struct heard_endpoint){endpoint_key, gateway_now_us()};
}

static void lost_endpoint_destroy(gpointer data)
{
	struct lost_endpoint *lost = data;

	tcp_stream_destroy(lost->probe);
	g_free(lost->id);
	g_free(lost->address);
	g_free(lost);
}

static void probe_end(struct lost_endpoint *lost)
{
	tcp_stream_destroy(g_steal_pointer(&lost->probe));
}

static void on_probe_opened(void *data)
{
	probe_end(data);
}

static void on_probe_failed(void *data, const struct error *error)
{
	struct lost_endpoint *lost = data;

	(void)error;
	lost->refused_us = gateway_now_us();
	probe_end(lost);
}

static void on_probe_received(void *data, const char *bytes, size_t size)
{
	(void)data;
	(void)bytes;
	(void)size;
}

static const struct tcp_stream_events probe_events = {
	.opened = on_probe_opened,
	.received = on_probe_received,
	.ended = on_probe_opened,
	.failed = on_probe_failed,
};

static void probe_begin(struct lost_endpoint *lost)
{
	struct error error;

	lost->is_probed = true;
	lost->probe =
		tcp_stream_connect(lost->address, &probe_events, lost, &error);
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

	note_heard(check->gateway, check->endpoint_key);
	reach_check_end(check->gateway);
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
	.received = on_probe_received,
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
		    !g_hash_table_contains(gateway->lost_endpoints,
					   endpoint->last_registration->id))
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

/* To be called once, before any other function here. */
void gateway_ends_init(struct gateway *gateway)
{
	gateway->lost_endpoints = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, lost_endpoint_destroy);
}

/* Frees what gateway_ends_init created. */
void gateway_ends_clear(struct gateway *gateway)
{
	reach_check_end(gateway);
	g_hash_table_unref(gateway->lost_endpoints);
}

/* Begins to find out whether the endpoint, which broke off a run, has ended. */
void gateway_ends_watch(struct gateway *gateway,
			const struct endpoint *endpoint)
{
	const struct registration *said = endpoint->last_registration;
	struct lost_endpoint *lost =
		g_hash_table_lookup(gateway->lost_endpoints, said->id);

	if (!lost) {
		lost = g_new0(struct lost_endpoint, 1);
		lost->gateway = gateway;
		lost->id = g_strdup(said->id);
		lost->address = g_strdup(said->address);
		lost->key = endpoint->key;
		lost->known_us = endpoint->known_us;
		g_hash_table_insert(gateway->lost_endpoints, lost->id, lost);
	}
	lost->lost_us = gateway->now_us;
	lost->is_probed = false;
}

/* Records that the endpoint refused a connection. */
void gateway_ends_note_refused(struct gateway *gateway, const char *endpoint_id)
{
	struct lost_endpoint *lost =
		g_hash_table_lookup(gateway->lost_endpoints, endpoint_id);

	if (lost)
		lost->refused_us = gateway->now_us;
}

/*
 * Records that an answer from the address of the endpoint is not from it.
 */
void gateway_ends_note_replaced(struct gateway *gateway,
				const char *endpoint_id)
{
	struct lost_endpoint *lost =
		g_hash_table_lookup(gateway->lost_endpoints, endpoint_id);

	if (lost)
		lost->is_replaced = true;
}

/* Records that the endpoint is alive. */
void gateway_ends_note_heard(struct gateway *gateway,
			     const struct endpoint *endpoint)
{
	note_heard(gateway, endpoint->key);
}

/* When bytes of an endpoint other than this one arrived last; 0: never. */
static int64_t heard_other_us(const struct gateway *gateway, uint64_t key)
{
	const struct heard_endpoint *heard = gateway->heard;

	return heard[0].key != key ? heard[0].at_us : heard[1].at_us;
}

/*
 * Whether the endpoint is registered as it was when it ran the request. A new
 * start may have another id at the same address, or the same id.
 */
static bool is_registered(const struct gateway *gateway,
			  const struct lost_endpoint *lost)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	const struct endpoint *endpoint =
		registry_find(gateway->registry, lost->id);

	if (!endpoint || endpoint->presence == PRESENCE_GONE ||
	    !endpoint_is_same_start(endpoint, lost->known_us))
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

static const char *evidence_name(const struct endpoint_end_input *input)
{
	if (input->is_replaced)
		return "another one answers";
	return input->is_registered ? "refuses connections"
				    : "its registration";
}

static void log_endpoint_ended(const struct gateway *gateway,
			       const struct lost_endpoint *lost,
			       const struct endpoint_end_input *input)
{
	char ms[24];

	g_snprintf(ms, sizeof(ms), "%" G_GINT64_FORMAT,
		   (input->now_us - input->lost_us) / 1000);
	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_ended", "endpoint",
		  lost->id, "evidence", evidence_name(input), "after_ms", ms,
		  NULL);
}

/* Returns whether nothing more is to be found out about the endpoint. */
static gboolean step_lost_endpoint(gpointer id, gpointer value, gpointer data)
{
	struct lost_endpoint *lost = value;
	struct gateway *gateway = data;
	const struct endpoint_end_input input = {
		.lost_us = lost->lost_us,
		.refused_us = lost->refused_us,
		.heard_other_us = heard_other_us(gateway, lost->key),
		.is_replaced = lost->is_replaced,
		.is_registered = is_registered(gateway, lost),
		.now_us = gateway->now_us,
	};

	(void)id;
	if (!lost->is_probed && !lost->probe &&
	    gateway->now_us - lost->lost_us >= PROBE_AFTER_US)
		probe_begin(lost);
	switch (endpoint_end_decide(&input)) {
	case ENDPOINT_END_UNKNOWN:
		if (input.refused_us > input.lost_us)
			reach_check_step(gateway);
		return FALSE;
	case ENDPOINT_END_GIVEN_UP:
		return TRUE;
	case ENDPOINT_END_CONFIRMED:
		break;
	}
	if (quarantine_report_end(gateway->quarantine, lost->key,
				  gateway->now_us))
		log_endpoint_ended(gateway, lost, &input);
	return TRUE;
}

/* Checks the evidence; quarantine learns of each endpoint that has ended. */
void gateway_ends_step(struct gateway *gateway)
{
	if (gateway->now_us - gateway->ends_checked_us < CHECK_INTERVAL_US)
		return;
	gateway->ends_checked_us = gateway->now_us;
	g_hash_table_foreach_remove(gateway->lost_endpoints, step_lost_endpoint,
				    gateway);
}
