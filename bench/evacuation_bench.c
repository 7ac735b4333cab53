#include "bench/fleet.h"

#include <popt.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Compares the policies for generations whose engines leave, in simulations
 * with the same arrivals. Prints the mean over the seeds; --csv writes every
 * run.
 */
struct bench {
	struct fleet_options fleet;
	int seeds;
	char *csv;
	FILE *csv_file;
};

static void write_csv(const struct bench *bench, const char *policy,
		      uint64_t seed, const struct fleet_result *result)
{
	if (!bench->csv_file)
		return;
	fprintf(bench->csv_file,
		"%s,%" G_GUINT64_FORMAT ",%.4f,%d,%d,%d,%d,%d,%d,%d,%d,%d\n",
		policy, seed, result->worth, (int)result->reports,
		(int)result->in_aim, (int)result->late_first,
		(int)result->late_pause, (int)result->lost,
		(int)result->refused, (int)result->moves, (int)result->missing,
		(int)result->preemptions);
}

static void add_result(struct fleet_result *sum,
		       const struct fleet_result *result)
{
	sum->worth += result->worth;
	sum->reports += result->reports;
	sum->in_aim += result->in_aim;
	sum->late_first += result->late_first;
	sum->late_pause += result->late_pause;
	sum->lost += result->lost;
	sum->refused += result->refused;
	sum->moves += result->moves;
	sum->refused_copies += result->refused_copies;
	sum->missing += result->missing;
	sum->preemptions += result->preemptions;
	sum->recomputed_tokens += result->recomputed_tokens;
	sum->copied_tokens += result->copied_tokens;
}

static void run_policy(struct bench *bench, enum fleet_policy policy)
{
	struct fleet_result sum = {0};
	double n = bench->seeds;

	for (int seed = 1; seed <= bench->seeds; seed++) {
		struct fleet_result result;

		bench->fleet.policy = policy;
		bench->fleet.seed = (uint64_t)seed;
		fleet_run(&bench->fleet, &result);
		write_csv(bench, fleet_policy_name(policy), bench->fleet.seed,
			  &result);
		add_result(&sum, &result);
	}
	printf("%-7s %6.3f %8.1f %7.1f %7.1f %6.1f %5.1f %8.1f %6.1f %8.1f "
	       "%8.1f %9.0f %9.0f\n",
	       fleet_policy_name(policy), sum.worth / n,
	       (double)sum.reports / n, (double)sum.in_aim / n,
	       (double)sum.late_first / n, (double)sum.late_pause / n,
	       (double)sum.lost / n, (double)sum.refused / n,
	       (double)sum.moves / n, (double)sum.missing / n,
	       (double)sum.preemptions / n, (double)sum.recomputed_tokens / n,
	       (double)sum.copied_tokens / n);
}

static bool open_csv(struct bench *bench)
{
	if (!bench->csv)
		return true;
	bench->csv_file = fopen(bench->csv, "w");
	if (!bench->csv_file) {
		perror(bench->csv);
		return false;
	}
	fprintf(bench->csv_file, "policy,seed,worth,reports,in_aim,late_first,"
				 "late_pause,lost,refused,moves,missing,"
				 "preemptions\n");
	return true;
}

int main(int argc, const char **argv)
{
	struct bench bench = {.seeds = 10};
	struct poptOption options[] = {
		{"seeds", 0, POPT_ARG_INT, &bench.seeds, 0, "seeds per policy",
		 "N"},
		{"seconds", 0, POPT_ARG_DOUBLE, &bench.fleet.seconds, 0,
		 "duration of the arrivals", "S"},
		{"load", 0, POPT_ARG_DOUBLE, &bench.fleet.load, 0,
		 "factor on the arrival rate", "X"},
		{"notice-every", 0, POPT_ARG_DOUBLE,
		 &bench.fleet.notice_every_s, 0,
		 "time between notices; 0: none", "S"},
		{"crash-every", 0, POPT_ARG_DOUBLE, &bench.fleet.crash_every_s,
		 0, "time between crashes; 0: none", "S"},
		{"csv", 0, POPT_ARG_STRING, &bench.csv, 0,
		 "write every run to FILE", "FILE"},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context;
	int status;

	fleet_options_default(&bench.fleet);
	context = poptGetContext(NULL, argc, argv, options, 0);
	status = poptGetNextOpt(context);
	if (status < -1 || bench.seeds < 1 || !open_csv(&bench)) {
		poptPrintUsage(context, stderr, 0);
		poptFreeContext(context);
		return 2;
	}
	printf("policy   worth  reports  in aim   first  pause  lost  refused "
	       " moves  missing  preempt read again    copied\n");
	for (int policy = FLEET_STAY; policy < FLEET_POLICIES; policy++)
		run_policy(&bench, (enum fleet_policy)policy);
	if (bench.csv_file)
		fclose(bench.csv_file);
	poptFreeContext(context);
	free(bench.csv);
	return 0;
}
