#include "adapters/gateway/gateway_state.h"
#include "core/gateway/newcomer.h"

#include <string.h>

/*
 * What the gateways of all nodes tell one another: what each holds on which
 * endpoint, which configuration is in force there, whether it takes work, and
 * news of endpoints. All of it is state, not change: a record that is lost is
 * made good by the next one.
 */

/* Standings missed: callers are not sent there any more. */
#define SILENT_PERIODS 5

/* Standings missed: its word on endpoints is not waited for. */
#define SENTINEL_SILENT_PERIODS 3

/*
 * What a silent node held is forgotten: its requests have ended with it. A
 * frozen one wakes within some seconds, and its requests run on meanwhile.
 */
#define FORGET_PERIODS 3
#define FORGET_LEAST_US (4 * G_USEC_PER_SEC)

/* Standings between two that tell a member of all endpoints. */
#define FULL_EVERY 4

/* Nodes that ask the store in short turns, the first by name. */
#define SENTINELS 2

/* Addresses in one answer to a caller. */
#define MAX_ADDRESSES 64

/* Frees what is known of another node. */
void gateway_peer_destroy(gpointer data)
{
	g_free(((struct gateway_peer *)data)->address);
	g_free(data);
}

static int64_t periods_us(const struct gateway *gateway, int64_t periods)
{
	return periods *
	       standing_pace_period_us(gateway_node_count(gateway) - 1);
}

/* Whether the node was heard within so many standings. */
static bool peer_is_heard(const struct gateway *gateway,
			  const struct gateway_peer *peer, int64_t periods)
{
	return gateway->now_us - peer->heard_us < periods_us(gateway, periods);
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
		held = peer_standing_add(standing, endpoint->key);
		held->requests = own->requests;
		held->copies = own->copies;
		held->tokens = own->tokens;
		held->unread_tokens = own->unread_tokens;
	}
}

/* A doubt stays here: told on it would read as a removal. */
static void add_registration(struct peer_standing *standing,
			     const struct endpoint *endpoint)
{
	struct registration *said;

	if (endpoint->presence == PRESENCE_DOUBTED)
		return;
	said = registration_copy(endpoint->said);
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

/* What this node holds and knows, without news of endpoints. */
struct peer_message *gateway_standing_create(struct gateway *gateway)
{
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_STANDING);
	struct peer_standing *standing = &message->standing;

	standing->table_version = gateway_table_version(gateway);
	standing->answered = gateway_home_answered(gateway);
	standing->takes_work = gateway_takes_work(gateway);
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

/* Sends one node a message, which is its own then. */
void gateway_send(struct gateway *gateway, const char *peer_address,
		  struct peer_message *message)
{
	GPtrArray *addresses = g_ptr_array_new();

	g_ptr_array_add(addresses, (gpointer)peer_address);
	gateway->host.send(gateway->host.data, addresses, message);
	g_ptr_array_unref(addresses);
}

/* All members get it, also suspected ones: they may only be slow. */
static void send_all(struct gateway *gateway, struct peer_message *message)
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

/* Tells all nodes at once what has become of an endpoint. */
void gateway_peers_tell(struct gateway *gateway, const char *endpoint_id)
{
	struct peer_message *message = gateway_standing_create(gateway);

	add_registration(&message->standing,
			 registry_find(gateway->registry, endpoint_id));
	send_all(gateway, message);
}

/* A node, this one or another, saw the endpoint break a request off. */
void gateway_take_failure(struct gateway *gateway, uint64_t reporter,
			  const char *endpoint_id)
{
	struct endpoint *endpoint =
		registry_find(gateway->registry, endpoint_id);
	char aside[24];

	if (!endpoint ||
	    !endpoint_word_take(&endpoint->word, reporter, gateway->now_us))
		return;
	g_snprintf(aside, sizeof(aside), "%" G_GINT64_FORMAT,
		   endpoint->word.aside_us / 1000);
	log_write(gateway->log, LOG_LEVEL_INFO, "endpoint_aside", "endpoint",
		  endpoint_id, "for_ms", aside, NULL);
}

/*
 * A request was running when its engine crashed. The others hear of it at
 * once: the caller sends it again, to any node.
 */
void gateway_peers_tell_crash(struct gateway *gateway, uint64_t fingerprint,
			      const char *endpoint_id)
{
	struct peer_message *message =
		gateway->host.message(gateway->host.data, PEER_QUARANTINE);

	message->quarantine.fingerprint = fingerprint;
	message->quarantine.endpoint = g_strdup(endpoint_id);
	send_all(gateway, message);
}

/* Members come sorted by name, so all nodes name the same ones. */
static bool member_is_sentinel(const struct gateway *gateway, const char *name)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	size_t most = MIN(membership_count(members), SENTINELS);

	for (size_t i = 0; i < most; i++) {
		if (strcmp(membership_get(members, i)->name, name) == 0)
			return true;
	}
	return false;
}

