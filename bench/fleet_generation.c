#include "bench/fleet_state.h"

#include <math.h>

#define MAX_PAUSE_US 180000	 /* a longer pause makes the answer late */
#define ROUND_TRIP_US (8 * 1000) /* network round trip to an engine */
#define MAX_REMAINING_TOKENS 384 /* as in the gateway's load count */

/* Rates, sizes, worths and limits from the users' requirements. */
const struct fleet_kind fleet_kinds[FLEET_KINDS] = {
	{3.47, 3079, 932, 160, 24, 1800000},
	{4.85, 2550, 12, 17, 2.5, 1500000},
};

/* Draws the time to the next arrival at a rate of per_s per second. */
int64_t fleet_arrival_gap_us(struct fleet *fleet, double per_s)
{
	return (int64_t)(-log(1 - g_rand_double(fleet->arrivals)) / per_s *
			 G_USEC_PER_SEC);
}

/*
 * Draws from a log-normal distribution with the given mean; half or twice the
 * mean occurs now and then. The least size is 4 tokens.
 */
static int64_t draw_size(struct fleet *fleet, double mean, double spread)
{
	double u = 1 - g_rand_double(fleet->arrivals);
	double normal = sqrt(-2 * log(u)) *
			cos(2 * G_PI * g_rand_double(fleet->arrivals));

	return MAX((int64_t)(mean * exp(spread * normal - spread * spread / 2)),
		   4);
}

/* Load of a generation in tokens, as the gateway counts it. */
int64_t fleet_load_tokens(const struct fleet_generation *generation)
{
	int64_t remaining_tokens =
		generation->output_tokens - generation->delivered;

	return generation->prompt_tokens + generation->delivered +
	       CLAMP(remaining_tokens, 128, MAX_REMAINING_TOKENS);
}

/* Fills in the gateway's criteria for choosing an engine. */
void fleet_fill_criteria(struct fleet *fleet,
			 const struct fleet_generation *generation,
			 struct endpoint_criteria *criteria)
{
	*criteria = (struct endpoint_criteria){
		.service = SERVICE,
		.engine = &fleet->capabilities,
		.failure_domain = "a",
		.avoid_id = generation->server ? generation->server->id : NULL,
		.tokens = fleet_load_tokens(generation),
		.now_us = fleet->now_us,
		.draw = g_rand_double(fleet->choices),
	};
}

static bool policy_backs_up(const struct fleet *fleet)
{
	return fleet->options.policy == FLEET_BACKUP ||
	       fleet->options.policy == FLEET_BOTH;
}

/*
 * Chooses the engine that will hold the backup, if the policy has backups and
 * one has capacity. Answers of less than 64 tokens get no backup.
 */
void fleet_choose_backup(struct fleet *fleet,
			 struct fleet_generation *generation)
{
	struct endpoint_criteria criteria;

	if (!policy_backs_up(fleet) || generation->output_tokens < 64)
		return;
	fleet_fill_criteria(fleet, generation, &criteria);
	generation->backup.holder = fleet_server_of(
		fleet, endpoint_choose_backup(fleet->registry, &criteria));
	if (!generation->backup.holder)
		return;
	generation->backup.tokens = criteria.tokens;
	generation->backup.complete_us = INT64_MAX;
	fleet_add_load(fleet, generation->backup.holder, 0, criteria.tokens, 0);
}

/* Removes a generation and its copies from all engines and frees it. */
void fleet_end_generation(struct fleet *fleet,
			  struct fleet_generation *generation)
{
	if (generation->server && generation->server->engine)
		fleet_engine_remove(generation->server->engine,
				    generation->run);
	if (generation->server)
		fleet_add_load(
			fleet, generation->server, -1, -generation->load_tokens,
			generation->first_us ? 0 : -generation->prompt_tokens);
	if (generation->asked_server) {
		if (generation->asked_server->engine)
			fleet_engine_remove(generation->asked_server->engine,
					    generation->asked_run);
		fleet_add_load(fleet, generation->asked_server, -1,
			       -generation->asked_load_tokens, 0);
	}
	fleet_copy_drop(fleet, &generation->backup);
	fleet_copy_drop(fleet, &generation->copy);
	g_ptr_array_remove(fleet->generations, generation);
}

static void count_complete(struct fleet *fleet,
			   struct fleet_generation *generation)
{
	struct fleet_result *result = fleet->result;
	bool is_report = generation->kind == &fleet_kinds[0];
	int64_t first_us = generation->first_us - generation->arrived_us;
	bool late_first = first_us > generation->kind->first_us;
	bool late_pause = generation->longest_pause_us > MAX_PAUSE_US;
	double earned = late_first || late_pause ? generation->kind->late_worth
						 : generation->kind->worth;

