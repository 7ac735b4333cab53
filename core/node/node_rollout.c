#include "core/node/node_state.h"

#include "core/rollout/rollout.h"

#include <string.h>

/*
 * The rollouts in the configuration. A few nodes of each region are candidates;
 * the one that holds the key advances all rollouts.
 */

#define ROLLOUT_KEY "/siskinlink/rollout"

enum {
	HOLDER_TTL_S = 15,
	HOLDER_MARGIN_US = 2 * G_USEC_PER_SEC,
	/* Time for a peer's mark to arrive and to be cleared after expiry. */
	LEAVING_MARGIN_US = 5 * G_USEC_PER_SEC
};

struct node_rollout {
	struct rollout *rollout;
	char *signature;	  /* see format_signature() */
	enum rollout_phase phase; /* as last logged */
};

static void node_rollout_free(gpointer data)
{
	struct node_rollout *item = data;

	rollout_destroy(item->rollout);
	g_free(item->signature);
	g_free(item);
}

/* Creates the holder of the rollout key, which does not claim it yet. */
void node_rollout_create(struct node *node)
{
	char *name =
		g_strdup_printf("%s:%016" G_GINT64_MODIFIER "x",
				node->options.name, node->options.incarnation);
	struct holder_options options = {
		.key = ROLLOUT_KEY,
		.name = name,
		.seed = node->options.seed,
		.next_kv_id = &node->next_kv_id,
		.counters = &node->counters,
		.ttl_s = HOLDER_TTL_S,
		.margin_us = HOLDER_MARGIN_US,
		.kv_timeout_us = node->options.kv_timeout_us,
	};

	node->rollout_holder = holder_create(&options);
	node->rollouts = g_ptr_array_new_with_free_func(node_rollout_free);
	g_free(name);
}

/* Frees the rollouts and their holder. */
void node_rollout_destroy(struct node *node)
{
	g_ptr_array_unref(node->rollouts);
	holder_destroy(node->rollout_holder);
}

static void add_order_read(struct node *node, const char *endpoint)
{
	struct action *action =
		action_list_add(node->actions, ACTION_READ_ORDER);

	action->read_order.endpoint = g_strdup(endpoint);
	action->read_order.timeout_us = node->options.kv_timeout_us;
}

static void add_order(struct node *node, const struct rollout *rollout,
		      const struct rollout_effect *effect)
{
	struct action *action = action_list_add(node->actions, ACTION_ORDER);

	action->order.endpoint = g_strdup(effect->address);
	action->order.fence = effect->fence;
	action->order.target = g_strdup(rollout_target(rollout));
	action->order.timeout_us = rollout_order_timeout_us(rollout);
	node_log(node, LOG_LEVEL_INFO, "rollout_order", NULL, "endpoint",
		 effect->address);
}

static void apply_effects(struct node *node, const struct rollout *rollout,
			  const GArray *effects)
{
	for (guint i = 0; i < effects->len; i++) {
		const struct rollout_effect *effect =
			&g_array_index(effects, struct rollout_effect, i);

		switch (effect->type) {
		case ROLLOUT_TAKE_OUT:
			node_leaving_set(node, effect->address, LEAVING_ROLLOUT,
					 true);
			break;
		case ROLLOUT_PUT_BACK:
			node_leaving_set(node, effect->address, LEAVING_ROLLOUT,
					 false);
			break;
		case ROLLOUT_READ:
			add_order_read(node, effect->address);
			break;
		case ROLLOUT_ORDER:
			add_order(node, rollout, effect);
			break;
		}
	}
}

static void log_phase(struct node *node, struct node_rollout *item)
{
	enum rollout_phase phase = rollout_phase(item->rollout);

	if (phase == item->phase || !holder_fence(node->rollout_holder))
		return;
	item->phase = phase;
	action_list_log(node->actions,
			phase == ROLLOUT_STOPPED ? LOG_LEVEL_WARN
						 : LOG_LEVEL_INFO,
			"rollout_phase", "rollout", rollout_id(item->rollout),
			"phase", rollout_phase_name(phase), "reason",
			rollout_reason(item->rollout), NULL);
}

