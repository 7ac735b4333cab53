#include "adapters/gateway/gateway_state.h"
#include "core/base/store_position.h"
#include "core/gateway/join_sync.h"
#include "core/gateway/sentinels.h"

#include <string.h>

/*
 * Announcements between the gateways of all nodes: the load that each puts on
 * each endpoint, the version of its configuration, whether it accepts
 * requests, and updates of endpoints. Records carry state, not changes, so the
 * next record makes up for a lost one.
 */

/* Missed standings after which callers are not directed to a node. */
#define SILENT_PERIODS 5

/* Missed standings after which a sentinel is not relied on. */
#define SENTINEL_SILENT_PERIODS 3

/*
 * Time after which the load of a silent node expires: if it died, its requests
 * have ended with it. The minimum covers a node that is paused for some
 * seconds, as its requests keep running at the engines.
 */
#define LOAD_EXPIRY_PERIODS 3
#define LOAD_EXPIRY_MIN_US (4 * G_USEC_PER_SEC)

/* One in this many standings also sends all endpoints to a member. */
#define STANDINGS_PER_SYNC 4

/* Most updates of endpoints in one record, which a datagram then holds. */
#define REGISTRATIONS_PER_RECORD 6

/* Most addresses in one answer to a caller. */
#define MAX_ADDRESSES 64

/* Frees a struct gateway_peer. */
void gateway_peer_destroy(gpointer data)
{
	struct gateway_peer *peer = data;

	if (peer->lost_services)
		g_array_unref(peer->lost_services);
	g_free(peer->address);
	g_free(peer);
}

static int64_t periods_us(const struct gateway *gateway, int64_t periods)
{
	return periods *
	       announce_pace_period_us(gateway_node_count(gateway) - 1);
}

/* Whether a record came within the given number of standings' periods. */
bool gateway_peer_is_recent(const struct gateway *gateway, int64_t heard_us,
			    int64_t periods)
{
	return gateway->now_us - heard_us < periods_us(gateway, periods);
}

static bool peer_is_recent(const struct gateway *gateway,
			   const struct gateway_peer *peer, int64_t periods)
{
	return gateway_peer_is_recent(gateway, peer->heard_us, periods);
}

/* Whether callers may be directed to the node. */
bool gateway_peer_is_heard(const struct gateway *gateway,
			   const struct gateway_peer *peer)
{
	return peer_is_recent(gateway, peer, SILENT_PERIODS);
}

/* Live nodes, this one included; at least 1. */
size_t gateway_node_count(const struct gateway *gateway)
{
	return MAX(membership_count(gateway->host.members(gateway->host.data)),
		   1);
}

static void add_held(struct gateway *gateway, struct peer_standing *standing)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);

	for (guint i = 0; i < endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(endpoints, i);
		const struct held *own = &endpoint->own;
		struct peer_held *held;

		if (own->requests == 0 && own->copies == 0)
			continue;
		held = peer_standing_add_held(standing, endpoint->key);
		held->requests = own->requests;
		held->copies = own->copies;
		held->tokens = own->tokens;
		held->unread_tokens = own->unread_tokens;
	}
}

/* A doubted endpoint is left out: others would read it as a removal. */
static void add_registration(struct peer_standing *standing,
			     const struct endpoint *endpoint)
{
	struct registration *said;

	if (endpoint->presence == PRESENCE_DOUBTED)
		return;
	said = registration_copy(endpoint->last_registration);
	said->is_removed = endpoint->presence == PRESENCE_GONE;
	g_ptr_array_add(standing->registrations, said);
}

static void add_registrations(struct gateway *gateway,
			      struct peer_standing *standing)
{
	const GPtrArray *endpoints = registry_endpoints(gateway->registry);

	for (guint i = 0; i < endpoints->len; i++)
		add_registration(standing, g_ptr_array_index(endpoints, i));
}

/*
 * Creates a message with this node's load and state, without updates of
 * endpoints. The caller owns it.
 */
