#include "adapters/gateway/gateway_state.h"
#include "adapters/gateway/tcp_stream.h"

#include <string.h>

/*
 * Which services this node reaches, and which the others say they don't. A node
 * that is cut off from endpoints passes requests on through one that isn't.
 */

#define PROBE_INTERVAL_US (250 * 1000)

/* Missed announcements after which what a node said of its reach is void. */
#define SILENT_PERIODS 5

/* Reach of one service, and a connection that tries one of its endpoints. */
struct service_state {
	struct gateway *gateway;
	char *service;
	struct service_reach reach;
	struct tcp_stream *probe; /* NULL: none is under way */
	uint64_t probed_key;
	int64_t probed_us;
	int64_t used_us; /* last evidence of any kind */
};

/* A service counts as used lately for this long. */
#define USED_US (30 * G_USEC_PER_SEC)

static void probe_end(struct service_state *state)
{
	tcp_stream_destroy(g_steal_pointer(&state->probe));
}

static void service_state_destroy(gpointer data)
{
	struct service_state *state = data;

	probe_end(state);
	g_free(state->service);
	g_free(state);
}

static struct service_state *find_state(const struct gateway *gateway,
					const char *service)
{
	return g_hash_table_lookup(gateway->reach, service);
}

static struct service_state *use_state(struct gateway *gateway,
				       const char *service)
{
	struct service_state *state = find_state(gateway, service);

	if (!state) {
		state = g_new0(struct service_state, 1);
		state->gateway = gateway;
		state->service = g_strdup(service);
		g_hash_table_insert(gateway->reach, state->service, state);
	}
	state->used_us = gateway->now_us;
	return state;
}

static void log_reach(const struct service_state *state)
{
	log_write(state->gateway->log, LOG_LEVEL_WARN,
		  service_reach_is_lost(&state->reach) ? "service_unreached"
						       : "service_reached",
		  "service", state->service, NULL);
}

static uint64_t service_key(const char *service)
{
	return endpoint_key(service);
}

/* Returns whether no service that was used lately is reached, but one was. */
static bool add_lost_services(const struct gateway *gateway, GArray *services)
{
	GHashTableIter iter;
	gpointer value;
	bool is_cut = true;

	g_hash_table_iter_init(&iter, gateway->reach);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct service_state *state = value;
		uint64_t key = service_key(state->service);

		if (service_reach_is_lost(&state->reach))
			g_array_append_val(services, key);
		else if (gateway->now_us - state->used_us < USED_US)
			is_cut = false;
	}
	return is_cut && services->len > 0;
}

/* Tells all nodes what this one reaches, if it isn't everything. */
void gateway_reach_announce(struct gateway *gateway)
{
	struct peer_message *message;
	bool was_complete = gateway->reach_is_complete;

	message = gateway->host.message(gateway->host.data, PEER_REACH);
	gateway->is_cut = message->reach.is_cut =
		add_lost_services(gateway, message->reach.lost_services);
	gateway->reach_is_complete = message->reach.lost_services->len == 0;
	if (was_complete && gateway->reach_is_complete)
		peer_message_destroy(message);
	else
		gateway_send_to_all(gateway, message);
}

static void note_change(struct service_state *state)
{
	log_reach(state);
	gateway_reach_announce(state->gateway);
}

/* Records that the endpoint accepted a new connection. */
void gateway_reach_note_connected(struct gateway *gateway, const char *service)
{
	struct service_state *state = use_state(gateway, service);

	if (service_reach_note_connected(&state->reach))
		note_change(state);
}

/* Records that the endpoint accepted no connection. */
void gateway_reach_note_failure(struct gateway *gateway, const char *service,
				uint64_t endpoint_key)
{
	struct service_state *state = use_state(gateway, service);
	size_t count = registry_count_usable(gateway->registry, service);

	if (service_reach_note_failure(&state->reach, endpoint_key, count,
				       gateway->now_us))
		note_change(state);
}

