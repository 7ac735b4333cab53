#include "bench/fleet_state.h"

#define BACKUP_PERIOD_US 250000

/* Whether engines under notice copy their runs. */
bool fleet_moves(const struct fleet *fleet)
{
	return fleet->options.policy == FLEET_MOVE ||
	       fleet->options.policy == FLEET_BOTH;
}

/* Asks the engine that has the copy; false: it has none. */
static bool ask(struct fleet *fleet, struct fleet_generation *generation,
		struct fleet_copy *copy)
{
	struct fleet_run_at run = {
		.generation = generation,
		.prompt_tokens = generation->prompt_tokens,
		.made = generation->delivered,
		.output_tokens = generation->output_tokens,
	};

	if (!fleet_copy_stands(fleet, copy)) {
		fleet->result->missing++;
		fleet_copy_drop(fleet, copy);
		return false;
	}
	/* A backup follows the run several times a second. */
	run.unread = copy == &generation->backup
			     ? generation->delivered % 32
			     : generation->delivered - copy->made;
	generation->asked = copy->at;
	generation->asked_us = fleet->now_us;
	generation->asked_held = fleet_held_tokens(generation);
	fleet_copy_drop(fleet, copy);
	fleet_count_held(fleet, generation->asked, 1, generation->asked_held,
			 0);
	generation->asked_run =
		fleet_engine_add(generation->asked->engine, &run, true);
	return true;
}

static void begin_copy(struct fleet *fleet, struct fleet_generation *generation)
{
	struct endpoint_wish wish;
	struct fleet_copy *copy = &generation->copy;

	generation->copy_since_us = fleet->now_us;
	fleet_wish(fleet, generation, &wish);
	wish.failure_domain = generation->server->domain;
	wish.far_weight = 0.3;
	copy->at = fleet_server_of(
		fleet, endpoint_choose_rescue(fleet->registry, &wish));
	if (!copy->at)
		return;
	fleet->result->moves++;
	copy->tokens = wish.tokens;
	copy->whole_us = INT64_MAX;
	fleet_count_held(fleet, copy->at, 0, copy->tokens, 0);
	if (fleet_copy_begin(fleet, copy, generation->server,
			     generation->run)) {
		generation->copy_state = COPY_UNDER_WAY;
		return;
	}
	fleet->result->refused_copies++;
	generation->copy_failures++;
	fleet_copy_drop(fleet, copy);
}

/* What stands where, which also counts when the engine is gone. */
static struct evacuation_input
copies_of(const struct fleet_generation *generation)
{
	const struct fleet_server *target = generation->copy.at;
	const struct fleet_server *backup = generation->backup.at;

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
input_of(struct fleet *fleet, const struct fleet_generation *generation)
{
	const struct fleet_server *server = generation->server;
	struct evacuation_input input = copies_of(generation);

	if (server->notice_us)
		input.under_notice_us = fleet->now_us - server->notice_us;
	input.has_begun = generation->run->begun_us != 0;
	input.begun_us = fleet->now_us - generation->run->begun_us;
	input.ends_in_time = evacuation_ends_in_time(generation->delivered,
						     generation->output_tokens);
	input.budget_left = true;
	input.can_copy = fleet_moves(fleet);
	input.copy_us = fleet->now_us - generation->copy_since_us;
	input.is_asked = generation->asked != NULL;
	input.asked_is_connected = true;
	input.asked_us = fleet->now_us - generation->asked_us;
	if (input.has_backup)
		input.backup_reads_prompts = endpoint_reads_prompts(
			fleet_endpoint(fleet, generation->backup.at));
	if (input.target_serves)
		input.target_reads_prompts = endpoint_reads_prompts(
			fleet_endpoint(fleet, generation->copy.at));
	return input;
}

static void drop_copy(struct fleet *fleet, struct fleet_generation *generation)
{
	fleet_copy_drop(fleet, &generation->copy);
	generation->copy_state = COPY_NONE;
	generation->copy_failures++;
	generation->copy_since_us = fleet->now_us;
}

/* The engine that was asked has the run alone from now on. */
void fleet_let_old_go(struct fleet *fleet, struct fleet_generation *generation)
{
	if (generation->server->engine)
		fleet_engine_remove(generation->server->engine,
				    generation->run);
	fleet_count_held(fleet, generation->server, -1, -generation->held, 0);
	generation->server = NULL;
	generation->run = NULL;
}

static void decide(struct fleet *fleet, struct fleet_generation *generation)
{
	struct evacuation_input input = input_of(fleet, generation);

	switch (evacuation_decide(&input)) {
	case EVACUATION_STAY:
	case EVACUATION_GIVE_UP:
	case EVACUATION_DROP_ASKED:
		break;
	case EVACUATION_BEGIN_COPY:
		begin_copy(fleet, generation);
		break;
	case EVACUATION_DROP_COPY:
		drop_copy(fleet, generation);
		break;
	case EVACUATION_ASK_COPY:
		generation->copy_state = COPY_GIVEN_UP;
		ask(fleet, generation, &generation->copy);
		break;
	case EVACUATION_ASK_BACKUP:
		if (!ask(fleet, generation, &generation->backup))
			generation->backup_failed = true;
		break;
	case EVACUATION_LET_OLD_GO:
		fleet_let_old_go(fleet, generation);
		break;
	}
}

/* Backups begin when their run has; copies under way become whole. */
static void step_copies(struct fleet *fleet,
			struct fleet_generation *generation)
{
	struct fleet_copy *backup = &generation->backup;

	generation->run_begun_us = generation->run->begun_us;
	if (backup->at && backup->whole_us == INT64_MAX &&
	    generation->run->begun_us &&
	    fleet->now_us - generation->run->begun_us > BACKUP_PERIOD_US &&
	    !fleet_copy_begin(fleet, backup, generation->server,
			      generation->run))
		fleet_copy_drop(fleet, backup);
	if (generation->copy_state == COPY_UNDER_WAY &&
	    generation->copy.whole_us <= fleet->now_us)
		generation->copy_state = COPY_WHOLE;
}

static bool ask_source(struct fleet *fleet, struct fleet_generation *generation)
{
	struct evacuation_input input = copies_of(generation);

	input.has_begun = generation->run_begun_us != 0;
	input.begun_us = fleet->now_us - generation->run_begun_us;
	switch (evacuation_source(&input)) {
	case EVACUATION_FROM_COPY:
		return ask(fleet, generation, &generation->copy);
	case EVACUATION_FROM_BACKUP:
		return ask(fleet, generation, &generation->backup);
	case EVACUATION_FROM_NOTHING:
		break;
	}
	return false;
}

/* Its engine is gone: it goes on from a copy that stands, or is lost. */
static void rescue(struct fleet *fleet, struct fleet_generation *generation)
{
	if (generation->asked || ask_source(fleet, generation))
		fleet_let_old_go(fleet, generation);
	else
		fleet_lose(fleet, generation);
}

/* Looks after each generation as the gateway does. */
void fleet_step_generations(struct fleet *fleet)
{
	for (guint i = fleet->generations->len; i-- > 0;) {
		struct fleet_generation *generation =
			g_ptr_array_index(fleet->generations, i);

		if (!generation->server)
			continue;
		if (!generation->server->engine)
			rescue(fleet, generation);
		else {
			step_copies(fleet, generation);
			decide(fleet, generation);
		}
	}
}
