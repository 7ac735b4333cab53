#include "tests/soak/soak_check.h"
#include "tests/soak/soak_report.h"
#include "tests/soak/soak_run.h"

#include <glib/gstdio.h>
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_OPTIONS "soak.options"
#define DEFAULT_SECONDS 12
#define MAX_SEEDS 100000
#define STATUS_FINDINGS 1
#define STATUS_USAGE 2
#define STATUS_NOT_RUN 3

struct options {
	char *seeds;
	char *only;
	char *folder;
	char *programs;
	int seconds;
	int nodes;
	int wants_list;
	int wants_plan;
	int keeps_logs;
	uint32_t first_seed;
	uint32_t last_seed;
	bool has_no_faults;
	GArray *kinds; /* enum soak_fault_kind; empty: all */
	struct soak_sizes sizes;
};

static volatile sig_atomic_t interrupted;

static void on_signal(int number)
{
	(void)number;
	interrupted = 1;
}

static bool seeds_parse(struct options *options, struct error *error)
{
	const char *text = options->seeds ? options->seeds : "1";
	char *end;
	guint64 first_seed = g_ascii_strtoull(text, &end, 10);
	guint64 last_seed = first_seed;

	if (end != text && *end == '-') {
		text = end + 1;
		last_seed = g_ascii_strtoull(text, &end, 10);
	}
	if (end == text || *end || first_seed > last_seed ||
	    last_seed > G_MAXUINT32 || last_seed - first_seed >= MAX_SEEDS) {
		error_set(error, ERROR_INVALID, STEP_OPTIONS, NULL,
			  "--seeds %s: expected N or A-B with A <= B, from 0 "
			  "to %u, at most %d seeds",
			  options->seeds, G_MAXUINT32, MAX_SEEDS);
		return false;
	}
	options->first_seed = (uint32_t)first_seed;
	options->last_seed = (uint32_t)last_seed;
	return true;
}

static bool only_parse(struct options *options, struct error *error)
{
	g_auto(GStrv) names = NULL;
	enum soak_fault_kind kind;

	if (!options->only)
		return true;
	if (strcmp(options->only, "none") == 0) {
		options->has_no_faults = true;
		return true;
	}
	names = g_strsplit(options->only, ",", -1);
	for (guint i = 0; names[i]; i++) {
		if (!soak_fault_kind_parse(names[i], &kind)) {
			error_set(error, ERROR_INVALID, STEP_OPTIONS, NULL,
				  "--only %s: expected \"none\" or kinds from "
				  "--list, separated by commas",
				  names[i]);
			return false;
		}
		g_array_append_val(options->kinds, kind);
	}
	return true;
}

static bool programs_check(const struct options *options, struct error *error)
{
	static const char *const names[] = {"siskinlinkd", "fake_store",
					    "fake_backend"};

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		g_autofree char *path =
			g_build_filename(options->programs, names[i], NULL);

		if (g_file_test(path, G_FILE_TEST_IS_EXECUTABLE))
			continue;
		error_set(error, ERROR_INVALID, STEP_OPTIONS, NULL,
			  "--programs %s: no executable %s in it",
			  options->programs, names[i]);
		return false;
	}
	return true;
}

static bool folder_check(const struct options *options, struct error *error)
{
	if (g_mkdir_with_parents(options->folder, 0755) == 0)
		return true;
	error_set(error, ERROR_INVALID, STEP_OPTIONS, NULL,
		  "--folder %s: cannot be created", options->folder);
	return false;
}

static bool options_check(struct options *options, struct error *error)
{
	options->sizes.nodes = options->nodes;
	options->sizes.load_ms = options->seconds * 1000LL;
	return seeds_parse(options, error) && only_parse(options, error) &&
	       soak_sizes_check(&options->sizes, error) &&
	       programs_check(options, error) && folder_check(options, error);
}

static void list_kinds(void)
{
	for (int i = 0; i < SOAK_FAULT_KINDS; i++) {
		const struct soak_fault_type *type =
			soak_fault_type_at((enum soak_fault_kind)i);

		printf("%-18s %s\n", type->name, type->description);
	}
}

static struct soak_schedule *schedule_build(const struct options *options,
					    uint32_t seed)
{
	struct soak_schedule *schedule =
		soak_schedule_create(seed, &options->sizes);

	if (options->has_no_faults)
		soak_schedule_remove_faults(schedule);
	if (options->kinds->len > 0)
		soak_schedule_set_kinds(schedule, options->kinds);
	return schedule;
}

static void print_repeat_command(const struct options *options, uint32_t seed,
				 const char *folder)
{
	printf("repeat with: soak --programs %s --seeds %u --seconds %d",
	       options->programs, seed, options->seconds);
	if (options->only)
		printf(" --only %s", options->only);
	if (options->nodes)
		printf(" --nodes %d", options->nodes);
	printf("\nall logs by time: %s/merged.log\n", folder);
}

static void folder_remove(const char *folder)
{
	g_autoptr(GDir) dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		g_remove(path);
	}
	g_rmdir(folder);
}

/*
 * Checks the evidence of a run and prints the result. Returns true if there are
 * no findings; the logs are then removed unless --keep is given.
 */
