#include "core/membership/membership_state.h"

#define HELPERS 3
#define FAR_PROBE_ONE_IN 8
#define MAX_JOIN_TARGETS 8
#define MAX_JOIN_DOUBLINGS 4
#define MAX_CONFIRMS 8

/* Remembers a probe that is being sent; it is dropped after five heartbeats. */
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

/* Asks who is at an address; silence means nothing. */
void membership_probe_address(struct membership *membership,
			      const char *address)
{
	const struct probe *probe =
		membership_add_probe(membership, PROBE_ADDRESS, address);

	membership_ping(membership, address, probe->number, true);
}

/*
 * Probes a member. Members of the own region have two fifths of a heartbeat
 * to answer and the rest of it through helpers; other regions are farther
 * away and get five times that.
 */
void membership_probe(struct membership *membership, const struct peer *peer)
{
	int64_t unit_us = membership->heartbeat_us;
	struct probe *probe = membership_add_probe(membership, PROBE_MEMBER,
						   peer->member->peer_address);

	if (!member_table_is_near(membership->table, peer))
		unit_us *= 5;
	probe->name = g_strdup(peer->member->name);
	probe->incarnation = peer->member->incarnation;
	probe->indirect_us = membership->now_us + unit_us * 2 / 5;
	probe->fail_us = membership->now_us + unit_us;
	membership_ping(membership, probe->address, probe->number, false);
}

/* Nodes of the member's own region help: they all know it. */
static void membership_ask_helpers(struct membership *membership,
				   struct probe *probe)
{
	const struct peer *subject =
		member_table_find(membership->table, probe->name);
	struct pick pick = {.max = HELPERS, .except = probe->name};
	GPtrArray *helpers = g_ptr_array_new();

	probe->indirect_us = INT64_MAX;
	if (subject) {
		pick.near = member_table_is_near(membership->table, subject);
		pick.region = subject->member->region;
		membership_pick(membership, &pick, helpers);
	}
	for (guint i = 0; i < helpers->len; i++) {
		const struct peer *helper = g_ptr_array_index(helpers, i);
		struct peer_message *message = membership_message(
			membership, PEER_PROBE, probe->number, probe->address);

		membership_send(membership, helper->member->peer_address,
				message);
	}
	g_ptr_array_unref(helpers);
}

/* The probe of this number, or NULL. */
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

/* Whether a node other than this peer has been heard since that time. */
static bool membership_hears_others(const struct membership *membership,
				    int64_t since_us)
{
	return membership->received_us > since_us;
}

/*
 * A member did not answer. A node whose own receiving side is cut gets no
 * answer from anybody; told to others, its suspicion would make all of them
 * defend themselves at once. So an accusation made in silence stays local.
 * What happens in another region is for the nodes there to say: this node only
 * stops using the member.
 */
static void membership_accuse(struct membership *membership,
			      const struct probe *probe)
{
	struct peer *peer = member_table_find(membership->table, probe->name);

	if (!peer || peer->member->incarnation != probe->incarnation)
		return;
	if (peer->member->state == MEMBER_SUSPECT)
		peer->accused = true;
	if (!peer_is_answering(peer))
		return;
	member_table_set_state(membership->table, peer, MEMBER_SUSPECT,
			       membership->now_us);
	peer->accused = true;
	peer->local = !member_table_is_near(membership->table, peer) ||
		      !membership_hears_others(membership, probe->sent_us);
	if (!peer->local)
		member_table_spread(membership->table, peer);
}

/* Asks helpers where an answer is late, and suspects where it is too late. */
void membership_check_probes(struct membership *membership)
{
	for (guint i = membership->probes->len; i > 0; i--) {
		struct probe *probe =
			g_ptr_array_index(membership->probes, i - 1);

		if (membership->now_us >= probe->fail_us) {
			if (probe->kind == PROBE_MEMBER)
				membership_accuse(membership, probe);
			g_ptr_array_remove_index_fast(membership->probes,
						      i - 1);
		} else if (membership->now_us >= probe->indirect_us) {
			membership_ask_helpers(membership, probe);
		}
	}
}

