#include "bench/direct.h"
#include "bench/measure.h"
#include "bench/nodes.h"
#include "bench/scenario.h"
#include "bench/slope.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Compares the placement policies on the same workloads, faults and seeds, in
 * virtual time, and prints the median of each figure over the seeds.
 */
struct bench_run {
	const struct scenario *scenario;
	enum bench_policy policy;
	uint64_t seed;
	double figures[FIGURES];
};

struct bench_options {
	int seeds;
	int seed_from;
	int threads;
	int direct;
	int slope;
	char *policy;
	char *workload;
	char *csv;
};

static const enum figure columns[] = {
	FIGURE_PREEMPTIONS_PER_1000,
	FIGURE_RECOMPUTED_PER_1000,
	FIGURE_STALL_MEAN_MS,
	FIGURE_STALL_P99_MS,
	FIGURE_INTERVAL_P50_MS,
	FIGURE_INTERVAL_P95_MS,
	FIGURE_INTERVAL_P99_MS,
	FIGURE_INTERVAL_P999_MS,
	FIGURE_FIRST_P95_MS,
	FIGURE_IN_TIME_PERCENT,
	FIGURE_GOOD_TOKENS_PER_S,
	FIGURE_REFUSED_PERCENT,
	FIGURE_FAIRNESS,
	FIGURE_CHECK_FIRST_P99_MS,
	FIGURE_CHECK_WAIT_P99_MS,
	FIGURE_PLAIN_WAIT_P99_MS,
	FIGURE_REPORT_WAIT_P99_MS,
	FIGURE_ATTEMPTS,
	FIGURE_DECISION_US,
	FIGURE_REFUSED_DEADLINE,
	FIGURE_REFUSED_QUEUE_FULL,
	FIGURE_REFUSED_NO_ENDPOINT,
	FIGURE_REFUSED_FAILED,
	FIGURE_REFUSED_OTHER,
	FIGURE_BROKEN_PER_1000,
};

static const char *const headings[FIGURES] = {
	[FIGURE_PREEMPTIONS_PER_1000] = "preempt",
	[FIGURE_RECOMPUTED_PER_1000] = "recomp",
	[FIGURE_STALL_MEAN_MS] = "stall",
	[FIGURE_STALL_P99_MS] = "stall99",
	[FIGURE_INTERVAL_P50_MS] = "tbt50",
	[FIGURE_INTERVAL_P95_MS] = "tbt95",
	[FIGURE_INTERVAL_P99_MS] = "tbt99",
	[FIGURE_INTERVAL_P999_MS] = "tbt999",
	[FIGURE_FIRST_P95_MS] = "first95",
	[FIGURE_IN_TIME_PERCENT] = "in_time",
	[FIGURE_GOOD_TOKENS_PER_S] = "goodput",
	[FIGURE_REFUSED_PERCENT] = "refused",
	[FIGURE_FAIRNESS] = "fair",
	[FIGURE_CHECK_FIRST_P99_MS] = "chk_f99",
	[FIGURE_CHECK_WAIT_P99_MS] = "chk_w99",
	[FIGURE_PLAIN_WAIT_P99_MS] = "pln_w99",
	[FIGURE_REPORT_WAIT_P99_MS] = "rep_w99",
	[FIGURE_ATTEMPTS] = "attempt",
	[FIGURE_DECISION_US] = "us/dec",
	[FIGURE_REFUSED_DEADLINE] = "r_dead",
	[FIGURE_REFUSED_QUEUE_FULL] = "r_queue",
	[FIGURE_REFUSED_NO_ENDPOINT] = "r_noend",
	[FIGURE_REFUSED_FAILED] = "r_fail",
	[FIGURE_REFUSED_OTHER] = "r_other",
	[FIGURE_BROKEN_PER_1000] = "broken",
};

static bool list_includes(const char *list, const char *name)
{
	char **parts;
	bool found;

	if (!list)
		return true;
	parts = g_strsplit(list, ",", -1);
	found = g_strv_contains((const char *const *)parts, name);
	g_strfreev(parts);
	return found;
}

static void run_one(gpointer data, gpointer user)
{
	const struct bench_options *options = user;
	struct bench_run *run = data;

	if (!options->direct) {
		nodes_run(run->scenario, run->policy, run->seed, run->figures);
		return;
	}
	direct_run(run->scenario, run->policy, run->seed, run->figures);
}

static GArray *bench_list_runs(const struct bench_options *options)
{
	GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct bench_run));

	for (size_t i = 0; i < scenario_count(); i++) {
		if (!list_includes(options->workload, scenarios[i].name))
			continue;
		for (int policy = 0; policy < BENCH_POLICIES; policy++) {
			if (!list_includes(options->policy,
					   bench_policy_name(policy)))
				continue;
			for (int n = 0; n < options->seeds; n++) {
				struct bench_run run = {
					.scenario = &scenarios[i],
					.policy = policy,
					.seed = (uint64_t)(options->seed_from +
							   n),
				};

				g_array_append_val(runs, run);
			}
		}
	}
	return runs;
}

static void bench_execute(const struct bench_options *options, GArray *runs)
{
	GThreadPool *pool = g_thread_pool_new(run_one, (gpointer)options,
					      options->threads, TRUE, NULL);

	for (guint i = 0; i < runs->len; i++)
		g_thread_pool_push(
			pool, &g_array_index(runs, struct bench_run, i), NULL);
	g_thread_pool_free(pool, FALSE, TRUE);
}

