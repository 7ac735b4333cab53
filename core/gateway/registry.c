#include "core/gateway/registry.h"

#include "core/base/store_position.h"
#include "core/gateway/registry_state.h"

#include <string.h>

/* Messages of peers and the store are late by seconds, not by a minute. */
#define GONE_RETENTION_US (60 * G_USEC_PER_SEC)

/*
 * After the store came back from a copy, live endpoints write their entries
 * again within two seconds, and those of endpoints that have ended expire after
 * three missed heartbeats.
 */
#define ERA_SETTLES_US (6 * G_USEC_PER_SEC)

/*
 * An endpoint that has not repeated for this long that it leaves, and whose
 * entry says that it serves, is used again: it would have ended long ago.
 */
#define SAID_LEAVING_US (5 * 60 * G_USEC_PER_SEC)

/* Weight of one answer: about the last ten count. */
#define ERROR_SHARE_WEIGHT 0.1

static void endpoint_destroy(gpointer data)
{
	struct endpoint *endpoint = data;

	registration_destroy(endpoint->last_registration);
	registration_destroy(endpoint->held_back);
	registration_destroy(endpoint->unconfirmed);
	rate_window_destroy(endpoint->sent_cold);
	rate_window_destroy(endpoint->sent_limited);
	rate_window_destroy(endpoint->sent_spare);
	g_free(endpoint);
}

/* Returns an empty registry, which the caller owns. */
struct registry *registry_create(void)
{
	struct registry *registry = g_new0(struct registry, 1);

	registry->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	registry->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	registry->endpoints = g_ptr_array_new_with_free_func(endpoint_destroy);
	registry->nodes = holder_nodes_create();
	registry->cordons = cordon_set_create();
	return registry;
}

/* Frees a registry and its endpoints; NULL is allowed. */
void registry_destroy(struct registry *registry)
{
	if (!registry)
		return;
	g_hash_table_unref(registry->by_id);
	g_hash_table_unref(registry->by_key);
	g_ptr_array_unref(registry->endpoints);
	g_hash_table_unref(registry->nodes);
	cordon_set_destroy(registry->cordons);
	g_free(registry);
}

/*
 * Returns the endpoint with that id, or NULL if none is known. Endpoints that
 * are gone are included until registry_step removes them. The registry owns it.
 */
struct endpoint *registry_find(struct registry *registry, const char *id)
{
	return g_hash_table_lookup(registry->by_id, id);
}

/*
 * Returns the endpoint that the records of other nodes name by this key, or
 * NULL if none is known. The registry owns it.
 */
struct endpoint *registry_find_key(struct registry *registry, uint64_t key)
{
	return g_hash_table_lookup(registry->by_key, &key);
}

/* Returns the highest era of the store that any update named. */
int64_t registry_era(const struct registry *registry)
{
	return registry->era;
}

/* Returns all endpoints, struct endpoint, including those that are gone. */
const GPtrArray *registry_endpoints(const struct registry *registry)
{
	return registry->endpoints;
}

/* Returns the presence as logs and answers name it. */
const char *endpoint_presence_name(enum endpoint_presence presence)
{
	static const char *const names[] = {
		[PRESENCE_READY] = "ready",
		[PRESENCE_DOUBTED] = "doubted",
		[PRESENCE_LEAVING] = "leaving",
		[PRESENCE_GONE] = "gone",
	};

	return names[presence];
}

/* Whether the endpoint ends soon, or has ended. */
bool endpoint_is_leaving(const struct endpoint *endpoint)
{
	return endpoint->presence == PRESENCE_LEAVING ||
	       endpoint->presence == PRESENCE_GONE;
}

/*
 * Returns the time in us since this start of the endpoint was first known to
 * leave; 0: it serves. An entry that is removed without such word is a notice
 * too, as the endpoint serves on for a while; one that is removed after it
 * begins no new one.
 */
int64_t endpoint_under_notice_us(const struct endpoint *endpoint,
				 int64_t now_us)
{
	return endpoint->notice_us ? MAX(now_us - endpoint->notice_us, 1) : 0;
}

/*
 * Whether the endpoint may get new requests. One under a cordon may not, but
 * goes on with those that it has.
 */
bool endpoint_is_usable(const struct endpoint *endpoint)
{
	return !endpoint_is_leaving(endpoint) && !endpoint->is_cordoned;
}

/* Whether the newest entry of the endpoint names this service. */
bool endpoint_serves(const struct endpoint *endpoint, const char *service)
{
	return strcmp(endpoint->last_registration->service, service) == 0;
}

