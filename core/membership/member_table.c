#include "core/membership/member_table.h"

#include <math.h>
#include <string.h>

#define SPREAD_FACTOR 3
#define MAX_OWN_REGION 2048
#define MAX_OTHER_REGIONS 1024
#define MAX_SUPERSEDED_MARKS 4096

struct member_table {
	struct peer *self;
	GHashTable *peers;	/* name to struct peer, owned */
	GPtrArray *all;		/* struct peer */
	GPtrArray *view;	/* struct member by name, none dead */
	GHashTable *superseded; /* incarnation to int64_t until_us */
	uint64_t epoch;
	uint64_t last_change_number;
};

static void peer_destroy(gpointer data)
{
	struct peer *peer = data;

	member_destroy(peer->member);
	g_free(peer);
}

static gint member_compare(gconstpointer a, gconstpointer b)
{
	const struct member *left = *(const struct member *const *)a;
	const struct member *right = *(const struct member *const *)b;

	return strcmp(left->name, right->name);
}

static void member_table_refresh(struct member_table *table)
{
	g_ptr_array_set_size(table->view, 0);
	for (guint i = 0; i < table->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(table->all, i);

		if (peer->member->state != MEMBER_DEAD)
			g_ptr_array_add(table->view, peer->member);
	}
	g_ptr_array_sort(table->view, member_compare);
	table->epoch++;
}

static struct peer *member_table_insert(struct member_table *table,
					const struct member *member,
					int64_t now_us)
{
	struct peer *peer = g_new0(struct peer, 1);

	peer->member = member_copy(member);
	peer->added_us = now_us;
	peer->changed_us = now_us;
	g_hash_table_insert(table->peers, peer->member->name, peer);
	g_ptr_array_add(table->all, peer);
	member_table_spread(table, peer);
	member_table_refresh(table);
	return peer;
}

/*
 * Creates a table with a copy of the node's own record as its only member. The
 * caller frees it with member_table_destroy.
 */
struct member_table *member_table_create(const struct member *self)
{
	struct member_table *table = g_new0(struct member_table, 1);

	table->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     peer_destroy);
	table->all = g_ptr_array_new();
	table->view = g_ptr_array_new();
	table->superseded = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  g_free, g_free);
	table->self = member_table_insert(table, self, 0);
	return table;
}

/* Frees the table; NULL is allowed. */
void member_table_destroy(struct member_table *table)
{
	if (!table)
		return;
	g_ptr_array_unref(table->view);
	g_ptr_array_unref(table->all);
	g_hash_table_unref(table->peers);
	g_hash_table_unref(table->superseded);
	g_free(table);
}

/* Returns the entry of the node itself; the table owns it. */
struct peer *member_table_self(const struct member_table *table)
{
	return table->self;
}

/* Returns the peer with this name, also a dead one, or NULL. */
struct peer *member_table_find(const struct member_table *table,
			       const char *name)
{
	return g_hash_table_lookup(table->peers, name);
}

/*
 * Returns the peer at this address or NULL. A peer that is not dead takes
 * precedence over dead ones.
 */
struct peer *member_table_find_address(const struct member_table *table,
				       const char *peer_address)
{
	struct peer *found = NULL;

	for (guint i = 0; i < table->all->len; i++) {
		struct peer *peer = g_ptr_array_index(table->all, i);

		if (strcmp(peer->member->peer_address, peer_address) != 0)
			continue;
		if (peer->member->state != MEMBER_DEAD)
			return peer;
		found = peer;
	}
	return found;
}

/* Returns whether the peer is in the node's own region. */
bool member_table_in_own_region(const struct member_table *table,
				const struct peer *peer)
{
	return strcmp(peer->member->region, table->self->member->region) == 0;
}

/*
 * Returns the peer of the own region, or of the other regions, that has been
 * dead for longest, or NULL.
 */
