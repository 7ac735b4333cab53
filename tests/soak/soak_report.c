#include "tests/soak/soak_report.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define STEP_REPORT "soak.report"

struct line {
	int64_t unix_us;
	char *text;
};

static void line_clear(gpointer data)
{
	struct line *line = data;

	g_free(line->text);
}

static void add_line(GArray *lines, int64_t unix_us, const char *format, ...)
	G_GNUC_PRINTF(3, 4);

static void add_line(GArray *lines, int64_t unix_us, const char *format, ...)
{
	struct line line = {.unix_us = unix_us};
	va_list arguments;

	va_start(arguments, format);
	line.text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	g_array_append_val(lines, line);
}

/* Returns the Unix time in us of a node's log line; 0: it has no time. */
static int64_t log_line_time(const char *line)
{
	g_autoptr(GDateTime) time = NULL;
	const char *found = strstr(line, "time=");
	g_autofree char *text = NULL;

	if (!found)
		return 0;
	found += strlen("time=");
	text = g_strndup(found, strcspn(found, " "));
	time = g_date_time_new_from_iso8601(text, NULL);
	return time ? g_date_time_to_unix(time) * G_USEC_PER_SEC +
			       g_date_time_get_microsecond(time)
		    : 0;
}

/* A line without a time gets the time of the line before it. */
static void add_log(GArray *lines, const struct soak_life *life,
		    int64_t begun_us)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) log_lines = NULL;
	int64_t at_us = begun_us;

	if (!g_file_get_contents(life->log_path, &text, NULL, NULL))
		return;
	log_lines = g_strsplit(text, "\n", -1);
	for (guint i = 0; log_lines[i]; i++) {
		int64_t time_us = log_line_time(log_lines[i]);

		if (time_us)
			at_us = time_us;
		if (*log_lines[i])
			add_line(lines, at_us, "%s: %s", life->name,
				 log_lines[i]);
	}
}

static void add_attempts(GArray *lines, const struct soak_evidence *evidence)
{
	int64_t offset_us = evidence->unix_offset_us;

	for (guint i = 0; i < evidence->attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(evidence->attempts, i);

		add_line(lines, attempt->begun_us + offset_us,
			 "caller: %s %s begins at %s path %s", attempt->id,
			 soak_kind_name(attempt->kind), attempt->front,
			 attempt->path);
		add_line(lines, attempt->ended_us + offset_us,
			 "caller: %s %s status %d, %zu bytes", attempt->id,
			 soak_end_name(attempt->end), attempt->answer->status,
			 attempt->answer->body->len);
	}
}

static void add_entries(GArray *lines, const struct soak_evidence *evidence)
{
	for (guint i = 0; i < evidence->entries->len; i++) {
		const struct soak_entry *entry =
			g_ptr_array_index(evidence->entries, i);

		add_line(lines, entry->at_us + evidence->unix_offset_us,
			 "engine %s: %s %s%s", entry->engine, entry->event,
			 entry->request,
			 entry->from_copy ? " from a copy" : "");
	}
}

static void add_soak_actions(GArray *lines,
			     const struct soak_evidence *evidence)
{
	int64_t offset_us = evidence->unix_offset_us;

	for (guint i = 0; i < evidence->fault_records->len; i++) {
		const struct soak_fault_record *row = &g_array_index(
			evidence->fault_records, struct soak_fault_record, i);
		const char *name = soak_fault_type_at(row->kind)->name;

		add_line(lines, row->from_us + offset_us,
			 "soak: %s begins at %s", name, row->who);
		if (row->to_us)
			add_line(lines, row->to_us + offset_us,
				 "soak: %s ends at %s", name, row->who);
	}
	for (guint i = 0; i < evidence->versions->len; i++) {
		const struct soak_version *version = &g_array_index(
			evidence->versions, struct soak_version, i);

		add_line(lines, version->acked_us + offset_us,
			 "soak: configuration %d accepted", version->index);
	}
	for (guint i = 0; i < evidence->leavings->len; i++) {
		const struct soak_leaving *leaving = &g_array_index(
			evidence->leavings, struct soak_leaving, i);

		add_line(lines, leaving->acked_us + offset_us,
			 leaving->is_by_answer ? "soak: %s says that it leaves"
					       : "soak: leaving of %s accepted",
			 leaving->engine);
	}
}