static void held_add(struct held *to, const struct held *held, int32_t sign)
{
	to->requests += sign * held->requests;
	to->copies += sign * held->copies;
	to->tokens += sign * held->tokens;
	to->unread_tokens += sign * held->unread_tokens;
}

/* Returns the load of all nodes on the endpoint, as far as this node knows. */
struct held endpoint_total_load(const struct endpoint *endpoint)
{
	struct held held = endpoint->own;

	held_add(&held, &endpoint->others, 1);
	held_add(&held, &endpoint->granted, 1);
	return held;
}

/*
 * Whether the endpoint is still cold after a start, or may be because nothing
 * was sent to it while its failure domain was under a cordon. cold_us is how
 * long an endpoint of its service is cold.
 */
bool endpoint_is_cold(const struct endpoint *endpoint, int64_t cold_us,
		      int64_t now_us)
{
	return now_us < endpoint->warm_us ||
	       (endpoint->uncordoned_us &&
		now_us < endpoint->uncordoned_us + cold_us);
}

/* Whether the endpoint has requests, of any node, without an answer so far. */
bool endpoint_has_unread_prompts(const struct endpoint *endpoint)
{
	return endpoint_total_load(endpoint).unread_tokens > 0;
}

/* Whether any endpoint of any service may get new requests. */
bool registry_has_usable(const struct registry *registry)
{
	for (guint i = 0; i < registry->endpoints->len; i++) {
		if (endpoint_is_usable(
			    g_ptr_array_index(registry->endpoints, i)))
			return true;
	}
	return false;
}

/* Returns the number of the service's endpoints that may get new requests. */
size_t registry_count_usable(const struct registry *registry,
			     const char *service)
{
	size_t count = 0;

	for (guint i = 0; i < registry->endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		count += endpoint_is_usable(endpoint) &&
			 strcmp(endpoint->last_registration->service,
				service) == 0;
	}
	return count;
}

/*
 * Counts an answer by the status that the endpoint itself gave it. Some kinds
 * of request fail now and then at every endpoint, so errors only shift requests
 * to the endpoints with fewer of them, and put no endpoint aside.
 */
void endpoint_count_answer(struct endpoint *endpoint, bool is_error)
{
	endpoint->error_share +=
		ERROR_SHARE_WEIGHT * (is_error - endpoint->error_share);
}

static void endpoint_set_presence(struct endpoint *endpoint,
				  enum endpoint_presence presence,
				  int64_t now_us)
{
	bool was_doubted = endpoint->presence == PRESENCE_DOUBTED;
	int64_t before_us = endpoint->since_us;

	if (endpoint->presence == presence)
		return;
	endpoint->presence = presence;
	endpoint->since_us = now_us;
	/* An endpoint serves no longer because its removal was in doubt. */
	if (!endpoint_is_leaving(endpoint))
		endpoint->notice_us = 0;
	else if (!endpoint->notice_us)
		endpoint->notice_us = was_doubted ? before_us : now_us;
}

static struct endpoint *registry_add(struct registry *registry,
				     const struct registration *update,
				     int64_t now_us)
{
	struct endpoint *endpoint = g_new0(struct endpoint, 1);

	endpoint->key = endpoint_key(update->id);
	endpoint->last_registration = registration_copy(update);
	endpoint->since_us = now_us;
	endpoint->known_us = now_us;
	endpoint->warm_us = now_us + update->warmup_remaining_us;
	endpoint_health_init(&endpoint->health);
	endpoint_update_cordon(endpoint, registry, now_us);
	g_ptr_array_add(registry->endpoints, endpoint);
	g_hash_table_insert(registry->by_id, endpoint->last_registration->id,
			    endpoint);
	registry_add_key(registry, endpoint);
	return endpoint;
}

static void endpoint_replace_registration(struct registry *registry,
					  struct endpoint *endpoint,
					  const struct registration *update)
{
	struct registration *last = registration_copy(update);

	/* An entry that lacks them is of the start that is known. */
	if (strcmp(last->address, endpoint->last_registration->address) == 0 &&
	    !last->started_ms)
		last->started_ms = endpoint->last_registration->started_ms;
	g_hash_table_steal(registry->by_id, endpoint->last_registration->id);
	registration_destroy(endpoint->last_registration);
	endpoint->last_registration = last;
	g_hash_table_insert(registry->by_id, endpoint->last_registration->id,
			    endpoint);
}

/*
 * Handles an endpoint that restarted under its old id. It has lost its state,
 * so earlier failures no longer count, and it has to warm up again. That it
 * leaves still holds if the word came from this start, before its entry; one
 * that is known by its address alone has said nothing yet.
 */