static struct peer *member_table_oldest_dead(const struct member_table *table,
					     bool own_region)
{
	struct peer *oldest = NULL;

	for (guint i = 0; i < table->all->len; i++) {
		struct peer *peer = g_ptr_array_index(table->all, i);

		if (peer->member->state == MEMBER_DEAD &&
		    member_table_in_own_region(table, peer) == own_region &&
		    (!oldest || peer->changed_us < oldest->changed_us))
			oldest = peer;
	}
	return oldest;
}

/*
 * Returns whether the table takes a further member of a region: always for the
 * own region, and for another one while fewer than MEMBER_TABLE_PER_REGION of
 * its members are not dead.
 */
bool member_table_accepts_region(const struct member_table *table,
				 const char *region)
{
	guint count = 0;

	if (strcmp(region, table->self->member->region) == 0)
		return true;
	for (guint i = 0; i < table->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(table->all, i);

		count += peer->member->state != MEMBER_DEAD &&
			 strcmp(peer->member->region, region) == 0;
	}
	return count < MEMBER_TABLE_PER_REGION;
}

/*
 * Bounds the table whatever other nodes send: a full table evicts the peer that
 * has been dead for longest. Returns false if there is none. The own region and
 * the other regions have separate bounds.
 */
static bool member_table_make_room(struct member_table *table,
				   const struct member *member)
{
	bool own_region =
		strcmp(member->region, table->self->member->region) == 0;
	struct peer *oldest;
	guint count = 0;

	for (guint i = 0; i < table->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(table->all, i);

		count += member_table_in_own_region(table, peer) == own_region;
	}
	if (count < (own_region ? MAX_OWN_REGION : MAX_OTHER_REGIONS))
		return true;
	oldest = member_table_oldest_dead(table, own_region);
	if (oldest)
		member_table_remove(table, oldest);
	return oldest != NULL;
}

/*
 * Adds a copy of a member whose name is not in the table. Returns NULL if the
 * table is full or already has enough members of that region: no node needs to
 * know all nodes of all regions.
 */
struct peer *member_table_add(struct member_table *table,
			      const struct member *member, int64_t now_us)
{
	if (!member_table_accepts_region(table, member->region) ||
	    !member_table_make_room(table, member))
		return NULL;
	return member_table_insert(table, member, now_us);
}

/* Removes and frees a peer, which must not be the node itself. */
void member_table_remove(struct member_table *table, struct peer *peer)
{
	g_ptr_array_remove_fast(table->all, peer);
	g_hash_table_remove(table->peers, peer->member->name);
	member_table_refresh(table);
}

/* Replaces a peer's record by a copy of a newer one with the same name. */
void member_table_replace(struct member_table *table, struct peer *peer,
			  const struct member *member, int64_t now_us)
{
	struct member *old = peer->member;
	bool visible = old->state != member->state ||
		       old->incarnation != member->incarnation ||
		       strcmp(old->http_address, member->http_address) != 0 ||
		       strcmp(old->peer_address, member->peer_address) != 0;

	g_hash_table_steal(table->peers, old->name);
	peer->member = member_copy(member);
	g_hash_table_insert(table->peers, peer->member->name, peer);
	if (old->state != member->state ||
	    old->incarnation != member->incarnation)
		peer->changed_us = now_us;
	if (old->incarnation != member->incarnation)
		peer->added_us = now_us;
	peer->probe_failed = false;
	peer->local = false;
	/* The view points to records, so replace the old one there too. */
	for (guint i = 0; i < table->view->len; i++) {
		if (g_ptr_array_index(table->view, i) == old)
			g_ptr_array_index(table->view, i) = peer->member;
	}
	if (visible)
		member_table_refresh(table);
	member_destroy(old);
}

/*
 * Sets a state and clears probe_failed and local, which the caller may set
 * again afterwards.
 */
void member_table_set_state(struct member_table *table, struct peer *peer,
			    enum member_state state, int64_t now_us)
{
	peer->probe_failed = false;
	peer->local = false;
	if (peer->member->state == state)
		return;
	peer->member->state = state;
	peer->changed_us = now_us;
	member_table_refresh(table);
}

