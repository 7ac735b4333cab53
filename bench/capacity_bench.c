#include "bench/region.h"

#include "ports/peer_message.h"

#include <popt.h>
#include <stdio.h>

#define SECOND_US G_USEC_PER_SEC

/*
 * Measures what control costs each node of one region, at growing sizes and at
 * the target size ("a region of the letter"). The slopes in docs/CAPACITY.md
 * are computed from these results.
 */

struct region_size {
	const char *name;
	int32_t nodes;
	int32_t engines;
	double requests_per_s; /* per node */
};

static const struct region_size sizes[] = {
	{"idle, 8 nodes", 8, 10, 0},
	{"idle, 48 nodes", 48, 1200, 0},
	{"today", 8, 10, 2},
	{"8 nodes", 8, 200, 79},
	{"16 nodes", 16, 400, 79},
	{"32 nodes", 32, 800, 79},
	{"a region of the letter", 48, 1200, 79},
	{"the same, half the requests", 48, 1200, 40},
	{"the same, half the engines", 48, 600, 79},
};

static void print_record_types(const struct region_cost *cost)
{
	printf("    bytes/s by record:");
	for (int i = 0; i < PEER_MESSAGE_TYPE_COUNT; i++) {
		if (cost->bytes_by_type[i] >= 1)
			printf(" %s %.0f",
			       peer_message_type_name(
				       (enum peer_message_type)i),
			       cost->bytes_by_type[i]);
	}
	printf("\n");
}

static void measure_size(const struct region_size *region_size,
			 int64_t measure_s, uint32_t seed)
{
	struct region_options options;
	struct region_cost cost;
	struct region *region;
	int64_t allocated_before;
	int64_t spread_us;
	int64_t allocated;

	region_options_default(&options);
	options.nodes = region_size->nodes;
	options.engines = region_size->engines;
	options.requests_per_s = region_size->requests_per_s;
	options.seed = seed;
	allocated_before = region_allocated_bytes();
	region = region_create(&options);
	region_run(region, 20 * SECOND_US);
	region_start_measure(region);
	region_run(region, measure_s * SECOND_US);
	region_stop_measure(region, &cost);
	allocated = region_allocated_bytes() - allocated_before;
	spread_us = region_propagate_config(region);
	printf("%-28s %6.2f%% %6.2f%% %8.0f %7.1f %6.2f %6.1f %7.1f %7.0f "
	       "%7.1f %8.1f %7.0f\n",
	       region_size->name, 100 * cost.control_cpu, 100 * cost.data_cpu,
	       cost.bytes_per_s, cost.records_per_s, cost.kv_calls_per_s,
	       cost.polls_per_s, cost.calls_per_s, cost.open_calls,
	       cost.grant_us, (double)allocated / region_size->nodes / 1e6,
	       (double)spread_us / 1e3);
	print_record_types(&cost);
	fflush(stdout);
	region_destroy(region);
}

int main(int argc, const char **argv)
{
	int measure_s = 20;
	int seed = 1;
	int only_index = -1;
	struct poptOption table[] = {
		{"seconds", 0, POPT_ARG_INT, &measure_s, 0,
		 "virtual seconds measured", "N"},
		{"seed", 0, POPT_ARG_INT, &seed, 0, "seed", "N"},
		{"size", 0, POPT_ARG_INT, &only_index, 0,
		 "only this line, from 0", "N"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = poptGetContext(NULL, argc, argv, table, 0);

	if (poptGetNextOpt(context) != -1 || poptPeekArg(context)) {
		poptPrintUsage(context, stderr, 0);
		poptFreeContext(context);
		return 2;
	}
	poptFreeContext(context);
	printf("for each node: control and data as share of a core; sent "
	       "bytes/s, records/s; key-value calls/s; polls/s; calls/s; open "
	       "calls; us of a grant; MB; ms until a configuration is in force "
	       "everywhere\n");
	for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
		if (only_index < 0 || only_index == (int)i)
			measure_size(&sizes[i], measure_s, (uint32_t)seed);
	}
	return 0;
}