/* The sentinel of that index as it told of itself; NULL: none, or this node. */
static const struct gateway_peer *sentinel_get(const struct gateway *gateway,
					       size_t i)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);

	if (i >= membership_count(members))
		return NULL;
	return g_hash_table_lookup(gateway->peers,
				   membership_get(members, i)->name);
}

/* Whether a sentinel was heard a moment ago that reaches the store, or not. */
static bool hears_sentinel(const struct gateway *gateway, bool reaches_store)
{
	for (size_t i = 0; i < SENTINELS; i++) {
		const struct gateway_peer *peer = sentinel_get(gateway, i);

		if (peer && peer->reaches_store == reaches_store &&
		    peer_is_heard(gateway, peer, SENTINEL_SILENT_PERIODS))
			return true;
	}
	return false;
}

/* One that has just started and never reached the store tells nothing of it. */
static bool hears_lost_sentinel(const struct gateway *gateway)
{
	for (size_t i = 0; i < SENTINELS; i++) {
		const struct gateway_peer *peer = sentinel_get(gateway, i);

		if (peer && !peer->reaches_store && peer->table_version >= 0 &&
		    peer_is_heard(gateway, peer, SILENT_PERIODS))
			return true;
	}
	return false;
}

/* What this node knows of the store, by itself and from the sentinels. */
struct store_view gateway_store_view(const struct gateway *gateway)
{
	return (struct store_view){
		.reaches_store = gateway->store_is_reached,
		.sentinel_reaches = hears_sentinel(gateway, true),
		.sentinel_waits = hears_lost_sentinel(gateway),
	};
}

/*
 * Whether the store may be away. While it is no notice of a leaving engine
 * comes, and generations would be cut off without one.
 */
bool gateway_store_is_away(const struct gateway *gateway)
{
	struct store_view view = gateway_store_view(gateway);

	return store_doubt_is_away(&gateway->store_doubt, &view,
				   gateway->now_us);
}

static void step_store_watch(struct gateway *gateway)
{
	const struct store_watch_input input = {
		.is_sentinel =
			member_is_sentinel(gateway, gateway->options.node_name),
		.reaches_store = gateway->store_is_reached,
		.sentinel_reaches = hears_sentinel(gateway, true),
		.sentinel_waits = hears_sentinel(gateway, false),
		.knows_endpoints = registry_has_usable(gateway->registry),
	};
	struct store_watch watch = store_watch_decide(&input);

	if (store_watch_equals(&watch, &gateway->store_watch))
		return;
	gateway->store_watch = watch;
	gateway->host.watch(gateway->host.store_data, &watch);
}

/*
 * A node that has just started knows no endpoint, and may not reach the store.
 */
static void send_registrations(struct gateway *gateway,
			       const char *peer_address)
{
	struct peer_message *message = gateway_standing_create(gateway);

	add_registrations(gateway, &message->standing);
	gateway_send(gateway, peer_address, message);
}

/* Any one member gets all endpoints, for what was lost on the way. */
static void tell_one_all_endpoints(struct gateway *gateway)
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

static void tell_all(struct gateway *gateway)
{
	send_all(gateway, gateway_standing_create(gateway));
	if (gateway->standings++ % FULL_EVERY == 0)
		tell_one_all_endpoints(gateway);
}

/* Tells the others regularly, sooner when something was placed. */
void gateway_peers_step(struct gateway *gateway)
{
	size_t others = gateway_node_count(gateway) - 1;
	bool changed = gateway->held_changed;

	registry_forget_silent(gateway->registry,
			       gateway->now_us -
				       MAX(periods_us(gateway, FORGET_PERIODS),
					   FORGET_LEAST_US));
	step_store_watch(gateway);
	gateway->held_changed = false;
	if (standing_pace_is_due(&gateway->pace, others, changed,
				 gateway->now_us))
		tell_all(gateway);
}

/* This node takes no work any more: callers must not be sent here. */
void gateway_peers_tell_drain(struct gateway *gateway)
{
	tell_all(gateway);
}

