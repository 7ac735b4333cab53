#include "bench/fleet.h"

#include "bench/fleet_engine.h"
#include "core/gateway/endpoint_choice.h"
#include "core/gateway/evacuation.h"

#include <math.h>
#include <string.h>

#define TICK_US 1000
#define DECIDE_US (20 * 1000) /* how often a generation is looked at */
#define SERVICE "reports"

/*
 * The users' sheets: two kinds of generation, their worth on time and late,
 * and when they are late.
 */
struct kind {
	double per_s;
	double prompt_tokens;
	double output_tokens;
	double worth, late_worth;
	int64_t first_us;
};

static const struct kind kinds[] = {
	{3.47, 3079, 932, 160, 24, 1800000},
	{4.85, 2550, 12, 17, 2.5, 1500000},
};

#define PAUSE_US 180000
#define TOKENS_PER_EVENT 4

/* An engine ends so long after its notice, and another one comes. */
#define LIFE_FROM_US 1500000
#define LIFE_SPREAD_US 600000
#define REPLACED_US 4000000

/* 163,840 bytes a token on 24 Gbit/s; twice that between failure domains. */
#define COPY_US_PER_TOKEN 0.0546
#define BACKUP_PERIOD_US 250000

#define EVENT_US (8 * 1000) /* a request's way to its engine and back */
#define REFUSED_US (5 * 1000)
#define AHEAD_TOKENS 384
#define DOMAINS 3

struct server {
	char id[16];
	char domain[4];
	struct fleet_engine *engine; /* NULL: gone */
	int64_t notice_us;	     /* 0: none */
	int64_t ends_us;
	int64_t link_free_us;
};

/* A copy of a generation's memory, on its way or there. */
struct copy {
	struct server *at; /* NULL: none */
	int64_t tokens;	   /* room taken there */
	int64_t made;	   /* of the run, when the copy was begun */
	int64_t whole_us;  /* INT64_MAX: not begun */
};

struct generation {
	const struct kind *kind;
	int64_t prompt_tokens;
	int64_t output_tokens;
	double size_worth;
	int64_t arrived_us;
	int64_t first_us; /* 0: no event yet */
	int64_t event_us; /* the last one */
	int64_t longest_pause_us;
	int64_t delivered;     /* tokens */
	struct server *server; /* that runs it */
	struct fleet_run_at *run;
	int64_t held; /* counted at the server, in tokens */
	struct copy backup, copy;
	enum evacuation_copy copy_state;
	int32_t copy_failures;
	int64_t copy_since_us;
	bool backup_failed;
	struct server *asked;
	struct fleet_run_at *asked_run;
	int64_t asked_us;
	int64_t asked_held;
};

struct fleet {
	struct fleet_options options;
	struct fleet_result *result;
	GRand *arrivals; /* apart, so that each policy has the same day */
	GRand *faults;
	GRand *choices;
	GPtrArray *servers;	/* struct server */
	GPtrArray *generations; /* struct generation */
	struct registry *registry;
	struct engine_ability ability;
	int64_t now_us;
	int64_t revision;
	int64_t next_notice_us;
	int64_t next_crash_us;
	int64_t replace_us[64]; /* when new engines come; 0: unused */
	int32_t started;
	double owed, earned;
};

static const char *const policy_names[] = {
	[FLEET_STAY] = "stay",
	[FLEET_MOVE] = "move",
	[FLEET_BACKUP] = "backup",
	[FLEET_BOTH] = "both",
};

/* As the first site, on its quiet day. */
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

