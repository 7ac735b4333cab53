#include "core/gateway/registry.h"

#include "core/gateway/registry_state.h"

#include <string.h>

/* Peers and answers of the store are late by seconds, not by a minute. */
#define REMEMBER_GONE_US (60 * G_USEC_PER_SEC)

/* About the last ten answers count. */
#define ERROR_FADE 0.1

static void endpoint_destroy(gpointer data)
{
	struct endpoint *endpoint = data;

	registration_destroy(endpoint->said);
	g_free(endpoint);
}

/* A registry that knows nothing. */
struct registry *registry_create(void)
{
	struct registry *registry = g_new0(struct registry, 1);

	registry->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	registry->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	registry->endpoints = g_ptr_array_new_with_free_func(endpoint_destroy);
	registry->nodes = holder_nodes_create();
	return registry;
}

/* Frees a registry; NULL is allowed. */
void registry_destroy(struct registry *registry)
{
	if (!registry)
		return;
	g_hash_table_unref(registry->by_id);
	g_hash_table_unref(registry->by_key);
	g_ptr_array_unref(registry->endpoints);
	g_hash_table_unref(registry->nodes);
	g_free(registry);
}

/* The endpoint of that id, also when it is gone; NULL: never heard of. */
struct endpoint *registry_find(struct registry *registry, const char *id)
{
	return g_hash_table_lookup(registry->by_id, id);
}

/* All endpoints, struct endpoint, also those that are gone. */
const GPtrArray *registry_endpoints(const struct registry *registry)
{
	return registry->endpoints;
}

/* Whether it may get new work, as far as its entry says. */
bool endpoint_is_usable(const struct endpoint *endpoint)
{
	return endpoint->presence == PRESENCE_READY ||
	       endpoint->presence == PRESENCE_DOUBTED;
}

static void held_add(struct held *to, const struct held *held, int32_t sign)
{
	to->requests += sign * held->requests;
	to->copies += sign * held->copies;
	to->tokens += sign * held->tokens;
	to->unread_tokens += sign * held->unread_tokens;
}

/* What all nodes have there, as far as this one knows. */
struct held endpoint_held(const struct endpoint *endpoint)
{
	struct held held = endpoint->own;

	held_add(&held, &endpoint->others, 1);
	held_add(&held, &endpoint->granted, 1);
	return held;
}

/*
 * Whether it serves and is still the start of it that was known since known_us:
 * one that started again under its id has lost the copies that it kept. Asked
 * to go on from one it would have to say so, or would begin the run anew.
 */
bool endpoint_keeps_since(const struct endpoint *endpoint, int64_t known_us)
{
	return endpoint_is_usable(endpoint) && endpoint->known_us == known_us;
}

/* Whether requests that any node has sent there have no answer yet. */
bool endpoint_reads_prompts(const struct endpoint *endpoint)
{
	return endpoint_held(endpoint).unread_tokens > 0;
}

/* Whether any endpoint at all may get new work. */
bool registry_has_usable(const struct registry *registry)
{
	for (guint i = 0; i < registry->endpoints->len; i++) {
		if (endpoint_is_usable(
			    g_ptr_array_index(registry->endpoints, i)))
			return true;
	}
	return false;
}

/* Endpoints of the service that may get new work. */
size_t registry_ready_count(const struct registry *registry,
			    const char *service)
{
	size_t count = 0;

	for (guint i = 0; i < registry->endpoints->len; i++) {
		const struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		count += endpoint_is_usable(endpoint) &&
			 strcmp(endpoint->said->service, service) == 0;
	}
	return count;
}

/*
 * Counts an answer by the endpoint's own status. Some kinds of request fail
 * now and then at every endpoint, so errors only shift requests towards the
 * endpoints with fewer of them; none is put aside for them.
 */
void endpoint_count_answer(struct endpoint *endpoint, bool is_error)
{
	endpoint->error_share +=
		ERROR_FADE * (is_error - endpoint->error_share);
}

static void endpoint_set_presence(struct endpoint *endpoint,
				  enum endpoint_presence presence,
				  int64_t now_us)
{
	if (endpoint->presence == presence)
		return;
	endpoint->presence = presence;
	endpoint->since_us = now_us;
}

static struct endpoint *registry_add(struct registry *registry,
				     const struct registration *news,
				     int64_t now_us)
{
	struct endpoint *endpoint = g_new0(struct endpoint, 1);

	endpoint->key = endpoint_key(news->id);
	endpoint->said = registration_copy(news);
	endpoint->since_us = now_us;
	endpoint->known_us = now_us;
	endpoint->warm_us = now_us + news->warmup_left_us;
	endpoint_health_init(&endpoint->health);
	g_ptr_array_add(registry->endpoints, endpoint);
	g_hash_table_insert(registry->by_id, endpoint->said->id, endpoint);
	registry_add_key(registry, endpoint);
	return endpoint;
}

static void endpoint_replace_said(struct registry *registry,
				  struct endpoint *endpoint,
				  const struct registration *news)
{
	g_hash_table_steal(registry->by_id, endpoint->said->id);
	registration_destroy(endpoint->said);
	endpoint->said = registration_copy(news);
	g_hash_table_insert(registry->by_id, endpoint->said->id, endpoint);
}

/*
 * An endpoint may start again under its old id. It then remembers nothing, so
 * what failed there before says nothing of it, and it is warm only later.
 */
static void endpoint_restart(struct endpoint *endpoint,
			     const struct registration *news, int64_t now_us)
{
	endpoint_health_init(&endpoint->health);
	endpoint->word = (struct endpoint_word){0};
	endpoint->known_us = now_us;
	endpoint->full_until_us = 0;
	endpoint->warm_us = now_us + news->warmup_left_us;
}

