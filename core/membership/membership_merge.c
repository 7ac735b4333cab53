#include "core/membership/membership_state.h"

#include <string.h>

#define REJOIN_BURST 8

/*
 * Pings an address to learn which node has it now. The number of these pings in
 * each heartbeat is limited.
 */
static void membership_verify_address(struct membership *membership,
				      const char *address)
{
	if (membership->address_probes_left <= 0)
		return;
	membership->address_probes_left--;
	membership_probe_address(membership, address);
}

static void membership_handle_revival(struct membership *membership,
				      const struct peer *peer)
{
	membership->rejoin_probes_left = REJOIN_BURST;
	action_list_log(membership->actions, LOG_LEVEL_INFO, "member_back",
			"member", peer->member->name, "address",
			peer->member->peer_address, NULL);
}

/*
 * Declares a member dead whose address another node now has. The old node is
 * gone, and the new one must not answer probes for it.
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
			       membership->now_us + MEMBERSHIP_DEAD_TTL_US);
	member_table_set_state(membership->table, other, MEMBER_DEAD,
			       membership->now_us);
	member_table_spread(membership->table, other);
	membership_log_dead(membership, other, member->name);
}

static struct peer *membership_add_member(struct membership *membership,
					  const struct member *member)
{
	struct peer *peer;

	if (member->state == MEMBER_DEAD)
		return NULL;
	membership_clear_address(membership, member);
	peer = member_table_add(membership->table, member, membership->now_us);
	if (!peer)
		return NULL;
	peer->left_voluntarily = member->state == MEMBER_LEAVING;
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
	peer->left_voluntarily =
		member->state == MEMBER_LEAVING ||
		(peer->left_voluntarily && member->state != MEMBER_LIVE);
	member_table_spread(membership->table, peer);
	if (was_dead && !is_dead)
		membership_handle_revival(membership, peer);
	if (is_dead && !was_dead)
		membership_log_dead(membership, peer, by);
}

/*
 * Logs that another process has taken a member's place, and whether the one
 * before had announced that it leaves. One that had not has crashed or was
 * killed, even if no line of its own says so.
 */
static void membership_log_restarted(struct membership *membership,
				     const struct peer *peer,
				     uint64_t incarnation)
{
	char before[24], after[24];

	g_snprintf(before, sizeof(before), "%016" G_GINT64_MODIFIER "x",
		   peer->member->incarnation);
	g_snprintf(after, sizeof(after), "%016" G_GINT64_MODIFIER "x",
		   incarnation);
	action_list_log(membership->actions,
			peer->left_voluntarily ? LOG_LEVEL_INFO
					       : LOG_LEVEL_WARN,
			"member_restarted", "member", peer->member->name,
			"before", before, "after", after, "announced",
			peer->left_voluntarily ? "yes" : "no", NULL);
}

/* Merges a sender's record of itself, whose incarnation is already known. */
static void membership_merge_sender(struct membership *membership,
				    struct peer *peer,
				    const struct member *record)
{
	bool alive = record->state != MEMBER_DEAD;

	if (record->version > peer->member->version) {
		if (!alive)
			peer->left_voluntarily = true;
		membership_replace(membership, peer, record, "itself");
		return;
	}
	if (record->version < peer->member->version)
		return;
	peer->member->config_revision =
		MAX(peer->member->config_revision, record->config_revision);
	/*
	 * The message itself ends a suspicion at this node. That is not spread,
	 * since only the member's own higher version overrides the records that
	 * other nodes have.
	 */
	if (alive && (peer->member->state == MEMBER_SUSPECT ||
		      (peer->member->state == MEMBER_DEAD && peer->local))) {
		bool was_dead = peer->member->state == MEMBER_DEAD;

		member_table_set_state(membership->table, peer, record->state,
				       membership->now_us);
		if (was_dead)
			membership_handle_revival(membership, peer);
	}
}

/*
 * Returns whether a peer is not dead or may become live again. Other members of
 * its region may have taken the places of those that died: if all of these
 * returned, the table would hold too many members of that region.
 */
static bool membership_may_revive(const struct membership *membership,
				  const struct peer *peer)
{
	return peer->member->state != MEMBER_DEAD ||
	       member_table_accepts_region(membership->table,
					   peer->member->region);
}