static void node_rollout_advance(struct node *node, struct node_rollout *item)
{
	GArray *effects =
		g_array_new(FALSE, FALSE, sizeof(struct rollout_effect));

	rollout_step(item->rollout, node->now_us, node->actions, effects);
	apply_effects(node, item->rollout, effects);
	log_phase(node, item);
	g_array_unref(effects);
}

/*
 * Formats all inputs of a rollout as text. If the text changes, a new rollout
 * is created.
 */
static char *format_signature(const struct config_rollout *rollout,
			      const struct config_service *service)
{
	GString *text = g_string_new(rollout->id);

	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		if (!endpoint->leaving)
			g_string_append_printf(text, " %s %s %d",
					       endpoint->address,
					       endpoint->failure_domain,
					       endpoint->checks_fence);
	}
	return g_string_free(text, FALSE);
}

static struct rollout *create_rollout(struct node *node,
				      const struct config_rollout *rollout,
				      const struct config_service *service)
{
	GArray *specs =
		g_array_new(FALSE, FALSE, sizeof(struct rollout_endpoint_spec));
	struct rollout_options options;
	struct rollout *created;

	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);
		struct rollout_endpoint_spec spec = {
			endpoint->address,
			endpoint->failure_domain,
			endpoint->checks_fence,
		};

		if (!endpoint->leaving)
			g_array_append_val(specs, spec);
	}
	rollout_options_default(&options);
	options.id = rollout->id;
	options.target = rollout->target;
	options.endpoints =
		(const struct rollout_endpoint_spec *)(void *)specs->data;
	options.endpoint_count = specs->len;
	options.max_parallel = rollout->max_parallel;
	options.min_ready_percent = rollout->min_ready_percent;
	options.max_failures = rollout->max_failures;
	options.put_back_propagation_us =
		PEER_LEAVING_TTL_US + LEAVING_MARGIN_US;
	options.next_kv_id = &node->next_kv_id;
	options.counters = &node->counters;
	options.kv_timeout_us = node->options.kv_timeout_us;
	created = rollout_create(&options, node->rollout_holder);
	g_array_unref(specs);
	return created;
}

/* Removes the rollout with this signature from the list; NULL if none. */
static struct node_rollout *steal_rollout(GPtrArray *items,
					  const char *signature)
{
	for (guint i = 0; i < items->len; i++) {
		struct node_rollout *item = g_ptr_array_index(items, i);

		if (strcmp(item->signature, signature) == 0)
			return g_ptr_array_steal_index(items, i);
	}
	return NULL;
}

static void node_rollout_end(struct node *node, struct node_rollout *item)
{
	GArray *effects =
		g_array_new(FALSE, FALSE, sizeof(struct rollout_effect));

	rollout_reset(item->rollout, node->now_us, effects);
	apply_effects(node, item->rollout, effects);
	g_array_unref(effects);
}

/*
 * Creates and ends rollouts after a change of the configuration. Unchanged
 * rollouts keep their state, since thousands of configuration changes a day do
 * not concern them.
 */
void node_rollout_config_changed(struct node *node)
{
	GPtrArray *before = node->rollouts;

	node->rollouts = g_ptr_array_new_with_free_func(node_rollout_free);
	for (guint i = 0; i < node->config->rollouts->len; i++) {
		const struct config_rollout *rollout =
			g_ptr_array_index(node->config->rollouts, i);
		const struct config_service *service =
			config_find_service(node->config, rollout->service);
		char *signature = format_signature(rollout, service);
		struct node_rollout *item = steal_rollout(before, signature);

		if (!item) {
			item = g_new0(struct node_rollout, 1);
			item->rollout = create_rollout(node, rollout, service);
			item->signature = g_strdup(signature);
		}
		g_ptr_array_add(node->rollouts, item);
		g_free(signature);
	}
	for (guint i = 0; i < before->len; i++)
		node_rollout_end(node, g_ptr_array_index(before, i));
	g_ptr_array_unref(before);
}

