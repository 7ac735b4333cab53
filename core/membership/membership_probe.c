#include "core/membership/membership_state.h"

#define MAX_HELPERS 3
#define OTHER_REGION_ONE_IN 8
#define MAX_JOIN_TARGETS 8
#define MAX_JOIN_DOUBLINGS 4
#define MAX_SUSPECT_PROBES 8

/*
 * Adds a pending probe, which fails after five heartbeats unless the caller
 * sets another time. The membership owns it.
 */
struct probe *membership_add_probe(struct membership *membership,
				   enum probe_kind kind, const char *address)
{
	struct probe *probe = g_new0(struct probe, 1);

	probe->number = membership->next_number++;
	probe->kind = kind;
	probe->address = g_strdup(address);
	probe->sent_us = membership->now_us;
	probe->indirect_us = INT64_MAX;
	probe->fail_us = membership->now_us + 5 * membership->heartbeat_us;
	g_ptr_array_add(membership->probes, probe);
	return probe;
}

/* Probes an address for whatever node is there; no answer has no effect. */
void membership_probe_address(struct membership *membership,
			      const char *address)
{
	const struct probe *probe =
		membership_add_probe(membership, PROBE_ADDRESS, address);

	membership_ping(membership, address, probe->number, true);
}

/*
 * Probes a member. A member of the own region has two fifths of a heartbeat to
 * answer directly and the rest of it to answer through helpers. Members of
 * other regions are farther away and have five times as long.
 */
void membership_probe(struct membership *membership, const struct peer *peer)
{
	int64_t unit_us = membership->heartbeat_us;
	struct probe *probe = membership_add_probe(membership, PROBE_MEMBER,
						   peer->member->peer_address);

	if (!member_table_in_own_region(membership->table, peer))
		unit_us *= 5;
	probe->name = g_strdup(peer->member->name);
	probe->incarnation = peer->member->incarnation;
	probe->indirect_us = membership->now_us + unit_us * 2 / 5;
	probe->fail_us = membership->now_us + unit_us;
	membership_ping(membership, probe->address, probe->number, false);
}

/*
 * Requests indirect probes from nodes of the member's own region, which all
 * know it.
 */
static void membership_request_probes(struct membership *membership,
				      struct probe *probe)
{
	const struct peer *subject =
		member_table_find(membership->table, probe->name);
	struct pick pick = {.max = MAX_HELPERS, .except = probe->name};
	GPtrArray *helpers = g_ptr_array_new();

	probe->indirect_us = INT64_MAX;
	if (subject) {
		pick.own_region =
			member_table_in_own_region(membership->table, subject);
		pick.region = subject->member->region;
		membership_pick(membership, &pick, helpers);
	}
	for (guint i = 0; i < helpers->len; i++) {
		const struct peer *helper = g_ptr_array_index(helpers, i);
		struct peer_message *message = membership_create_message(
			membership, PEER_PROBE, probe->number, probe->address);

		membership_send(membership, helper->member->peer_address,
				message);
	}
	g_ptr_array_unref(helpers);
}

/* Returns the pending probe with this number, or NULL. */
struct probe *membership_find_probe(const struct membership *membership,
				    uint64_t number)
{
	for (guint i = 0; i < membership->probes->len; i++) {
		struct probe *probe = g_ptr_array_index(membership->probes, i);

		if (probe->number == number)
			return probe;
	}
	return NULL;
}

/* Returns whether any message from another node arrived after since_us. */
static bool membership_received_since(const struct membership *membership,
				      int64_t since_us)
{
	return membership->last_received_us > since_us;
}

/*
 * Suspects a member that did not answer. A node that cannot receive gets no
 * answer from any peer; if it spread its suspicions, all peers would have to
 * refute them at once. So a suspicion stays local if no message from another
 * node arrived since the probe. A suspicion of a member in another region stays
 * local too, since the nodes there decide on its state: this node only stops
 * using the member.
 */
