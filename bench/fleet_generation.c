#include "bench/fleet_state.h"

#include <math.h>

#define PAUSE_US 180000	    /* longer ones make a report late */
#define EVENT_US (8 * 1000) /* a request's way to its engine and back */
#define AHEAD_TOKENS 384    /* as the gateway counts */

/* As the users' sheets give them. */
const struct fleet_kind fleet_kinds[FLEET_KINDS] = {
	{3.47, 3079, 932, 160, 24, 1800000},
	{4.85, 2550, 12, 17, 2.5, 1500000},
};

/* Until the next of so many a second comes. */
int64_t fleet_gap_us(struct fleet *fleet, double per_s)
{
	return (int64_t)(-log(1 - g_rand_double(fleet->arrivals)) / per_s *
			 G_USEC_PER_SEC);
}

/* About mean, half as much or twice as much now and then. */
static int64_t draw_size(struct fleet *fleet, double mean, double spread)
{
	double u = 1 - g_rand_double(fleet->arrivals);
	double normal = sqrt(-2 * log(u)) *
			cos(2 * G_PI * g_rand_double(fleet->arrivals));

	return MAX((int64_t)(mean * exp(spread * normal - spread * spread / 2)),
		   4);
}

/* What a generation is counted with, as the gateway does. */
int64_t fleet_held_tokens(const struct fleet_generation *generation)
{
	int64_t left = generation->output_tokens - generation->delivered;

	return generation->prompt_tokens + generation->delivered +
	       CLAMP(left, 128, AHEAD_TOKENS);
}

/* What the gateway looks for. */
void fleet_wish(struct fleet *fleet, const struct fleet_generation *generation,
		struct endpoint_wish *wish)
{
	*wish = (struct endpoint_wish){
		.service = SERVICE,
		.engine = &fleet->ability,
		.failure_domain = "a",
		.avoid_also =
			generation->server ? generation->server->id : NULL,
		.tokens = fleet_held_tokens(generation),
		.now_us = fleet->now_us,
		.draw = g_rand_double(fleet->choices),
	};
}

static bool policy_backs_up(const struct fleet *fleet)
{
	return fleet->options.policy == FLEET_BACKUP ||
	       fleet->options.policy == FLEET_BOTH;
}

/* Picks the engine that keeps a copy from the start, if any has room. */
void fleet_choose_backup(struct fleet *fleet,
			 struct fleet_generation *generation)
{
	struct endpoint_wish wish;

	if (!policy_backs_up(fleet) || generation->output_tokens < 64)
		return;
	fleet_wish(fleet, generation, &wish);
	generation->backup.at = fleet_server_of(
		fleet, endpoint_choose_backup(fleet->registry, &wish));
	if (!generation->backup.at)
		return;
	generation->backup.tokens = wish.tokens;
	generation->backup.whole_us = INT64_MAX;
	fleet_count_held(fleet, generation->backup.at, 0, wish.tokens, 0);
}

/* Takes it off all engines; it is freed. */
void fleet_end_generation(struct fleet *fleet,
			  struct fleet_generation *generation)
{
	if (generation->server && generation->server->engine)
		fleet_engine_remove(generation->server->engine,
				    generation->run);
	if (generation->server)
		fleet_count_held(
			fleet, generation->server, -1, -generation->held,
			generation->first_us ? 0 : -generation->prompt_tokens);
	if (generation->asked) {
		if (generation->asked->engine)
			fleet_engine_remove(generation->asked->engine,
					    generation->asked_run);
		fleet_count_held(fleet, generation->asked, -1,
				 -generation->asked_held, 0);
	}
	fleet_copy_drop(fleet, &generation->backup);
	fleet_copy_drop(fleet, &generation->copy);
	g_ptr_array_remove(fleet->generations, generation);
}

static void count_whole(struct fleet *fleet,
			struct fleet_generation *generation)
{
	struct fleet_result *result = fleet->result;
	bool is_report = generation->kind == &fleet_kinds[0];
	int64_t first_us = generation->first_us - generation->arrived_us;
	bool late_first = first_us > generation->kind->first_us;
	bool late_pause = generation->longest_pause_us > PAUSE_US;
	double part = late_first || late_pause ? generation->kind->late_worth
					       : generation->kind->worth;