static void on_probe_opened(void *data)
{
	struct service_state *state = data;

	probe_end(state);
	gateway_reach_note_connected(state->gateway, state->service);
}

static void on_probe_failed(void *data, const struct error *error)
{
	struct service_state *state = data;

	(void)error;
	probe_end(state);
	gateway_reach_note_failure(state->gateway, state->service,
				   state->probed_key);
}

static void on_probe_received(void *data, const char *bytes, size_t size)
{
	(void)data;
	(void)bytes;
	(void)size;
}

static void on_probe_ended(void *data)
{
	probe_end(data);
}

static const struct tcp_stream_events probe_events = {
	.opened = on_probe_opened,
	.received = on_probe_received,
	.ended = on_probe_ended,
	.failed = on_probe_failed,
};

/* Returns a random usable endpoint of the service, or NULL. */
static const struct endpoint *pick_endpoint(struct gateway *gateway,
					    const char *service)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);
	size_t count = registry_count_usable(gateway->registry, service);
	guint32 left =
		count > 0 ? g_rand_int(gateway->random) % (guint32)count : 0;

	for (guint i = 0; count > 0 && i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);

		if (endpoint_is_usable(endpoint) &&
		    strcmp(endpoint->last_registration->service, service) ==
			    0 &&
		    left-- == 0)
			return endpoint;
	}
	return NULL;
}

static void probe_begin(struct service_state *state)
{
	const struct endpoint *endpoint =
		pick_endpoint(state->gateway, state->service);
	struct error error;

	probe_end(state);
	state->probed_us = state->gateway->now_us;
	if (!endpoint)
		return;
	state->probed_key = endpoint->key;
	state->probe = tcp_stream_connect(endpoint->last_registration->address,
					  &probe_events, state, &error);
}

/* Tries lost services again, so that no request has to. */
void gateway_reach_step(struct gateway *gateway)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gateway->reach);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct service_state *state = value;

		if (!service_reach_is_lost(&state->reach))
			probe_end(state);
		else if (gateway->now_us - state->probed_us >=
			 PROBE_INTERVAL_US)
			probe_begin(state);
	}
}

/* To be called once, before any other function here. */
void gateway_reach_init(struct gateway *gateway)
{
	gateway->reach_is_complete = true;
	gateway->reach = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       service_state_destroy);
}

/* Whether this node reaches no endpoint of the service. */
bool gateway_reach_is_lost(const struct gateway *gateway, const char *service)
{
	const struct service_state *state = find_state(gateway, service);

	return state && service_reach_is_lost(&state->reach);
}

/* Applies what another node says of its reach. */
void gateway_reach_receive(struct gateway *gateway,
			   const struct peer_message *message)
{
	struct gateway_peer *peer =
		g_hash_table_lookup(gateway->peers, message->from);

	if (!peer)
		return;
	peer->is_cut = message->reach.is_cut;
	peer->reach_heard_us = gateway->now_us;
	if (peer->lost_services)
		g_array_unref(peer->lost_services);
	peer->lost_services = g_array_ref(message->reach.lost_services);
}

static bool is_current(const struct gateway *gateway,
		       const struct gateway_peer *peer)
{
	return peer->lost_services &&
	       gateway_peer_is_recent(gateway, peer->reach_heard_us,
				      SILENT_PERIODS);
}

/* Whether the node says that it reaches no endpoint at all. */
bool gateway_peer_is_cut(const struct gateway *gateway,
			 const struct gateway_peer *peer)
{
	return is_current(gateway, peer) && peer->is_cut;
}

/* Whether the node may reach endpoints of the service. */
bool gateway_peer_reaches(const struct gateway *gateway,
			  const struct gateway_peer *peer, const char *service)
{
	uint64_t key = service_key(service);

	if (!is_current(gateway, peer))
		return true;
	for (guint i = 0; i < peer->lost_services->len; i++)
		if (g_array_index(peer->lost_services, uint64_t, i) == key)
			return false;
	return true;
}