static void membership_suspect(struct membership *membership,
			       const struct probe *probe)
{
	struct peer *peer = member_table_find(membership->table, probe->name);

	if (!peer || peer->member->incarnation != probe->incarnation)
		return;
	if (peer->member->state == MEMBER_SUSPECT)
		peer->probe_failed = true;
	if (!peer_is_answering(peer))
		return;
	member_table_set_state(membership->table, peer, MEMBER_SUSPECT,
			       membership->now_us);
	peer->probe_failed = true;
	peer->local = !member_table_in_own_region(membership->table, peer) ||
		      !membership_received_since(membership, probe->sent_us);
	if (!peer->local)
		member_table_spread(membership->table, peer);
}

/*
 * Requests indirect probes of the members whose direct answer is late, and
 * suspects those whose probes have failed.
 */
void membership_check_probes(struct membership *membership)
{
	for (guint i = membership->probes->len; i > 0; i--) {
		struct probe *probe =
			g_ptr_array_index(membership->probes, i - 1);

		if (membership->now_us >= probe->fail_us) {
			if (probe->kind == PROBE_MEMBER)
				membership_suspect(membership, probe);
			g_ptr_array_remove_index_fast(membership->probes,
						      i - 1);
		} else if (membership->now_us >= probe->indirect_us) {
			membership_request_probes(membership, probe);
		}
	}
}

/*
 * Returns how long a suspicion lasts before the member is dead, in us. A node
 * that only received the suspicion waits twice as long and probes the member
 * itself in the second half: it may have missed the member's refutation and
 * would otherwise declare a live member dead.
 */
int64_t membership_suspect_timeout_us(const struct membership *membership,
				      const struct peer *peer)
{
	return peer->probe_failed ? membership->suspect_us
				  : 2 * membership->suspect_us;
}

/* Logs that a member is dead; by is the node that showed it, or the reason. */
void membership_log_dead(struct membership *membership, const struct peer *peer,
			 const char *by)
{
	char incarnation[24];

	g_snprintf(incarnation, sizeof(incarnation),
		   "%016" G_GINT64_MODIFIER "x", peer->member->incarnation);
	action_list_log(membership->actions, LOG_LEVEL_WARN, "member_dead",
			"member", peer->member->name, "incarnation",
			incarnation, "address", peer->member->peer_address,
			"region", peer->member->region, "by", by, NULL);
}

/* Declares the members dead whose suspicion has timed out. */
void membership_check_suspects(struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);

	for (guint i = 0; i < all->len; i++) {
		struct peer *peer = g_ptr_array_index(all, i);
		bool local = peer->local;

		if (peer->member->state != MEMBER_SUSPECT ||
		    membership->now_us <
			    peer->changed_us + membership_suspect_timeout_us(
						       membership, peer))
			continue;
		member_table_set_state(membership->table, peer, MEMBER_DEAD,
				       membership->now_us);
		peer->local = local;
		if (!local)
			member_table_spread(membership->table, peer);
		membership_log_dead(membership, peer, "no answer");
	}
}

/*
 * Probes suspected members again in each heartbeat, so that they can refute the
 * suspicion. A suspicion that was only received gets probes in the second half
 * of its timeout.
 */
void membership_probe_suspects(struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);
	int32_t left = MAX_SUSPECT_PROBES;

	for (guint i = 0; i < all->len && left > 0; i++) {
		const struct peer *peer = g_ptr_array_index(
			all, (i + membership->heartbeat_count) % all->len);
		int64_t age_us = membership->now_us - peer->changed_us;

		if (peer->member->state != MEMBER_SUSPECT ||
		    (!peer->probe_failed && age_us < membership->suspect_us))
			continue;
		membership_probe_address(membership,
					 peer->member->peer_address);
		left--;
	}
}

/* Returns the next member of the own region in a shuffled round, or NULL. */
static struct peer *membership_next_in_region(struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);
	GPtrArray *round = membership->round;

	if (round->len == 0) {
		for (guint i = 0; i < all->len; i++) {
			const struct peer *peer = g_ptr_array_index(all, i);
			gint32 at = g_rand_int_range(membership->random, 0,
						     (gint32)round->len + 1);

			if (!membership_is_self(membership, peer) &&
			    peer->member->state != MEMBER_DEAD &&
			    member_table_in_own_region(membership->table, peer))
				g_ptr_array_insert(
					round, at,
					g_strdup(peer->member->name));
		}
	}
	while (round->len > 0) {
		struct peer *peer = member_table_find(
			membership->table,
			g_ptr_array_index(round, round->len - 1));

		g_ptr_array_set_size(round, (gint)round->len - 1);
		if (peer && peer->member->state != MEMBER_DEAD)
			return peer;
	}
	return NULL;
}

