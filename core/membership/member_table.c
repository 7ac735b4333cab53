#include "core/membership/member_table.h"

#include <math.h>
#include <string.h>

#define SPREAD_FACTOR 3
#define MAX_NEAR 2048
#define MAX_FAR 1024
#define MAX_SUPERSEDED 4096

struct member_table {
	struct peer *self;
	GHashTable *peers;	/* name to struct peer, owned */
	GPtrArray *all;		/* struct peer */
	GPtrArray *view;	/* struct member, sorted, without the dead */
	GHashTable *superseded; /* incarnation to int64_t until_us */
	uint64_t epoch;
	uint64_t changes;
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

/* A table that holds the node itself. */
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

/* The node itself. */
struct peer *member_table_self(const struct member_table *table)
{
	return table->self;
}

/* The peer of this name, dead ones too, or NULL. */
struct peer *member_table_find(const struct member_table *table,
			       const char *name)
{
	return g_hash_table_lookup(table->peers, name);
}

/* The peer at this address, one that is not dead first, or NULL. */
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

/* Whether the peer is of the node's own region. */
bool member_table_is_near(const struct member_table *table,
			  const struct peer *peer)
{
	return strcmp(peer->member->region, table->self->member->region) == 0;
}

/* The dead peer of longest standing that may make room, or NULL. */
static struct peer *member_table_oldest_dead(const struct member_table *table,
					     bool near)
{
	struct peer *oldest = NULL;

	for (guint i = 0; i < table->all->len; i++) {
		struct peer *peer = g_ptr_array_index(table->all, i);

		if (peer->member->state == MEMBER_DEAD &&
		    member_table_is_near(table, peer) == near &&
		    (!oldest || peer->changed_us < oldest->changed_us))
			oldest = peer;
	}
	return oldest;
}

/* Whether fewer than enough members of a region other than the own one live. */
bool member_table_wants(const struct member_table *table, const char *region)
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

/* Keeps the table bounded whatever is heard; the oldest dead make room. */
static bool member_table_make_room(struct member_table *table,
				   const struct member *member)
{
	bool near = strcmp(member->region, table->self->member->region) == 0;
	struct peer *oldest;
	guint count = 0;

	for (guint i = 0; i < table->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(table->all, i);

		count += member_table_is_near(table, peer) == near;
	}
	if (count < (near ? MAX_NEAR : MAX_FAR))
		return true;
	oldest = member_table_oldest_dead(table, near);
	if (oldest)
		member_table_remove(table, oldest);
	return oldest != NULL;
}

/*
 * Adds a member whose name is not in the table. Returns NULL where enough of
 * its region are known: no node needs to know all nodes of all regions.
 */
struct peer *member_table_add(struct member_table *table,
			      const struct member *member, int64_t now_us)
{
	if (!member_table_wants(table, member->region) ||
	    !member_table_make_room(table, member))
		return NULL;
	return member_table_insert(table, member, now_us);
}

/* Takes a peer out; never the node itself. */
void member_table_remove(struct member_table *table, struct peer *peer)
{
	g_ptr_array_remove_fast(table->all, peer);
	g_hash_table_remove(table->peers, peer->member->name);
	member_table_refresh(table);
}

/* Puts a newer record of the same name in place of the old one. */
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
	peer->accused = false;
	peer->local = false;
	/* The view points to records: it may not keep the old one. */
	for (guint i = 0; i < table->view->len; i++) {
		if (g_ptr_array_index(table->view, i) == old)
			g_ptr_array_index(table->view, i) = peer->member;
	}
	if (visible)
		member_table_refresh(table);
	member_destroy(old);
}

/* Sets a state; accused and local are for the caller to set after. */
void member_table_set_state(struct member_table *table, struct peer *peer,
			    enum member_state state, int64_t now_us)
{
	peer->accused = false;
	peer->local = false;
	if (peer->member->state == state)
		return;
	peer->member->state = state;
	peer->changed_us = now_us;
	member_table_refresh(table);
}

/* Starts to spread a record: to about 3 log2 n others by each who knows it. */
void member_table_spread(struct member_table *table, struct peer *peer)
{
	double count = table->all->len;

	peer->spread_left = SPREAD_FACTOR * (int32_t)ceil(log2(count + 1));
	peer->change = ++table->changes;
}

/* Remembers that an incarnation was replaced: what is said of it is old. */
void member_table_supersede(struct member_table *table, uint64_t incarnation,
			    int64_t until_us)
{
	uint64_t *key;
	int64_t *value;

	if (g_hash_table_size(table->superseded) >= MAX_SUPERSEDED)
		return;
	key = g_new(uint64_t, 1);
	value = g_new(int64_t, 1);
	*key = incarnation;
	*value = until_us;
	g_hash_table_insert(table->superseded, key, value);
}

/* Whether the incarnation was replaced by a later one. */
bool member_table_is_superseded(const struct member_table *table,
				uint64_t incarnation)
{
	return g_hash_table_contains(table->superseded, &incarnation);
}

/* Drops peers dead since before that time, and what expired. */
void member_table_forget(struct member_table *table, int64_t before_us,
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

/* All but the dead, sorted by name. */
const GPtrArray *member_table_view(const struct member_table *table)
{
	return table->view;
}

/* All peers with the node itself and the dead. */
const GPtrArray *member_table_all(const struct member_table *table)
{
	return table->all;
}

/* Rises whenever the set, a state, an incarnation or an address changes. */
uint64_t member_table_epoch(const struct member_table *table)
{
	return table->epoch;
}

/* How many records are still to be spread. */
size_t member_table_count_changes(const struct member_table *table)
{
	size_t count = 0;

	for (guint i = 0; i < table->all->len; i++) {
		const struct peer *peer = g_ptr_array_index(table->all, i);

		count += peer != table->self && peer->spread_left > 0;
	}
	return count;
}

static bool peer_goes_before(const struct peer *a, const struct peer *b)
{
	if (a->spread_left != b->spread_left)
		return a->spread_left > b->spread_left;
	return a->change > b->change;
}

/*
 * Appends copies of at most max records that are still to be spread, those
 * told least often first and of these the newest, and counts them as told.
 */
void member_table_collect_changes(struct member_table *table, size_t max,
				  GPtrArray *members)
{
	struct peer *chosen[16];
	size_t count = 0;

	max = MIN(max, G_N_ELEMENTS(chosen));
	for (guint i = 0; i < table->all->len; i++) {
		struct peer *peer = g_ptr_array_index(table->all, i);
		size_t at = count;

		if (peer->spread_left <= 0 || peer == table->self)
			continue;
		while (at > 0 && peer_goes_before(peer, chosen[at - 1]))
			at--;
		if (at >= max)
			continue;
		count = MIN(count + 1, max);
		for (size_t k = count - 1; k > at; k--)
			chosen[k] = chosen[k - 1];
		chosen[at] = peer;
	}
	for (size_t i = 0; i < count; i++) {
		chosen[i]->spread_left--;
		g_ptr_array_add(members, member_copy(chosen[i]->member));
	}
}
