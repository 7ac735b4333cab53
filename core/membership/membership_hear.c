#include "core/membership/membership_state.h"

#include <string.h>

#define REJOIN_BURST 8

/* A ping to whoever is at an address now; few in a heartbeat. */
static void membership_verify(struct membership *membership,
			      const char *address)
{
	if (membership->verifies_left <= 0)
		return;
	membership->verifies_left--;
	membership_probe_address(membership, address);
}

static void membership_revived(struct membership *membership,
			       const struct peer *peer)
{
	membership->rejoins_left = REJOIN_BURST;
	action_list_log(membership->actions, LOG_LEVEL_INFO, "member_back",
			"member", peer->member->name, "address",
			peer->member->peer_address, NULL);
}

/*
 * Another node now has a live member's address: the old one is gone, and its
 * place must not be probed under the new one's name.
 */
static void membership_clear_address(struct membership *membership,
				     const struct member *member)
{
	struct peer *other = member_table_find_address(membership->table,
						       member->peer_address);

	if (!other || membership_is_self(membership, other) ||
	    strcmp(other->member->name, member->name) == 0 ||
	    other->member->state == MEMBER_DEAD)
		return;
	member_table_supersede(membership->table, other->member->incarnation,
			       membership->now_us + MEMBERSHIP_FORGET_US);
	member_table_set_state(membership->table, other, MEMBER_DEAD,
			       membership->now_us);
	member_table_spread(membership->table, other);
	membership_log_dead(membership, other, member->name);
}

static struct peer *membership_meet(struct membership *membership,
				    const struct member *member)
{
	struct peer *peer;

	if (member->state == MEMBER_DEAD)
		return NULL;
	membership_clear_address(membership, member);
	peer = member_table_add(membership->table, member, membership->now_us);
	if (!peer)
		return NULL;
	peer->left = member->state == MEMBER_LEAVING;
	action_list_log(membership->actions, LOG_LEVEL_INFO, "member_new",
			"member", member->name, "address", member->peer_address,
			"region", member->region, NULL);
	return peer;
}

static void membership_replace(struct membership *membership, struct peer *peer,
			       const struct member *member, const char *by)
{
	bool was_dead = peer->member->state == MEMBER_DEAD;
	bool is_dead = member->state == MEMBER_DEAD;

	membership_clear_address(membership, member);
	member_table_replace(membership->table, peer, member,
			     membership->now_us);
	peer->left = member->state == MEMBER_LEAVING ||
		     (peer->left && member->state != MEMBER_LIVE);
	member_table_spread(membership->table, peer);
	if (was_dead && !is_dead)
		membership_revived(membership, peer);
	if (is_dead && !was_dead)
		membership_log_dead(membership, peer, by);
}

/* The sender speaks of itself, as the same incarnation as known. */
static void membership_hear_known(struct membership *membership,
				  struct peer *peer,
				  const struct member *record)
{
	bool alive = record->state != MEMBER_DEAD;

	if (record->version > peer->member->version) {
		if (!alive)
			peer->left = true;
		membership_replace(membership, peer, record, "itself");
		return;
	}
	if (record->version < peer->member->version)
		return;
	peer->member->config_revision =
		MAX(peer->member->config_revision, record->config_revision);
	/*
	 * It is heard, so a suspicion here is settled; others are not told,
	 * since only its own higher version may overrule theirs.
	 */
	if (alive && (peer->member->state == MEMBER_SUSPECT ||
		      (peer->member->state == MEMBER_DEAD && peer->local))) {
		bool was_dead = peer->member->state == MEMBER_DEAD;

		member_table_set_state(membership->table, peer, record->state,
				       membership->now_us);
		if (was_dead)
			membership_revived(membership, peer);
	}
}

/*
 * Members of another region that were lost may have been replaced by others
 * meanwhile; all of them coming back would be too many.
 */
static bool membership_wants_back(const struct membership *membership,
				  const struct peer *peer)
{
	return peer->member->state != MEMBER_DEAD ||
	       member_table_wants(membership->table, peer->member->region);
}

