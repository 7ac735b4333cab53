#include "bench/fleet_state.h"

#define BACKUP_PERIOD_US 250000

/* Whether the policy copies generations off an engine under notice. */
bool fleet_policy_moves(const struct fleet *fleet)
{
	return fleet->options.policy == FLEET_MOVE ||
	       fleet->options.policy == FLEET_BOTH;
}

/* Asks a server to continue a run, of which it has to read unread tokens. */
static void ask_server(struct fleet *fleet, struct fleet_generation *generation,
		       struct fleet_server *server, int64_t unread)
{
	struct fleet_engine_run run = {
		.generation = generation,
		.prompt_tokens = generation->prompt_tokens,
		.generated = generation->delivered,
		.output_tokens = generation->output_tokens,
		.unread = unread,
	};

	generation->asked_server = server;
	generation->asked_load_tokens = fleet_load_tokens(generation);
	fleet_add_load(fleet, server, 1, generation->asked_load_tokens, 0);
	generation->asked_run = fleet_engine_add(server->engine, &run, true);
}

/*
 * Asks the holder of a copy to continue the run from it; false if the copy is
 * missing. A backup is brought up to date several times a second, so that fewer
 * than 32 tokens must be read again.
 */
static bool request_takeover(struct fleet *fleet,
			     struct fleet_generation *generation,
			     struct fleet_copy *copy)
{
	struct fleet_server *holder = copy->holder;
	int64_t unread = copy == &generation->backup
				 ? generation->delivered % 32
				 : generation->delivered - copy->generated;

	if (!fleet_copy_is_usable(fleet, copy)) {
		fleet->result->missing++;
		fleet_copy_drop(fleet, copy);
		return false;
	}
	fleet_copy_drop(fleet, copy);
	ask_server(fleet, generation, holder, unread);
	return true;
}

/*
 * The server that was asked has ended: the run returns to the one that has
 * stopped it. Returns false if that one has ended as well.
 */
bool fleet_return(struct fleet *fleet, struct fleet_generation *generation)
{
	struct fleet_server *kept = generation->kept_server;

	if (!kept || !kept->engine || kept->engine != generation->kept_engine)
		return false;
	generation->kept_server = NULL;
	ask_server(fleet, generation, kept, 0);
	return true;
}

static void begin_copy(struct fleet *fleet, struct fleet_generation *generation)
{
	struct endpoint_criteria criteria;
	struct fleet_copy *copy = &generation->copy;

	generation->copy_since_us = fleet->now_us;
	fleet_fill_criteria(fleet, generation, &criteria);
	criteria.failure_domain = generation->server->domain;
	criteria.other_domain_weight = 0.3;
	copy->holder = fleet_server_of(
		fleet, endpoint_choose_for_move(fleet->registry, &criteria));
	if (!copy->holder)
		return;
	fleet->result->moves++;
	copy->tokens = criteria.tokens;
	copy->complete_us = INT64_MAX;
	fleet_add_load(fleet, copy->holder, 0, copy->tokens, 0);
	if (fleet_copy_begin(fleet, copy, generation->server,
			     generation->run)) {
		generation->copy_state = COPY_IN_PROGRESS;
		return;
	}
	fleet->result->refused_copies++;
	generation->copy_failures++;
	fleet_copy_drop(fleet, copy);
}

/* State of the copies, which is also valid after the engine has left. */
static struct evacuation_input
build_copy_input(const struct fleet_generation *generation)
{
	const struct fleet_server *target = generation->copy.holder;
	const struct fleet_server *backup = generation->backup.holder;

	return (struct evacuation_input){
		.has_backup = fleet_server_serves(backup) &&
			      !backup->notice_us && !generation->backup_failed,
		.copy = generation->copy_state,
		.copy_failures = generation->copy_failures,
		.target_serves =
			fleet_server_serves(target) && !target->notice_us,
	};
}

static struct evacuation_input
build_input(struct fleet *fleet, const struct fleet_generation *generation)
{
	const struct fleet_server *server = generation->server;
	struct evacuation_input input = build_copy_input(generation);

	if (server->notice_us)
		input.under_notice_us = fleet->now_us - server->notice_us;
	input.has_begun = generation->run->begun_us != 0;
	input.begun_us = fleet->now_us - generation->run->begun_us;
	input.ends_in_time = evacuation_ends_in_time(generation->delivered,
						     generation->output_tokens);
	input.budget_left = true;
	input.can_copy = fleet_policy_moves(fleet);
	input.copy_elapsed_us = fleet->now_us - generation->copy_since_us;
	input.may_stop = true;
	if (input.has_backup)
		input.backup_reads_prompts = endpoint_has_unread_prompts(
			fleet_endpoint(fleet, generation->backup.holder));
	if (input.target_serves)
		input.target_reads_prompts = endpoint_has_unread_prompts(
			fleet_endpoint(fleet, generation->copy.holder));
	return input;
}

