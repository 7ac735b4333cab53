#include "core/membership.h"

#include "core/member_table.h"

#include <string.h>

#define GOSSIP_MEMBERS 6
#define GOSSIP_BURST 15 /* where much has changed at once */
#define GOSSIP_FAR 2	/* of these, where a receiver knows little */
#define MAX_GOSSIP_TAKEN 32
#define HELPERS 3
#define FAR_PROBE_ONE_IN 8
#define EXTRA_ONE_IN 4	  /* messages that carry a record unasked */
#define NEW_HEARTBEATS 20 /* a newcomer is told more for so long */
#define REJOIN_HEARTBEATS 25
#define REJOIN_BURST 8
#define MAX_JOIN_TARGETS 8
#define MAX_JOIN_DOUBLINGS 4
#define MAX_CONFIRMS 8
#define MAX_RELAYS 64
#define MAX_VERIFIES 4
#define ANNOUNCE_NEAR 8
#define ANNOUNCE_FAR 2
#define FORGET_US (900 * G_USEC_PER_SEC)
#define MAX_VERSION ((uint64_t)1 << 62)

enum probe_kind {
	PROBE_MEMBER,  /* no answer: the member is suspected */
	PROBE_ADDRESS, /* who answers there, if anybody */
	PROBE_RELAY    /* for another node */
};

struct probe {
	uint64_t number;
	enum probe_kind kind;
	uint64_t incarnation; /* member: the one that was asked */
	char *name;	      /* member */
	char *address;
	char *asker; /* relay: peer address */
	uint64_t asker_number;
	int64_t sent_us;
	int64_t indirect_us; /* ask helpers then; INT64_MAX: asked */
	int64_t fail_us;
};

struct membership {
	struct member_table *table;
	char **seeds;
	int64_t heartbeat_us;
	int64_t suspect_us;
	GRand *random;
	GPtrArray *probes; /* struct probe */
	GPtrArray *round;  /* char *: names still to be probed, at the end */
	uint64_t next_number;
	int64_t now_us;
	int64_t next_heartbeat_us;
	int64_t next_due_us;
	int64_t next_join_us;
	int64_t received_us; /* any record from another node */
	int64_t quorum_us;
	int64_t logged_us;
	uint32_t heartbeats;
	uint32_t joins;
	int32_t rejoins_left;
	int32_t verifies_left;
	bool started;
	bool announce;
	struct action_list *actions; /* of the step that runs */
};

static void probe_destroy(gpointer data)
{
	struct probe *probe = data;

	g_free(probe->name);
	g_free(probe->address);
	g_free(probe->asker);
	g_free(probe);
}

/*
 * A node that knows only itself. The first step asks the seeds. Times are in
 * microseconds; the options are copied.
 */
struct membership *membership_create(const struct membership_options *options)
{
	static const char *const no_seeds[] = {NULL};
	const char *const *seeds = options->seeds ? options->seeds : no_seeds;
	struct membership *membership = g_new0(struct membership, 1);

	membership->table = member_table_create(options->self);
	membership->seeds = g_strdupv((char **)seeds);
	membership->heartbeat_us = MAX(options->heartbeat_us, 1000);
	membership->suspect_us = MAX(options->suspect_us, 1000);
	membership->random = g_rand_new_with_seed(
		(guint32)(options->seed ^ (options->seed >> 32)));
	membership->probes = g_ptr_array_new_with_free_func(probe_destroy);
	membership->round = g_ptr_array_new_with_free_func(g_free);
	membership->next_number =
		((uint64_t)g_rand_int(membership->random) << 31) + 1;
	return membership;
}

/* Frees the membership; NULL is allowed. */
void membership_destroy(struct membership *membership)
{
	if (!membership)
		return;
	member_table_destroy(membership->table);
	g_strfreev(membership->seeds);
	g_rand_free(membership->random);
	g_ptr_array_unref(membership->probes);
	g_ptr_array_unref(membership->round);
	g_free(membership);
}

static struct member *membership_own(const struct membership *membership)
{
	return member_table_self(membership->table)->member;
}