	fleet->earned_worth += earned * generation->worth_factor;
	if (!is_report)
		return;
	result->late_first += late_first;
	result->late_pause += late_pause && !late_first;
	result->in_aim += !late_first && !late_pause;
}

/* Ends a generation whose answer is cut short. */
void fleet_lose(struct fleet *fleet, struct fleet_generation *generation)
{
	fleet->result->lost += generation->kind == &fleet_kinds[0];
	fleet_end_generation(fleet, generation);
}

static void record_event(struct fleet_generation *generation, int64_t at_us)
{
	if (!generation->first_us)
		generation->first_us = at_us;
	else
		generation->longest_pause_us =
			MAX(generation->longest_pause_us,
			    at_us - generation->event_us);
	generation->event_us = at_us;
}

/* The new engine has generated a token: releases the old engine. */
static void finish_takeover(struct fleet *fleet,
			    struct fleet_generation *generation)
{
	if (generation->server) {
		if (generation->server->engine)
			fleet_engine_remove(generation->server->engine,
					    generation->run);
		fleet_add_load(fleet, generation->server, -1,
			       -generation->load_tokens, 0);
	}
	generation->server = generation->asked_server;
	generation->run = generation->asked_run;
	generation->load_tokens = generation->asked_load_tokens;
	generation->asked_server = NULL;
	generation->kept_server = NULL;
	generation->copy_state = COPY_NONE;
	generation->copy_failures = 0;
	generation->backup_failed = false;
	fleet_copy_drop(fleet, &generation->backup);
	fleet_copy_drop(fleet, &generation->copy);
	fleet_choose_backup(fleet, generation);
}

/*
 * Delivers a token of run to its caller unless the caller already has it, and
 * ends the generation after the last one. data is the struct fleet.
 */
void fleet_handle_token(void *data, struct fleet_engine_run *run, int64_t at_us)
{
	struct fleet *fleet = data;
	struct fleet_generation *generation = run->generation;

	if (run == generation->asked_run && generation->asked_server)
		finish_takeover(fleet, generation);
	if (run->generated > generation->delivered) {
		if (!generation->first_us)
			fleet_add_load(fleet, generation->server, 0, 0,
				       -generation->prompt_tokens);
		generation->delivered = run->generated;
		if (run->generated % TOKENS_PER_EVENT == 1 ||
		    run->generated == run->output_tokens)
			record_event(generation, at_us + ROUND_TRIP_US / 2);
	}
	if (run->generated < run->output_tokens)
		return;
	count_complete(fleet, generation);
	fleet_end_generation(fleet, generation);
}

/* Sends a generation to an engine, or refuses and frees it. */
void fleet_place(struct fleet *fleet, struct fleet_generation *generation)
{
	struct endpoint_criteria criteria;
	struct fleet_engine_run run = {
		.generation = generation,
		.prompt_tokens = generation->prompt_tokens,
		.output_tokens = generation->output_tokens,
		.unread = generation->prompt_tokens,
	};

	fleet_fill_criteria(fleet, generation, &criteria);
	generation->server = fleet_server_of(
		fleet, endpoint_choose(fleet->registry, &criteria));
	if (!generation->server) {
		fleet->result->refused += generation->kind == &fleet_kinds[0];
		g_ptr_array_remove(fleet->generations, generation);
		return;
	}
	generation->load_tokens = criteria.tokens;
	fleet_add_load(fleet, generation->server, 1, criteria.tokens,
		       generation->prompt_tokens);
	generation->run =
		fleet_engine_add(generation->server->engine, &run, false);
	fleet_choose_backup(fleet, generation);
}

/* Creates a generation of this kind and places it. */
void fleet_arrive(struct fleet *fleet, const struct fleet_kind *kind)
{
	struct fleet_generation *generation =
		g_new0(struct fleet_generation, 1);

	generation->kind = kind;
	generation->prompt_tokens = draw_size(fleet, kind->prompt_tokens, 0.4);
	generation->output_tokens = draw_size(fleet, kind->output_tokens, 0.6);
	generation->worth_factor =
		MIN(0.3 + 0.7 *
				    (double)(generation->prompt_tokens +
					     10 * generation->output_tokens) /
				    (kind->prompt_tokens +
				     10 * kind->output_tokens),
		    4);
	generation->arrived_us = fleet->now_us;
	fleet->possible_worth += kind->worth * generation->worth_factor;
	fleet->result->reports += kind == &fleet_kinds[0];
	g_ptr_array_add(fleet->generations, generation);
	fleet_place(fleet, generation);
}
