#include "core/membership/membership_state.h"

#include <string.h>

#define GOSSIP_RECORDS 6	/* changed records in a message */
#define GOSSIP_BURST_RECORDS 10 /* instead, while many changes are pending */
#define GOSSIP_OTHER_REGIONS 2	/* random records from other regions */
#define GOSSIP_EXTRA_ONE_IN 4	/* one message in so many has a random record */
#define NEW_MEMBER_HEARTBEATS 20 /* how long a member gets more records */
#define ANNOUNCE_OWN_REGION 8	 /* members to ping at once */
#define ANNOUNCE_OTHER_REGIONS 2

/* Returns the record of the node itself; the table owns it. */
struct member *membership_own_record(const struct membership *membership)
{
	return member_table_self(membership->table)->member;
}

/* Returns whether the peer is the node itself. */
bool membership_is_self(const struct membership *membership,
			const struct peer *peer)
{
	return peer == member_table_self(membership->table);
}

/* Returns whether the peer is neither suspected nor dead. */
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
	    member_table_in_own_region(membership->table, peer) !=
		    pick->own_region)
		return false;
	if (pick->region && strcmp(peer->member->region, pick->region) != 0)
		return false;
	return !pick->except || strcmp(peer->member->name, pick->except) != 0;
}

/*
 * Appends at most pick->max random members that are not dead and match, each
 * with the same probability (reservoir sampling). The table owns them.
 */
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

/* Appends a copy of the peer's record unless the name is in the list. */
void member_list_add(GPtrArray *members, const struct peer *peer)
{
	if (peer && !member_list_has(members, peer->member->name))
		g_ptr_array_add(members, member_copy(peer->member));
}

/* Returns whether the peer joined so recently that it may know few members. */
bool membership_peer_is_new(const struct membership *membership,
			    const struct peer *peer)
{
	return membership->now_us - peer->added_us <
	       NEW_MEMBER_HEARTBEATS * membership->heartbeat_us;
}

/* Returns up to how many records a message is filled with random ones. */
static size_t membership_extra_count(struct membership *membership,
				     const struct peer *to)
{
	if (!to || membership_peer_is_new(membership, to) ||
	    !member_table_in_own_region(membership->table, to))
		return GOSSIP_RECORDS;
	return g_rand_int_range(membership->random, 0, GOSSIP_EXTRA_ONE_IN) ==
	       0;
}

/*
 * Appends the records that a message to a peer carries; to is NULL for an
 * unknown peer. If the record of that peer marks it suspect or dead, and not
 * only at this node, it comes first, so that the peer can refute it. The
 * records that changed follow, then random ones if the peer is new, unknown or
 * in another region. All other peers get a random record in one message of
 * GOSSIP_EXTRA_ONE_IN, to make up for changes in messages that were lost.
 */
void membership_add_gossip(struct membership *membership, const struct peer *to,
			   GPtrArray *members)
{
	size_t extra = membership_extra_count(membership, to);
	size_t backlog = member_table_count_changes(membership->table);
	GPtrArray *picked = g_ptr_array_new();

	if (to && !peer_is_answering(to) && !to->local)
		member_list_add(members, to);
	member_table_collect_changes(membership->table,
				     backlog > 2 * GOSSIP_RECORDS
					     ? GOSSIP_BURST_RECORDS
					     : GOSSIP_RECORDS,
				     members);
	if (members->len < extra) {
		size_t room = extra - members->len;
		struct pick pick = {
			.max = room > GOSSIP_OTHER_REGIONS
				       ? room - GOSSIP_OTHER_REGIONS
				       : 1,
			.own_region = true,
			.except = to ? to->member->name : NULL,
		};

		membership_pick(membership, &pick, picked);
		pick.own_region = false;
		pick.max = room - picked->len;
		membership_pick(membership, &pick, picked);
	}
	for (guint i = 0; i < picked->len; i++)
		member_list_add(members, g_ptr_array_index(picked, i));
	g_ptr_array_unref(picked);
}

/*
 * Creates a message from this node, with number and subject as in struct
 * peer_probe. The caller owns it.
 */
struct peer_message *
membership_create_message(const struct membership *membership,
			  enum peer_message_type type, uint64_t number,
			  const char *subject)
{
	const struct member *own = membership_own_record(membership);
	struct peer_message *message = peer_message_create(type);

	message->from = g_strdup(own->name);
	message->from_address = g_strdup(own->peer_address);
	message->incarnation = own->incarnation;
	message->probe.number = number;
	message->probe.subject = g_strdup(subject);
	return message;
}

/* Appends an action that sends a message; the action owns the message. */
void membership_send(struct membership *membership, const char *address,
		     struct peer_message *message)
{
	struct action *action =
		action_list_add(membership->actions, ACTION_PEER_SEND);

	action->peer_send.peer_address = g_strdup(address);
	action->peer_send.message = message;
}

/*
 * Pings an address. Every ping carries the sender's own record, from which
 * others learn its state and configuration; introduce requests the receiver's
 * own record in return.
 */
void membership_ping(struct membership *membership, const char *address,
		     uint64_t number, bool introduce)
{
	const struct peer *to =
		member_table_find_address(membership->table, address);
	struct peer_message *message = membership_create_message(
		membership, PEER_PING, number, introduce ? address : "");

	member_list_add(message->probe.members,
			member_table_self(membership->table));
	membership_add_gossip(membership, to, message->probe.members);
	membership_send(membership, address, message);
}

/* Announces a change of the own state to several members at once. */
void membership_announce(struct membership *membership)
{
	const struct pick own_region = {.max = ANNOUNCE_OWN_REGION,
					.own_region = true};
	const struct pick other_regions = {.max = ANNOUNCE_OTHER_REGIONS};
	GPtrArray *picked = g_ptr_array_new();

	membership->announce_pending = false;
	membership_pick(membership, &own_region, picked);
	membership_pick(membership, &other_regions, picked);
	for (guint i = 0; i < picked->len; i++) {
		const struct peer *peer = g_ptr_array_index(picked, i);

		membership_ping(membership, peer->member->peer_address,
				membership->next_number++, false);
	}
	g_ptr_array_unref(picked);
}