/*
 * Returns the member to probe next, mostly one of the own region, or NULL if no
 * other member is known.
 */
struct peer *membership_next_target(struct membership *membership)
{
	bool other_regions = g_rand_int_range(membership->random, 0,
					      OTHER_REGION_ONE_IN) == 0;
	const struct pick pick = {.max = 1};
	GPtrArray *picked;
	struct peer *peer = NULL;

	if (!other_regions)
		peer = membership_next_in_region(membership);
	if (peer)
		return peer;
	picked = g_ptr_array_new();
	membership_pick(membership, &pick, picked);
	if (picked->len)
		peer = g_ptr_array_index(picked, 0);
	g_ptr_array_unref(picked);
	return peer ? peer : membership_next_in_region(membership);
}

static bool membership_is_lost_address(const struct membership *membership,
				       const char *address)
{
	const struct peer *peer =
		member_table_find_address(membership->table, address);

	return !peer || peer->member->state == MEMBER_DEAD;
}

/*
 * Returns the addresses of seeds at which no live member is known, and of dead
 * members. The caller owns the array but not the strings.
 */
static GPtrArray *membership_lost_addresses(const struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);
	GPtrArray *addresses = g_ptr_array_new();

	for (char **seed = membership->seeds; *seed; seed++) {
		if (membership_is_lost_address(membership, *seed))
			g_ptr_array_add(addresses, *seed);
	}
	for (guint i = 0; i < all->len; i++) {
		const struct peer *peer = g_ptr_array_index(all, i);

		if (peer->member->state == MEMBER_DEAD &&
		    !membership_is_self(membership, peer))
			g_ptr_array_add(addresses, peer->member->peer_address);
	}
	return addresses;
}

static void membership_probe_lost(struct membership *membership, guint max)
{
	GPtrArray *addresses = membership_lost_addresses(membership);

	for (; max > 0 && addresses->len > 0; max--) {
		guint at = (guint)g_rand_int_range(membership->random, 0,
						   (gint32)addresses->len);

		membership_probe_address(membership,
					 g_ptr_array_index(addresses, at));
		g_ptr_array_remove_index_fast(addresses, at);
	}
	g_ptr_array_unref(addresses);
}

/* Probes an address unless a member that is not dead is known there. */
void membership_discover_address(struct membership *membership,
				 const char *address, int64_t now_us,
				 struct action_list *actions)
{
	if (!membership_is_lost_address(membership, address))
		return;
	membership->now_us = MAX(membership->now_us, now_us);
	membership->actions = actions;
	membership_probe_address(membership, address);
	membership_schedule(membership);
	membership->actions = NULL;
}

/*
 * Probes seeds and dead members while no other member is known. The delay
 * doubles up to a limit and is random, so that nodes do not probe in step.
 */
void membership_join(struct membership *membership)
{
	int64_t delay_us =
		membership->heartbeat_us
		<< MIN(membership->join_attempts, MAX_JOIN_DOUBLINGS);

	if (membership->now_us < membership->next_join_us)
		return;
	membership_probe_lost(membership, MAX_JOIN_TARGETS);
	membership->join_attempts++;
	membership->next_join_us =
		membership->now_us +
		(int64_t)((double)delay_us *
			  g_rand_double_range(membership->random, 0.5, 1.5));
}

/*
 * Probes one dead member or seed at intervals. After a network partition each
 * side has marked the other dead, and the two would never merge without these
 * probes. Once a dead member answers, the next probes follow faster.
 */
void membership_rejoin(struct membership *membership)
{
	if (membership->rejoin_probes_left > 0)
		membership->rejoin_probes_left--;
	else if (membership->heartbeat_count % MEMBERSHIP_REJOIN_HEARTBEATS !=
		 0)
		return;
	membership_probe_lost(membership, 1);
}
