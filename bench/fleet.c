#include "bench/fleet.h"

#include "bench/fleet_state.h"

#include <string.h>

#define TICK_US 1000
#define DECISION_INTERVAL_US (20 * 1000) /* for each generation */

static const char *const policy_names[] = {
	[FLEET_STAY] = "stay",
	[FLEET_MOVE] = "move",
	[FLEET_BACKUP] = "backup",
	[FLEET_BOTH] = "both",
};

/* Fills in the defaults: the load of the first site on a quiet day. */
void fleet_options_default(struct fleet_options *options)
{
	*options = (struct fleet_options){
		.policy = FLEET_BOTH,
		.seed = 1,
		.seconds = 34,
		.load = 1,
		.engine_count = 9,
		.memory_tokens = 34292,
		.slots = 24,
		.notice_every_s = 3.3,
	};
}

/* Returns the name of a policy as printed; a static string. */
const char *fleet_policy_name(enum fleet_policy policy)
{
	return policy_names[policy];
}

static void fleet_begin(struct fleet *fleet)
{
	guint32 seed = (guint32)fleet->options.seed;

	fleet->arrivals = g_rand_new_with_seed(3 * seed);
	fleet->faults = g_rand_new_with_seed(3 * seed + 1);
	fleet->choices = g_rand_new_with_seed(3 * seed + 2);
	fleet->servers = g_ptr_array_new_with_free_func(fleet_server_destroy);
	fleet->generations = g_ptr_array_new_with_free_func(g_free);
	fleet->registry = registry_create();
	fleet->capabilities = (struct engine_capabilities){
		.slots = fleet->options.slots,
		.memory_tokens = fleet->options.memory_tokens,
		.tokens_per_event = TOKENS_PER_EVENT,
		.can_move = true,
		.can_back_up = true,
	};
	fleet->now_us = G_USEC_PER_SEC;
	for (int32_t i = 0; i < fleet->options.engine_count; i++)
		fleet_start_server(fleet);
	if (fleet->options.notice_every_s > 0)
		fleet->next_notice_us =
			fleet->now_us + (int64_t)(1.5 * G_USEC_PER_SEC);
	if (fleet->options.crash_every_s > 0)
		fleet->next_crash_us =
			fleet->now_us + (int64_t)(2.5 * G_USEC_PER_SEC);
}

static void fleet_end(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->servers->len; i++) {
		const struct fleet_server *server =
			g_ptr_array_index(fleet->servers, i);

		if (!server->engine)
			continue;
		fleet->result->preemptions +=
			fleet_engine_preemptions(server->engine);
		fleet->result->recomputed_tokens +=
			fleet_engine_recomputed_tokens(server->engine);
	}
	fleet->result->worth = fleet->earned_worth / fleet->possible_worth;
	g_ptr_array_unref(fleet->generations);
	g_ptr_array_unref(fleet->servers);
	registry_destroy(fleet->registry);
	g_rand_free(fleet->arrivals);
	g_rand_free(fleet->faults);
	g_rand_free(fleet->choices);
}

/*
 * Simulates arrivals for options->seconds, then runs until the last generation
 * has ended. The same options give the same result.
 */
void fleet_run(const struct fleet_options *options, struct fleet_result *result)
{
	struct fleet fleet = {.options = *options, .result = result};
	int64_t next_us[FLEET_KINDS];
	int64_t ends_us, next_decide_us = 0;

	memset(result, 0, sizeof(*result));
	fleet_begin(&fleet);
	ends_us = fleet.now_us + (int64_t)(options->seconds * G_USEC_PER_SEC);
	for (size_t i = 0; i < FLEET_KINDS; i++)
		next_us[i] =
			fleet.now_us +
			fleet_arrival_gap_us(&fleet, fleet_kinds[i].per_s *
							     options->load);
	while (fleet.now_us < ends_us || fleet.generations->len > 0) {
		fleet.now_us += TICK_US;
		for (size_t i = 0; i < FLEET_KINDS; i++) {
			if (fleet.now_us >= ends_us ||
			    fleet.now_us < next_us[i])
				continue;
			next_us[i] += fleet_arrival_gap_us(
				&fleet, fleet_kinds[i].per_s * options->load);
			fleet_arrive(&fleet, &fleet_kinds[i]);
		}
		if (fleet.now_us < ends_us)
			fleet_step_faults(&fleet);
		fleet_step_servers(&fleet);
		if (fleet.now_us < next_decide_us)
			continue;
		next_decide_us = fleet.now_us + DECISION_INTERVAL_US;
		fleet_step_generations(&fleet);
	}
	fleet_end(&fleet);
}