void endpoint_begin_start(struct endpoint *endpoint,
			  const struct registration *update, int64_t now_us)
{
	endpoint_health_init(&endpoint->health);
	endpoint->suspicion = (struct endpoint_suspicion){0};
	endpoint->known_us = now_us;
	if (endpoint->notice_us)
		endpoint->notice_us = now_us;
	endpoint->replaced_us = 0;
	endpoint->error_share = 0;
	endpoint->full_until_us = 0;
	endpoint->rest = (struct endpoint_rest){0};
	endpoint->limit = (struct endpoint_limit){0};
	endpoint->brittle = (struct endpoint_limit){0};
	endpoint->speed = (struct endpoint_speed){0};
	endpoint->load_was_unreadable = false;
	endpoint->warm_us = now_us + update->warmup_remaining_us;
	endpoint->last_registration->report_count = 0;
	if (update->started_ms <= endpoint->last_registration->started_ms ||
	    update->started_ms > endpoint->leaving_start_ms)
		endpoint->said_leaving_us = 0;
}

/*
 * The presence by an entry and by the endpoint's own word, which an entry from
 * before it can't take back.
 */
static enum endpoint_presence
endpoint_entry_presence(const struct endpoint *endpoint,
			const struct registration *entry)
{
	return entry->is_leaving || endpoint->said_leaving_us ? PRESENCE_LEAVING
							      : PRESENCE_READY;
}

/*
 * Applies the removal of the entry. That of an earlier start had replaced the
 * one of this start, which may only be missing.
 */
static bool registry_apply_removal(struct endpoint *endpoint, bool is_doubtful,
				   int64_t now_us)
{
	enum endpoint_presence old_presence = endpoint->presence;

	endpoint_drop_unconfirmed(endpoint);
	if (endpoint->is_overwritten) {
		is_doubtful = true;
		endpoint_check_status(endpoint, now_us);
	}
	endpoint->is_overwritten = false;
	if (old_presence == PRESENCE_GONE || old_presence == PRESENCE_LEAVING)
		endpoint_set_presence(endpoint, PRESENCE_GONE, now_us);
	else
		endpoint_set_presence(
			endpoint,
			is_doubtful ? PRESENCE_DOUBTED : PRESENCE_GONE, now_us);
	return endpoint->presence != old_presence;
}

/* Whether the update confirms a doubted removal: same position, no doubt. */
static bool confirms_removal(const struct endpoint *endpoint,
			     const struct registration *update,
			     bool is_doubtful)
{
	return endpoint->presence == PRESENCE_DOUBTED && update->is_removed &&
	       !is_doubtful &&
	       update->position == endpoint->last_registration->position;
}

static bool registry_is_settling(const struct registry *registry,
				 int64_t now_us)
{
	return now_us < registry->settled_us;
}

/*
 * Notes the era of a position. What a store that came back from a copy holds is
 * older than what this node knows, until the endpoints have written again.
 */
static void registry_note_position(struct registry *registry, int64_t position,
				   int64_t now_us)
{
	int64_t era = store_position_era(position);

	if (era <= registry->era)
		return;
	registry->era = era;
	if (registry->endpoints->len > 0)
		registry->settled_us = now_us + ERA_SETTLES_US;
}

/*
 * Whether an update is held back: while the store settles, its entry may show
 * an endpoint as ready that has since announced to leave, or left. One with
 * another start or address is not from the copy.
 */
static bool registry_holds_back(const struct registry *registry,
				const struct endpoint *endpoint,
				const struct registration *update,
				int64_t now_us)
{
	const struct registration *last = endpoint->last_registration;

	return registry_is_settling(registry, now_us) && !update->is_removed &&
	       !update->is_leaving && !endpoint_is_usable(endpoint) &&
	       update->started_ms <= last->started_ms &&
	       strcmp(update->address, last->address) == 0;
}

/*
 * Applies an entry of an endpoint that is known. Returns whether its presence
 * changed.
 */
bool registry_apply_entry(struct registry *registry, struct endpoint *endpoint,
			  const struct registration *entry, int64_t now_us)
{
	enum endpoint_presence old_presence = endpoint->presence;
	int64_t report_count = endpoint->last_registration->report_count;
	enum entry_order order = endpoint_compare_entry(endpoint, entry);

	if (order == ENTRY_LATER_START)
		endpoint_begin_start(endpoint, entry, now_us);
	else if (entry->warmup_remaining_us > 0)
		endpoint->warm_us = MAX(endpoint->warm_us,
					now_us + entry->warmup_remaining_us);
	endpoint_replace_registration(registry, endpoint, entry);
	if (order != ENTRY_LATER_START)
		endpoint->last_registration->report_count =
			MAX(entry->report_count, report_count);
	endpoint_update_cordon(endpoint, registry, now_us);
	endpoint_set_presence(endpoint,
			      endpoint_entry_presence(endpoint, entry), now_us);
	return endpoint->presence != old_presence;
}

