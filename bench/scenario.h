#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include "bench/measure.h"
#include "bench/workload.h"

#include "core/placement/placement.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Policies that the benchmark compares on each scenario. */
enum bench_policy {
	BENCH_NAIVE,
	BENCH_SHARES,
	BENCH_PREVIOUS,
	BENCH_PROJECT,
	BENCH_ORACLE,
	BENCH_POLICIES
};

enum fault {
	FAULT_NONE,
	FAULT_CRASH,	   /* an engine crashes and restarts a minute later */
	FAULT_RECLAIM,	   /* two engines are reclaimed at short notice */
	FAULT_STALL,	   /* an engine generates no tokens for 20 s */
	FAULT_SLOW,	   /* an engine's steps take four times as long */
	FAULT_LATE_LOAD,   /* load reports come 5 s late */
	FAULT_WRONG_LOAD,  /* load reports are negative, implausible or
			    * those of an empty engine */
	FAULT_NODE_LOST,   /* an entry node crashes */
	FAULT_HOME_LOST,   /* the home of the engines crashes and restarts */
	FAULT_HOME_PAUSED, /* the home is paused for 15 s */
	FAULT_KV_OUTAGE,   /* the key-value service is down for a minute */
	FAULTS
};

/* A workload and the fault that occurs in it. */
struct scenario {
	const char *name;
	const char *text;
	double load;
	double burst;
	double shift; /* factor of report lengths from mid-run; 0: none */
	double flood; /* factor of the first organisation's rate; 0: none */
	enum fault fault;
	bool shift_keeps_load; /* the shift lowers the rate to match */
};

#define SCENARIO_MID_US (150 * G_USEC_PER_SEC)
#define SCENARIO_WARMUP_US (60 * G_USEC_PER_SEC)
#define SCENARIO_END_US (300 * G_USEC_PER_SEC)
#define SCENARIO_DRAIN_US (200 * G_USEC_PER_SEC)

extern const struct scenario scenarios[];
size_t scenario_count(void);
const struct scenario *scenario_find(const char *name);
void scenario_fill_workload(const struct scenario *scenario, uint64_t seed,
			    struct workload_options *options);
const char *bench_policy_name(enum bench_policy policy);

enum placement_policy bench_policy_placement(enum bench_policy policy);

G_END_DECLS

#endif