struct peer_message *gateway_create_standing(struct gateway *gateway)
{
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_STANDING);
	struct peer_standing *standing = &message->standing;

	standing->table_version = gateway_table_version(gateway);
	standing->answered = gateway_home_answered(gateway);
	standing->accepts_requests = gateway_accepts_requests(gateway);
	standing->reaches_store = gateway->store_is_reached;
	standing->callers_address = g_strdup(gateway->options.address);
	add_held(gateway, standing);
	return message;
}

static bool member_is_other(const struct gateway *gateway,
			    const struct member *member)
{
	return strcmp(member->name, gateway->options.node_name) != 0;
}

/* Sends a message to one node; takes ownership of the message. */
void gateway_send(struct gateway *gateway, const char *peer_address,
		  struct peer_message *message)
{
	GPtrArray *addresses = g_ptr_array_new();

	g_ptr_array_add(addresses, (gpointer)peer_address);
	gateway->host.send(gateway->host.data, addresses, message);
	g_ptr_array_unref(addresses);
}

/* Sends to all members, also suspected ones, which may only be slow. */
void gateway_send_to_all(struct gateway *gateway, struct peer_message *message)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	GPtrArray *addresses = g_ptr_array_new();

	for (size_t i = 0; i < membership_count(members); i++) {
		const struct member *member = membership_get(members, i);

		if (member_is_other(gateway, member))
			g_ptr_array_add(addresses, member->peer_address);
	}
	gateway->host.send(gateway->host.data, addresses, message);
	g_ptr_array_unref(addresses);
}

/* Adds the addresses of up to count random other nodes. */
void gateway_add_random_members(struct gateway *gateway, size_t count,
				GPtrArray *addresses)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	gint32 all = (gint32)membership_count(members);

	for (size_t i = 0; all > 0 && i < count; i++) {
		const struct member *member = membership_get(
			members,
			(size_t)g_rand_int_range(gateway->random, 0, all));

		if (member_is_other(gateway, member))
			g_ptr_array_add(addresses, member->peer_address);
	}
}

/* Announces the state of an endpoint to all nodes without delay. */
void gateway_peers_announce_endpoint(struct gateway *gateway,
				     const char *endpoint_id)
{
	struct peer_message *message = gateway_create_standing(gateway);

	add_registration(&message->standing,
			 registry_find(gateway->registry, endpoint_id));
	gateway_send_to_all(gateway, message);
}

/*
 * Records the failure notice of a node, this one or another, whose request the
 * endpoint aborted. Further notices may put the endpoint aside for a time.
 */
void gateway_add_failure_notice(struct gateway *gateway, uint64_t reporter,
				const char *endpoint_id)
{
	struct endpoint *endpoint =
		registry_find(gateway->registry, endpoint_id);
	char aside[24];

	if (!endpoint ||
	    !endpoint_suspicion_add_notice(&endpoint->suspicion, reporter,
					   gateway->now_us))
		return;
	g_snprintf(aside, sizeof(aside), "%" G_GINT64_FORMAT,
		   endpoint->suspicion.aside_us / 1000);
	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_aside", "endpoint",
		  endpoint_id, "for_ms", aside, NULL);
}

/*
 * Notifies all nodes that an engine broke off a generation: further notices may
 * put it aside for a time.
 */
void gateway_peers_announce_failure(struct gateway *gateway,
				    uint64_t fingerprint,
				    const char *endpoint_id)
{
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_FAILURE_NOTICE);

	message->failure_notice.fingerprint = fingerprint;
	message->failure_notice.endpoint = g_strdup(endpoint_id);
	gateway_send_to_all(gateway, message);
}

/* Last announcement of a sentinel; NULL: none came, or it is this node. */
static const struct gateway_peer *find_sentinel(const struct gateway *gateway,
						size_t i)
{
	const struct member *member =
		sentinel_get(gateway->host.members(gateway->host.data), i);

	return member ? g_hash_table_lookup(gateway->peers, member->name)
		      : NULL;
}

/* Whether a sentinel with this state of the store was heard recently. */
static bool sentinel_is_heard(const struct gateway *gateway, bool reaches_store)
{
	for (size_t i = 0; i < SENTINEL_COUNT; i++) {
		const struct gateway_peer *peer = find_sentinel(gateway, i);

		if (peer && peer->reaches_store == reaches_store &&
		    peer_is_recent(gateway, peer, SENTINEL_SILENT_PERIODS))
			return true;
	}
	return false;
}