static int compare_double(const void *a, const void *b)
{
	const double *x = a;
	const double *y = b;

	return *x < *y ? -1 : *x > *y;
}

static double median(const struct bench_run *runs, int count,
		     enum figure figure)
{
	double *values = g_new(double, count);
	double result;

	for (int i = 0; i < count; i++)
		values[i] = runs[i].figures[figure];
	qsort(values, (size_t)count, sizeof(double), compare_double);
	result = (values[(count - 1) / 2] + values[count / 2]) / 2;
	g_free(values);
	return result;
}

static void print_heading(const struct scenario *scenario)
{
	printf("\n%s: %s\n%-9s", scenario->name, scenario->text, "policy");
	for (size_t i = 0; i < G_N_ELEMENTS(columns); i++)
		printf(" %8s", headings[columns[i]]);
	if (scenario->fault != FAULT_NONE)
		printf(" %8s %8s", "before", "after");
	if (scenario->flood > 0)
		printf(" %8s", "others");
	printf("\n");
}

static void print_row(const struct bench_run *runs, int count)
{
	printf("%-9s", bench_policy_name(runs->policy));
	for (size_t i = 0; i < G_N_ELEMENTS(columns); i++) {
		double value = median(runs, count, columns[i]);

		printf(value < 100 ? " %8.2f" : " %8.0f", value);
	}
	if (runs->scenario->fault != FAULT_NONE)
		printf(" %8.2f %8.2f",
		       median(runs, count, FIGURE_BEFORE_FAULT_PERCENT),
		       median(runs, count, FIGURE_AFTER_FAULT_PERCENT));
	if (runs->scenario->flood > 0)
		printf(" %8.2f",
		       median(runs, count, FIGURE_OTHERS_IN_TIME_PERCENT));
	printf("\n");
}

static void bench_print(const struct bench_options *options, GArray *runs)
{
	const struct scenario *last = NULL;

	printf("median of %d seeds from %d\n", options->seeds,
	       options->seed_from);
	for (guint i = 0; i < runs->len; i += (guint)options->seeds) {
		const struct bench_run *run =
			&g_array_index(runs, struct bench_run, i);

		if (run->scenario != last)
			print_heading(run->scenario);
		last = run->scenario;
		print_row(run, options->seeds);
	}
}

static int bench_write_csv(const char *name, GArray *runs)
{
	FILE *file = fopen(name, "w");

	if (!file) {
		perror(name);
		return 1;
	}
	fprintf(file, "workload,policy,seed");
	for (int figure = 0; figure < FIGURES; figure++)
		fprintf(file, ",%s", figure_name(figure));
	fprintf(file, "\n");
	for (guint i = 0; i < runs->len; i++) {
		const struct bench_run *run =
			&g_array_index(runs, struct bench_run, i);

		fprintf(file, "%s,%s,%" G_GUINT64_FORMAT, run->scenario->name,
			bench_policy_name(run->policy), run->seed);
		for (int figure = 0; figure < FIGURES; figure++)
			fprintf(file, ",%g", run->figures[figure]);
		fprintf(file, "\n");
	}
	return fclose(file) == 0 ? 0 : 1;
}

static int bench_parse(struct bench_options *options, int argc,
		       const char **argv)
{
	struct poptOption table[] = {
		{"seeds", 0, POPT_ARG_INT, &options->seeds, 0,
		 "seeds per workload and policy", "N"},
		{"seed-from", 0, POPT_ARG_INT, &options->seed_from, 0,
		 "first seed", "N"},
		{"threads", 0, POPT_ARG_INT, &options->threads, 0,
		 "parallel runs", "N"},
		{"direct", 0, POPT_ARG_NONE, &options->direct, 0,
		 "run the placement alone, without nodes", NULL},
		{"slope", 0, POPT_ARG_NONE, &options->slope, 0,
		 "print only the time per decision by number of engines", NULL},
		{"policy", 0, POPT_ARG_STRING, &options->policy, 0,
		 "run only these: naive,shares,previous,project,oracle",
		 "LIST"},
		{"workload", 0, POPT_ARG_STRING, &options->workload, 0,
		 "run only these workloads", "LIST"},
		{"csv", 0, POPT_ARG_STRING, &options->csv, 0,
		 "write every run to a file", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context =
		poptGetContext("policy_bench", argc, argv, table, 0);
	int rc = poptGetNextOpt(context);

	if (rc < -1)
		fprintf(stderr, "%s: %s\n",
			poptBadOption(context, POPT_BADOPTION_NOALIAS),
			poptStrerror(rc));
	poptFreeContext(context);
	return rc < -1 || options->seeds < 1 || options->threads < 1 ? 2 : 0;
}

int main(int argc, const char **argv)
{
	struct bench_options options = {
		.seeds = 10, .seed_from = 1, .threads = 4};
	GArray *runs;
	int rc = bench_parse(&options, argc, argv);

	if (rc != 0)
		return rc;
	if (options.slope) {
		slope_print();
		return 0;
	}
	runs = bench_list_runs(&options);
	bench_execute(&options, runs);
	bench_print(&options, runs);
	if (options.csv)
		rc = bench_write_csv(options.csv, runs);
	g_array_unref(runs);
	free(options.policy);
	free(options.workload);
	free(options.csv);
	return rc;
}