static bool registry_take_removal(struct endpoint *endpoint, bool is_doubtful,
				  int64_t now_us)
{
	enum endpoint_presence was = endpoint->presence;

	if (was == PRESENCE_GONE || was == PRESENCE_LEAVING)
		endpoint_set_presence(endpoint, PRESENCE_GONE, now_us);
	else
		endpoint_set_presence(
			endpoint,
			is_doubtful ? PRESENCE_DOUBTED : PRESENCE_GONE, now_us);
	return endpoint->presence != was;
}

/* The same removal, by one who has no reason to doubt it. */
static bool removal_settles_doubt(const struct endpoint *endpoint,
				  const struct registration *news,
				  bool is_doubtful)
{
	return endpoint->presence == PRESENCE_DOUBTED && news->is_removed &&
	       !is_doubtful && news->revision == endpoint->said->revision;
}

/*
 * Takes what a store or a peer says of one endpoint, unless something newer is
 * known. A removal is doubtful where the entry may have lapsed because the
 * store was away: the endpoint is used on until registry_step gives up on it.
 */
bool registry_take(struct registry *registry, const struct registration *news,
		   bool is_doubtful, int64_t now_us)
{
	struct endpoint *endpoint = registry_find(registry, news->id);
	enum endpoint_presence was;

	if (endpoint && news->revision <= endpoint->said->revision &&
	    !removal_settles_doubt(endpoint, news, is_doubtful))
		return false;
	if (news->is_removed) {
		if (!endpoint)
			return false;
		endpoint->said->revision = news->revision;
		return registry_take_removal(endpoint, is_doubtful, now_us);
	}
	if (!endpoint) {
		endpoint = registry_add(registry, news, now_us);
		endpoint_set_presence(endpoint,
				      news->is_leaving ? PRESENCE_LEAVING
						       : PRESENCE_READY,
				      now_us);
		return true;
	}
	was = endpoint->presence;
	if (news->started_ms > endpoint->said->started_ms ||
	    strcmp(news->address, endpoint->said->address) != 0)
		endpoint_restart(endpoint, news, now_us);
	endpoint_replace_said(registry, endpoint, news);
	endpoint_set_presence(
		endpoint, news->is_leaving ? PRESENCE_LEAVING : PRESENCE_READY,
		now_us);
	return endpoint->presence != was;
}

/*
 * The endpoint itself says that it leaves: so a removal in doubt was one. Else
 * the next news of the store goes before that. True: this was not known.
 */
bool registry_mark_leaving(struct registry *registry, const char *id,
			   int64_t now_us)
{
	struct endpoint *endpoint = registry_find(registry, id);

	if (!endpoint || !endpoint_is_usable(endpoint))
		return false;
	endpoint_set_presence(endpoint,
			      endpoint->presence == PRESENCE_DOUBTED
				      ? PRESENCE_GONE
				      : PRESENCE_LEAVING,
			      now_us);
	return true;
}

/*
 * Takes a whole reading of the store as of a revision: what isn't in it was
 * removed, unless it is newer. Ids that changed are added to changed.
 */
void registry_take_all(struct registry *registry, const GPtrArray *list,
		       int64_t revision, bool is_doubtful, int64_t now_us,
		       GPtrArray *changed)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < list->len; i++) {
		const struct registration *said = g_ptr_array_index(list, i);

		g_hash_table_add(listed, said->id);
		if (registry_take(registry, said, false, now_us))
			g_ptr_array_add(changed, g_strdup(said->id));
	}
	for (guint i = 0; i < registry->endpoints->len; i++) {
		struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		if (endpoint->said->revision > revision ||
		    endpoint->presence == PRESENCE_GONE ||
		    g_hash_table_contains(listed, endpoint->said->id))
			continue;
		endpoint->said->revision = revision;
		if (registry_take_removal(endpoint, is_doubtful, now_us))
			g_ptr_array_add(changed, g_strdup(endpoint->said->id));
	}
	g_hash_table_unref(listed);
}

static void endpoint_step_health(struct endpoint *endpoint, int64_t now_us)
{
	endpoint_health_step(&endpoint->health, now_us);
	if (endpoint->own.requests == 0)
		endpoint_health_report_idle(&endpoint->health);
}

/* Its key may stand for another endpoint. */
static void registry_remove(struct registry *registry, guint index)
{
	struct endpoint *endpoint =
		g_ptr_array_index(registry->endpoints, index);

	g_hash_table_remove(registry->by_id, endpoint->said->id);
	if (g_hash_table_lookup(registry->by_key, &endpoint->key) == endpoint)
		g_hash_table_remove(registry->by_key, &endpoint->key);
	g_ptr_array_remove_index(registry->endpoints, index);
}

/*
 * Brings endpoints back that were put aside long enough, gives up on those
 * that have been doubted since before the time given, and forgets those long
 * gone.
 */
void registry_step(struct registry *registry, int64_t doubted_before_us,
		   int64_t now_us, GPtrArray *changed)
{
	for (guint i = registry->endpoints->len; i-- > 0;) {
		struct endpoint *endpoint =
			g_ptr_array_index(registry->endpoints, i);

		endpoint_step_health(endpoint, now_us);
		if (endpoint->presence == PRESENCE_DOUBTED &&
		    endpoint->since_us <= doubted_before_us) {
			endpoint_set_presence(endpoint, PRESENCE_GONE, now_us);
			g_ptr_array_add(changed, g_strdup(endpoint->said->id));
		}
		if (endpoint->presence == PRESENCE_GONE &&
		    endpoint->own.requests == 0 && endpoint->own.copies == 0 &&
		    now_us - endpoint->since_us > REMEMBER_GONE_US)
			registry_remove(registry, i);
	}
}
