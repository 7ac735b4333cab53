#ifndef BENCH_FLEET_H
#define BENCH_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Simulates a fleet of engines that leave throughout the run, in virtual time.
 * Engines run batches in steps, read prompts in chunks between tokens, preempt
 * their newest run when memory is full, and copy generations over shared links.
 * The gateway's own code places and moves the generations. There is one
 * gateway, which sees its load without delay; the engines are models.
 */
enum fleet_policy {
	FLEET_STAY,   /* never moved or backed up: lost with its engine */
	FLEET_MOVE,   /* copied when its engine is under notice */
	FLEET_BACKUP, /* copied to a second engine from the start */
	FLEET_BOTH,   /* FLEET_MOVE and FLEET_BACKUP */
	FLEET_POLICIES
};

struct fleet_options {
	enum fleet_policy policy;
	uint64_t seed;
	double seconds;
	double load; /* 1: the arrival rates of fleet_kinds */
	int32_t engine_count;
	int64_t memory_tokens;
	int32_t slots;
	double notice_every_s; /* between notices to engines; 0: none */
	double crash_every_s;  /* between crashes without notice; 0: none */
};

struct fleet_result {
	double worth;	    /* earned, as a fraction of the possible worth */
	int64_t reports;    /* generations of the first kind */
	int64_t in_aim;	    /* reports completed on time */
	int64_t late_first; /* reports whose first event was late */
	int64_t late_pause; /* reports late only because of a pause */
	int64_t lost;
	int64_t refused;
	int64_t moves;		/* copies requested after a notice */
	int64_t refused_copies; /* the target had no capacity */
	int64_t missing;	/* takeovers whose copy did not exist */
	int64_t preemptions;
	int64_t recomputed_tokens;
	int64_t copied_tokens;
};

void fleet_options_default(struct fleet_options *options);
void fleet_run(const struct fleet_options *options,
	       struct fleet_result *result);
const char *fleet_policy_name(enum fleet_policy policy);

G_END_DECLS

#endif
