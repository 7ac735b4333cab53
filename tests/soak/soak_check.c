#include "tests/soak/soak_check.h"
#include "tests/soak/soak_check_state.h"

#include <string.h>

static void (*const checks[])(struct soak_check *check) = {
	soak_check_runs,
	soak_check_overlaps,
	soak_check_refusals,
	soak_check_answers,
	soak_check_streams,
	soak_check_queries,
	soak_check_leaving,
	soak_check_leaving_said,
	soak_check_rest,
	soak_check_evacuations,
	soak_check_limits,
	soak_check_stops,
	soak_check_lost,
	soak_check_kept,
	soak_check_timeouts,
	soak_check_waits,
	soak_check_retry_budget,
	soak_check_poison,
	soak_check_innocents,
	soak_check_resources,
	soak_check_config_in_force,
	soak_check_config_monotonic,
};

static void finding_destroy(gpointer data)
{
	struct soak_finding *finding = data;

	g_free(finding->symptom);
	g_free(finding->request);
	g_free(finding);
}

/* Adds a finding at a time, about one request, or none if it is NULL. */
void soak_check_add_finding(struct soak_check *check, const char *request,
			    int64_t at_us, const char *format, ...)
{
	struct soak_finding *finding = g_new0(struct soak_finding, 1);
	va_list arguments;

	va_start(arguments, format);
	finding->symptom = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	finding->request = g_strdup(request);
	finding->at_us = at_us;
	g_ptr_array_add(check->findings, finding);
}

/*
 * Returns the journal entries of a request, or NULL if it reached no engine.
 * The check owns the array, the evidence owns the entries.
 */
const GPtrArray *soak_check_entries(const struct soak_check *check,
				    const char *request)
{
	return g_hash_table_lookup(check->entries_of, request);
}

/* Returns the attempt of that id, or NULL if no caller sent it. */
const struct soak_attempt *soak_check_attempt(const struct soak_check *check,
					      const char *request)
{
	return g_hash_table_lookup(check->attempt_of, request);
}

static bool is_unplanned_fault(const struct soak_fault_record *row)
{
	return !soak_fault_type_at(row->kind)->is_planned;
}

/* Whether an unplanned fault of that target overlaps the time span. */
bool soak_check_has_fault(const struct soak_check *check, const char *target,
			  int64_t from_us, int64_t to_us)
{
	const GArray *rows = check->evidence->fault_records;

	for (guint i = 0; i < rows->len; i++) {
		const struct soak_fault_record *row =
			&g_array_index(rows, struct soak_fault_record, i);

		if (is_unplanned_fault(row) && strcmp(row->who, target) == 0 &&
		    row->from_us <= to_us &&
		    (!row->to_us || row->to_us >= from_us))
			return true;
	}
	return false;
}

/*
 * Whether the node at that address had run without a fault, and the store too,
 * for all of contact_ms before that time. The time bounds hold only then.
 */
bool soak_check_is_stable(const struct soak_check *check, const char *front,
			  int64_t at_us)
{
	const struct soak_life *life =
		soak_evidence_life_at(check->evidence, front, at_us);
	int64_t from_us = at_us - SOAK_CONTACT_US;

	return life && life->from_us < from_us &&
	       !(life->term_us && life->term_us <= at_us) &&
	       !soak_check_has_fault(check, life->name, from_us, at_us) &&
	       !soak_check_has_fault(check, "nodes", from_us, at_us) &&
	       !soak_check_has_fault(check, "store", from_us, at_us);
}

/*
 * Returns the process life in which the engine of that id ran at that time, or
 * NULL if it did not run.
 */
const struct soak_life *soak_check_engine_life(const struct soak_check *check,
					       const char *engine,
					       int64_t at_us)
{
	const GPtrArray *lives = check->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);

		if (life->engine && strcmp(life->engine, engine) == 0 &&
		    life->from_us <= at_us &&
		    (!life->to_us || life->to_us >= at_us))
			return life;
	}
	return NULL;
}

static void check_index(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;
	const GPtrArray *entries = check->evidence->entries;

	for (guint i = 0; i < attempts->len; i++) {
		struct soak_attempt *attempt = g_ptr_array_index(attempts, i);

		g_hash_table_insert(check->attempt_of, attempt->id, attempt);
	}
	for (guint i = 0; i < entries->len; i++) {
		struct soak_entry *entry = g_ptr_array_index(entries, i);
		GPtrArray *list =
			g_hash_table_lookup(check->entries_of, entry->request);

		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(check->entries_of, entry->request,
					    list);
		}
		g_ptr_array_add(list, entry);
	}
}

static void check_failures(struct soak_check *check)
{
	const GPtrArray *failures = check->evidence->failures;

	for (guint i = 0; i < failures->len; i++)
		soak_check_add_finding(
			check, NULL, check->evidence->ended_us, "%s",
			(const char *)g_ptr_array_index(failures, i));
}

/*
 * Runs all checks on the evidence of one run, which they don't change. Returns
 * the findings (struct soak_finding), which the caller owns.
 */
GPtrArray *soak_check(const struct soak_schedule *schedule,
		      const struct soak_evidence *evidence)
{
	struct soak_check check = {.schedule = schedule, .evidence = evidence};

	check.findings = g_ptr_array_new_with_free_func(finding_destroy);
	check.attempt_of = g_hash_table_new(g_str_hash, g_str_equal);
	check.entries_of =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	check_index(&check);
	check_failures(&check);
	for (size_t i = 0; i < G_N_ELEMENTS(checks); i++)
		checks[i](&check);
	g_hash_table_unref(check.entries_of);
	g_hash_table_unref(check.attempt_of);
	return check.findings;
}