/*
 * How long a suspicion may last. A node that only heard of it waits twice as
 * long and asks the member itself in the second half: it may have missed the
 * member's defence, and then it would call a live member dead.
 */
int64_t membership_patience_us(const struct membership *membership,
			       const struct peer *peer)
{
	return peer->accused ? membership->suspect_us
			     : 2 * membership->suspect_us;
}

/* Logs a death; by names who found it out. */
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

/* Calls those dead that were suspected for too long. */
void membership_check_suspects(struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);

	for (guint i = 0; i < all->len; i++) {
		struct peer *peer = g_ptr_array_index(all, i);
		bool local = peer->local;

		if (peer->member->state != MEMBER_SUSPECT ||
		    membership->now_us <
			    peer->changed_us +
				    membership_patience_us(membership, peer))
			continue;
		member_table_set_state(membership->table, peer, MEMBER_DEAD,
				       membership->now_us);
		peer->local = local;
		if (!local)
			member_table_spread(membership->table, peer);
		membership_log_dead(membership, peer, "no answer");
	}
}

/* Asks suspects once more in each heartbeat, so that they can defend. */
void membership_confirm_suspects(struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);
	int32_t left = MAX_CONFIRMS;

	for (guint i = 0; i < all->len && left > 0; i++) {
		const struct peer *peer = g_ptr_array_index(
			all, (i + membership->heartbeats) % all->len);
		int64_t age_us = membership->now_us - peer->changed_us;

		if (peer->member->state != MEMBER_SUSPECT ||
		    (!peer->accused && age_us < membership->suspect_us))
			continue;
		membership_probe_address(membership,
					 peer->member->peer_address);
		left--;
	}
}

/* The next member of the own region in a shuffled round, or NULL. */
static struct peer *membership_next_near(struct membership *membership)
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
			    member_table_is_near(membership->table, peer))
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

/* Whom to probe next: mostly the own region. NULL: nobody is known. */
struct peer *membership_next_target(struct membership *membership)
{
	bool far =
		g_rand_int_range(membership->random, 0, FAR_PROBE_ONE_IN) == 0;
	const struct pick pick = {.max = 1};
	GPtrArray *picked;
	struct peer *peer = NULL;

	if (!far)
		peer = membership_next_near(membership);
	if (peer)
		return peer;
	picked = g_ptr_array_new();
	membership_pick(membership, &pick, picked);
	if (picked->len)
		peer = g_ptr_array_index(picked, 0);
	g_ptr_array_unref(picked);
	return peer ? peer : membership_next_near(membership);
}

static bool membership_is_lost_address(const struct membership *membership,
				       const char *address)
{
	const struct peer *peer =
		member_table_find_address(membership->table, address);

	return !peer || peer->member->state == MEMBER_DEAD;
}

/* Addresses where a node may be that this one does not know as live. */
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

/* Asks who is at an address, unless a live member is known there. */
void membership_ask(struct membership *membership, const char *address,
		    int64_t now_us, struct action_list *actions)
{
	if (!membership_is_lost_address(membership, address))
		return;
	membership->now_us = MAX(membership->now_us, now_us);
	membership->actions = actions;
	membership_probe_address(membership, address);
	membership_schedule(membership);
	membership->actions = NULL;
}

/* Alone: asks seeds and lost members, ever more slowly, never in step. */
void membership_join(struct membership *membership)
{
	int64_t delay_us = membership->heartbeat_us
			   << MIN(membership->joins, MAX_JOIN_DOUBLINGS);

	if (membership->now_us < membership->next_join_us)
		return;
	membership_probe_lost(membership, MAX_JOIN_TARGETS);
	membership->joins++;
	membership->next_join_us =
		membership->now_us +
		(int64_t)((double)delay_us *
			  g_rand_double_range(membership->random, 0.5, 1.5));
}

/*
 * Two halves of a parted network each hold the other for dead, and would never
 * meet again if the dead were not asked now and then. One that answers makes
 * the next questions come faster.
 */
void membership_rejoin(struct membership *membership)
{
	if (membership->rejoins_left > 0)
		membership->rejoins_left--;
	else if (membership->heartbeats % MEMBERSHIP_REJOIN_HEARTBEATS != 0)
		return;
	membership_probe_lost(membership, 1);
}
