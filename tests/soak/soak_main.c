#include "tests/soak/soak_check.h"
#include "tests/soak/soak_report.h"
#include "tests/soak/soak_run.h"

#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define STEP_OPTIONS "soak.options"
#define DEFAULT_SECONDS 12
#define MAX_SEEDS 100000
#define STATUS_FINDINGS 1
#define STATUS_USAGE 2
#define STATUS_NOT_RUN 3

/* Memory of the processes of one run, at most; half of the machine's is used.
 */
#define RUN_MEMORY_MB 512

struct options {
	char *seeds;
	char *only;
	char *folder;
	char *programs;
	char *plays; /* a file with the options of a run in each line */
	int seconds;
	int nodes;
	int jobs; /* runs at a time */
	int wants_list;
	int wants_plan;
	int keeps_logs;
	uint32_t first_seed;
	uint32_t last_seed;
	bool has_no_faults;
	GArray *kinds; /* enum soak_fault_kind; empty: all */
	struct soak_sizes sizes;
};

/* One run; in a process of its own if several go on at a time. */
struct play {
	struct options *options;
	uint32_t seed;
	pid_t pid; /* 0: not begun, or ended */
	int status;
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

/* Fewer runs at a time than are wanted, if memory doesn't suffice for them. */
static void jobs_limit(struct options *options)
{
	int64_t memory_mb = (int64_t)sysconf(_SC_PHYS_PAGES) *
			    sysconf(_SC_PAGESIZE) / (1 << 20);
	int most = (int)MAX(memory_mb / 2 / RUN_MEMORY_MB, 1);

	if (options->jobs > most)
		printf("soak: %d runs at a time, not %d: memory of %" PRId64
		       " MB\n",
		       most, options->jobs, memory_mb);
	options->jobs = CLAMP(options->jobs, 1, most);
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

/* Returns the folder of a run's logs; the caller frees it. */
static char *play_folder(const struct play *play)
{
	const struct options *options = play->options;
	g_autofree char *name = NULL;
	g_autofree char *nodes =
		options->nodes ? g_strdup_printf("-%d", options->nodes)
			       : g_strdup("");

	name = g_strdup_printf("%s-%u%s",
			       options->only ? options->only : "mixed",
			       play->seed, nodes);
	return g_build_filename(options->folder, name, NULL);
}

/* Plays the faults of a seed; returns the status of the run. */
static int play_run(const struct play *play)
{
	const struct options *options = play->options;
	struct soak_schedule *schedule = schedule_build(options, play->seed);
	g_autofree char *plan = soak_schedule_print(schedule);
	g_autofree char *folder = play_folder(play);
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
		fprintf(stderr, "soak: seed %u: interrupted\n", play->seed);
	else if (!evidence)
		fprintf(stderr, "soak: seed %u: %s %s: %s\n", play->seed,
			error.step, error.peer, error.detail);
	else
		status = check_run(options, schedule, evidence, folder)
				 ? 0
				 : STATUS_FINDINGS;
	soak_evidence_destroy(evidence);
	soak_schedule_destroy(schedule);
	return status;
}

static char *play_output(const struct play *play)
{
	g_autofree char *folder = play_folder(play);

	return g_strconcat(folder, ".out", NULL);
}

/* Begins a run in a process of its own, whose output goes to a file. */
static void play_start(struct play *play)
{
	g_autofree char *path = play_output(play);
	int fd;

	fflush(stdout);
	play->pid = fork();
	if (play->pid < 0) {
		play->pid = 0;
		play->status = STATUS_NOT_RUN;
	}
	if (play->pid != 0)
		return;
	fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
	if (fd < 0 || dup2(fd, STDOUT_FILENO) < 0 ||
	    dup2(fd, STDERR_FILENO) < 0)
		_exit(STATUS_NOT_RUN);
	play->status = play_run(play);
	fflush(stdout);
	_exit(play->status);
}

/* Prints what a run in a process of its own has written. */
static void play_print(const struct play *play)
{
	g_autofree char *path = play_output(play);
	g_autofree char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL))
		fputs(text, stdout);
	fflush(stdout);
	g_remove(path);
}

/* Waits for one of the runs to end. */
static void plays_reap(GArray *plays)
{
	int code;
	pid_t pid = waitpid(-1, &code, 0);

	if (pid < 0 && errno != EINTR)
		return;
	for (guint i = 0; pid > 0 && i < plays->len; i++) {
		struct play *play = &g_array_index(plays, struct play, i);

		if (play->pid != pid)
			continue;
		play->pid = 0;
		play->status =
			WIFEXITED(code) ? WEXITSTATUS(code) : STATUS_NOT_RUN;
		play_print(play);
	}
}

static int plays_running(const GArray *plays)
{
	int running = 0;

	for (guint i = 0; i < plays->len; i++)
		running += g_array_index(plays, struct play, i).pid != 0;
	return running;
}