/* Where callers may connect: the nodes that take work, this one first. */
GPtrArray *gateway_addresses(struct gateway *gateway)
{
	const struct membership *members =
		gateway->host.members(gateway->host.data);
	GPtrArray *addresses = g_ptr_array_new();
	GHashTableIter iter;
	gpointer name, value;

	if (gateway_takes_work(gateway))
		g_ptr_array_add(addresses, (gpointer)gateway->options.address);
	g_hash_table_iter_init(&iter, gateway->peers);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct gateway_peer *peer = value;

		if (peer->takes_work && addresses->len < MAX_ADDRESSES &&
		    membership_find(members, name) &&
		    peer_is_heard(gateway, peer, SILENT_PERIODS))
			g_ptr_array_add(addresses, peer->address);
	}
	return addresses;
}

/* A line for each change: by it this node judges whether the store is away. */
static void log_peer_store(const struct gateway *gateway,
			   const struct gateway_peer *peer,
			   const struct peer_message *message)
{
	if (peer->reaches_store == message->standing.reaches_store ||
	    !member_is_sentinel(gateway, message->from))
		return;
	log_write(gateway->log, LOG_LEVEL_INFO,
		  message->standing.reaches_store ? "sentinel_reached"
						  : "sentinel_lost",
		  "node", message->from, NULL);
}

/* A node has just started, or this one has. */
static void greet(struct gateway *gateway, const char *peer_address)
{
	if (newcomer_is_told(gateway_node_count(gateway) - 1,
			     g_rand_double(gateway->random)))
		send_registrations(gateway, peer_address);
}

static void peer_take(struct gateway *gateway,
		      const struct peer_message *message)
{
	struct gateway_peer *peer =
		g_hash_table_lookup(gateway->peers, message->from);

	if (!peer || peer->incarnation != message->incarnation)
		greet(gateway, message->from_address);
	if (!peer) {
		peer = g_new0(struct gateway_peer, 1);
		peer->reaches_store = message->standing.reaches_store;
		g_hash_table_insert(gateway->peers, g_strdup(message->from),
				    peer);
	}
	peer->incarnation = message->incarnation;
	peer->heard_us = gateway->now_us;
	peer->table_version = message->standing.table_version;
	peer->takes_work = message->standing.takes_work;
	log_peer_store(gateway, peer, message);
	peer->reaches_store = message->standing.reaches_store;
	g_free(peer->address);
	peer->address = g_strdup(message->standing.callers_address);
}

/*
 * An endpoint that a peer has seen leave leaves here too, also while this
 * node can't reach the store. A removal is believed: a peer that doubts one
 * does not tell it.
 */
static void take_registrations(struct gateway *gateway,
			       const struct peer_message *message)
{
	const GPtrArray *list = message->standing.registrations;

	for (guint i = 0; i < list->len; i++) {
		const struct registration *said = g_ptr_array_index(list, i);
		bool changed = registry_take(gateway->registry, said, false,
					     gateway->now_us);

		if (changed)
			log_write(gateway->log, LOG_LEVEL_INFO, "endpoint",
				  "endpoint", said->id, "state",
				  said->is_removed   ? "gone"
				  : said->is_leaving ? "leaving"
						     : "ready",
				  "source", message->from, NULL);
	}
}

/* What another node's gateway says; other records are not its own. */
void gateway_take_peer(struct gateway *gateway,
		       const struct peer_message *message)
{
	gateway->now_us = gateway_now_us();
	if (message->type == PEER_ROUTES) {
		gateway_routes_take(gateway, message);
		return;
	}
	if (message->type == PEER_ROUTES_ASK) {
		gateway_routes_give(gateway, message);
		return;
	}
	if (message->type == PEER_QUARANTINE) {
		quarantine_report_crash(
			gateway->quarantine, message->quarantine.fingerprint,
			message->quarantine.endpoint, gateway->now_us);
		gateway_take_failure(gateway, message->incarnation,
				     message->quarantine.endpoint);
		return;
	}
	if (!*message->from)
		return;
	if (message->type == PEER_CHOOSE) {
		gateway_home_take_question(gateway, message);
		return;
	}
	if (message->type == PEER_CHOSEN) {
		gateway_home_take_answer(gateway, message);
		return;
	}
	if (message->type != PEER_STANDING)
		return;
	peer_take(gateway, message);
	engine_grants_told(gateway->grants, message->from,
			   message->standing.answered);
	registry_take_held(gateway->registry, message->from,
			   message->incarnation, message->standing.held,
			   gateway->now_us);
	take_registrations(gateway, message);
	gateway_routes_heard(gateway, message->standing.table_version);
}