static bool membership_is_self(const struct membership *membership,
			       const struct peer *peer)
{
	return peer == member_table_self(membership->table);
}

static bool peer_is_answering(const struct peer *peer)
{
	return peer->member->state == MEMBER_LIVE ||
	       peer->member->state == MEMBER_LEAVING;
}

/* How many others are not dead. */
static size_t membership_other_count(const struct membership *membership)
{
	const GPtrArray *view = member_table_view(membership->table);

	return view->len -
	       (membership_own(membership)->state != MEMBER_DEAD ? 1 : 0);
}

/* Whom to pick from: the own region, all others, or one of them. */
struct pick {
	size_t max;
	bool near;
	const char *region; /* NULL: any other */
	const char *except; /* a name, or NULL */
};

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
static void membership_pick(struct membership *membership,
			    const struct pick *pick, GPtrArray *picked)
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

static void member_list_add(GPtrArray *members, const struct peer *peer)
{
	if (peer && !member_list_has(members, peer->member->name))
		g_ptr_array_add(members, member_copy(peer->member));
}

static bool membership_peer_is_new(const struct membership *membership,
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
static void membership_add_gossip(struct membership *membership,
				  const struct peer *to, GPtrArray *members)
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

static struct peer_message *
membership_message(const struct membership *membership,
		   enum peer_message_type type, uint64_t number,
		   const char *subject)
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

static void membership_send(struct membership *membership, const char *address,
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
static void membership_ping(struct membership *membership, const char *address,
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

static struct probe *membership_add_probe(struct membership *membership,
					  enum probe_kind kind,
					  const char *address)
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
static void membership_probe_address(struct membership *membership,
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
static void membership_probe(struct membership *membership,
			     const struct peer *peer)
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
static struct probe *membership_find_probe(const struct membership *membership,
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

static void membership_check_probes(struct membership *membership)
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
static int64_t membership_patience_us(const struct membership *membership,
				      const struct peer *peer)
{
	return peer->accused ? membership->suspect_us
			     : 2 * membership->suspect_us;
}

static void membership_log_dead(struct membership *membership,
				const struct peer *peer, const char *by)
{
	char incarnation[24];

	g_snprintf(incarnation, sizeof(incarnation),
		   "%016" G_GINT64_MODIFIER "x", peer->member->incarnation);
	action_list_log(membership->actions, LOG_LEVEL_WARN, "member_dead",
			"member", peer->member->name, "incarnation",
			incarnation, "address", peer->member->peer_address,
			"region", peer->member->region, "by", by, NULL);
}

static void membership_check_suspects(struct membership *membership)
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
static void membership_confirm_suspects(struct membership *membership)
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

static struct peer *membership_next_target(struct membership *membership)
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

/* Alone: asks seeds and lost members, ever more slowly, never in step. */
static void membership_join(struct membership *membership)
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
static void membership_rejoin(struct membership *membership)
{
	if (membership->rejoins_left > 0)
		membership->rejoins_left--;
	else if (membership->heartbeats % REJOIN_HEARTBEATS != 0)
		return;
	membership_probe_lost(membership, 1);
}

static void membership_announce(struct membership *membership)
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

/* Whether more than half of the known nodes of the region answer. */
static bool membership_has_quorum(const struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);
	guint known = 0, answering = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct peer *peer = g_ptr_array_index(all, i);

		if (!member_table_is_near(membership->table, peer) ||
		    (peer->left && peer->member->state == MEMBER_DEAD))
			continue;
		known++;
		answering += peer_is_answering(peer);
	}
	return answering * 2 > known;
}

/* Whether no other node of the own region is known. */
static bool membership_is_alone_near(const struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);

	for (guint i = 0; i < all->len; i++) {
		const struct peer *peer = g_ptr_array_index(all, i);

		if (!membership_is_self(membership, peer) &&
		    member_table_is_near(membership->table, peer))
			return false;
	}
	return true;
}

/*
 * The dead are forgotten after 15 minutes, but not by a node that hears only
 * a minority: it would come to take that minority for the whole.
 */
static void membership_forget(struct membership *membership)
{
	int64_t before_us = membership->now_us - FORGET_US;

	if (!membership_has_quorum(membership))
		before_us = INT64_MIN;
	member_table_forget(membership->table, before_us, membership->now_us);
}

static void membership_heartbeat(struct membership *membership)
{
	const struct peer *target;

	membership->next_heartbeat_us =
		membership->now_us +
		(int64_t)((double)membership->heartbeat_us *
			  g_rand_double_range(membership->random, 0.9, 1.1));
	membership->heartbeats++;
	membership->verifies_left = MAX_VERIFIES;
	if (membership_own(membership)->state == MEMBER_DEAD)
		return;
	if (membership_other_count(membership) == 0) {
		membership_join(membership);
	} else {
		membership->joins = 0;
		membership_rejoin(membership);
		target = membership_next_target(membership);
		if (target)
			membership_probe(membership, target);
		membership_confirm_suspects(membership);
	}
	if (membership->heartbeats % REJOIN_HEARTBEATS == 0)
		membership_forget(membership);
}

/*
 * A process that was paused finds its probes unanswered and its suspicions
 * run out, while the answers still wait in its sockets. It would call its
 * peers dead; so it asks anew and lets long suspicions start over.
 */
static void membership_check_pause(struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);
	int64_t late_us = membership->now_us - membership->next_heartbeat_us;

	if (late_us < membership->heartbeat_us)
		return;
	g_ptr_array_set_size(membership->probes, 0);
	for (guint i = 0; i < all->len; i++) {
		struct peer *peer = g_ptr_array_index(all, i);

		if (peer->member->state == MEMBER_SUSPECT &&
		    late_us >= membership->suspect_us / 2)
			peer->changed_us = membership->now_us;
	}
}

static void membership_schedule(struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);
	int64_t due_us = membership->next_heartbeat_us;

	for (guint i = 0; i < membership->probes->len; i++) {
		const struct probe *probe =
			g_ptr_array_index(membership->probes, i);

		due_us = MIN(due_us, MIN(probe->indirect_us, probe->fail_us));
	}
	for (guint i = 0; i < all->len; i++) {
		const struct peer *peer = g_ptr_array_index(all, i);

		if (peer->member->state == MEMBER_SUSPECT)
			due_us = MIN(due_us, peer->changed_us +
						     membership_patience_us(
							     membership, peer));
	}
	membership->next_due_us = membership->announce ? 0 : due_us;
}