static bool check_run(const struct options *options,
		      const struct soak_schedule *schedule,
		      const struct soak_evidence *evidence, const char *folder)
{
	g_autoptr(GPtrArray) findings = soak_check(schedule, evidence);
	g_autofree char *merged = g_build_filename(folder, "merged.log", NULL);
	struct error error = {0};

	soak_report_print(schedule, evidence, findings);
	if (findings->len == 0 && !options->keeps_logs) {
		folder_remove(folder);
		return true;
	}
	if (!soak_report_write_merged(evidence, merged, &error))
		fprintf(stderr, "soak: %s\n", error.detail);
	print_repeat_command(options, schedule->seed, folder);
	fflush(stdout);
	return findings->len == 0;
}

static int run_seed(const struct options *options, uint32_t seed)
{
	struct soak_schedule *schedule = schedule_build(options, seed);
	g_autofree char *plan = soak_schedule_print(schedule);
	g_autofree char *name = g_strdup_printf(
		"%s-%u", options->only ? options->only : "mixed", seed);
	g_autofree char *folder = g_build_filename(options->folder, name, NULL);
	struct soak_fleet_paths paths = {options->programs, folder};
	struct soak_evidence *evidence;
	struct error error = {0};
	int status = STATUS_NOT_RUN;

	if (options->wants_plan)
		fputs(plan, stdout);
	folder_remove(folder);
	g_mkdir_with_parents(folder, 0755);
	evidence = soak_run(schedule, &paths, &interrupted, &error);
	if (interrupted)
		fprintf(stderr, "soak: seed %u: interrupted\n", seed);
	else if (!evidence)
		fprintf(stderr, "soak: seed %u: %s %s: %s\n", seed, error.step,
			error.peer, error.detail);
	else
		status = check_run(options, schedule, evidence, folder)
				 ? 0
				 : STATUS_FINDINGS;
	soak_evidence_destroy(evidence);
	soak_schedule_destroy(schedule);
	return status;
}

static int run_seeds(const struct options *options)
{
	int32_t counts[STATUS_NOT_RUN + 1] = {0};

	for (uint64_t seed = options->first_seed;
	     seed <= options->last_seed && !interrupted; seed++)
		counts[run_seed(options, (uint32_t)seed)]++;
	printf("soak: %d seeds clean, %d with finds, %d not run\n", counts[0],
	       counts[STATUS_FINDINGS], counts[STATUS_NOT_RUN]);
	if (counts[STATUS_FINDINGS])
		return STATUS_FINDINGS;
	return counts[STATUS_NOT_RUN] ? STATUS_NOT_RUN : 0;
}

static bool options_parse(struct options *options, int argc, const char **argv)
{
	struct poptOption table[] = {
		{"seed", 0, POPT_ARG_STRING, &options->seeds, 0,
		 "run this seed", "N"},
		{"seeds", 0, POPT_ARG_STRING, &options->seeds, 0,
		 "run each of these seeds", "A-B"},
		{"only", 0, POPT_ARG_STRING, &options->only, 0,
		 "use only faults of these kinds; none: no faults",
		 "KIND[,KIND]"},
		{"seconds", 0, POPT_ARG_INT, &options->seconds, 0,
		 "duration of the load in each run", "S"},
		{"nodes", 0, POPT_ARG_INT, &options->nodes, 0,
		 "number of nodes (default: 3 to 9, by seed)", "COUNT"},
		{"folder", 0, POPT_ARG_STRING, &options->folder, 0,
		 "folder for logs; those of clean runs are removed", "FOLDER"},
		{"programs", 0, POPT_ARG_STRING, &options->programs, 0,
		 "folder of the programs under test", "FOLDER"},
		{"list", 0, POPT_ARG_NONE, &options->wants_list, 0,
		 "list the kinds of faults and exit", NULL},
		{"show", 0, POPT_ARG_NONE, &options->wants_plan, 0,
		 "print the faults of each run before it starts", NULL},
		{"keep", 0, POPT_ARG_NONE, &options->keeps_logs, 0,
		 "keep the logs of clean runs as well", NULL},
		POPT_AUTOHELP POPT_TABLEEND};
	poptContext context = poptGetContext(NULL, argc, argv, table, 0);
	int rc;

	while ((rc = poptGetNextOpt(context)) > 0)
		continue;
	if (rc < -1)
		fprintf(stderr, "soak: %s: %s\n", poptBadOption(context, 0),
			poptStrerror(rc));
	else if (poptPeekArg(context))
		fprintf(stderr, "soak: %s: unexpected argument\n",
			poptPeekArg(context));
	else
		rc = 0;
	poptFreeContext(context);
	return rc == 0;
}

static int soak(struct options *options)
{
	struct sigaction action = {.sa_handler = on_signal};
	struct error error = {0};

	if (options->wants_list) {
		list_kinds();
		return 0;
	}
	if (!options_check(options, &error)) {
		fprintf(stderr, "soak: %s\n", error.detail);
		return STATUS_USAGE;
	}
	sigaction(SIGINT, &action, NULL);
	sigaction(SIGTERM, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
	return run_seeds(options);
}

int main(int argc, const char **argv)
{
	struct options options = {.seconds = DEFAULT_SECONDS};
	int status = STATUS_USAGE;

	options.kinds = g_array_new(FALSE, FALSE, sizeof(enum soak_fault_kind));
	if (options_parse(&options, argc, argv)) {
		if (!options.programs)
			options.programs = strdup("build/bin");
		if (!options.folder)
			options.folder = strdup("build/soak");
		status = soak(&options);
	}
	g_array_unref(options.kinds);
	free(options.seeds);
	free(options.only);
	free(options.folder);
	free(options.programs);
	return status;
}