/* Returns the sender's record of itself in its message, or NULL. */
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
 * Merges the sender's own record in a message. Only a node itself can change
 * its incarnation: another node's record with an unknown incarnation may be
 * older than the known record. Returns the sender's peer, which the table owns.
 * Returns NULL if the sender is unknown and not added, if it is dead and may
 * not become live again, or if its incarnation is new and the message has no
 * record of it that is not dead. Also returns NULL and sets replaced if a later
 * incarnation has replaced the sender: its messages are to be ignored.
 */
struct peer *membership_update_sender(struct membership *membership,
				      const struct peer_message *message,
				      bool *replaced)
{
	const struct member *record = membership_self_record(message);
	struct peer *peer = member_table_find(membership->table, message->from);

	*replaced = member_table_is_superseded(membership->table,
					       message->incarnation) &&
		    peer && peer->member->state != MEMBER_DEAD;
	if (*replaced || (peer && !membership_may_revive(membership, peer)))
		return NULL;
	if (!peer)
		return record ? membership_add_member(membership, record)
			      : NULL;
	if (peer->member->incarnation != message->incarnation) {
		if (!record || record->state == MEMBER_DEAD)
			return NULL;
		member_table_supersede(
			membership->table, peer->member->incarnation,
			membership->now_us + MEMBERSHIP_DEAD_TTL_US);
		membership_log_restarted(membership, peer,
					 message->incarnation);
		peer->left_voluntarily = false;
		membership_replace(membership, peer, record, "itself");
		return peer;
	}
	if (record)
		membership_merge_sender(membership, peer, record);
	return peer;
}

/*
 * Handles another node's record of this node: a record that marks it suspect or
 * dead, or has a higher version, is refuted with a still higher version.
 */
void membership_refute(struct membership *membership,
		       const struct member *record)
{
	const struct member *own = membership_own_record(membership);

	if (record->incarnation != own->incarnation ||
	    own->state == MEMBER_DEAD || record->version < own->version)
		return;
	if (record->version > own->version || record->state == MEMBER_SUSPECT ||
	    record->state == MEMBER_DEAD)
		membership_raise_version(membership, record->version);
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

/*
 * Returns whether a record that marks a member suspect or dead is accepted from
 * this sender. The sender must be in the member's region, and a suspicion is
 * accepted only within the own region.
 */
static bool membership_accepts_failure(const struct membership *membership,
				       const struct peer *sender,
				       const struct member *record)
{
	const char *region = membership_own_record(membership)->region;

	if (!sender || strcmp(sender->member->region, record->region) != 0)
		return false;
	return record->state == MEMBER_DEAD ||
	       strcmp(record->region, region) == 0;
}

static void membership_merge_unknown(struct membership *membership,
				     const struct member *record)
{
	const struct peer *other = member_table_find_address(
		membership->table, record->peer_address);

	if (other && other->member->state != MEMBER_DEAD)
		membership_verify_address(membership, record->peer_address);
	else if (record->state != MEMBER_DEAD)
		membership_add_member(membership, record);
}

/*
 * Merges a record of a node that is neither this one nor the sender. The sender
 * is NULL if it is unknown.
 */
void membership_merge_record(struct membership *membership,
			     const struct peer *sender,
			     const struct member *record)
{
	struct peer *peer = member_table_find(membership->table, record->name);
	bool marks_failure = member_state_rank(record->state) > 0;

	if (member_table_is_superseded(membership->table, record->incarnation))
		return;
	/* An incarnation keeps its address: a record with another is false. */
	if (peer && peer->member->incarnation == record->incarnation &&
	    strcmp(peer->member->peer_address, record->peer_address) != 0)
		return;
	if (marks_failure &&
	    !membership_accepts_failure(membership, sender, record))
		return;
	if (!peer) {
		membership_merge_unknown(membership, record);
		return;
	}
	if (!membership_may_revive(membership, peer))
		return;
	if (peer->member->incarnation != record->incarnation ||
	    (peer->local && !marks_failure &&
	     peer->member->state == MEMBER_DEAD)) {
		if (record->state != MEMBER_DEAD)
			membership_verify_address(membership,
						  record->peer_address);
		return;
	}
	if (record->version > peer->member->version ||
	    (record->version == peer->member->version &&
	     member_state_rank(record->state) >
		     member_state_rank(peer->member->state)))
		membership_replace(membership, peer, record,
				   sender ? sender->member->name : "unknown");
}
