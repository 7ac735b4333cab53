#include "bench/member_network.h"

#include <math.h>
#include <popt.h>
#include <stdio.h>
#include <time.h>

#define SECOND_US G_USEC_PER_SEC
#define TIMEOUT_US (60 * SECOND_US)

struct figures {
	/* from the start of all nodes until each lists its whole region */
	double join_s;
	/* from a node's stop until one node has declared it dead */
	double detect_s;
	/* from a node's stop until all of its region have declared it dead */
	double spread_s;
	/* from a leaving announcement until all of the region list it */
	double leave_s;
	/* from a new incarnation's start until all of its region list it */
	double replace_s;
	double bytes_per_s; /* sent by a node, idle */
	double messages_per_s;
	double cpu_percent; /* of one core, per node, including the codec */
	double false_deaths;
};

static double process_seconds(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

static uint32_t count_listing(const struct member_network *network,
			      const struct member_network_options *options,
			      uint32_t node, enum member_state state)
{
	uint32_t count = 0;

	for (uint32_t i = node % options->regions; i < options->nodes;
	     i += options->regions) {
		if (i != node && member_network_lists(network, i, node, state))
			count++;
	}
	return count;
}

/*
 * Runs until the wanted number of nodes of its region list the node in this
 * state, but not beyond TIMEOUT_US. Returns the seconds that this took.
 */
static double run_until_listed(struct member_network *network,
			       const struct member_network_options *options,
			       uint32_t node, enum member_state state,
			       uint32_t wanted)
{
	int64_t start_us = member_network_now_us(network);
	int64_t now_us = start_us;

	while (now_us < start_us + TIMEOUT_US &&
	       count_listing(network, options, node, state) < wanted) {
		now_us += 10000;
		member_network_run(network, now_us);
	}
	return (double)(now_us - start_us) / SECOND_US;
}

static double run_until_converged(struct member_network *network)
{
	int64_t start_us = member_network_now_us(network);
	int64_t now_us = start_us;

	while (now_us < start_us + TIMEOUT_US &&
	       !member_network_has_converged(network)) {
		now_us += 50000;
		member_network_run(network, now_us);
	}
	return (double)(now_us - start_us) / SECOND_US;
}

static void measure_idle(struct member_network *network,
			 const struct member_network_options *options,
			 struct figures *figures)
{
	const struct member_network_totals *totals =
		member_network_totals(network);
	int64_t seconds = 20;
	struct member_network_totals before = *totals;
	double start = process_seconds();
	double node_seconds = (double)seconds * options->nodes;

	member_network_run(network, member_network_now_us(network) +
					    seconds * SECOND_US);
	figures->cpu_percent = 100 * (process_seconds() - start) / node_seconds;
	figures->bytes_per_s =
		(double)(totals->bytes - before.bytes) / node_seconds;
	figures->messages_per_s =
		(double)(totals->messages - before.messages) / node_seconds;
}

static void measure_network(const struct member_network_options *options,
			    struct figures *figures)
{
	struct member_network *network = member_network_create(options);
	uint32_t others =
		(options->nodes + options->regions - 1) / options->regions - 1;
	uint32_t victim = options->nodes - options->regions;

	for (uint32_t i = 0; i < options->nodes; i++)
		member_network_start(network, i);
	figures->join_s = run_until_converged(network);
	member_network_run(network,
			   member_network_now_us(network) + 10 * SECOND_US);
	measure_idle(network, options, figures);
	member_network_stop(network, victim);
	figures->detect_s =
		run_until_listed(network, options, victim, MEMBER_DEAD, 1);
	figures->spread_s =
		figures->detect_s +
		run_until_listed(network, options, victim, MEMBER_DEAD, others);
	member_network_start(network, victim);
	figures->replace_s =
		run_until_listed(network, options, victim, MEMBER_LIVE, others);
	member_network_leave(network, victim);
	figures->leave_s = run_until_listed(network, options, victim,
					    MEMBER_LEAVING, others);
	figures->false_deaths =
		(double)member_network_totals(network)->false_deaths;
	member_network_destroy(network);
}

/*
 * Runs networks of 8 and of 48 nodes alternately, with the given loss, and
 * prints how often a running node was declared dead.
 */
static void print_false_deaths(const struct member_network_options *options,
			       int seeds)
{
	const int64_t seconds = 60;
	uint64_t deaths = 0;

	for (int i = 0; i < seeds; i++) {
		struct member_network_options run = *options;
		struct member_network *network;

		run.nodes = i % 2 ? 48 : 8;
		run.seed = options->seed + (uint32_t)i;
		network = member_network_create(&run);
		for (uint32_t node = 0; node < run.nodes; node++)
			member_network_start(network, node);
		member_network_run(network, member_network_now_us(network) +
						    seconds * SECOND_US);
		deaths += member_network_totals(network)->false_deaths;
		member_network_destroy(network);
	}
	printf("%d seeds, 8 and 48 nodes, %" G_GINT64_FORMAT
	       " s each, loss %.2f: %" G_GUINT64_FORMAT " false deaths\n",
	       seeds, seconds, options->loss, deaths);
}

static void print_row(const struct member_network_options *options,
		      const struct figures *figures)
{
	printf("%6u %8u %8.2f %8.2f %8.2f %8.2f %8.2f %9.0f %7.1f %8.4f "
	       "%6.0f\n",
	       options->nodes, options->regions, figures->join_s,
	       figures->detect_s, figures->spread_s, figures->replace_s,
	       figures->leave_s, figures->bytes_per_s, figures->messages_per_s,
	       figures->cpu_percent, figures->false_deaths);
}

/* Computes the mean of each figure over consecutive seeds. */
static void measure_seeds(const struct member_network_options *options,
			  int seeds, struct figures *mean)
{
	double *sum = (double *)mean;

	*mean = (struct figures){0};
	for (int i = 0; i < seeds; i++) {
		struct member_network_options run = *options;
		struct figures figures = {0};
		const double *value = (const double *)&figures;

		run.seed = options->seed + (uint32_t)i;
		measure_network(&run, &figures);
		for (size_t k = 0; k < sizeof(figures) / sizeof(*value); k++)
			sum[k] += value[k] / seeds;
	}
}

/* Fits a line to y over x by least squares; prints its intercept and slope. */
static void print_slope(const char *name, const double *x, const double *y,
			int count)
{
	double sx = 0, sy = 0, sxx = 0, sxy = 0, slope;

	for (int i = 0; i < count; i++) {
		sx += x[i];
		sy += y[i];
		sxx += x[i] * x[i];
		sxy += x[i] * y[i];
	}
	slope = (count * sxy - sx * sy) / (count * sxx - sx * sx);
	printf("%s: %.2f and %.3f more for each one\n", name,
	       (sy - slope * sx) / count, slope);
}

/* Rows with one region come first: the slopes are fitted to them. */
static const struct {
	uint32_t nodes;
	uint32_t regions;
} sizes[] = {{8, 1},  {16, 1}, {24, 1},	 {48, 1},
	     {96, 1}, {96, 2}, {240, 5}, {480, 10}};

#define ROWS ((int)G_N_ELEMENTS(sizes))
#define ONE_REGION_ROWS 5

static void print_table(const struct member_network_options *base, int seeds)
{
	double nodes[ROWS], log_nodes[ROWS], bytes[ROWS], spread[ROWS];

	printf("%6s %8s %8s %8s %8s %8s %8s %9s %7s %8s %6s\n", "nodes",
	       "regions", "join", "detect", "spread", "replace", "leave",
	       "bytes/s", "msg/s", "cpu%", "false");
	for (int i = 0; i < ROWS; i++) {
		struct member_network_options options = *base;
		struct figures figures;

		options.nodes = sizes[i].nodes;
		options.regions = sizes[i].regions;
		measure_seeds(&options, seeds, &figures);
		print_row(&options, &figures);
		nodes[i] = options.nodes;
		log_nodes[i] = log2(options.nodes);
		bytes[i] = figures.bytes_per_s;
		spread[i] = figures.spread_s;
	}
	print_slope("one region: bytes/s over nodes", nodes, bytes,
		    ONE_REGION_ROWS);
	print_slope("one region: spread s over log2 of nodes", log_nodes,
		    spread, ONE_REGION_ROWS);
}

int main(int argc, char **argv)
{
	struct member_network_options options;
	double loss = 0;
	int seed = 1, seeds = 3, heartbeat_ms = 200, soak_only = 0;
	struct poptOption table[] = {
		{"loss", 0, POPT_ARG_DOUBLE, &loss, 0, "chance of loss", "P"},
		{"seed", 0, POPT_ARG_INT, &seed, 0, "first random seed", "N"},
		{"seeds", 0, POPT_ARG_INT, &seeds, 0, "how many", "N"},
		{"heartbeat-ms", 0, POPT_ARG_INT, &heartbeat_ms, 0,
		 "between probes; suspicion is five times that", "MS"},
		{"soak", 0, POPT_ARG_NONE, &soak_only, 0,
		 "only count false deaths", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context =
		poptGetContext(NULL, argc, (const char **)argv, table, 0);

	if (poptGetNextOpt(context) != -1) {
		poptPrintUsage(context, stderr, 0);
		return 2;
	}
	poptFreeContext(context);
	member_network_options_default(&options);
	options.loss = loss;
	options.seed = (uint32_t)seed;
	options.heartbeat_us = heartbeat_ms * 1000;
	options.suspect_us = 5 * options.heartbeat_us;
	printf("heartbeat %d ms, suspicion %d ms, loss %.2f; times in s, mean "
	       "of %d seeds\n",
	       heartbeat_ms, 5 * heartbeat_ms, loss, seeds);
	if (soak_only)
		print_false_deaths(&options, seeds);
	else
		print_table(&options, seeds);
	return 0;
}