/*
 * Whether other nodes depend on this one for news of the store: it is a
 * sentinel, or no sentinel that reaches the store is heard.
 */
bool gateway_is_informer(const struct gateway *gateway)
{
	return sentinel_is(gateway->host.members(gateway->host.data),
			   gateway->options.node_name) ||
	       !sentinel_is_heard(gateway, true);
}

/*
 * Announces the endpoints (char * ids) that an answer of the store changed, in
 * few records, if other nodes depend on this one for that.
 */
void gateway_peers_announce_changes(struct gateway *gateway,
				    const GPtrArray *ids)
{
	if (!gateway_is_informer(gateway))
		return;
	for (guint i = 0; i < ids->len;) {
		struct peer_message *message = gateway_create_standing(gateway);
		guint end = MIN(i + REGISTRATIONS_PER_RECORD, ids->len);

		for (; i < end; i++)
			add_registration(&message->standing,
					 registry_find(gateway->registry,
						       ids->pdata[i]));
		gateway_send_to_all(gateway, message);
	}
}

/*
 * Whether a sentinel has lost the store. One without a configuration doesn't
 * count: it has just started and never reached the store.
 */
static bool sentinel_announces_loss(const struct gateway *gateway)
{
	for (size_t i = 0; i < SENTINEL_COUNT; i++) {
		const struct gateway_peer *peer = find_sentinel(gateway, i);

		if (peer && !peer->reaches_store && peer->table_version >= 0 &&
		    peer_is_recent(gateway, peer, SILENT_PERIODS))
			return true;
	}
	return false;
}

/* Whether the store is reached by this node and by the sentinels. */
struct store_view gateway_store_view(const struct gateway *gateway)
{
	return (struct store_view){
		.watches_store = gateway->store_watch.entries,
		.reaches_store = gateway->store_is_reached,
		.sentinel_reaches_store = sentinel_is_heard(gateway, true),
		.sentinel_lost_store = sentinel_announces_loss(gateway),
	};
}

/*
 * Whether the store may be unreachable. Without it no notice of a leaving
 * engine arrives, and its generations would be cut off.
 */
bool gateway_store_is_away(const struct gateway *gateway)
{
	struct store_view view = gateway_store_view(gateway);

	return store_doubt_suspects_outage(&gateway->store_doubt, &view,
					   gateway->now_us);
}

static void step_store_watch(struct gateway *gateway)
{
	const struct store_watch_input input = {
		.is_sentinel =
			sentinel_is(gateway->host.members(gateway->host.data),
				    gateway->options.node_name),
		.reaches_store = gateway->store_is_reached,
		.sentinel_reaches_store = sentinel_is_heard(gateway, true),
		.sentinel_lost_store = sentinel_is_heard(gateway, false),
		.knows_endpoints = registry_has_usable(gateway->registry),
	};
	struct store_watch watch = store_watch_decide(&input);

	if (store_watch_equals(&watch, &gateway->store_watch))
		return;
	gateway->store_watch = watch;
	gateway->host.watch(gateway->host.store_data, &watch);
}

/*
 * Sends all endpoints to one node. A node that has just started has none and
 * may not reach the store.
 */
static void send_registrations(struct gateway *gateway,
			       const char *peer_address)
{
	struct peer_message *message = gateway_create_standing(gateway);

	add_registrations(gateway, &message->standing);
	gateway_send(gateway, peer_address, message);
}

/* Sends all endpoints to a random member, to make up for lost updates. */
static void sync_random_member(struct gateway *gateway)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	size_t count = membership_count(members);
	const struct member *member;

	if (count == 0)
		return;
	member = membership_get(
		members,
		(size_t)g_rand_int_range(gateway->random, 0, (gint32)count));
	if (member_is_other(gateway, member))
		send_registrations(gateway, member->peer_address);
}

static void announce_to_all(struct gateway *gateway)
{
	gateway_send_to_all(gateway, gateway_create_standing(gateway));
	gateway_reach_announce(gateway);
	if (gateway->standings++ % STANDINGS_PER_SYNC == 0)
		sync_random_member(gateway);
}