static bool registry_apply_update(struct registry *registry,
				  const struct registration *update,
				  bool is_doubtful, bool is_vouched,
				  int64_t now_us)
{
	struct endpoint *endpoint = registry_find(registry, update->id);

	registry_note_position(registry, update->position, now_us);
	is_doubtful |= registry_is_settling(registry, now_us);
	if (endpoint &&
	    update->position <= endpoint->last_registration->position &&
	    !confirms_removal(endpoint, update, is_doubtful)) {
		endpoint_consider_old_notice(endpoint, update, now_us);
		return false;
	}
	if (endpoint) {
		g_clear_pointer(&endpoint->held_back, registration_destroy);
		if (registry_holds_back(registry, endpoint, update, now_us)) {
			endpoint->held_back = registration_copy(update);
			return false;
		}
	}
	if (update->is_removed) {
		if (!endpoint)
			return false;
		endpoint->last_registration->position = update->position;
		return registry_apply_removal(endpoint, is_doubtful, now_us);
	}
	if (!endpoint) {
		endpoint = registry_add(registry, update, now_us);
		endpoint_set_presence(endpoint,
				      endpoint_entry_presence(endpoint, update),
				      now_us);
		return true;
	}
	if (!endpoint_accepts_entry(endpoint, update, is_vouched, now_us))
		return false;
	endpoint_drop_unconfirmed(endpoint);
	return registry_apply_entry(registry, endpoint, update, now_us);
}

/*
 * Applies an update of one endpoint from the store, unless a newer one is known
 * or only the endpoint can say whether it holds. A removal is doubtful if the
 * entry may have expired because the store was away: the endpoint stays in use
 * until registry_step treats it as gone. Returns whether the endpoint is new or
 * its presence changed.
 */
bool registry_apply(struct registry *registry,
		    const struct registration *update, bool is_doubtful,
		    int64_t now_us)
{
	return registry_apply_update(registry, update, is_doubtful, false,
				     now_us);
}

/*
 * Applies an update that another node believes, and has confirmed if it had to.
 * Returns as registry_apply.
 */
bool registry_apply_vouched(struct registry *registry,
			    const struct registration *update, int64_t now_us)
{
	return registry_apply_update(registry, update, false, true, now_us);
}

/*
 * Records that the endpoint itself said that the start at started_ms leaves; 0:
 * the one that is known. This also confirms a removal in doubt. It holds until
 * a new start of the endpoint is known, whatever entries say. Returns whether
 * this was new.
 */
bool endpoint_note_leaving(struct endpoint *endpoint, int64_t started_ms,
			   int64_t now_us)
{
	int64_t known_ms = endpoint->last_registration->started_ms;
	bool was_said = endpoint->said_leaving_us != 0;

	if (started_ms > 0 && started_ms < known_ms)
		return false;
	endpoint->said_leaving_us = now_us;
	endpoint->leaving_start_ms = MAX(started_ms, known_ms);
	if (!endpoint_is_leaving(endpoint))
		endpoint_set_presence(endpoint,
				      endpoint->presence == PRESENCE_DOUBTED
					      ? PRESENCE_GONE
					      : PRESENCE_LEAVING,
				      now_us);
	return !was_said;
}

/*
 * Records that the endpoint of that id said in its report that it leaves.
 * Returns whether this was new.
 */
bool registry_mark_leaving(struct registry *registry, const char *id,
			   int64_t now_us)
{
	struct endpoint *endpoint = registry_find(registry, id);

	return endpoint && endpoint_note_leaving(endpoint, 0, now_us);
}

/*
 * Applies a complete listing of the store at a position: endpoints that it
 * lacks were removed, unless they are newer. Appends the ids of changed
 * endpoints to changed, which owns them.
 */