/* The sender's record of itself in its message, or NULL. */
static const struct member *
membership_self_record(const struct peer_message *message)
{
	for (guint i = 0; i < message->probe.members->len; i++) {
		const struct member *member =
			g_ptr_array_index(message->probe.members, i);

		if (strcmp(member->name, message->from) == 0 &&
		    member->incarnation == message->incarnation &&
		    strcmp(member->peer_address, message->from_address) == 0)
			return member;
	}
	return NULL;
}

/*
 * Takes what the sender's message says of the sender. Only a node itself can
 * change its incarnation: what others say of an unknown one may be older than
 * what is known. Returns NULL for a sender that is not known and not kept, and
 * for one that was replaced, whose messages are to be ignored.
 */
struct peer *membership_hear(struct membership *membership,
			     const struct peer_message *message, bool *replaced)
{
	const struct member *record = membership_self_record(message);
	struct peer *peer = member_table_find(membership->table, message->from);

	*replaced = member_table_is_superseded(membership->table,
					       message->incarnation) &&
		    peer && peer->member->state != MEMBER_DEAD;
	if (*replaced || (peer && !membership_wants_back(membership, peer)))
		return NULL;
	if (!peer)
		return record ? membership_meet(membership, record) : NULL;
	if (peer->member->incarnation != message->incarnation) {
		if (!record || record->state == MEMBER_DEAD)
			return NULL;
		member_table_supersede(
			membership->table, peer->member->incarnation,
			membership->now_us + MEMBERSHIP_FORGET_US);
		peer->left = false;
		membership_replace(membership, peer, record, "itself");
		return peer;
	}
	if (record)
		membership_hear_known(membership, peer, record);
	return peer;
}

/* Others say something of this node. What makes it look gone is refuted. */
void membership_hear_of_self(struct membership *membership,
			     const struct member *record)
{
	const struct member *own = membership_own(membership);

	if (record->incarnation != own->incarnation ||
	    own->state == MEMBER_DEAD || record->version < own->version)
		return;
	if (record->version > own->version || record->state == MEMBER_SUSPECT ||
	    record->state == MEMBER_DEAD)
		membership_raise(membership, record->version);
}

static int member_state_rank(enum member_state state)
{
	switch (state) {
	case MEMBER_LIVE:
	case MEMBER_LEAVING:
		return 0;
	case MEMBER_SUSPECT:
		return 1;
	case MEMBER_DEAD:
		return 2;
	}
	return 2;
}

/* Whether the sender may say that this member does not answer. */
static bool membership_may_accuse(const struct membership *membership,
				  const struct peer *sender,
				  const struct member *record)
{
	const char *region = membership_own(membership)->region;

	if (!sender || strcmp(sender->member->region, record->region) != 0)
		return false;
	return record->state == MEMBER_DEAD ||
	       strcmp(record->region, region) == 0;
}

static void membership_hear_of_unknown(struct membership *membership,
				       const struct member *record)
{
	const struct peer *other = member_table_find_address(
		membership->table, record->peer_address);

	if (other && other->member->state != MEMBER_DEAD)
		membership_verify(membership, record->peer_address);
	else if (record->state != MEMBER_DEAD)
		membership_meet(membership, record);
}

/* Takes what a message says of a node other than its sender. */
void membership_hear_of(struct membership *membership,
			const struct peer *sender, const struct member *record)
{
	struct peer *peer = member_table_find(membership->table, record->name);
	bool accusing = member_state_rank(record->state) > 0;

	if (member_table_is_superseded(membership->table, record->incarnation))
		return;
	/* One incarnation stays at one address: anything else is made up. */
	if (peer && peer->member->incarnation == record->incarnation &&
	    strcmp(peer->member->peer_address, record->peer_address) != 0)
		return;
	if (accusing && !membership_may_accuse(membership, sender, record))
		return;
	if (!peer) {
		membership_hear_of_unknown(membership, record);
		return;
	}
	if (!membership_wants_back(membership, peer))
		return;
	if (peer->member->incarnation != record->incarnation ||
	    (peer->local && !accusing && peer->member->state == MEMBER_DEAD)) {
		if (record->state != MEMBER_DEAD)
			membership_verify(membership, record->peer_address);
		return;
	}
	if (record->version > peer->member->version ||
	    (record->version == peer->member->version &&
	     member_state_rank(record->state) >
		     member_state_rank(peer->member->state)))
		membership_replace(membership, peer, record,
				   sender ? sender->member->name : "unknown");
}
