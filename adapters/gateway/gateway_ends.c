#include "adapters/gateway/gateway_state.h"
#include "adapters/gateway/tcp_stream.h"
#include "core/gateway/endpoint_end.h"

#include <string.h>

/*
 * Collects evidence of whether endpoints that broke off runs have ended:
 * connections that they refuse, and their registrations.
 */

/*
 * A process that ends closes all its sockets within this time, and may be back
 * soon after: the endpoint is asked at once, and again until then.
 */
#define PROBE_INTERVAL_US (30 * 1000)
#define MAX_PROBES 3

/* A reachable endpoint accepts a connection sooner. */
#define REACH_TIMEOUT_US (600 * 1000)

/* An endpoint that broke off a run, until it is known whether it has ended. */
struct lost_endpoint {
	struct gateway *gateway;
	char *id;
	char *address;
	struct endpoint_start start; /* that ran the request */
	uint64_t start_key;
	int64_t lost_us;
	int64_t refused_us;	  /* last refused connection; 0: none */
	int64_t accepted_us;	  /* last accepted connection; 0: none */
	bool is_replaced;	  /* another one answers at its address */
	struct tcp_stream *probe; /* NULL: not begun, or over */
	int64_t probed_us;
	int32_t probe_count;
};

static void note_heard(struct gateway *gateway, uint64_t endpoint_key)
{
	struct heard_endpoint *last = &gateway->heard[0];

	if (last->key != endpoint_key)
		gateway->heard[1] = *last;
	*last = (struct heard_endpoint){endpoint_key, gateway_now_us()};
}

static void reach_check_step(struct gateway *gateway);

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
	struct lost_endpoint *lost = data;

	lost->accepted_us = gateway_now_us();
	probe_end(lost);
}

static void on_probe_ended(void *data)
{
	probe_end(data);
}

static void on_probe_failed(void *data, const struct error *error)
{
	struct lost_endpoint *lost = data;

	(void)error;
	lost->refused_us = gateway_now_us();
	probe_end(lost);
	reach_check_step(lost->gateway);
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
	.ended = on_probe_ended,
	.failed = on_probe_failed,
};

static void probe_begin(struct lost_endpoint *lost)
{
	struct error error;

	lost->probe_count++;
	lost->probed_us = gateway_now_us();
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

	struct gateway *gateway = check->gateway;

	note_heard(gateway, check->endpoint_key);
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
	.received = on_probe_received,
	.ended = on_reach_ended,
	.failed = on_reach_failed,
};

/* Whether any start of the endpoint has broken off a run lately. */
static bool endpoint_is_lost(const struct gateway *gateway,
			     const struct endpoint *endpoint)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->lost_endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct lost_endpoint *)value)->start.endpoint_key ==
		    endpoint->key)
			return true;
	return false;
}

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
		    !endpoint_is_lost(gateway, endpoint))
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
		g_int64_hash, g_int64_equal, NULL, lost_endpoint_destroy);
}

/* Frees what gateway_ends_init created. */
void gateway_ends_clear(struct gateway *gateway)
{
	reach_check_end(gateway);
	g_hash_table_unref(gateway->lost_endpoints);
}

static struct lost_endpoint *find_lost(const struct gateway *gateway,
				       const struct endpoint_start *start)
{
	uint64_t start_key = endpoint_start_key(start);

	return g_hash_table_lookup(gateway->lost_endpoints, &start_key);
}

/* Begins to find out whether the start, which broke off a run, has ended. */
void gateway_ends_watch(struct gateway *gateway,
			const struct endpoint *endpoint,
			const struct endpoint_start *start)
{
	const struct registration *said = endpoint->last_registration;
	uint64_t start_key = endpoint_start_key(start);
	struct lost_endpoint *lost = find_lost(gateway, start);

	if (!lost) {
		lost = g_new0(struct lost_endpoint, 1);
		lost->gateway = gateway;
		lost->id = g_strdup(said->id);
		lost->address = g_strdup(said->address);
		lost->start = *start;
		lost->start_key = start_key;
		g_hash_table_insert(gateway->lost_endpoints, &lost->start_key,
				    lost);
	}
	lost->lost_us = gateway->now_us;
	lost->probe_count = 0;
	if (!lost->probe)
		probe_begin(lost);
}