/* Announces to the others at regular times, and sooner after a change. */
void gateway_peers_step(struct gateway *gateway)
{
	size_t others = gateway_node_count(gateway) - 1;
	bool changed = gateway->announce_pending;

	registry_expire_nodes(
		gateway->registry,
		gateway->now_us - MAX(periods_us(gateway, LOAD_EXPIRY_PERIODS),
				      LOAD_EXPIRY_MIN_US));
	step_store_watch(gateway);
	gateway->announce_pending = false;
	if (announce_pace_is_due(&gateway->pace, others, changed,
				 gateway->now_us))
		announce_to_all(gateway);
}

/* Announces that this node drains, so that callers go to other nodes. */
void gateway_peers_announce_drain(struct gateway *gateway)
{
	announce_to_all(gateway);
}

/* Whether callers in the region may be sent to the member; NULL: any region. */
static bool member_is_in(const struct member *member, const char *region)
{
	return member && (!region || strcmp(member->region, region) == 0);
}

/*
 * Adds the addresses of the nodes in the region that accept requests: those
 * that are cut off from all endpoints, or the others.
 */
static void add_addresses(const struct gateway *gateway, const char *region,
			  bool are_cut, GPtrArray *addresses)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	GHashTableIter iter;
	gpointer name, value;

	if (gateway_accepts_requests(gateway) && gateway->is_cut == are_cut &&
	    member_is_in(membership_self(members), region))
		g_ptr_array_add(addresses, (gpointer)gateway->options.address);
	g_hash_table_iter_init(&iter, gateway->peers);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct gateway_peer *peer = value;

		if (peer->accepts_requests && addresses->len < MAX_ADDRESSES &&
		    gateway_peer_is_cut(gateway, peer) == are_cut &&
		    member_is_in(membership_find(members, name), region) &&
		    peer_is_recent(gateway, peer, SILENT_PERIODS))
			g_ptr_array_add(addresses, peer->address);
	}
}

/*
 * Addresses of the nodes that accept requests, this one first. Callers whose
 * region is known are sent to nodes there: a request may be bound to regions,
 * and its body must not reach a node in any other. Nodes that are cut off from
 * all endpoints are named only if there are no others. Without a node in their
 * region callers get all. The caller frees the array; the strings belong to the
 * gateway.
 */
GPtrArray *gateway_addresses(struct gateway *gateway, const char *region)
{
	GPtrArray *addresses = g_ptr_array_new();

	if (region)
		add_addresses(gateway, region, false, addresses);
	if (region && addresses->len == 0)
		add_addresses(gateway, region, true, addresses);
	if (addresses->len == 0)
		add_addresses(gateway, NULL, false, addresses);
	if (addresses->len == 0)
		add_addresses(gateway, NULL, true, addresses);
	return addresses;
}

/* Logs each change that affects whether the store counts as unreachable. */
static void log_peer_store(const struct gateway *gateway,
			   const struct gateway_peer *peer,
			   const struct peer_message *message)
{
	if (peer->reaches_store == message->standing.reaches_store ||
	    !sentinel_is(gateway->host.members(gateway->host.data),
			 message->from))
		return;
	log_write(gateway->log, LOG_LEVEL_INFO,
		  message->standing.reaches_store ? "sentinel_reached"
						  : "sentinel_lost",
		  "node", message->from, NULL);
}

/* Sends the state to a node that is heard for the first time. */
static void sync_new_node(struct gateway *gateway, const char *peer_address)
{
	if (!join_sync_is_sender(gateway_node_count(gateway) - 1,
				 g_rand_double(gateway->random)))
		return;
	gateway_cordons_send(gateway, peer_address);
	gateway_limits_send(gateway, peer_address);
	gateway_losses_send(gateway, peer_address);
	send_registrations(gateway, peer_address);
	gateway_leaving_send(gateway, peer_address);
}

