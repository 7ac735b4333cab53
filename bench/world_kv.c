#include "bench/world_state.h"

#include <string.h>

/* A node's request in flight; its answer is delivered once. */
struct kv_exchange {
	int32_t node;
	bool answered;
	struct kv_request request;
	struct kv_answer answer;
};

struct world_watch {
	int32_t node;
	uint64_t incarnation;
	char *key;
	int64_t revision; /* of the value that was last sent */
};

/* A change of a watched key in transit to the node. */
struct watch_delivery {
	int32_t node;
	char *key;
	int64_t mod_revision;
	GBytes *value;
};

/* Frees a struct world_watch. */
void world_watch_destroy(gpointer data)
{
	struct world_watch *watch = data;

	g_free(watch->key);
	g_free(watch);
}

static void exchange_clear(gpointer data)
{
	struct kv_exchange *exchange = data;

	kv_request_clear(&exchange->request);
	kv_answer_clear(&exchange->answer);
}

static void exchange_unref(gpointer data)
{
	g_rc_box_release_full(data, exchange_clear);
}

static int64_t kv_delay_us(struct world *world)
{
	return world_delay_us(world, world->options.kv_delay_us) +
	       world->kv_mode.extra_delay_us;
}

static void exchange_deliver(struct world *world, struct kv_exchange *exchange)
{
	const struct event event = {.type = EVENT_KV, .kv = &exchange->answer};

	if (exchange->answered)
		return;
	exchange->answered = true;
	world_node_step(world, exchange->node, &event);
}

static void exchange_answered(struct world *world, void *data)
{
	exchange_deliver(world, data);
}

static void exchange_fail(struct world *world, struct kv_exchange *exchange,
			  enum kv_outcome outcome)
{
	if (exchange->answered)
		return;
	kv_answer_clear(&exchange->answer);
	memset(&exchange->answer, 0, sizeof(exchange->answer));
	exchange->answer.id = exchange->request.id;
	exchange->answer.op = exchange->request.op;
	exchange->answer.outcome = outcome;
	exchange_deliver(world, exchange);
}

static void exchange_timed_out(struct world *world, void *data)
{
	exchange_fail(world, data, KV_ANSWER_LOST);
}

static void exchange_refused(struct world *world, void *data)
{
	exchange_fail(world, data, KV_NOT_APPLIED);
}

static bool kv_answer_reaches(struct world *world,
			      const struct kv_exchange *exchange)
{
	return !world_chance(world, world->kv_mode.lose_percent * 10) &&
	       !world_link_cut(world, world_party_kv(world), exchange->node);
}

/* Applies the request, even if it has already timed out at its node. */
static void exchange_arrive(struct world *world, void *data)
{
	struct kv_exchange *exchange = data;

	if (world->kv_mode.silent ||
	    world_link_cut(world, exchange->node, world_party_kv(world)))
		return;
	if (exchange->answered) {
		struct kv_answer late;

		kv_model_answer(world->kv, &exchange->request, world->now_us,
				&late);
		kv_answer_clear(&late);
		world_kv_notify(world);
		return;
	}
	kv_model_answer(world->kv, &exchange->request, world->now_us,
			&exchange->answer);
	world_kv_notify(world);
	if (kv_answer_reaches(world, exchange))
		world_post_node(world, world->now_us + kv_delay_us(world),
				exchange->node, exchange_answered,
				g_rc_box_acquire(exchange), exchange_unref);
}

/*
 * Executes ACTION_KV and takes ownership of the request's key and value. A
 * request without an answer fails after its timeout, by default kv_timeout_us.
 */
void world_kv_send(struct world *world, int32_t node,
		   struct kv_request *request)
{
	struct kv_exchange *exchange = g_rc_box_new0(struct kv_exchange);
	int64_t timeout_us = request->timeout_us > 0
				     ? request->timeout_us
				     : world->options.node.kv_timeout_us;

	exchange->node = node;
	exchange->request = *request;
	request->key = NULL;
	request->value = NULL;
	world->kv_calls++;
	if (world->kv_mode.refused) {
		world_post_node(world, world->now_us + kv_delay_us(world), node,
				exchange_refused, exchange, exchange_unref);
		return;
	}
	world_post_node(world, world->now_us + timeout_us, node,
			exchange_timed_out, g_rc_box_acquire(exchange),
			exchange_unref);
	world_post(world, world->now_us + kv_delay_us(world), exchange_arrive,
		   exchange, exchange_unref);
}

static void watch_delivery_destroy(gpointer data)
{
	struct watch_delivery *delivery = data;

	g_free(delivery->key);
	g_clear_pointer(&delivery->value, g_bytes_unref);
	g_free(delivery);
}

static void watch_arrive(struct world *world, void *data)
{
	const struct watch_delivery *delivery = data;
	struct event event = {.type = EVENT_KV_WATCH};

	if (world_link_cut(world, world_party_kv(world), delivery->node))
		return;
	event.kv_watch.key = delivery->key;
	event.kv_watch.mod_revision = delivery->mod_revision;
	event.kv_watch.value = delivery->value;
	world_node_step(world, delivery->node, &event);
}

static void watch_send_change(struct world *world, struct world_watch *watch)
{
	GPtrArray *entries = kv_entries_create();
	const struct kv_entry *entry;
	struct watch_delivery *delivery;

	kv_model_range(world->kv, watch->key, "", entries);
	entry = entries->len ? g_ptr_array_index(entries, 0) : NULL;
	if (entry && entry->mod_revision > watch->revision) {
		watch->revision = entry->mod_revision;
		delivery = g_new0(struct watch_delivery, 1);
		delivery->node = watch->node;
		delivery->key = g_strdup(watch->key);
		delivery->mod_revision = entry->mod_revision;
		delivery->value = g_bytes_ref(entry->value);
		world_post_node(world, world->now_us + kv_delay_us(world),
				watch->node, watch_arrive, delivery,
				watch_delivery_destroy);
	}
	g_ptr_array_unref(entries);
}

static bool watch_is_stale(const struct world *world,
			   const struct world_watch *watch)
{
	const struct world_node *node = &world->nodes[watch->node];

	return !node->node || node->incarnation != watch->incarnation;
}

/*
 * Sends each watcher the current value of its key if it is newer than the last
 * one sent. Nothing is sent while the service is unavailable or over a cut
 * link.
 */
void world_kv_notify(struct world *world)
{
	if (world->kv_mode.refused || world->kv_mode.silent)
		return;
	for (guint i = world->watches->len; i > 0; i--) {
		struct world_watch *watch =
			g_ptr_array_index(world->watches, i - 1);

		if (watch_is_stale(world, watch))
			g_ptr_array_remove_index(world->watches, i - 1);
		else if (!world_link_cut(world, world_party_kv(world),
					 watch->node))
			watch_send_change(world, watch);
	}
}

/* Executes ACTION_KV_WATCH: watches a key until the node's process ends. */
void world_kv_watch(struct world *world, int32_t node, const char *key)
{
	struct world_watch *watch = g_new0(struct world_watch, 1);

	watch->node = node;
	watch->incarnation = world->nodes[node].incarnation;
	watch->key = g_strdup(key);
	g_ptr_array_add(world->watches, watch);
	world_kv_notify(world);
}

/* Sets the faults of the service; watchers catch up once it is available. */
void world_set_kv_mode(struct world *world, const struct world_kv_mode *mode)
{
	world->kv_mode = *mode;
	world_kv_notify(world);
}

/* Returns the number of requests that nodes have sent, without watches. */
int64_t world_kv_calls(const struct world *world)
{
	return world->kv_calls;
}
