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
 * What the parts of the fleet share. fleet.c: the day. fleet_server.c: engines
 * that come and go. fleet_copy.c: copies and links. fleet_generation.c: from a
 * caller's request to its end. fleet_change.c: changes of engine.
 */

/*
 * The users' sheets: two kinds of generation, their worth on time and late,
 * and when they are late.
 */
struct fleet_kind {
	double per_s;
	double prompt_tokens;
	double output_tokens;
	double worth, late_worth;
	int64_t first_us;
};

enum { FLEET_KINDS = 2 };

/* The first one is the long report. */
extern const struct fleet_kind fleet_kinds[FLEET_KINDS];

#define TOKENS_PER_EVENT 4
#define SERVICE "reports"

struct fleet_server {
	char id[16];
	char domain[4];
	struct fleet_engine *engine; /* NULL: gone */
	int64_t notice_us;	     /* 0: none */
	int64_t ends_us;
	int64_t link_free_us;
};

/* A copy of a generation's memory, on its way or there. */
struct fleet_copy {
	struct fleet_server *at; /* NULL: none */
	int64_t tokens;		 /* room taken there */
	int64_t made;		 /* of the run, when the copy was begun */
	int64_t whole_us;	 /* INT64_MAX: not begun */
};

struct fleet_generation {
	const struct fleet_kind *kind;
	int64_t prompt_tokens;
	int64_t output_tokens;
	double size_worth;
	int64_t arrived_us;
	int64_t first_us; /* 0: no event yet */
	int64_t event_us; /* the last one */
	int64_t longest_pause_us;
	int64_t delivered;	     /* tokens */
	struct fleet_server *server; /* that runs it */
	struct fleet_run_at *run;
	int64_t run_begun_us; /* as of the run, which goes with its engine */
	int64_t held;	      /* counted at the server, in tokens */
	struct fleet_copy backup, copy;
	enum evacuation_copy copy_state;
	int32_t copy_failures;
	int64_t copy_since_us;
	bool backup_failed;
	struct fleet_server *asked;
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
	GPtrArray *servers;	/* struct fleet_server */
	GPtrArray *generations; /* struct fleet_generation */
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

/* fleet_server.c */
struct endpoint *fleet_endpoint(struct fleet *fleet,
				const struct fleet_server *server);
bool fleet_server_serves(const struct fleet_server *server);
struct fleet_server *fleet_server_of(const struct fleet *fleet,
				     const struct endpoint *endpoint);
void fleet_count_held(struct fleet *fleet, const struct fleet_server *server,
		      int32_t requests, int64_t tokens, int64_t unread);
void fleet_start_server(struct fleet *fleet);
void fleet_step_servers(struct fleet *fleet);
void fleet_step_faults(struct fleet *fleet);
void fleet_server_destroy(gpointer data);

/* fleet_copy.c */
void fleet_copy_drop(struct fleet *fleet, struct fleet_copy *copy);
bool fleet_copy_begin(struct fleet *fleet, struct fleet_copy *copy,
		      struct fleet_server *from,
		      const struct fleet_run_at *run);
bool fleet_copy_stands(const struct fleet *fleet,
		       const struct fleet_copy *copy);

/* fleet_generation.c */
int64_t fleet_gap_us(struct fleet *fleet, double per_s);
int64_t fleet_held_tokens(const struct fleet_generation *generation);
void fleet_wish(struct fleet *fleet, const struct fleet_generation *generation,
		struct endpoint_wish *wish);
void fleet_choose_backup(struct fleet *fleet,
			 struct fleet_generation *generation);
void fleet_place(struct fleet *fleet, struct fleet_generation *generation);
void fleet_arrive(struct fleet *fleet, const struct fleet_kind *kind);
void fleet_lose(struct fleet *fleet, struct fleet_generation *generation);
void fleet_end_generation(struct fleet *fleet,
			  struct fleet_generation *generation);
void fleet_take_token(void *data, struct fleet_run_at *run, int64_t at_us);

/* fleet_change.c */
bool fleet_moves(const struct fleet *fleet);
void fleet_let_old_go(struct fleet *fleet, struct fleet_generation *generation);
void fleet_step_generations(struct fleet *fleet);

G_END_DECLS

#endif
