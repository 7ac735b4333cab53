#include "tests/soak/soak_evidence.h"

#include <errno.h>
#include <string.h>

#define STEP_JOURNAL "soak.journal"
#define JOURNAL_FIELDS 5

bool soak_kind_is_stream(enum soak_kind kind)
{
	return kind == SOAK_KIND_STREAM || kind == SOAK_KIND_QUERY;
}

bool soak_kind_is_poison(enum soak_kind kind)
{
	return kind == SOAK_KIND_POISON || kind == SOAK_KIND_POISON_PLAIN ||
	       kind == SOAK_KIND_POISON_PART;
}

/* Returns the static name of a kind, as records and logs write it. */
const char *soak_kind_name(enum soak_kind kind)
{
	static const char *const names[SOAK_KINDS] = {
		[SOAK_KIND_IDEMPOTENT] = "idempotent",
		[SOAK_KIND_ONCE] = "once",
		[SOAK_KIND_STREAM] = "stream",
		[SOAK_KIND_QUERY] = "query",
		[SOAK_KIND_PROBE] = "probe",
		[SOAK_KIND_POISON] = "poison",
		[SOAK_KIND_POISON_PLAIN] = "poison_plain",
		[SOAK_KIND_POISON_PART] = "poison_part",
	};

	return names[kind];
}

/*
 * Returns an attempt that begins now, with an empty answer, and the end
 * SOAK_END_NOT_SENT until the caller sets another. Copies the strings; the
 * caller owns the attempt.
 */
struct soak_attempt *soak_attempt_create(enum soak_kind kind, const char *id,
					 const char *path, const char *front)
{
	struct soak_attempt *attempt = g_new0(struct soak_attempt, 1);

	attempt->kind = kind;
	attempt->id = g_strdup(id);
	attempt->path = g_strdup(path);
	attempt->front = g_strdup(front);
	attempt->begun_us = g_get_monotonic_time();
	attempt->answer = soak_answer_create();
	attempt->end = SOAK_END_NOT_SENT;
	attempt->after_event = -1;
	return attempt;
}

/*
 * Returns the id of the last event that the caller has after the attempt, -1 if
 * none. An event is complete with its empty line.
 */
int64_t soak_attempt_last_event(const struct soak_attempt *attempt)
{
	const char *text = attempt->answer->body->str;
	int64_t last = attempt->after_event;
	const char *end;

	if (attempt->answer->status != 200)
		return last;
	for (; (end = strstr(text, "\n\n")); text = end + 2)
		if (g_str_has_prefix(text, "id: "))
			last = g_ascii_strtoll(text + 4, NULL, 10);
	return last;
}

/* Frees an attempt and its answer; NULL is allowed. */
void soak_attempt_destroy(gpointer data)
{
	struct soak_attempt *attempt = data;

	if (!attempt)
		return;
	g_free(attempt->id);
	g_free(attempt->path);
	g_free(attempt->front);
	soak_answer_destroy(attempt->answer);
	g_free(attempt);
}

static void entry_destroy(gpointer data)
{
	struct soak_entry *entry = data;

	g_free(entry->request);
	g_free(entry->engine);
	g_free(entry);
}

static void life_destroy(gpointer data)
{
	struct soak_life *life = data;

	g_free(life->front);
	g_free(life->engine);
	g_free(life->log_path);
	g_free(life);
}

static void leaving_clear(gpointer data)
{
	struct soak_leaving *leaving = data;

	g_free(leaving->engine);
}

/* Returns empty records, with the current offset to the Unix time. */
struct soak_evidence *soak_evidence_create(void)
{
	struct soak_evidence *evidence = g_new0(struct soak_evidence, 1);

	evidence->attempts =
		g_ptr_array_new_with_free_func(soak_attempt_destroy);
	evidence->entries = g_ptr_array_new_with_free_func(entry_destroy);
	evidence->lives = g_ptr_array_new_with_free_func(life_destroy);
	evidence->failures = g_ptr_array_new_with_free_func(g_free);
	evidence->fault_records =
		g_array_new(FALSE, TRUE, sizeof(struct soak_fault_record));
	evidence->versions =
		g_array_new(FALSE, TRUE, sizeof(struct soak_version));
	evidence->evacuations =
		g_array_new(FALSE, TRUE, sizeof(struct soak_evacuation));
	evidence->leavings =
		g_array_new(FALSE, TRUE, sizeof(struct soak_leaving));
	g_array_set_clear_func(evidence->leavings, leaving_clear);
	evidence->unix_offset_us = g_get_real_time() - g_get_monotonic_time();
	return evidence;
}