void registry_apply_listing(struct registry *registry, const GPtrArray *list,
			    int64_t position, bool is_doubtful, int64_t now_us,
			    GPtrArray *changed)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);

	registry_note_position(registry, position, now_us);
	is_doubtful |= registry_is_settling(registry, now_us);
	for (guint i = 0; i < list->len; i++) {
		const struct registration *said = g_ptr_array_index(list, i);

		g_hash_table_add(listed, said->id);
		if (registry_apply(registry, said, false, now_us))
			g_ptr_array_add(changed, g_strdup(said->id));
	}
	for (guint i = 0; i < registry->endpoints->len; i++) {
		struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		if (endpoint->last_registration->position > position ||
		    g_hash_table_contains(listed,
					  endpoint->last_registration->id))
			continue;
		endpoint_drop_unconfirmed(endpoint);
		if (endpoint->presence == PRESENCE_GONE)
			continue;
		endpoint->last_registration->position = position;
		if (registry_apply_removal(endpoint, is_doubtful, now_us))
			g_ptr_array_add(
				changed,
				g_strdup(endpoint->last_registration->id));
	}
	g_hash_table_unref(listed);
}

/*
 * Forgets the order of all updates so far, because the store's revisions went
 * back without a new era. The next updates apply as after a new one.
 */
void registry_rewind(struct registry *registry, int64_t now_us)
{
	for (guint i = 0; i < registry->endpoints->len; i++) {
		struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		endpoint->last_registration->position = 0;
	}
	registry->settled_us = now_us + ERA_SETTLES_US;
	cordon_set_rewind(registry->cordons);
}

/* Applies an update that was held back while the store settled. */
static bool registry_apply_held_back(struct registry *registry,
				     struct endpoint *endpoint, int64_t now_us)
{
	struct registration *update = g_steal_pointer(&endpoint->held_back);
	bool changed = registry_apply(registry, update, false, now_us);

	registration_destroy(update);
	return changed;
}

static void endpoint_step_health(struct endpoint *endpoint, int64_t now_us)
{
	endpoint_health_step(&endpoint->health, now_us);
	if (endpoint->own.requests == 0)
		endpoint_health_report_idle(&endpoint->health);
}

/*
 * Uses an endpoint again that said long ago that it leaves and still serves.
 * Returns whether it does.
 */
static bool endpoint_expire_leaving(struct endpoint *endpoint, int64_t now_us)
{
	if (!endpoint->said_leaving_us ||
	    now_us - endpoint->said_leaving_us <= SAID_LEAVING_US)
		return false;
	endpoint->said_leaving_us = 0;
	if (endpoint->presence != PRESENCE_LEAVING ||
	    endpoint->last_registration->is_leaving)
		return false;
	endpoint_set_presence(endpoint, PRESENCE_READY, now_us);
	return true;
}

/* The key may belong to another endpoint with the same hash. */
static void registry_remove(struct registry *registry, guint index)
{
	struct endpoint *endpoint =
		g_ptr_array_index(registry->endpoints, index);

	g_hash_table_remove(registry->by_id, endpoint->last_registration->id);
	if (g_hash_table_lookup(registry->by_key, &endpoint->key) == endpoint)
		g_hash_table_remove(registry->by_key, &endpoint->key);
	g_ptr_array_remove_index(registry->endpoints, index);
}

/*
 * Returns endpoints to use when their time aside has passed. Treats endpoints
 * as gone whose removal has been in doubt since doubted_before_us or longer.
 * Removes endpoints that have been gone for a minute and hold no request or
 * copy of this node. Appends the ids of changed endpoints to changed, which
 * owns them.
 */
void registry_step(struct registry *registry, int64_t doubted_before_us,
		   int64_t now_us, GPtrArray *changed)
{
	for (guint i = registry->endpoints->len; i-- > 0;) {
		struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		endpoint_step_health(endpoint, now_us);
		if (endpoint->held_back &&
		    !registry_is_settling(registry, now_us) &&
		    registry_apply_held_back(registry, endpoint, now_us))
			g_ptr_array_add(
				changed,
				g_strdup(endpoint->last_registration->id));
		if (endpoint_expire_leaving(endpoint, now_us) ||
		    registry_expire_unconfirmed(registry, endpoint, now_us))
			g_ptr_array_add(
				changed,
				g_strdup(endpoint->last_registration->id));
		if (endpoint->presence == PRESENCE_DOUBTED &&
		    endpoint->since_us <= doubted_before_us) {
			endpoint_set_presence(endpoint, PRESENCE_GONE, now_us);
			g_ptr_array_add(
				changed,
				g_strdup(endpoint->last_registration->id));
		}
		if (endpoint->presence == PRESENCE_GONE &&
		    !endpoint_is_unconfirmed(endpoint) &&
		    endpoint->own.requests == 0 && endpoint->own.copies == 0 &&
		    now_us - endpoint->since_us > GONE_RETENTION_US)
			registry_remove(registry, i);
	}
}