/* Name of a policy, as on the command line. */
const char *fleet_policy_name(enum fleet_policy policy)
{
	return policy_names[policy];
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

static int64_t draw_gap_us(struct fleet *fleet, double per_s)
{
	return (int64_t)(-log(1 - g_rand_double(fleet->arrivals)) / per_s *
			 G_USEC_PER_SEC);
}

static struct endpoint *endpoint_of(struct fleet *fleet,
				    const struct server *server)
{
	return registry_find(fleet->registry, server->id);
}

static void register_server(struct fleet *fleet, const struct server *server)
{
	const struct registration said = {
		.id = (char *)server->id,
		.service = (char *)SERVICE,
		.address = (char *)server->id,
		.failure_domain = (char *)server->domain,
		.slots = fleet->options.slots,
		.revision = ++fleet->revision,
		.is_leaving = server->notice_us != 0,
		.is_removed = !server->engine,
	};

	registry_take(fleet->registry, &said, false, fleet->now_us);
}

static void start_server(struct fleet *fleet)
{
	const struct fleet_engine_options options = {
		.memory_tokens = fleet->options.memory_tokens,
		.slots = fleet->options.slots,
		.speed = 1 + 0.3 * g_rand_double(fleet->faults),
	};
	struct server *server = g_new0(struct server, 1);
	int32_t number = fleet->started++;

	g_snprintf(server->id, sizeof(server->id), "e%d", number);
	g_snprintf(server->domain, sizeof(server->domain), "%c",
		   'a' + number % DOMAINS);
	server->engine = fleet_engine_create(&options, fleet->now_us);
	g_ptr_array_add(fleet->servers, server);
	register_server(fleet, server);
}

static bool server_serves(const struct server *server)
{
	return server && server->engine;
}

static void count_held(struct fleet *fleet, const struct server *server,
		       int32_t requests, int64_t tokens, int64_t unread)
{
	struct endpoint *endpoint = endpoint_of(fleet, server);

	endpoint->own.requests += requests;
	endpoint->own.tokens += tokens;
	endpoint->own.unread_tokens += unread;
}

static int64_t held_tokens(const struct generation *generation)
{
	int64_t left = generation->output_tokens - generation->delivered;

	return generation->prompt_tokens + generation->delivered +
	       CLAMP(left, 128, AHEAD_TOKENS);
}

static void copy_drop(struct fleet *fleet, struct copy *copy)
{
	if (!copy->at)
		return;
	if (copy->at->engine && copy->whole_us != INT64_MAX)
		fleet_engine_drop_copy(copy->at->engine, copy->tokens);
	count_held(fleet, copy->at, 0, -copy->tokens, 0);
	memset(copy, 0, sizeof(*copy));
}

/* Sends a copy over the links of both engines, behind what they carry. */
static bool copy_begin(struct fleet *fleet, struct copy *copy,
		       struct server *from, const struct fleet_run_at *run)
{
	int64_t tokens = run->prompt_tokens + run->made;
	double us = COPY_US_PER_TOKEN * 1000 * (double)tokens;

	if (!server_serves(copy->at) ||
	    !fleet_engine_keep_copy(copy->at->engine, copy->tokens))
		return false;
	if (strcmp(from->domain, copy->at->domain) != 0)
		us *= 2;
	copy->made = run->made;
	copy->whole_us = MAX(MAX(from->link_free_us, copy->at->link_free_us),
			     fleet->now_us) +
			 (int64_t)(us);
	from->link_free_us = copy->whole_us;
	copy->at->link_free_us = copy->whole_us;
	fleet->result->copied_tokens += tokens;
	return true;
}

static bool copy_stands(const struct fleet *fleet, const struct copy *copy)
{
	return server_serves(copy->at) && copy->whole_us <= fleet->now_us;
}

static void wish_of(struct fleet *fleet, const struct generation *generation,
		    struct endpoint_wish *wish)
{
	*wish = (struct endpoint_wish){
		.service = SERVICE,
		.engine = &fleet->ability,
		.failure_domain = "a",
		.avoid_also =
			generation->server ? generation->server->id : NULL,
		.tokens = held_tokens(generation),
		.now_us = fleet->now_us,
		.draw = g_rand_double(fleet->choices),
	};
}

static struct server *server_of(const struct fleet *fleet,
				const struct endpoint *endpoint)
{
	for (guint i = 0; endpoint && i < fleet->servers->len; i++) {
		struct server *server = g_ptr_array_index(fleet->servers, i);

		if (strcmp(server->id, endpoint->said->id) == 0)
			return server;
	}
	return NULL;
}

static bool policy_backs_up(const struct fleet *fleet)
{
	return fleet->options.policy == FLEET_BACKUP ||
	       fleet->options.policy == FLEET_BOTH;
}

static bool policy_moves(const struct fleet *fleet)
{
	return fleet->options.policy == FLEET_MOVE ||
	       fleet->options.policy == FLEET_BOTH;
}

static void choose_backup(struct fleet *fleet, struct generation *generation)
{
	struct endpoint_wish wish;

	if (!policy_backs_up(fleet) || generation->output_tokens < 64)
		return;
	wish_of(fleet, generation, &wish);
	generation->backup.at = server_of(
		fleet, endpoint_choose_backup(fleet->registry, &wish));
	if (!generation->backup.at)
		return;
	generation->backup.tokens = wish.tokens;
	generation->backup.whole_us = INT64_MAX;
	count_held(fleet, generation->backup.at, 0, wish.tokens, 0);
}

static void end_generation(struct fleet *fleet, struct generation *generation)
{
	if (generation->server && generation->server->engine)
		fleet_engine_remove(generation->server->engine,
				    generation->run);
	if (generation->server)
		count_held(fleet, generation->server, -1, -generation->held,
			   generation->first_us ? 0
						: -generation->prompt_tokens);
	if (generation->asked) {
		if (generation->asked->engine)
			fleet_engine_remove(generation->asked->engine,
					    generation->asked_run);
		count_held(fleet, generation->asked, -1,
			   -generation->asked_held, 0);
	}
	copy_drop(fleet, &generation->backup);
	copy_drop(fleet, &generation->copy);
	g_ptr_array_remove(fleet->generations, generation);
}

static void count_whole(struct fleet *fleet, struct generation *generation)
{
	struct fleet_result *result = fleet->result;
	bool is_report = generation->kind == &kinds[0];
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

static void lose(struct fleet *fleet, struct generation *generation)
{
	fleet->result->lost += generation->kind == &kinds[0];
	end_generation(fleet, generation);
}

static void take_event(struct generation *generation, int64_t at_us)
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
static void change_engine(struct fleet *fleet, struct generation *generation)
{
	if (generation->server) {
		if (generation->server->engine)
			fleet_engine_remove(generation->server->engine,
					    generation->run);
		count_held(fleet, generation->server, -1, -generation->held, 0);
	}
	generation->server = generation->asked;
	generation->run = generation->asked_run;
	generation->held = generation->asked_held;
	generation->asked = NULL;
	generation->copy_state = COPY_NONE;
	generation->copy_failures = 0;
	generation->backup_failed = false;
	copy_drop(fleet, &generation->backup);
	copy_drop(fleet, &generation->copy);
	choose_backup(fleet, generation);
}

static void on_made(void *data, struct fleet_run_at *run, int64_t at_us)
{
	struct fleet *fleet = data;
	struct generation *generation = run->generation;

	if (run == generation->asked_run && generation->asked)
		change_engine(fleet, generation);
	if (run->made > generation->delivered) {
		if (!generation->first_us)
			count_held(fleet, generation->server, 0, 0,
				   -generation->prompt_tokens);
		generation->delivered = run->made;
		if (run->made % TOKENS_PER_EVENT == 1 ||
		    run->made == run->output_tokens)
			take_event(generation, at_us + EVENT_US / 2);
	}
	if (run->made < run->output_tokens)
		return;
	count_whole(fleet, generation);
	end_generation(fleet, generation);
}

static void place(struct fleet *fleet, struct generation *generation)
{
	struct endpoint_wish wish;
	struct fleet_run_at run = {
		.generation = generation,
		.prompt_tokens = generation->prompt_tokens,
		.output_tokens = generation->output_tokens,
		.unread = generation->prompt_tokens,
	};

	wish_of(fleet, generation, &wish);
	generation->server =
		server_of(fleet, endpoint_choose(fleet->registry, &wish));
	if (!generation->server) {
		fleet->result->refused += generation->kind == &kinds[0];
		g_ptr_array_remove(fleet->generations, generation);
		return;
	}
	generation->held = wish.tokens;
	count_held(fleet, generation->server, 1, wish.tokens,
		   generation->prompt_tokens);
	generation->run =
		fleet_engine_add(generation->server->engine, &run, false);
	choose_backup(fleet, generation);
}

static void arrive(struct fleet *fleet, const struct kind *kind)
{
	struct generation *generation = g_new0(struct generation, 1);

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
	fleet->result->reports += kind == &kinds[0];
	g_ptr_array_add(fleet->generations, generation);
	place(fleet, generation);
}

/* Asks the engine that has the copy; false: it has none. */
static bool ask(struct fleet *fleet, struct generation *generation,
		struct copy *copy)
{
	struct fleet_run_at run = {
		.generation = generation,
		.prompt_tokens = generation->prompt_tokens,
		.made = generation->delivered,
		.output_tokens = generation->output_tokens,
	};

	if (!copy_stands(fleet, copy)) {
		fleet->result->missing++;
		copy_drop(fleet, copy);
		return false;
	}
	/* A backup follows the run several times a second. */
	run.unread = copy == &generation->backup
			     ? generation->delivered % 32
			     : generation->delivered - copy->made;
	generation->asked = copy->at;
	generation->asked_us = fleet->now_us;
	generation->asked_held = held_tokens(generation);
	copy_drop(fleet, copy);
	count_held(fleet, generation->asked, 1, generation->asked_held, 0);
	generation->asked_run =
		fleet_engine_add(generation->asked->engine, &run, true);
	return true;
}

static void begin_copy(struct fleet *fleet, struct generation *generation)
{
	struct endpoint_wish wish;
	struct copy *copy = &generation->copy;

	generation->copy_since_us = fleet->now_us;
	wish_of(fleet, generation, &wish);
	wish.failure_domain = generation->server->domain;
	wish.far_weight = 0.3;
	copy->at = server_of(fleet,
			     endpoint_choose_rescue(fleet->registry, &wish));
	if (!copy->at)
		return;
	fleet->result->moves++;
	copy->tokens = wish.tokens;
	copy->whole_us = INT64_MAX;
	count_held(fleet, copy->at, 0, copy->tokens, 0);
	if (copy_begin(fleet, copy, generation->server, generation->run)) {
		generation->copy_state = COPY_UNDER_WAY;
		return;
	}
	fleet->result->refused_copies++;
	generation->copy_failures++;
	copy_drop(fleet, copy);
}

static struct evacuation_input input_of(struct fleet *fleet,
					const struct generation *generation)
{
	const struct server *server = generation->server;
	const struct server *target = generation->copy.at;
	const struct server *backup = generation->backup.at;
	struct evacuation_input input = {
		.under_notice_us = server->notice_us
					   ? fleet->now_us - server->notice_us
					   : 0,
		.has_begun = generation->run->begun_us != 0,
		.begun_us = fleet->now_us - generation->run->begun_us,
		.ends_in_time = evacuation_ends_in_time(
			generation->delivered, generation->output_tokens),
		.budget_left = true,
		.has_backup = server_serves(backup) && !backup->notice_us &&
			      !generation->backup_failed,
		.can_copy = policy_moves(fleet),
		.copy = generation->copy_state,
		.copy_failures = generation->copy_failures,
		.copy_us = fleet->now_us - generation->copy_since_us,
		.target_serves = server_serves(target) && !target->notice_us,
		.is_asked = generation->asked != NULL,
		.asked_is_connected = true,
		.asked_us = fleet->now_us - generation->asked_us,
	};

	if (input.has_backup)
		input.backup_reads_prompts =
			endpoint_reads_prompts(endpoint_of(fleet, backup));
	if (input.target_serves)
		input.target_reads_prompts =
			endpoint_reads_prompts(endpoint_of(fleet, target));
	return input;
}

static void drop_copy(struct fleet *fleet, struct generation *generation)
{
	copy_drop(fleet, &generation->copy);
	generation->copy_state = COPY_NONE;
	generation->copy_failures++;
	generation->copy_since_us = fleet->now_us;
}

static void let_old_go(struct fleet *fleet, struct generation *generation)
{
	if (generation->server->engine)
		fleet_engine_remove(generation->server->engine,
				    generation->run);
	count_held(fleet, generation->server, -1, -generation->held, 0);
	generation->server = NULL;
	generation->run = NULL;
}

static void decide(struct fleet *fleet, struct generation *generation)
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
		let_old_go(fleet, generation);
		break;
	}
}

