#include "bench/scenario.h"

#include <string.h>

const struct scenario scenarios[] = {
	{"load60", "60% of the memory", .load = 0.6},
	{"load80", "80%", .load = 0.8},
	{"load100", "100%", .load = 1.0},
	{"load130", "130%", .load = 1.3},
	{"burst", "70%, bursts of 3.5 times that", .load = 0.7, .burst = 3.5},
	{"shift", "100%, reports three times as long in mid-run, as many fewer",
	 .load = 1.0, .shift = 3, .shift_keeps_load = true},
	{"shift_overload", "70%, reports three times as long in mid-run",
	 .load = 0.7, .shift = 3},
	{"flood", "70%, a large organisation sends six times as much",
	 .load = 0.7, .flood = 6},
	{"crash", "100%, one engine of ten crashes", .load = 1.0,
	 .fault = FAULT_CRASH},
	{"reclaim", "80%, two engines leave with 10 s notice", .load = 0.8,
	 .fault = FAULT_RECLAIM},
	{"stall", "80%, an engine stands still for 20 s", .load = 0.8,
	 .fault = FAULT_STALL},
	{"slow", "80%, an engine takes four times as long", .load = 0.8,
	 .fault = FAULT_SLOW},
	{"late_load", "100%, load reports 5 s late", .load = 1.0,
	 .fault = FAULT_LATE_LOAD},
	{"lying_load", "100%, reports of three engines are wrong", .load = 1.0,
	 .fault = FAULT_WRONG_LOAD},
	{"node_lost", "100%, an entry node dies", .load = 1.0,
	 .fault = FAULT_NODE_LOST},
	{"home_lost", "100%, the home of the engines dies", .load = 1.0,
	 .fault = FAULT_HOME_LOST},
	{"home_paused", "100%, the home stands still for 15 s", .load = 1.0,
	 .fault = FAULT_HOME_PAUSED},
	{"kv_outage", "100%, the key-value service is down", .load = 1.0,
	 .fault = FAULT_KV_OUTAGE},
};

static const char *const policy_names[BENCH_POLICIES] = {
	[BENCH_NAIVE] = "naive",       [BENCH_SHARES] = "shares",
	[BENCH_PREVIOUS] = "previous", [BENCH_PROJECT] = "project",
	[BENCH_ORACLE] = "oracle",
};

/* Returns the number of scenarios. */
size_t scenario_count(void)
{
	return G_N_ELEMENTS(scenarios);
}

/* Returns the scenario of this name, or NULL. */
const struct scenario *scenario_find(const char *name)
{
	for (size_t i = 0; i < scenario_count(); i++)
		if (strcmp(scenarios[i].name, name) == 0)
			return &scenarios[i];
	return NULL;
}

/* Fills in the workload options of a scenario. */
void scenario_fill_workload(const struct scenario *scenario, uint64_t seed,
			    struct workload_options *options)
{
	workload_options_default(options);
	options->load = scenario->load;
	options->seed = seed;
	options->duration_us = SCENARIO_END_US;
	if (scenario->burst > 0)
		options->burst = scenario->burst;
	if (scenario->shift > 0) {
		options->shift_at_us = SCENARIO_MID_US;
		options->shift = scenario->shift;
	}
	if (scenario->shift_keeps_load)
		options->shift_rate = workload_shift_rate(scenario->shift);
	if (scenario->flood > 0) {
		options->flood_at_us = SCENARIO_MID_US;
		options->flood = scenario->flood;
	}
}

/* Returns the name of a policy, as on the command line. */
const char *bench_policy_name(enum bench_policy policy)
{
	return policy_names[policy];
}

/* Returns the placement policy that a policy of the benchmark uses. */
enum placement_policy bench_policy_placement(enum bench_policy policy)
{
	switch (policy) {
	case BENCH_NAIVE:
		return PLACEMENT_NAIVE;
	case BENCH_ORACLE:
		return PLACEMENT_ORACLE;
	case BENCH_PREVIOUS:
		return PLACEMENT_FIXED;
	case BENCH_SHARES:
	case BENCH_PROJECT:
	case BENCH_POLICIES:
		break;
	}
	return PLACEMENT_PEAK;
}