/* Runs all, so many at a time; each has a range of loopback addresses. */
static void plays_run(GArray *plays, int jobs)
{
	for (guint i = 0; i < plays->len && !interrupted; i++) {
		struct play *play = &g_array_index(plays, struct play, i);

		if (jobs == 1) {
			play->status = play_run(play);
			continue;
		}
		play_start(play);
		while (plays_running(plays) >= jobs)
			plays_reap(plays);
	}
	while (plays_running(plays) > 0)
		plays_reap(plays);
}

static void plays_add(GArray *plays, struct options *options)
{
	for (uint64_t seed = options->first_seed; seed <= options->last_seed;
	     seed++) {
		const struct play play = {.options = options,
					  .seed = (uint32_t)seed,
					  .status = STATUS_NOT_RUN};

		g_array_append_val(plays, play);
	}
}

static int plays_count(const GArray *plays, int status)
{
	int count = 0;

	for (guint i = 0; i < plays->len; i++)
		count += g_array_index(plays, struct play, i).status == status;
	return count;
}

static int plays_report(const GArray *plays)
{
	int finds = plays_count(plays, STATUS_FINDINGS);
	int clean = plays_count(plays, 0);
	int rest = (int)plays->len - finds - clean;

	printf("soak: %d seeds clean, %d with finds, %d not run\n", clean,
	       finds, rest);
	if (finds)
		return STATUS_FINDINGS;
	return rest ? STATUS_NOT_RUN : 0;
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
		{"jobs", 0, POPT_ARG_INT, &options->jobs, 0,
		 "runs at a time (default: 1)", "COUNT"},
		{"plays", 0, POPT_ARG_STRING, &options->plays, 0,
		 "run what the lines of this file say: --seeds, --only, ...",
		 "FILE"},
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

static void options_free(gpointer data)
{
	struct options *options = data;

	g_array_unref(options->kinds);
	free(options->seeds);
	free(options->only);
	free(options->folder);
	free(options->programs);
	free(options->plays);
	g_free(options);
}

/* Returns options with defaults, or with the places of others if there are. */
static struct options *options_create(const struct options *others)
{
	struct options *options = g_new0(struct options, 1);

	options->seconds = DEFAULT_SECONDS;
	options->jobs = 1;
	options->kinds =
		g_array_new(FALSE, FALSE, sizeof(enum soak_fault_kind));
	if (!others)
		return options;
	options->programs = strdup(others->programs);
	options->folder = strdup(others->folder);
	options->wants_plan = others->wants_plan;
	options->keeps_logs = others->keeps_logs;
	return options;
}

/* Reads a line of a file of plays: options, or "#" and a comment. */
static bool line_parse(struct options *options, const char *line)
{
	g_autofree char *command = g_strconcat("soak ", line, NULL);
	const char **argv;
	int argc;
	bool is_good;

	if (poptParseArgvString(command, &argc, &argv) != 0)
		return false;
	is_good = options_parse(options, argc, argv);
	free(argv);
	return is_good;
}

/* Adds the runs of each line; false if the file or a line is not good. */
static bool plays_read(GArray *plays, GPtrArray *all,
		       const struct options *base)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;
	struct error error = {0};

	if (!g_file_get_contents(base->plays, &text, NULL, NULL)) {
		fprintf(stderr, "soak: --plays %s: cannot be read\n",
			base->plays);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; lines[i]; i++) {
		struct options *options;

		if (!*g_strstrip(lines[i]) || *lines[i] == '#')
			continue;
		options = options_create(base);
		g_ptr_array_add(all, options);
		if (!line_parse(options, lines[i]) ||
		    !options_check(options, &error)) {
			fprintf(stderr, "soak: %s, line %u: %s\n", base->plays,
				i + 1, error.detail);
			return false;
		}
		plays_add(plays, options);
	}
	return true;
}

static int soak(struct options *options, GPtrArray *all)
{
	struct sigaction action = {.sa_handler = on_signal};
	g_autoptr(GArray) plays =
		g_array_new(FALSE, FALSE, sizeof(struct play));
	struct error error = {0};

	if (options->wants_list) {
		list_kinds();
		return 0;
	}
	if (!options_check(options, &error)) {
		fprintf(stderr, "soak: %s\n", error.detail);
		return STATUS_USAGE;
	}
	if (!options->plays)
		plays_add(plays, options);
	else if (!plays_read(plays, all, options))
		return STATUS_USAGE;
	jobs_limit(options);
	sigaction(SIGINT, &action, NULL);
	sigaction(SIGTERM, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
	plays_run(plays, options->jobs);
	return plays_report(plays);
}

int main(int argc, const char **argv)
{
	g_autoptr(GPtrArray) all = g_ptr_array_new_with_free_func(options_free);
	struct options *options = options_create(NULL);

	g_ptr_array_add(all, options);
	if (!options_parse(options, argc, argv))
		return STATUS_USAGE;
	if (!options->programs)
		options->programs = strdup("build/bin");
	if (!options->folder)
		options->folder = strdup("build/soak");
	return soak(options, all);
}
