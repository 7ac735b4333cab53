#include "core/membership/membership_state.h"

#include <string.h>

#define GOSSIP_MEMBERS 6
#define GOSSIP_BURST 15	  /* where much has changed at once */
#define GOSSIP_FAR 2	  /* of these, where a receiver knows little */
#define EXTRA_ONE_IN 4	  /* messages that carry a record unasked */
#define NEW_HEARTBEATS 20 /* a newcomer is told more for so long */
#define ANNOUNCE_NEAR 8
#define ANNOUNCE_FAR 2

/* The record of the node itself. */
struct member *membership_own(const struct membership *membership)
{
	return member_table_self(membership->table)->member;
}

/* Whether the peer is the node itself. */
bool membership_is_self(const struct membership *membership,
			const struct peer *peer)
{
	return peer == member_table_self(membership->table);
}

/* Whether the peer is neither suspected nor dead. */
bool peer_is_answering(const struct peer *peer)
{
	return peer->member->state == MEMBER_LIVE ||
	       peer->member->state == MEMBER_LEAVING;
}

static bool membership_may_pick(const struct membership *membership,
				const struct peer *peer,
				const struct pick *pick)
{
	if (membership_is_self(membership, peer) ||
	    peer->member->state == MEMBER_DEAD ||
	    member_table_is_near(membership->table, peer) != pick->near)
		return false;
	if (pick->region && strcmp(peer->member->region, pick->region) != 0)
		return false;
	return !pick->except || strcmp(peer->member->name, pick->except) != 0;
}

/* Appends members that are not dead, each with the same chance. */
void membership_pick(struct membership *membership, const struct pick *pick,
		     GPtrArray *picked)
{
	const GPtrArray *all = member_table_all(membership->table);
	guint base = picked->len;
	guint seen = 0;

	for (guint i = 0; i < all->len && pick->max > 0; i++) {
		struct peer *peer = g_ptr_array_index(all, i);
		guint at;

		if (!membership_may_pick(membership, peer, pick))
			continue;
		at = seen++;
		if (at >= pick->max)
			at = (guint)g_rand_int_range(membership->random, 0,
						     (gint32)seen);
		if (picked->len < base + pick->max)
			g_ptr_array_add(picked, peer);
		else if (at < pick->max)
			g_ptr_array_index(picked, base + at) = peer;
	}
}

static bool member_list_has(const GPtrArray *members, const char *name)
{
	for (guint i = 0; i < members->len; i++) {
		const struct member *member = g_ptr_array_index(members, i);

		if (strcmp(member->name, name) == 0)
			return true;
	}
	return false;
}

/* Appends a copy of the record unless one of that name is there already. */
void member_list_add(GPtrArray *members, const struct peer *peer)
{
	if (peer && !member_list_has(members, peer->member->name))
		g_ptr_array_add(members, member_copy(peer->member));
}

/* Whether the peer joined so lately that it knows little. */
bool membership_peer_is_new(const struct membership *membership,
			    const struct peer *peer)
{
	return membership->now_us - peer->added_us <
	       NEW_HEARTBEATS * membership->heartbeat_us;
}

/* How many records to send that nobody asked for. */
static size_t membership_extra_count(struct membership *membership,
				     const struct peer *to)
{
	if (!to || membership_peer_is_new(membership, to) ||
	    !member_table_is_near(membership->table, to))
		return GOSSIP_MEMBERS;
	return g_rand_int_range(membership->random, 0, EXTRA_ONE_IN) == 0;
}

/*
 * What rides on a message: what the receiver must know of itself, what has
 * changed, and random records where the receiver knows little or lives in
 * another region. A random record now and then to all others mends what lost
 * messages left out.
 */
void membership_add_gossip(struct membership *membership, const struct peer *to,
			   GPtrArray *members)
{
	size_t extra = membership_extra_count(membership, to);
	size_t backlog = member_table_count_changes(membership->table);
	GPtrArray *picked = g_ptr_array_new();

	if (to && !peer_is_answering(to) && !to->local)
		member_list_add(members, to);
	member_table_collect_changes(
		membership->table,
		backlog > 2 * GOSSIP_MEMBERS ? GOSSIP_BURST : GOSSIP_MEMBERS,
		members);
	if (members->len < extra) {
		size_t room = extra - members->len;
		struct pick pick = {
			.max = room > GOSSIP_FAR ? room - GOSSIP_FAR : 1,
			.near = true,
			.except = to ? to->member->name : NULL,
		};

		membership_pick(membership, &pick, picked);
		pick.near = false;
		pick.max = room - picked->len;
		membership_pick(membership, &pick, picked);
	}
	for (guint i = 0; i < picked->len; i++)
		member_list_add(members, g_ptr_array_index(picked, i));
	g_ptr_array_unref(picked);
}

/* A message from this node; number and subject as in struct peer_probe. */
struct peer_message *membership_message(const struct membership *membership,
					enum peer_message_type type,
					uint64_t number, const char *subject)
{
	const struct member *own = membership_own(membership);
	struct peer_message *message = peer_message_create(type);

	message->from = g_strdup(own->name);
	message->from_address = g_strdup(own->peer_address);
	message->incarnation = own->incarnation;
	message->probe.number = number;
	message->probe.subject = g_strdup(subject);
	return message;
}

/* Sends a message, which the action takes over. */
void membership_send(struct membership *membership, const char *address,
		     struct peer_message *message)
{
	struct action *action =
		action_list_add(membership->actions, ACTION_PEER_SEND);

	action->peer_send.peer_address = g_strdup(address);
	action->peer_send.message = message;
}

/*
 * Pings an address. Every ping carries the sender's own record, because it is
 * how others learn its state and configuration; introduce asks for the
 * receiver's in return.
 */
void membership_ping(struct membership *membership, const char *address,
		     uint64_t number, bool introduce)
{
	const struct peer *to =
		member_table_find_address(membership->table, address);
	struct peer_message *message = membership_message(
		membership, PEER_PING, number, introduce ? address : "");

	member_list_add(message->probe.members,
			member_table_self(membership->table));
	membership_add_gossip(membership, to, message->probe.members);
	membership_send(membership, address, message);
}

/* Tells several members at once of a change of the own state. */
void membership_announce(struct membership *membership)
{
	const struct pick near = {.max = ANNOUNCE_NEAR, .near = true};
	const struct pick far = {.max = ANNOUNCE_FAR};
	GPtrArray *picked = g_ptr_array_new();

	membership->announce = false;
	membership_pick(membership, &near, picked);
	membership_pick(membership, &far, picked);
	for (guint i = 0; i < picked->len; i++) {
		const struct peer *peer = g_ptr_array_index(picked, i);

		membership_ping(membership, peer->member->peer_address,
				membership->next_number++, false);
	}
	g_ptr_array_unref(picked);
}