	fleet->earned += part * generation->size_worth;
	if (!is_report)
		return;
	result->late_first += late_first;
	result->late_pause += late_pause && !late_first;
	result->in_aim += !late_first && !late_pause;
}

/* The answer breaks off. */
void fleet_lose(struct fleet *fleet, struct fleet_generation *generation)
{
	fleet->result->lost += generation->kind == &fleet_kinds[0];
	fleet_end_generation(fleet, generation);
}

static void take_event(struct fleet_generation *generation, int64_t at_us)
{
	if (!generation->first_us)
		generation->first_us = at_us;
	else
		generation->longest_pause_us =
			MAX(generation->longest_pause_us,
			    at_us - generation->event_us);
	generation->event_us = at_us;
}

/* The other engine has made an event: the old one is let go. */
static void change_engine(struct fleet *fleet,
			  struct fleet_generation *generation)
{
	if (generation->server) {
		if (generation->server->engine)
			fleet_engine_remove(generation->server->engine,
					    generation->run);
		fleet_count_held(fleet, generation->server, -1,
				 -generation->held, 0);
	}
	generation->server = generation->asked;
	generation->run = generation->asked_run;
	generation->held = generation->asked_held;
	generation->asked = NULL;
	generation->copy_state = COPY_NONE;
	generation->copy_failures = 0;
	generation->backup_failed = false;
	fleet_copy_drop(fleet, &generation->backup);
	fleet_copy_drop(fleet, &generation->copy);
	fleet_choose_backup(fleet, generation);
}

/* An engine has made a token: it reaches the caller, unless it had it. */
void fleet_take_token(void *data, struct fleet_run_at *run, int64_t at_us)
{
	struct fleet *fleet = data;
	struct fleet_generation *generation = run->generation;

	if (run == generation->asked_run && generation->asked)
		change_engine(fleet, generation);
	if (run->made > generation->delivered) {
		if (!generation->first_us)
			fleet_count_held(fleet, generation->server, 0, 0,
					 -generation->prompt_tokens);
		generation->delivered = run->made;
		if (run->made % TOKENS_PER_EVENT == 1 ||
		    run->made == run->output_tokens)
			take_event(generation, at_us + EVENT_US / 2);
	}
	if (run->made < run->output_tokens)
		return;
	count_whole(fleet, generation);
	fleet_end_generation(fleet, generation);
}

/* Finds an engine for it, or refuses it. */
void fleet_place(struct fleet *fleet, struct fleet_generation *generation)
{
	struct endpoint_wish wish;
	struct fleet_run_at run = {
		.generation = generation,
		.prompt_tokens = generation->prompt_tokens,
		.output_tokens = generation->output_tokens,
		.unread = generation->prompt_tokens,
	};

	fleet_wish(fleet, generation, &wish);
	generation->server =
		fleet_server_of(fleet, endpoint_choose(fleet->registry, &wish));
	if (!generation->server) {
		fleet->result->refused += generation->kind == &fleet_kinds[0];
		g_ptr_array_remove(fleet->generations, generation);
		return;
	}
	generation->held = wish.tokens;
	fleet_count_held(fleet, generation->server, 1, wish.tokens,
			 generation->prompt_tokens);
	generation->run =
		fleet_engine_add(generation->server->engine, &run, false);
	fleet_choose_backup(fleet, generation);
}

/* A caller sends a generation of this kind. */
void fleet_arrive(struct fleet *fleet, const struct fleet_kind *kind)
{
	struct fleet_generation *generation =
		g_new0(struct fleet_generation, 1);

	generation->kind = kind;
	generation->prompt_tokens = draw_size(fleet, kind->prompt_tokens, 0.4);
	generation->output_tokens = draw_size(fleet, kind->output_tokens, 0.6);
	generation->size_worth =
		MIN(0.3 + 0.7 *
				    (double)(generation->prompt_tokens +
					     10 * generation->output_tokens) /
				    (kind->prompt_tokens +
				     10 * kind->output_tokens),
		    4);
	generation->arrived_us = fleet->now_us;
	fleet->owed += kind->worth * generation->size_worth;
	fleet->result->reports += kind == &fleet_kinds[0];
	g_ptr_array_add(fleet->generations, generation);
	fleet_place(fleet, generation);
}