static void membership_start(struct membership *membership)
{
	membership->started = true;
	membership->quorum_us = membership->now_us;
	membership_join(membership);
	membership->next_heartbeat_us =
		membership->now_us +
		(int64_t)((double)membership->heartbeat_us *
			  g_rand_double(membership->random));
}

/*
 * Does what is due. now_us never falls. Appends records to send and log lines.
 *
 * Cost, by build/bin/membership_bench with a heartbeat of 200 ms and no loss:
 * 10 records a second whatever the size; 1,037 bytes a second sent at 8 nodes,
 * 1,128 at 48, 1,811 at 480 in ten regions, and under 0.03% of a core.
 */
void membership_step(struct membership *membership, int64_t now_us,
		     struct action_list *actions)
{
	membership->now_us = MAX(membership->now_us, now_us);
	if (membership->started && membership->now_us < membership->next_due_us)
		return;
	membership->actions = actions;
	if (!membership->started)
		membership_start(membership);
	membership_check_pause(membership);
	if (membership->announce)
		membership_announce(membership);
	membership_check_probes(membership);
	membership_check_suspects(membership);
	if (membership->now_us >= membership->next_heartbeat_us)
		membership_heartbeat(membership);
	membership_schedule(membership);
	membership->actions = NULL;
}

/* When membership_step wants to be called next, in us. */
int64_t membership_next_due_us(const struct membership *membership)
{
	return membership->next_due_us;
}

/* Raises the own version above what is said of this node, and spreads that. */
static void membership_raise(struct membership *membership, uint64_t above)
{
	struct peer *self = member_table_self(membership->table);

	self->member->version = MAX(self->member->version, above) + 1;
	member_table_spread(membership->table, self);
}