static void add_lives(GArray *lines, const struct soak_evidence *evidence)
{
	int64_t offset_us = evidence->unix_offset_us;

	for (guint i = 0; i < evidence->lives->len; i++) {
		const struct soak_life *life =
			g_ptr_array_index(evidence->lives, i);

		add_line(lines, life->from_us + offset_us,
			 "soak: %s started as %s", life->name,
			 life->front ? life->front : life->engine);
		if (life->to_us)
			add_line(lines, life->to_us + offset_us,
				 "soak: %s ended with %d", life->name,
				 life->status);
		add_log(lines, life, life->from_us + offset_us);
	}
}

static int line_compare(gconstpointer a, gconstpointer b)
{
	const struct line *one = a;
	const struct line *other = b;

	return (one->unix_us > other->unix_us) -
	       (one->unix_us < other->unix_us);
}

/*
 * Writes all events and log lines, ordered by time, to path. Returns false and
 * sets error if the file can't be opened.
 */
bool soak_report_write_merged(const struct soak_evidence *evidence,
			      const char *path, struct error *error)
{
	g_autoptr(GArray) lines =
		g_array_new(FALSE, FALSE, sizeof(struct line));
	FILE *file = fopen(path, "w");

	if (!file) {
		error_set(error, ERROR_INTERNAL, STEP_REPORT, NULL,
			  "%s can't be written", path);
		return false;
	}
	g_array_set_clear_func(lines, line_clear);
	add_lives(lines, evidence);
	add_attempts(lines, evidence);
	add_entries(lines, evidence);
	add_soak_actions(lines, evidence);
	g_array_sort(lines, line_compare);
	for (guint i = 0; i < lines->len; i++) {
		const struct line *line = &g_array_index(lines, struct line, i);

		fprintf(file, "%" PRId64 ".%06d %s\n",
			line->unix_us / G_USEC_PER_SEC,
			(int)(line->unix_us % G_USEC_PER_SEC), line->text);
	}
	fclose(file);
	return true;
}

struct tally {
	int32_t sent;
	int32_t served;
	int32_t refused;
	int32_t failed;
};

static struct tally tally_kind(const struct soak_evidence *evidence,
			       enum soak_kind kind)
{
	struct tally tally = {0};

	for (guint i = 0; i < evidence->attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(evidence->attempts, i);
		int32_t status = attempt->answer->status;

		if (attempt->kind != kind)
			continue;
		tally.sent++;
		if (attempt->end == SOAK_END_COMPLETE && status == 200)
			tally.served++;
		else if (status == 503 || status == 429)
			tally.refused++;
		else if (attempt->end != SOAK_END_STOPPED)
			tally.failed++;
	}
	return tally;
}

/* Prints one summary line for the run and one line for each finding. */
void soak_report_print(const struct soak_schedule *schedule,
		       const struct soak_evidence *evidence,
		       const GPtrArray *finds)
{
	printf("seed %u: %u faults in %.1f s, %u processes;", schedule->seed,
	       schedule->faults->len,
	       (double)(evidence->ended_us - evidence->begun_us) /
		       G_USEC_PER_SEC,
	       evidence->lives->len);
	for (int i = 0; i < SOAK_KINDS; i++) {
		struct tally tally = tally_kind(evidence, (enum soak_kind)i);

		if (tally.sent)
			printf(" %s %d/%d served, %d refused, %d failed;",
			       soak_kind_name((enum soak_kind)i), tally.served,
			       tally.sent, tally.refused, tally.failed);
	}
	printf(" %u finds\n", finds->len);
	for (guint i = 0; i < finds->len; i++) {
		const struct soak_finding *find = g_ptr_array_index(finds, i);

		printf("FIND seed %u: %s%s%s at %.3f s\n", schedule->seed,
		       find->symptom, find->request ? ", request " : "",
		       find->request ? find->request : "",
		       (double)(find->at_us - evidence->begun_us) /
			       G_USEC_PER_SEC);
	}
	fflush(stdout);
}
