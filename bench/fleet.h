#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * A day of model engines that leave all the time, in virtual time: batches in
 * steps, prompts read in chunks between tokens, memory that fills and preempts
 * the newest, copies on shared links, notices, and generations placed and moved
 * by the gateway's own decisions. One gateway knows at once what it holds; the
 * engines' side is all of the model.
 */
enum fleet_policy {
	FLEET_STAY,   /* a generation ends where it began, or is lost */
	FLEET_MOVE,   /* copied when its engine is under notice */
	FLEET_BACKUP, /* a copy is kept at another engine from the start */
	FLEET_BOTH,
	FLEET_POLICIES
};

struct fleet_options {
	enum fleet_policy policy;
	uint64_t seed;
	double seconds;
	double load; /* 1: the rates of the users' sheets */
	int32_t engine_count;
	int64_t memory_tokens;
	int32_t slots;
	double notice_every_s; /* an engine leaves so often; 0: none */
	double crash_every_s;  /* and one goes without a word; 0: none */
};

struct fleet_result {
	double worth; /* earned, of what was owed */
	int64_t reports;
	int64_t in_aim;
	int64_t late_first;
	int64_t late_pause;
	int64_t lost;
	int64_t refused;
	int64_t moves;		/* copies asked of an engine under notice */
	int64_t refused_copies; /* for want of room */
	int64_t missing;	/* copies that were asked for and not there */
	int64_t preemptions;
	int64_t read_again_tokens;
	int64_t copied_tokens;
};

void fleet_options_default(struct fleet_options *options);
void fleet_run(const struct fleet_options *options,
	       struct fleet_result *result);
const char *fleet_policy_name(enum fleet_policy policy);

G_END_DECLS

#endif