static void peer_apply_standing(struct gateway *gateway,
				const struct peer_message *message)
{
	struct gateway_peer *peer =
		g_hash_table_lookup(gateway->peers, message->from);

	if (!peer || peer->incarnation != message->incarnation)
		sync_new_node(gateway, message->from_address);
	if (!peer) {
		peer = g_new0(struct gateway_peer, 1);
		peer->reaches_store = message->standing.reaches_store;
		g_hash_table_insert(gateway->peers, g_strdup(message->from),
				    peer);
	}
	if (peer->incarnation != message->incarnation)
		g_clear_pointer(&peer->lost_services, g_array_unref);
	peer->incarnation = message->incarnation;
	peer->heard_us = gateway->now_us;
	peer->table_version = message->standing.table_version;
	peer->accepts_requests = message->standing.accepts_requests;
	log_peer_store(gateway, peer, message);
	peer->reaches_store = message->standing.reaches_store;
	g_free(peer->address);
	peer->address = g_strdup(message->standing.callers_address);
}

/*
 * Applies a peer's updates of endpoints, also while this node can't reach the
 * store. Removals are never doubted here, as a peer does not send one that it
 * doubts.
 */
static void apply_registrations(struct gateway *gateway,
				const struct peer_message *message)
{
	const GPtrArray *list = message->standing.registrations;

	for (guint i = 0; i < list->len; i++) {
		struct registration *said = g_ptr_array_index(list, i);

		/* A node of an earlier build names no era. */
		said->position = store_position_in_era(
			said->position, registry_era(gateway->registry));
		if (registry_apply_vouched(gateway->registry, said,
					   gateway->now_us))
			log_write(gateway->log, LOG_LEVEL_INFO, "endpoint",
				  "endpoint", said->id, "state",
				  said->is_removed   ? "gone"
				  : said->is_leaving ? "leaving"
						     : "ready",
				  "source", message->from, NULL);
	}
	gateway_log_set_aside(gateway, list, message->from);
}

static void receive_failure_notice(struct gateway *gateway,
				   const struct peer_message *message)
{
	gateway_add_failure_notice(gateway, message->incarnation,
				   message->failure_notice.endpoint);
}

static void receive_standing(struct gateway *gateway,
			     const struct peer_message *message)
{
	peer_apply_standing(gateway, message);
	engine_grants_confirm(gateway->grants, message->from,
			      message->standing.answered);
	registry_set_node_held(gateway->registry, message->from,
			       message->incarnation, message->standing.held,
			       gateway->now_us);
	apply_registrations(gateway, message);
	gateway_routes_note_version(gateway, message->standing.table_version);
	gateway_waiting_note_load(gateway);
}

static const struct {
	void (*receive)(struct gateway *gateway,
			const struct peer_message *message);
	bool needs_sender;
} receivers[PEER_MESSAGE_TYPE_COUNT] = {
	[PEER_ROUTES] = {gateway_routes_receive, false},
	[PEER_ROUTES_REQUEST] = {gateway_routes_send, false},
	[PEER_CORDONS] = {gateway_cordons_receive, false},
	[PEER_ENDPOINT_LIMITS] = {gateway_limits_receive, false},
	[PEER_ENDPOINT_FULL] = {gateway_brittle_receive, false},
	[PEER_ENDPOINT_LEAVING] = {gateway_leaving_receive, false},
	[PEER_ENDPOINT_SPEEDS] = {gateway_speed_receive, false},
	[PEER_LOSSES] = {gateway_losses_receive, false},
	[PEER_FAILURE_NOTICE] = {receive_failure_notice, false},
	[PEER_REACH] = {gateway_reach_receive, true},
	[PEER_CHOOSE] = {gateway_home_receive_request, true},
	[PEER_CHOSEN] = {gateway_home_receive_answer, true},
	[PEER_AWAIT] = {gateway_waiting_receive, true},
	[PEER_WAITING] = {gateway_waiting_receive, true},
	[PEER_UNAVAILABLE] = {gateway_waiting_receive, true},
	[PEER_WITHDRAW] = {gateway_waiting_receive, true},
	[PEER_STANDING] = {receive_standing, true},
};

/*
 * Handles a message of another node's gateway; ignores other types, and those
 * that need the name of their sender and don't have it.
 */
void gateway_receive_peer(struct gateway *gateway,
			  const struct peer_message *message)
{
	gateway->now_us = gateway_now_us();
	if (!receivers[message->type].receive ||
	    (receivers[message->type].needs_sender && !*message->from))
		return;
	receivers[message->type].receive(gateway, message);
}
