#include "bench/world_state.h"

#include <string.h>

/* A node's request on its way; answered once. */
struct kv_flight {
	int32_t node;
	bool answered;
	struct kv_request request;
	struct kv_answer answer;
};

struct world_watch {
	int32_t node;
	uint64_t incarnation;
	char *key;
	int64_t revision; /* of the state that was last sent */
};

struct watch_delivery {
	int32_t node;
	char *key;
	int64_t mod_revision;
	GBytes *value;
};

/* Frees a watch. */
void world_watch_destroy(gpointer data)
{
	struct world_watch *watch = data;

	g_free(watch->key);
	g_free(watch);
}

static void flight_clear(gpointer data)
{
	struct kv_flight *flight = data;

	kv_request_clear(&flight->request);
	kv_answer_clear(&flight->answer);
}

static void flight_unref(gpointer data)
{
	g_rc_box_release_full(data, flight_clear);
}

static int64_t kv_delay_us(struct world *world)
{
	return world_delay_us(world, world->options.kv_delay_us) +
	       world->kv_mode.extra_delay_us;
}

static void flight_deliver(struct world *world, struct kv_flight *flight)
{
	const struct event event = {.type = EVENT_KV, .kv = &flight->answer};

	if (flight->answered)
		return;
	flight->answered = true;
	world_node_step(world, flight->node, &event);
}

static void flight_answered(struct world *world, void *data)
{
	flight_deliver(world, data);
}

static void flight_fail(struct world *world, struct kv_flight *flight,
			enum kv_outcome outcome)
{
	if (flight->answered)
		return;
	kv_answer_clear(&flight->answer);
	memset(&flight->answer, 0, sizeof(flight->answer));
	flight->answer.id = flight->request.id;
	flight->answer.op = flight->request.op;
	flight->answer.outcome = outcome;
	flight_deliver(world, flight);
}

static void flight_timed_out(struct world *world, void *data)
{
	flight_fail(world, data, KV_ANSWER_LOST);
}

static void flight_refused(struct world *world, void *data)
{
	flight_fail(world, data, KV_NOT_APPLIED);
}

static bool kv_answer_reaches(struct world *world,
			      const struct kv_flight *flight)
{
	return !world_chance(world, world->kv_mode.lose_percent * 10) &&
	       !world_link_cut(world, world_party_kv(world), flight->node);
}

/* The request takes effect here, also when its node has given up on it. */
static void flight_arrive(struct world *world, void *data)
{
	struct kv_flight *flight = data;

	if (world->kv_mode.silent ||
	    world_link_cut(world, flight->node, world_party_kv(world)))
		return;
	if (flight->answered) {
		struct kv_answer late;

		kv_model_answer(world->kv, &flight->request, world->now_us,
				&late);
		kv_answer_clear(&late);
		world_kv_notify(world);
		return;
	}
	kv_model_answer(world->kv, &flight->request, world->now_us,
			&flight->answer);
	world_kv_notify(world);
	if (kv_answer_reaches(world, flight))
		world_post_node(world, world->now_us + kv_delay_us(world),
				flight->node, flight_answered,
				g_rc_box_acquire(flight), flight_unref);
}

/* ACTION_KV; takes the request's contents. */
void world_kv_send(struct world *world, int32_t node,
		   struct kv_request *request)
{
	struct kv_flight *flight = g_rc_box_new0(struct kv_flight);
	int64_t timeout_us = request->timeout_us > 0
				     ? request->timeout_us
				     : world->options.node.kv_timeout_us;

	flight->node = node;
	flight->request = *request;
	request->key = NULL;
	request->value = NULL;
	world->kv_calls++;
	if (world->kv_mode.refused) {
		world_post_node(world, world->now_us + kv_delay_us(world), node,
				flight_refused, flight, flight_unref);
		return;
	}
	world_post_node(world, world->now_us + timeout_us, node,
			flight_timed_out, g_rc_box_acquire(flight),
			flight_unref);
	world_post(world, world->now_us + kv_delay_us(world), flight_arrive,
		   flight, flight_unref);
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

static void watch_check(struct world *world, struct world_watch *watch)
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

static bool watch_is_dead(const struct world *world,
			  const struct world_watch *watch)
{
	const struct world_node *node = &world->nodes[watch->node];

	return !node->node || node->incarnation != watch->incarnation;
}

/* Sends watchers what they have not seen; nothing while the service is down. */
void world_kv_notify(struct world *world)
{
	if (world->kv_mode.refused || world->kv_mode.silent)
		return;
	for (guint i = world->watches->len; i > 0; i--) {
		struct world_watch *watch =
			g_ptr_array_index(world->watches, i - 1);

		if (watch_is_dead(world, watch))
			g_ptr_array_remove_index(world->watches, i - 1);
		else if (!world_link_cut(world, world_party_kv(world),
					 watch->node))
			watch_check(world, watch);
	}
}

/* ACTION_KV_WATCH */
void world_kv_watch(struct world *world, int32_t node, const char *key)
{
	struct world_watch *watch = g_new0(struct world_watch, 1);

	watch->node = node;
	watch->incarnation = world->nodes[node].incarnation;
	watch->key = g_strdup(key);
	g_ptr_array_add(world->watches, watch);
	world_kv_notify(world);
}

/* What the service does from now on; watchers catch up when it is back. */
void world_set_kv_mode(struct world *world, const struct world_kv_mode *mode)
{
	world->kv_mode = *mode;
	world_kv_notify(world);
}

/* Calls that nodes have made so far, watches not counted. */
int64_t world_kv_calls(const struct world *world)
{
	return world->kv_calls;
}
