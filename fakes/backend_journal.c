#include "fakes/backend_journal.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define JOURNAL_FILE_MODE 0644

struct backend_journal {
	int fd;
	char *engine;
};

static const char *const event_names[] = {
	[BACKEND_ARRIVAL] = "arrival", [BACKEND_RUN] = "run",
	[BACKEND_CONTINUE] = "go_on",  [BACKEND_END] = "end",
	[BACKEND_DISCONNECT] = "left", [BACKEND_REFUSAL] = "refusal",
	[BACKEND_REST] = "rest",       [BACKEND_STOP] = "stopped",
};

/*
 * Opens the file for appending. The caller destroys the journal; returns NULL
 * after a message on standard error if the file cannot be opened.
 */
struct backend_journal *backend_journal_create(const char *path,
					       const char *engine)
{
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
		      JOURNAL_FILE_MODE);
	struct backend_journal *journal;

	if (fd < 0) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return NULL;
	}
	journal = g_new0(struct backend_journal, 1);
	journal->fd = fd;
	journal->engine = g_strdup(engine);
	return journal;
}

/* Closes the file and frees the journal; NULL is allowed. */
void backend_journal_destroy(struct backend_journal *journal)
{
	if (!journal)
		return;
	close(journal->fd);
	g_free(journal->engine);
	g_free(journal);
}

/* Appends a line in a single write(), so that a kill leaves no partial line. */
static void journal_append(struct backend_journal *journal,
			   enum backend_event event, const char *request,
			   int64_t value)
{
	g_autofree char *line = g_strdup_printf(
		"%" G_GINT64_FORMAT " %s %s %s %" G_GINT64_FORMAT "\n",
		g_get_monotonic_time(), event_names[event], request,
		journal->engine, value);

	if (write(journal->fd, line, strlen(line)) != (ssize_t)strlen(line))
		fprintf(stderr, "cannot write to the journal: %s\n",
			strerror(errno));
}

/* Writes an event; does nothing if the journal is NULL. */
void backend_journal_write(struct backend_journal *journal,
			   enum backend_event event, const char *request,
			   bool from_copy)
{
	if (journal)
		journal_append(journal, event, request, from_copy);
}

/* Writes that a run has started; does nothing if the journal is NULL. */
void backend_journal_write_run(struct backend_journal *journal,
			       const char *request, int64_t first_event)
{
	if (journal)
		journal_append(journal, BACKEND_RUN, request, first_event);
}

/*
 * Writes that the request is turned away and its sender asked for rest. Does
 * nothing if the journal is NULL.
 */
void backend_journal_write_rest(struct backend_journal *journal,
				const char *request, int64_t rest_ms)
{
	if (journal)
		journal_append(journal, BACKEND_REST, request, rest_ms);
}
