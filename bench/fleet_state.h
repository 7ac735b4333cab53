#ifndef BENCH_FLEET_STATE_H
#define BENCH_FLEET_STATE_H

#include "bench/fleet.h"
#include "bench/fleet_engine.h"
#include "core/gateway/endpoint_choice.h"
#include "core/gateway/evacuation.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * State shared by the files of the fleet simulation. fleet.c: the main loop.
 * fleet_server.c: engines that start and leave. fleet_copy.c: copies and links.
 * fleet_generation.c: generations, from arrival to end. fleet_change.c: copies
 * and takeovers when an engine leaves.
 */

/*
 * A kind of generation: its arrival rate, its mean sizes, its worth on time and
 * late, and the time within which its first event is due. The values are the
 * users' requirements.
 */
struct fleet_kind {
	double per_s;
	double prompt_tokens;
	double output_tokens;
	double worth, late_worth;
	int64_t first_us;
};

enum { FLEET_KINDS = 2 };

/* The first kind is the long report. */
extern const struct fleet_kind fleet_kinds[FLEET_KINDS];

#define TOKENS_PER_EVENT 4
#define SERVICE "reports"

struct fleet_server {
	char id[16];
	char domain[4];
	struct fleet_engine *engine; /* NULL: has left */
	int64_t notice_us;	     /* time of the notice; 0: none */
	int64_t ends_us;	     /* valid with a notice */
	int64_t link_free_us;	     /* end of the last transfer */
};

/* A copy of a generation's memory, in transfer or complete. */
struct fleet_copy {
	struct fleet_server *holder; /* NULL: no copy */
	int64_t tokens;		     /* memory reserved there */
	int64_t generated; /* tokens of the run at the start of the transfer */
	int64_t complete_us; /* INT64_MAX: transfer not begun */
};

struct fleet_generation {
	const struct fleet_kind *kind;
	int64_t prompt_tokens;
	int64_t output_tokens;
	double worth_factor; /* factor on the worth of the kind */
	int64_t arrived_us;
	int64_t first_us; /* 0: no event yet */
	int64_t event_us; /* of the last event */
	int64_t longest_pause_us;
	int64_t delivered;	     /* tokens */
	struct fleet_server *server; /* that runs it */
	struct fleet_engine_run *run;
	int64_t run_begun_us; /* run->begun_us, valid without the engine */
	int64_t load_tokens;  /* tokens counted as load of the server */
	struct fleet_copy backup, copy;
	enum evacuation_copy copy_state;
	int32_t copy_failures;
	int64_t copy_since_us;
	bool backup_failed;
	struct fleet_server *kept_server; /* has stopped the run; or NULL */
	const struct fleet_engine *kept_engine; /* its engine at that time */
	struct fleet_server *asked_server;	/* to take over; NULL: none */
	struct fleet_engine_run *asked_run;
	int64_t asked_load_tokens;
};

struct fleet {
	struct fleet_options options;
	struct fleet_result *result;
	GRand *arrivals; /* separate: the same for each policy */
	GRand *faults;
	GRand *choices;
	GPtrArray *servers;	   /* struct fleet_server */
	GPtrArray *generations;	   /* struct fleet_generation */
	struct registry *registry; /* of the simulated gateway */
	struct engine_capabilities capabilities;
	int64_t now_us;
	int64_t revision;
	int64_t next_notice_us;
	int64_t next_crash_us;
	int64_t replace_us[64]; /* when replacements start; 0: unused */
	int32_t started_count;
	double possible_worth, earned_worth; /* sums over all generations */
};

/* fleet_server.c */
struct endpoint *fleet_endpoint(struct fleet *fleet,
				const struct fleet_server *server);
bool fleet_server_serves(const struct fleet_server *server);
struct fleet_server *fleet_server_of(const struct fleet *fleet,
				     const struct endpoint *endpoint);
void fleet_add_load(struct fleet *fleet, const struct fleet_server *server,
		    int32_t requests, int64_t tokens, int64_t unread);
void fleet_start_server(struct fleet *fleet);
void fleet_step_servers(struct fleet *fleet);
void fleet_step_faults(struct fleet *fleet);
void fleet_server_destroy(gpointer data);

/* fleet_copy.c */
void fleet_copy_drop(struct fleet *fleet, struct fleet_copy *copy);
bool fleet_copy_begin(struct fleet *fleet, struct fleet_copy *copy,
		      struct fleet_server *from,
		      const struct fleet_engine_run *run);
bool fleet_copy_is_usable(const struct fleet *fleet,
			  const struct fleet_copy *copy);

/* fleet_generation.c */
int64_t fleet_arrival_gap_us(struct fleet *fleet, double per_s);
int64_t fleet_load_tokens(const struct fleet_generation *generation);
void fleet_fill_criteria(struct fleet *fleet,
			 const struct fleet_generation *generation,
			 struct endpoint_criteria *criteria);
void fleet_choose_backup(struct fleet *fleet,
			 struct fleet_generation *generation);
void fleet_place(struct fleet *fleet, struct fleet_generation *generation);
void fleet_arrive(struct fleet *fleet, const struct fleet_kind *kind);
void fleet_lose(struct fleet *fleet, struct fleet_generation *generation);
void fleet_end_generation(struct fleet *fleet,
			  struct fleet_generation *generation);
void fleet_handle_token(void *data, struct fleet_engine_run *run,
			int64_t at_us);

/* fleet_change.c */
bool fleet_policy_moves(const struct fleet *fleet);
bool fleet_return(struct fleet *fleet, struct fleet_generation *generation);
void fleet_release_old(struct fleet *fleet,
		       struct fleet_generation *generation);
void fleet_step_generations(struct fleet *fleet);

G_END_DECLS

#endif