/* Backups begin when their run has; copies under way become whole. */
static void step_copies(struct fleet *fleet, struct generation *generation)
{
	struct copy *backup = &generation->backup;

	if (backup->at && backup->whole_us == INT64_MAX &&
	    generation->run->begun_us &&
	    fleet->now_us - generation->run->begun_us > BACKUP_PERIOD_US &&
	    !copy_begin(fleet, backup, generation->server, generation->run))
		copy_drop(fleet, backup);
	if (generation->copy_state == COPY_UNDER_WAY &&
	    generation->copy.whole_us <= fleet->now_us)
		generation->copy_state = COPY_WHOLE;
}

/* Its engine is gone: it goes on from a copy that stands, or is lost. */
static void rescue(struct fleet *fleet, struct generation *generation)
{
	struct copy *copy = generation->copy_state == COPY_WHOLE
				    ? &generation->copy
				    : &generation->backup;

	if (generation->asked)
		let_old_go(fleet, generation);
	else if (copy->at && copy->at->notice_us == 0 &&
		 ask(fleet, generation, copy))
		let_old_go(fleet, generation);
	else
		lose(fleet, generation);
}

static void step_generations(struct fleet *fleet)
{
	for (guint i = fleet->generations->len; i-- > 0;) {
		struct generation *generation =
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

/* What goes with an engine: its runs, and the runs that were asked there. */
static void end_server(struct fleet *fleet, struct server *server)
{
	fleet->result->preemptions += fleet_engine_preemptions(server->engine);
	fleet->result->read_again_tokens +=
		fleet_engine_read_again(server->engine);
	fleet_engine_destroy(g_steal_pointer(&server->engine));
	register_server(fleet, server);
	for (size_t i = 0; i < G_N_ELEMENTS(fleet->replace_us); i++) {
		if (fleet->replace_us[i])
			continue;
		fleet->replace_us[i] = fleet->now_us + REPLACED_US;
		break;
	}
	for (guint i = fleet->generations->len; i-- > 0;) {
		struct generation *generation =
			g_ptr_array_index(fleet->generations, i);

		if (generation->asked != server)
			continue;
		count_held(fleet, server, -1, -generation->asked_held, 0);
		generation->asked = NULL;
		if (!generation->server)
			lose(fleet, generation);
	}
}

static struct server *any_server(struct fleet *fleet)
{
	for (int tries = 0; tries < 100; tries++) {
		struct server *server = g_ptr_array_index(
			fleet->servers,
			(guint)g_rand_int_range(fleet->faults, 0,
						(gint32)fleet->servers->len));

		if (server->engine && !server->notice_us)
			return server;
	}
	return NULL;
}

static void step_faults(struct fleet *fleet)
{
	struct server *server;

	if (fleet->next_notice_us && fleet->now_us >= fleet->next_notice_us) {
		fleet->next_notice_us +=
			(int64_t)(fleet->options.notice_every_s *
				  G_USEC_PER_SEC);
		server = any_server(fleet);
		if (server) {
			server->notice_us = fleet->now_us;
			server->ends_us =
				fleet->now_us + LIFE_FROM_US +
				(int64_t)(g_rand_double(fleet->faults) *
					  LIFE_SPREAD_US);
			register_server(fleet, server);
		}
	}
	if (fleet->next_crash_us && fleet->now_us >= fleet->next_crash_us) {
		fleet->next_crash_us += (int64_t)(fleet->options.crash_every_s *
						  G_USEC_PER_SEC);
		server = any_server(fleet);
		if (server)
			end_server(fleet, server);
	}
}

static void step_servers(struct fleet *fleet)
{
	for (guint i = 0; i < fleet->servers->len; i++) {
		struct server *server = g_ptr_array_index(fleet->servers, i);

		if (!server->engine)
			continue;
		fleet_engine_step(server->engine, fleet->now_us, on_made,
				  fleet);
		if (server->notice_us && fleet->now_us >= server->ends_us)
			end_server(fleet, server);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(fleet->replace_us); i++) {
		if (!fleet->replace_us[i] ||
		    fleet->now_us < fleet->replace_us[i])
			continue;
		fleet->replace_us[i] = 0;
		start_server(fleet);
	}
}

static void server_destroy(gpointer data)
{
	struct server *server = data;

	fleet_engine_destroy(server->engine);
	g_free(server);
}

static void fleet_begin(struct fleet *fleet)
{
	guint32 seed = (guint32)fleet->options.seed;

	fleet->arrivals = g_rand_new_with_seed(3 * seed);
	fleet->faults = g_rand_new_with_seed(3 * seed + 1);
	fleet->choices = g_rand_new_with_seed(3 * seed + 2);
	fleet->servers = g_ptr_array_new_with_free_func(server_destroy);
	fleet->generations = g_ptr_array_new_with_free_func(g_free);
	fleet->registry = registry_create();
	fleet->ability = (struct engine_ability){
		.slots = fleet->options.slots,
		.memory_tokens = fleet->options.memory_tokens,
		.tokens_per_event = TOKENS_PER_EVENT,
		.can_move = true,
		.can_back_up = true,
	};
	fleet->now_us = G_USEC_PER_SEC;
	for (int32_t i = 0; i < fleet->options.engine_count; i++)
		start_server(fleet);
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
		const struct server *server =
			g_ptr_array_index(fleet->servers, i);

		if (!server->engine)
			continue;
		fleet->result->preemptions +=
			fleet_engine_preemptions(server->engine);
		fleet->result->read_again_tokens +=
			fleet_engine_read_again(server->engine);
	}
	fleet->result->worth = fleet->earned / fleet->owed;
	g_ptr_array_unref(fleet->generations);
	g_ptr_array_unref(fleet->servers);
	registry_destroy(fleet->registry);
	g_rand_free(fleet->arrivals);
	g_rand_free(fleet->faults);
	g_rand_free(fleet->choices);
}

/*
 * Plays a day of options->seconds, and on until the last generation has ended.
 * The same options give the same result.
 */
void fleet_run(const struct fleet_options *options, struct fleet_result *result)
{
	struct fleet fleet = {.options = *options, .result = result};
	int64_t next_us[G_N_ELEMENTS(kinds)];
	int64_t ends_us, next_decide_us = 0;

	memset(result, 0, sizeof(*result));
	fleet_begin(&fleet);
	ends_us = fleet.now_us + (int64_t)(options->seconds * G_USEC_PER_SEC);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		next_us[i] =
			fleet.now_us +
			draw_gap_us(&fleet, kinds[i].per_s * options->load);
	while (fleet.now_us < ends_us || fleet.generations->len > 0) {
		fleet.now_us += TICK_US;
		for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
			if (fleet.now_us >= ends_us ||
			    fleet.now_us < next_us[i])
				continue;
			next_us[i] += draw_gap_us(
				&fleet, kinds[i].per_s * options->load);
			arrive(&fleet, &kinds[i]);
		}
		if (fleet.now_us < ends_us)
			step_faults(&fleet);
		step_servers(&fleet);
		if (fleet.now_us < next_decide_us)
			continue;
		next_decide_us = fleet.now_us + DECIDE_US;
		step_generations(&fleet);
	}
	fleet_end(&fleet);
}