/*
 * Whether the start, which is watched, has accepted a connection since, and
 * refused none.
 */
bool gateway_ends_has_lived_on(const struct gateway *gateway,
			       const struct endpoint_start *start,
			       int64_t since_us)
{
	const struct lost_endpoint *lost = find_lost(gateway, start);

	return lost && lost->accepted_us > since_us &&
	       lost->refused_us <= since_us;
}

/* Watches the start no longer, unless it has broken off a run after lost_us. */
void gateway_ends_forget(struct gateway *gateway,
			 const struct endpoint_start *start, int64_t lost_us)
{
	const struct lost_endpoint *lost = find_lost(gateway, start);

	if (lost && lost->lost_us <= lost_us)
		g_hash_table_remove(gateway->lost_endpoints, &lost->start_key);
}

/* What a connection to an endpoint tells of its starts that broke off runs. */
enum connection_sign { SIGN_ACCEPTED, SIGN_REFUSED, SIGN_REPLACED };

static void note_sign(struct gateway *gateway, const char *endpoint_id,
		      enum connection_sign sign)
{
	bool is_lost = false;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->lost_endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lost_endpoint *lost = value;

		if (strcmp(lost->id, endpoint_id) != 0)
			continue;
		is_lost = true;
		switch (sign) {
		case SIGN_ACCEPTED:
			lost->accepted_us = gateway->now_us;
			break;
		case SIGN_REFUSED:
			lost->refused_us = gateway->now_us;
			break;
		case SIGN_REPLACED:
			lost->is_replaced = true;
			break;
		}
	}
	if (is_lost)
		gateway_ends_step(gateway);
}

/* Records that the endpoint accepted a connection. */
void gateway_ends_note_accepted(struct gateway *gateway,
				const char *endpoint_id)
{
	note_sign(gateway, endpoint_id, SIGN_ACCEPTED);
}

/* Records that the endpoint refused a connection. */
void gateway_ends_note_refused(struct gateway *gateway, const char *endpoint_id)
{
	note_sign(gateway, endpoint_id, SIGN_REFUSED);
}

/* Records that an answer from the endpoint's address is not from it. */
void gateway_ends_note_replaced(struct gateway *gateway,
				const char *endpoint_id)
{
	note_sign(gateway, endpoint_id, SIGN_REPLACED);
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
static bool has_other(const struct gateway *gateway,
		      const struct lost_endpoint *lost)
{
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

/* Asks the endpoint again, unless it has refused a connection since. */
static void probe_step(struct lost_endpoint *lost)
{
	if (!lost->probe && lost->probe_count < MAX_PROBES &&
	    lost->refused_us <= lost->lost_us &&
	    lost->gateway->now_us - lost->probed_us >= PROBE_INTERVAL_US)
		probe_begin(lost);
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
		.accepted_us = lost->accepted_us,
		.heard_other_us =
			heard_other_us(gateway, lost->start.endpoint_key),
		.has_other = has_other(gateway, lost),
		.is_replaced = lost->is_replaced,
		.is_registered = is_registered(gateway, lost),
		.now_us = gateway->now_us,
	};

	(void)id;
	probe_step(lost);
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
	gateway_closes_note_end(gateway, &lost->start);
	if (quarantine_report_end(gateway->quarantine, &lost->start,
				  gateway->now_us))
		log_endpoint_ended(gateway, lost, &input);
	return TRUE;
}

/* Checks the evidence; quarantine learns of each endpoint that has ended. */
void gateway_ends_step(struct gateway *gateway)
{
	gateway->now_us = gateway_now_us();
	g_hash_table_foreach_remove(gateway->lost_endpoints, step_lost_endpoint,
				    gateway);
}