/* Claims or renews the key, and advances the rollouts while it is held. */
void node_rollout_step(struct node *node)
{
	bool wanted = node->rollouts->len > 0 && !node->draining &&
		      node_config_is_watcher(node);

	holder_set_wanted(node->rollout_holder, wanted);
	holder_step(node->rollout_holder, node->now_us, node->actions);
	for (guint i = 0; i < node->rollouts->len; i++)
		node_rollout_advance(node,
				     g_ptr_array_index(node->rollouts, i));
}

/* When node_rollout_step() is due next, in us. */
int64_t node_rollout_next_due_us(const struct node *node)
{
	int64_t due_us = holder_next_due_us(node->rollout_holder);

	for (guint i = 0; i < node->rollouts->len; i++) {
		const struct node_rollout *item =
			g_ptr_array_index(node->rollouts, i);
		int64_t rollout_due_us = rollout_next_due_us(item->rollout);

		due_us = MIN(due_us, rollout_due_us);
	}
	return due_us;
}

/*
 * Handles an answer of the key-value service. Returns false if the answer
 * belongs to another module.
 */
bool node_rollout_kv(struct node *node, const struct kv_answer *answer)
{
	if (holder_kv(node->rollout_holder, answer, node->now_us,
		      node->actions))
		return true;
	for (guint i = 0; i < node->rollouts->len; i++) {
		struct node_rollout *item =
			g_ptr_array_index(node->rollouts, i);

		if (rollout_handle_kv(item->rollout, answer, node->now_us))
			return true;
	}
	return false;
}

/* Handles the outcome of an order. */
void node_rollout_order(struct node *node, const struct event_order *event)
{
	for (guint i = 0; i < node->rollouts->len; i++) {
		struct node_rollout *item =
			g_ptr_array_index(node->rollouts, i);

		rollout_handle_order(item->rollout, event, node->now_us);
	}
}

/* Handles an engine's answer about its target. */
void node_rollout_order_state(struct node *node,
			      const struct event_order_state *event)
{
	for (guint i = 0; i < node->rollouts->len; i++) {
		struct node_rollout *item =
			g_ptr_array_index(node->rollouts, i);

		rollout_handle_order_state(item->rollout, event, node->now_us);
	}
}

/*
 * The rollouts for the state dump, as a floating GVariant. Only the holder of
 * the key knows the phase; other nodes give "unknown".
 */
GVariant *node_rollout_dump(const struct node *node)
{
	GVariantBuilder list;

	g_variant_builder_init(&list, G_VARIANT_TYPE("aa{sv}"));
	for (guint i = 0; i < node->rollouts->len; i++) {
		const struct node_rollout *item =
			g_ptr_array_index(node->rollouts, i);
		bool holds = holder_fence(node->rollout_holder) != 0;
		const char *phase =
			rollout_phase_name(rollout_phase(item->rollout));

		g_variant_builder_open(&list, G_VARIANT_TYPE_VARDICT);
		g_variant_builder_add(
			&list, "{sv}", "id",
			g_variant_new_string(rollout_id(item->rollout)));
		g_variant_builder_add(
			&list, "{sv}", "target",
			g_variant_new_string(rollout_target(item->rollout)));
		g_variant_builder_add(&list, "{sv}", "holds",
				      g_variant_new_boolean(holds));
		g_variant_builder_add(
			&list, "{sv}", "phase",
			g_variant_new_string(holds ? phase : "unknown"));
		g_variant_builder_add(
			&list, "{sv}", "reason",
			g_variant_new_string(rollout_reason(item->rollout)));
		g_variant_builder_close(&list);
	}
	return g_variant_builder_end(&list);
}
