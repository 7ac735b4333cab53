#include "core/membership/membership_state.h"

#define MAX_ADDRESS_PROBES 4

static void probe_destroy(gpointer data)
{
	struct probe *probe = data;

	g_free(probe->name);
	g_free(probe->address);
	g_free(probe->requester);
	g_free(probe);
}

/*
 * Creates the membership of a node that knows only itself; the first step
 * probes the seeds. Times are in microseconds, and the options are copied. The
 * caller frees it with membership_destroy.
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

/* Returns how many other members are not dead. */
static size_t membership_other_count(const struct membership *membership)
{
	const GPtrArray *view = member_table_view(membership->table);

	return view->len -
	       (membership_own_record(membership)->state != MEMBER_DEAD ? 1
									: 0);
}

/*
 * Returns whether more than half of the known nodes of the region, including
 * this one, answer. Nodes that have left are not counted.
 */
bool membership_has_quorum(const struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);
	guint known = 0, answering = 0;

	for (guint i = 0; i < all->len; i++) {
		const struct peer *peer = g_ptr_array_index(all, i);

		if (!member_table_in_own_region(membership->table, peer) ||
		    (peer->left_voluntarily &&
		     peer->member->state == MEMBER_DEAD))
			continue;
		known++;
		answering += peer_is_answering(peer);
	}
	return answering * 2 > known;
}

/* Returns whether no other node of the own region is known. */
bool membership_is_alone_in_region(const struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);

	for (guint i = 0; i < all->len; i++) {
		const struct peer *peer = g_ptr_array_index(all, i);

		if (!membership_is_self(membership, peer) &&
		    member_table_in_own_region(membership->table, peer))
			return false;
	}
	return true;
}

/*
 * Removes peers that have been dead for 15 minutes. A node without a quorum
 * keeps them: otherwise the minority that it can reach would in time count as
 * the whole region.
 */
static void membership_expire(struct membership *membership)
{
	int64_t before_us = membership->now_us - MEMBERSHIP_DEAD_TTL_US;

	if (!membership_has_quorum(membership))
		before_us = INT64_MIN;
	member_table_expire(membership->table, before_us, membership->now_us);
}

static void membership_heartbeat(struct membership *membership)
{
	const struct peer *target;

	membership->next_heartbeat_us =
		membership->now_us +
		(int64_t)((double)membership->heartbeat_us *
			  g_rand_double_range(membership->random, 0.9, 1.1));
	membership->heartbeat_count++;
	membership->address_probes_left = MAX_ADDRESS_PROBES;
	if (membership_own_record(membership)->state == MEMBER_DEAD)
		return;
	if (membership_other_count(membership) == 0) {
		membership_join(membership);
	} else {
		membership->join_attempts = 0;
		membership_rejoin(membership);
		target = membership_next_target(membership);
		if (target)
			membership_probe(membership, target);
		membership_probe_suspects(membership);
	}
	if (membership->heartbeat_count % MEMBERSHIP_REJOIN_HEARTBEATS == 0)
		membership_expire(membership);
}

/*
 * Detects that the process was paused. Its probes then look unanswered and its
 * suspicions expired while the answers still wait in its sockets, and it would
 * declare its peers dead. So it drops the pending probes, and after a pause of
 * at least half the suspicion timeout it restarts the suspicions.
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

/* Computes when the next step is due; called after each step and message. */
void membership_schedule(struct membership *membership)
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
			due_us = MIN(due_us,
				     peer->changed_us +
					     membership_suspect_timeout_us(
						     membership, peer));
	}
	membership->next_due_us = membership->announce_pending ? 0 : due_us;
}

static void membership_start(struct membership *membership)
{
	membership->started = true;
	membership->last_quorum_us = membership->now_us;
	membership_join(membership);
	membership->next_heartbeat_us =
		membership->now_us +
		(int64_t)((double)membership->heartbeat_us *
			  g_rand_double(membership->random));
}

/*
 * Does everything that is due at now_us; a now_us lower than an earlier one is
 * taken as the earlier one. Appends messages to send and log lines to actions.
 *
 * Cost per node in build/bin/membership_bench with a heartbeat of 200 ms and no
 * loss: 10 messages a second at every size; 1,037 bytes a second sent at 8
 * nodes, 1,128 at 48, 1,811 at 480 in ten regions; under 0.03% of a core.
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
	if (membership->announce_pending)
		membership_announce(membership);
	membership_check_probes(membership);
	membership_check_suspects(membership);
	if (membership->now_us >= membership->next_heartbeat_us)
		membership_heartbeat(membership);
	membership_schedule(membership);
	membership->actions = NULL;
}

/* Returns when membership_step is to be called next, in us. */
int64_t membership_next_due_us(const struct membership *membership)
{
	return membership->next_due_us;
}

/* Raises the own version above the given one and spreads the own record. */
void membership_raise_version(struct membership *membership, uint64_t above)
{
	struct peer *self = member_table_self(membership->table);

	self->member->version = MAX(self->member->version, above) + 1;
	member_table_spread(membership->table, self);
}

/*
 * Sets the node's own state: LEAVING when it drains and DEAD when it ends. The
 * next step is due at once and announces the state to others.
 */
void membership_set_state(struct membership *membership,
			  enum member_state state)
{
	struct peer *self = member_table_self(membership->table);

	if (self->member->state == state)
		return;
	member_table_set_state(membership->table, self, state,
			       membership->now_us);
	membership_raise_version(membership, 0);
	membership->announce_pending = true;
	membership->next_due_us = 0;
}

/*
 * Sets the configuration revision that this node announces. Each ping carries
 * it, and it does not raise the version: configurations change far more often
 * than members do.
 */
void membership_set_config_revision(struct membership *membership,
				    int64_t revision)
{
	membership_own_record(membership)->config_revision = revision;
}

/* Returns how many members are not dead, including the node itself. */
size_t membership_count(const struct membership *membership)
{
	return member_table_view(membership->table)->len;
}

/*
 * Returns the member at index i in the order of names; the pointer is valid
 * until the next step or message.
 */
const struct member *membership_get(const struct membership *membership,
				    size_t i)
{
	return g_ptr_array_index(member_table_view(membership->table), i);
}

/* Returns the member with this name, or NULL if it is dead or unknown. */
const struct member *membership_find(const struct membership *membership,
				     const char *name)
{
	const struct peer *peer = member_table_find(membership->table, name);

	if (!peer || peer->member->state == MEMBER_DEAD)
		return NULL;
	return peer->member;
}

/* Returns the record of the node itself. */
const struct member *membership_self(const struct membership *membership)
{
	return membership_own_record(membership);
}

/*
 * Returns a counter that rises whenever the set, a state, an incarnation or an
 * address changes.
 */
uint64_t membership_epoch(const struct membership *membership)
{
	return member_table_epoch(membership->table);
}

/*
 * Returns in us when a ping was last answered while more than half of the known
 * nodes of the region were answering. The answer must come from the own region
 * unless no other node of it is known. Dead nodes count as known until they are
 * removed, unless they had announced that they leave. For a node that knows no
 * others the result is the current time.
 */
int64_t membership_last_quorum_us(const struct membership *membership)
{
	const GPtrArray *all = member_table_all(membership->table);

	if (all->len == 1)
		return membership->now_us;
	return membership->last_quorum_us;
}