static void drop_copy(struct fleet *fleet, struct fleet_generation *generation)
{
	fleet_copy_drop(fleet, &generation->copy);
	generation->copy_state = COPY_NONE;
	generation->copy_failures++;
	generation->copy_since_us = fleet->now_us;
}

/*
 * Removes the run from its old engine. The engine that takes over has the only
 * run from now on.
 */
void fleet_release_old(struct fleet *fleet, struct fleet_generation *generation)
{
	if (generation->server->engine)
		fleet_engine_remove(generation->server->engine,
				    generation->run);
	fleet_add_load(fleet, generation->server, -1, -generation->load_tokens,
		       0);
	generation->server = NULL;
	generation->run = NULL;
}

/* Stops a run, and asks the holder of the copy to continue it. */
static bool hand_over(struct fleet *fleet, struct fleet_generation *generation,
		      struct fleet_copy *copy)
{
	if (!request_takeover(fleet, generation, copy))
		return false;
	generation->kept_server = generation->server;
	generation->kept_engine = generation->server->engine;
	fleet_release_old(fleet, generation);
	return true;
}

static void step_evacuation(struct fleet *fleet,
			    struct fleet_generation *generation)
{
	struct evacuation_input input = build_input(fleet, generation);

	switch (evacuation_decide(&input)) {
	case EVACUATION_STAY:
		break;
	case EVACUATION_BEGIN_COPY:
		begin_copy(fleet, generation);
		break;
	case EVACUATION_DROP_COPY:
		drop_copy(fleet, generation);
		break;
	case EVACUATION_TO_COPY:
		generation->copy_state = COPY_GIVEN_UP;
		hand_over(fleet, generation, &generation->copy);
		break;
	case EVACUATION_TO_BACKUP:
		if (!hand_over(fleet, generation, &generation->backup))
			generation->backup_failed = true;
		break;
	}
}

/*
 * Begins the backup once the run has generated tokens for BACKUP_PERIOD_US, and
 * marks a copy whose transfer has ended as complete.
 */
static void step_copies(struct fleet *fleet,
			struct fleet_generation *generation)
{
	struct fleet_copy *backup = &generation->backup;

	generation->run_begun_us = generation->run->begun_us;
	if (backup->holder && backup->complete_us == INT64_MAX &&
	    generation->run->begun_us &&
	    fleet->now_us - generation->run->begun_us > BACKUP_PERIOD_US &&
	    !fleet_copy_begin(fleet, backup, generation->server,
			      generation->run))
		fleet_copy_drop(fleet, backup);
	if (generation->copy_state == COPY_IN_PROGRESS &&
	    generation->copy.complete_us <= fleet->now_us)
		generation->copy_state = COPY_COMPLETE;
}

static bool request_source_takeover(struct fleet *fleet,
				    struct fleet_generation *generation)
{
	struct evacuation_input input = build_copy_input(generation);

	input.has_begun = generation->run_begun_us != 0;
	input.begun_us = fleet->now_us - generation->run_begun_us;
	switch (evacuation_source(&input)) {
	case EVACUATION_FROM_COPY:
		return request_takeover(fleet, generation, &generation->copy);
	case EVACUATION_FROM_BACKUP:
		return request_takeover(fleet, generation, &generation->backup);
	case EVACUATION_FROM_NOTHING:
		break;
	}
	return false;
}

/*
 * The engine has left: the generation continues at an engine already asked, or
 * from an existing copy, or is lost.
 */
static void recover_or_lose(struct fleet *fleet,
			    struct fleet_generation *generation)
{
	if (generation->asked_server ||
	    request_source_takeover(fleet, generation))
		fleet_release_old(fleet, generation);
	else
		fleet_lose(fleet, generation);
}

/* Makes and executes the gateway's decision for each generation. */
void fleet_step_generations(struct fleet *fleet)
{
	for (guint i = fleet->generations->len; i-- > 0;) {
		struct fleet_generation *generation =
			g_ptr_array_index(fleet->generations, i);

		if (!generation->server)
			continue;
		if (!generation->server->engine)
			recover_or_lose(fleet, generation);
		else {
			step_copies(fleet, generation);
			step_evacuation(fleet, generation);
		}
	}
}