/* Frees the evidence and all its records; NULL is allowed. */
void soak_evidence_destroy(struct soak_evidence *evidence)
{
	if (!evidence)
		return;
	g_ptr_array_unref(evidence->attempts);
	g_ptr_array_unref(evidence->entries);
	g_ptr_array_unref(evidence->lives);
	g_ptr_array_unref(evidence->failures);
	g_array_unref(evidence->fault_records);
	g_array_unref(evidence->versions);
	g_array_unref(evidence->leavings);
	g_array_unref(evidence->evacuations);
	g_free(evidence);
}

static struct soak_entry *entry_parse(const char *line)
{
	g_auto(GStrv) fields = g_strsplit(line, " ", JOURNAL_FIELDS);
	struct soak_entry *entry;

	if (g_strv_length(fields) != JOURNAL_FIELDS)
		return NULL;
	entry = g_new0(struct soak_entry, 1);
	entry->at_us = g_ascii_strtoll(fields[0], NULL, 10);
	g_strlcpy(entry->event, fields[1], sizeof(entry->event));
	entry->request = g_strdup(fields[2]);
	entry->engine = g_strdup(fields[3]);
	if (strcmp(entry->event, "run") == 0)
		entry->first_event = g_ascii_strtoll(fields[4], NULL, 10);
	else if (strcmp(entry->event, "rest") == 0)
		entry->rest_us = g_ascii_strtoll(fields[4], NULL, 10) *
				 G_TIME_SPAN_MILLISECOND;
	else
		entry->from_copy = fields[4][0] == '1';
	return entry;
}

/*
 * Adds the entries of an engine's journal. A last line without a newline, which
 * an engine leaves when it dies while writing, is ignored. Returns false if the
 * file cannot be read.
 */
bool soak_evidence_read_journal(struct soak_evidence *evidence,
				const char *path, struct error *error)
{
	g_autofree char *text = NULL;
	g_autoptr(GError) failure = NULL;
	g_auto(GStrv) lines = NULL;
	guint count;

	if (!g_file_get_contents(path, &text, NULL, &failure)) {
		error_set(error, ERROR_INTERNAL, STEP_JOURNAL, NULL, "%s",
			  failure->message);
		return false;
	}
	lines = g_strsplit(text, "\n", -1);
	count = g_strv_length(lines);
	for (guint i = 0; i + 1 < count; i++) {
		struct soak_entry *entry = entry_parse(lines[i]);

		if (entry)
			g_ptr_array_add(evidence->entries, entry);
	}
	return true;
}

static int entry_order(gconstpointer a, gconstpointer b)
{
	const struct soak_entry *one = *(struct soak_entry *const *)a;
	const struct soak_entry *other = *(struct soak_entry *const *)b;

	return (one->at_us > other->at_us) - (one->at_us < other->at_us);
}

static int attempt_order(gconstpointer a, gconstpointer b)
{
	const struct soak_attempt *one = *(struct soak_attempt *const *)a;
	const struct soak_attempt *other = *(struct soak_attempt *const *)b;

	return (one->begun_us > other->begun_us) -
	       (one->begun_us < other->begun_us);
}

/*
 * Sorts the entries, which come from many files, and the attempts, which come
 * from many callers, by time.
 */
void soak_evidence_sort(struct soak_evidence *evidence)
{
	g_ptr_array_sort(evidence->entries, entry_order);
	g_ptr_array_sort(evidence->attempts, attempt_order);
}

/* Returns the run of the node that listened on front at at_us, or NULL. */
const struct soak_life *
soak_evidence_life_at(const struct soak_evidence *evidence, const char *front,
		      int64_t at_us)
{
	for (guint i = evidence->lives->len; i-- > 0;) {
		const struct soak_life *life =
			g_ptr_array_index(evidence->lives, i);

		if (life->front && strcmp(life->front, front) == 0 &&
		    life->from_us <= at_us &&
		    (!life->to_us || at_us <= life->to_us))
			return life;
	}
	return NULL;
}