/*
 * Sets the node's own state, LEAVING when it drains and DEAD when it ends; the
 * next step, due at once, tells others.
 */
void membership_set_state(struct membership *membership,
			  enum member_state state)
{
	struct peer *self = member_table_self(membership->table);

	if (self->member->state == state)
		return;
	member_table_set_state(membership->table, self, state,
			       membership->now_us);
	membership_raise(membership, 0);
	membership->announce = true;
	membership->next_due_us = 0;
}

/*
 * Sets the revision told to others. It rides on each ping and raises no
 * version: configurations change far more often than members do.
 */
void membership_set_config_revision(struct membership *membership,
				    int64_t revision)
{
	membership_own(membership)->config_revision = revision;
}

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
			       membership->now_us + FORGET_US);
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
static struct peer *membership_hear(struct membership *membership,
				    const struct peer_message *message,
				    bool *replaced)
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
		member_table_supersede(membership->table,
				       peer->member->incarnation,
				       membership->now_us + FORGET_US);
		peer->left = false;
		membership_replace(membership, peer, record, "itself");
		return peer;
	}
	if (record)
		membership_hear_known(membership, peer, record);
	return peer;
}

/* Others say something of this node. What makes it look gone is refuted. */
static void membership_hear_of_self(struct membership *membership,
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
static void membership_hear_of(struct membership *membership,
			       const struct peer *sender,
			       const struct member *record)
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

static bool member_is_sane(const struct member *member)
{
	return member && member->name && *member->name &&
	       member->peer_address && *member->peer_address &&
	       member->http_address && member->region &&
	       member->failure_domain && member->incarnation != 0 &&
	       member->version < MAX_VERSION && member->state >= MEMBER_LIVE &&
	       member->state <= MEMBER_DEAD && member->config_revision >= 0;
}

static bool peer_message_is_sane(const struct peer_message *message)
{
	if (message->type != PEER_PING && message->type != PEER_ACK &&
	    message->type != PEER_PROBE)
		return false;
	if (!message->from || !*message->from || !message->from_address ||
	    !*message->from_address || message->incarnation == 0 ||
	    message->probe.members->len > MAX_GOSSIP_TAKEN)
		return false;
	if (message->type == PEER_PROBE &&
	    (!message->probe.subject || !*message->probe.subject))
		return false;
	for (guint i = 0; i < message->probe.members->len; i++) {
		if (!member_is_sane(
			    g_ptr_array_index(message->probe.members, i)))
			return false;
	}
	return true;
}

/* Nonsense is dropped and logged, at most one line in a heartbeat. */
static void membership_reject(struct membership *membership,
			      const struct peer_message *message)
{
	if (membership->logged_us &&
	    membership->now_us <
		    membership->logged_us + membership->heartbeat_us)
		return;
	membership->logged_us = membership->now_us;
	action_list_log(
		membership->actions, LOG_LEVEL_WARN, "member_message_rejected",
		"type", peer_message_type_name(message->type), "from",
		message->from ? message->from : "", "address",
		message->from_address ? message->from_address : "", NULL);
}

/* Answers a ping; the own record where it is asked for or has changed. */
static void membership_answer(struct membership *membership,
			      const struct peer_message *message,
			      const struct peer *sender)
{
	struct peer *self = member_table_self(membership->table);
	struct peer_message *ack = membership_message(
		membership, PEER_ACK, message->probe.number, "");
	bool introduce = message->probe.subject && *message->probe.subject;

	if (introduce || !sender || self->spread_left > 0 ||
	    membership_peer_is_new(membership, sender)) {
		member_list_add(ack->probe.members, self);
		self->spread_left = MAX(self->spread_left - 1, 0);
	}
	membership_add_gossip(membership, sender, ack->probe.members);
	membership_send(membership, message->from_address, ack);
}

/* Probes for another node; only where a member is known to be. */
static void membership_relay(struct membership *membership,
			     const struct peer_message *message)
{
	const struct peer *subject = member_table_find_address(
		membership->table, message->probe.subject);
	struct probe *probe;
	guint relays = 0;

	for (guint i = 0; i < membership->probes->len; i++) {
		const struct probe *other =
			g_ptr_array_index(membership->probes, i);

		relays += other->kind == PROBE_RELAY;
	}
	if (!subject || relays >= MAX_RELAYS)
		return;
	probe = membership_add_probe(membership, PROBE_RELAY,
				     message->probe.subject);
	probe->asker = g_strdup(message->from_address);
	probe->asker_number = message->probe.number;
	membership_ping(membership, probe->address, probe->number, true);
}

/* Passes an answer on, with what the subject said of itself. */
static void membership_answer_relay(struct membership *membership,
				    const struct probe *probe)
{
	struct peer_message *ack = membership_message(
		membership, PEER_ACK, probe->asker_number, probe->address);

	member_list_add(
		ack->probe.members,
		member_table_find_address(membership->table, probe->address));
	membership_send(membership, probe->asker, ack);
}

static void membership_take_ack(struct membership *membership,
				const struct peer_message *message,
				const struct peer *sender)
{
	struct probe *probe =
		membership_find_probe(membership, message->probe.number);

	if (sender && membership_has_quorum(membership) &&
	    (member_table_is_near(membership->table, sender) ||
	     membership_is_alone_near(membership)))
		membership->quorum_us = membership->now_us;
	if (!probe)
		return;
	if (probe->kind == PROBE_RELAY)
		membership_answer_relay(membership, probe);
	g_ptr_array_remove_fast(membership->probes, probe);
}

static void membership_take(struct membership *membership,
			    const struct peer_message *message)
{
	const struct member *own = membership_own(membership);
	const struct peer *sender;
	bool replaced;

	if (strcmp(message->from, own->name) == 0)
		return;
	membership->received_us = membership->now_us;
	sender = membership_hear(membership, message, &replaced);
	if (replaced)
		return;
	for (guint i = 0; i < message->probe.members->len; i++) {
		const struct member *record =
			g_ptr_array_index(message->probe.members, i);

		if (strcmp(record->name, own->name) == 0)
			membership_hear_of_self(membership, record);
		else if (strcmp(record->name, message->from) != 0)
			membership_hear_of(membership, sender, record);
	}
	if (message->type == PEER_PING)
		membership_answer(membership, message, sender);
	else if (message->type == PEER_PROBE)
		membership_relay(membership, message);
	else
		membership_take_ack(membership, message, sender);
}

/*
 * Takes a PING, ACK or PROBE and appends the answers. Anything malformed and
 * any other type is dropped with a log line.
 */
void membership_receive(struct membership *membership,
			const struct peer_message *message, int64_t now_us,
			struct action_list *actions)
{
	membership->now_us = MAX(membership->now_us, now_us);
	membership->actions = actions;
	if (peer_message_is_sane(message))
		membership_take(membership, message);
	else
		membership_reject(membership, message);
	membership_schedule(membership);
	membership->actions = NULL;
}

/* How many members are not dead, the node itself included. */
size_t membership_count(const struct membership *membership)
{
	return member_table_view(membership->table)->len;
}

/* The member at i, sorted by name; valid until the next step or message. */
const struct member *membership_get(const struct membership *membership,
				    size_t i)
{
	return g_ptr_array_index(member_table_view(membership->table), i);
}

/* The member of this name unless it is dead or unknown, then NULL. */
const struct member *membership_find(const struct membership *membership,
				     const char *name)
{
	const struct peer *peer = member_table_find(membership->table, name);

	if (!peer || peer->member->state == MEMBER_DEAD)
		return NULL;
	return peer->member;
}

/* The node itself. */
const struct member *membership_self(const struct membership *membership)
{
	return membership_own(membership);
}

/* Rises whenever the set, a state, an incarnation or an address changes. */
uint64_t membership_epoch(const struct membership *membership)
{
	return member_table_epoch(membership->table);
}

/*
 * When a probe was last answered while more than half of the known nodes of
 * the region answer, in us. Dead nodes count as known until they are
 * forgotten, unless they said that they leave. A node without others has
 * always just heard itself.
 */
int64_t membership_quorum_heard_us(const struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);

	if (all->len == 1)
		return membership->now_us;
	return membership->quorum_us;
}