/*
 * Starts to spread a record: each node that has it sends it to about 3 log2 n
 * others.
 */
void member_table_spread(struct member_table *table, struct peer *peer)
{
	double count = table->all->len;

	peer->spread_left = SPREAD_FACTOR * (int32_t)ceil(log2(count + 1));
	peer->change_number = ++table->last_change_number;
}

/*
 * Marks an incarnation as replaced until a time in us: records of it are out of
 * date and are ignored.
 */
void member_table_supersede(struct member_table *table, uint64_t incarnation,
			    int64_t until_us)
{
	uint64_t *key;
	int64_t *value;

	if (g_hash_table_size(table->superseded) >= MAX_SUPERSEDED_MARKS)
		return;
	key = g_new(uint64_t, 1);
	value = g_new(int64_t, 1);
	*key = incarnation;
	*value = until_us;
	g_hash_table_insert(table->superseded, key, value);
}

/* Returns whether a later incarnation has replaced this one. */
bool member_table_is_superseded(const struct member_table *table,
				uint64_t incarnation)
{
	return g_hash_table_contains(table->superseded, &incarnation);
}

/*
 * Removes the peers that have been dead since before before_us, and the marks
 * of replaced incarnations that have expired. Times are in us.
 */
void member_table_expire(struct member_table *table, int64_t before_us,
			 int64_t now_us)
{
	GHashTableIter iter;
	gpointer until_us;

	for (guint i = table->all->len; i > 0; i--) {
		struct peer *peer = g_ptr_array_index(table->all, i - 1);

		if (peer != table->self && peer->member->state == MEMBER_DEAD &&
		    peer->changed_us < before_us)
			member_table_remove(table, peer);
	}
	g_hash_table_iter_init(&iter, table->superseded);
	while (g_hash_table_iter_next(&iter, NULL, &until_us)) {
		if (*(int64_t *)until_us < now_us)
			g_hash_table_iter_remove(&iter);
	}
}

/* Returns the members that are not dead, sorted by name. */
const GPtrArray *member_table_view(const struct member_table *table)
{
	return table->view;
}

/* Returns all peers, including the node itself and the dead. */
const GPtrArray *member_table_all(const struct member_table *table)
{
	return table->all;
}

/*
 * Returns a counter that rises whenever the set, a state, an incarnation or an
 * address changes.
 */
uint64_t member_table_epoch(const struct member_table *table)
{
	return table->epoch;
}

/* Returns how many records of other nodes are still to be spread. */
size_t member_table_count_changes(const struct member_table *table)
{
	size_t count = 0;

	for (guint i = 0; i < table->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(table->all, i);

		count += peer != table->self && peer->spread_left > 0;
	}
	return count;
}

static bool peer_spreads_before(const struct peer *a, const struct peer *b)
{
	if (a->spread_left != b->spread_left)
		return a->spread_left > b->spread_left;
	return a->change_number > b->change_number;
}

/*
 * Appends copies of at most max records that are still to be spread and counts
 * them as sent. Those with the most sends left come first, and of these the
 * most recently changed.
 */
void member_table_collect_changes(struct member_table *table, size_t max,
				  GPtrArray *members)
{
	struct peer *selected[16];
	size_t count = 0;

	max = MIN(max, G_N_ELEMENTS(selected));
	for (guint i = 0; i < table->all->len; i++) {
		struct peer *peer = g_ptr_array_index(table->all, i);
		size_t at = count;

		if (peer->spread_left <= 0 || peer == table->self)
			continue;
		while (at > 0 && peer_spreads_before(peer, selected[at - 1]))
			at--;
		if (at >= max)
			continue;
		count = MIN(count + 1, max);
		for (size_t k = count - 1; k > at; k--)
			selected[k] = selected[k - 1];
		selected[at] = peer;
	}
	for (size_t i = 0; i < count; i++) {
		selected[i]->spread_left--;
		g_ptr_array_add(members, member_copy(selected[i]->member));
	}
}
