#include "tests/soak/soak_process.h"

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>

#define STEP_START "soak.start"
#define POLL_US (10 * 1000)

struct soak_process {
	char *folder;
	char *name;
	char *log_path;
	GSubprocess *child;
	int32_t start_count;
};

/* Creates a process without starting it; folder gets one log per start. */
struct soak_process *soak_process_create(const char *folder, const char *name)
{
	struct soak_process *process = g_new0(struct soak_process, 1);

	process->folder = g_strdup(folder);
	process->name = g_strdup(name);
	return process;
}

/* Kills the process if it runs and frees it; NULL is allowed. */
void soak_process_destroy(struct soak_process *process)
{
	if (!process)
		return;
	soak_process_kill(process);
	g_clear_object(&process->child);
	g_free(process->folder);
	g_free(process->name);
	g_free(process->log_path);
	g_free(process);
}

/* Runs in the child, so that a killed soak leaves no processes behind. */
static void on_child_setup(gpointer data)
{
	(void)data;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Starts or restarts it; standard output and error go to a new log. */
bool soak_process_start(struct soak_process *process, const char *const *argv,
			struct error *error)
{
	g_autoptr(GSubprocessLauncher) launcher =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE);
	g_autoptr(GError) failure = NULL;

	g_free(process->log_path);
	process->log_path =
		g_strdup_printf("%s/%s.%d.log", process->folder, process->name,
				process->start_count++);
	g_subprocess_launcher_set_stdout_file_path(launcher, process->log_path);
	g_subprocess_launcher_set_flags(launcher,
					G_SUBPROCESS_FLAGS_STDERR_MERGE);
	g_subprocess_launcher_set_child_setup(launcher, on_child_setup, NULL,
					      NULL);
	g_clear_object(&process->child);
	process->child = g_subprocess_launcher_spawnv(launcher, argv, &failure);
	if (process->child)
		return true;
	error_set(error, ERROR_INTERNAL, STEP_START, process->name, "%s",
		  failure->message);
	return false;
}

/*
 * Waits until a line of the current log begins with start. Returns false and
 * sets error if the process ends or the timeout expires first.
 */
bool soak_process_await_line(struct soak_process *process, const char *start,
			     int64_t timeout_us, struct error *error)
{
	int64_t until_us = g_get_monotonic_time() + timeout_us;

	while (g_get_monotonic_time() < until_us &&
	       soak_process_is_running(process)) {
		g_autofree char *text = NULL;
		const char *found = NULL;

		if (g_file_get_contents(process->log_path, &text, NULL, NULL))
			found = strstr(text, start);
		if (found && (found == text || found[-1] == '\n'))
			return true;
		g_usleep(POLL_US);
	}
	error_set(error, ERROR_TIMEOUT, STEP_START, process->name,
		  "no line \"%s\" in %s", start, process->log_path);
	return false;
}

/* Returns false before the first start and once the process has ended. */
bool soak_process_is_running(const struct soak_process *process)
{
	return process->child && g_subprocess_get_identifier(process->child);
}

/* Sends a signal, unless the process does not run. */
void soak_process_signal(struct soak_process *process, int number)
{
	if (soak_process_is_running(process))
		g_subprocess_send_signal(process->child, number);
}

/* Kills the process and waits until it has ended. */
void soak_process_kill(struct soak_process *process)
{
	soak_process_signal(process, SIGKILL);
	if (process->child)
		g_subprocess_wait(process->child, NULL, NULL);
}

/*
 * Returns the exit status, or the negated number of the signal that ended the
 * process, which must have ended.
 */
int soak_process_status(const struct soak_process *process)
{
	if (g_subprocess_get_if_exited(process->child))
		return g_subprocess_get_exit_status(process->child);
	return -g_subprocess_get_term_sig(process->child);
}

/* Returns the process id; 0 if it does not run. */
pid_t soak_process_id(const struct soak_process *process)
{
	const char *id = process->child
				 ? g_subprocess_get_identifier(process->child)
				 : NULL;

	return id ? (pid_t)g_ascii_strtoll(id, NULL, 10) : 0;
}

/* Returns the log path of the last start, which the process owns. */
const char *soak_process_log_path(const struct soak_process *process)
{
	return process->log_path;
}

/* Returns the resident memory in bytes; 0 if it does not run. */
int64_t soak_process_resident_bytes(const struct soak_process *process)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d/status", soak_process_id(process));
	g_autofree char *text = NULL;
	const char *found;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return 0;
	found = strstr(text, "VmRSS:");
	return found ? g_ascii_strtoll(found + strlen("VmRSS:"), NULL, 10) *
			       1024
		     : 0;
}

/* Returns the number of open file descriptors; 0 if it does not run. */
int64_t soak_process_open_files(const struct soak_process *process)
{
	g_autofree char *path =
		g_strdup_printf("/proc/%d/fd", soak_process_id(process));
	g_autoptr(GDir) folder = g_dir_open(path, 0, NULL);
	int64_t count = 0;

	while (folder && g_dir_read_name(folder))
		count++;
	return count;
}

/* Returns the current size of the log of the last start. */
int64_t soak_process_log_bytes(const struct soak_process *process)
{
	GStatBuf status;

	if (!process->log_path || g_stat(process->log_path, &status) != 0)
		return 0;
	return status.st_size;
}
