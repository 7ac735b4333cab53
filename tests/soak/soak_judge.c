#include "tests/soak/soak_judge.h"
#include "tests/soak/soak_judge_state.h"

#include <string.h>

static void (*const checks[])(struct soak_judge *judge) = {
	soak_judge_runs,	 soak_judge_overlaps,
	soak_judge_refusals,	 soak_judge_answers,
	soak_judge_streams,	 soak_judge_leaving,
	soak_judge_stops,	 soak_judge_timeouts,
	soak_judge_budget,	 soak_judge_poison,
	soak_judge_resources,	 soak_judge_config_in_force,
	soak_judge_config_older,
};

static void find_destroy(gpointer data)
{
	struct soak_find *find = data;

	g_free(find->symptom);
	g_free(find->request);
	g_free(find);
}

/* A promise broken then, by that request or by none. */
void soak_judge_find(struct soak_judge *judge, const char *request,
		     int64_t at_us, const char *format, ...)
{
	struct soak_find *find = g_new0(struct soak_find, 1);
	va_list arguments;

	va_start(arguments, format);
	find->symptom = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	find->request = g_strdup(request);
	find->at_us = at_us;
	g_ptr_array_add(judge->finds, find);
}

/* What engines wrote of a request; NULL: it reached none. */
const GPtrArray *soak_judge_entries(const struct soak_judge *judge,
				    const char *request)
{
	return g_hash_table_lookup(judge->entries_of, request);
}

/* NULL: no caller sent it. */
const struct soak_attempt *soak_judge_attempt(const struct soak_judge *judge,
					      const char *request)
{
	return g_hash_table_lookup(judge->attempt_of, request);
}

static bool is_unplanned(const struct soak_disruption *row)
{
	return !soak_fault_type_at(row->kind)->is_planned;
}

/* Whether an unplanned fault of that name touched the span. */
bool soak_judge_is_disturbed(const struct soak_judge *judge, const char *who,
			     int64_t from_us, int64_t to_us)
{
	const GArray *rows = judge->evidence->disruptions;

	for (guint i = 0; i < rows->len; i++) {
		const struct soak_disruption *row =
			&g_array_index(rows, struct soak_disruption, i);

		if (is_unplanned(row) && strcmp(row->who, who) == 0 &&
		    row->from_us <= to_us &&
		    (!row->to_us || row->to_us >= from_us))
			return true;
	}
	return false;
}

/*
 * Whether the node there ran undisturbed, with the store undisturbed too, for
 * the whole of contact_ms before that moment. Bounds hold only then.
 */
bool soak_judge_is_in_touch(const struct soak_judge *judge, const char *front,
			    int64_t at_us)
{
	const struct soak_life *life =
		soak_evidence_life_at(judge->evidence, front, at_us);
	int64_t from_us = at_us - SOAK_CONTACT_US;

	return life && life->from_us < from_us &&
	       !(life->term_us && life->term_us <= at_us) &&
	       !soak_judge_is_disturbed(judge, life->name, from_us, at_us) &&
	       !soak_judge_is_disturbed(judge, "nodes", from_us, at_us) &&
	       !soak_judge_is_disturbed(judge, "store", from_us, at_us);
}

/* The life in which an engine of that id ran then; NULL: none. */
const struct soak_life *soak_judge_engine_life(const struct soak_judge *judge,
					       const char *engine,
					       int64_t at_us)
{
	const GPtrArray *lives = judge->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);

		if (life->engine && strcmp(life->engine, engine) == 0 &&
		    life->from_us <= at_us &&
		    (!life->to_us || life->to_us >= at_us))
			return life;
	}
	return NULL;
}

static void judge_index(struct soak_judge *judge)
{
	const GPtrArray *attempts = judge->evidence->attempts;
	const GPtrArray *entries = judge->evidence->entries;

	for (guint i = 0; i < attempts->len; i++) {
		struct soak_attempt *attempt = g_ptr_array_index(attempts, i);

		g_hash_table_insert(judge->attempt_of, attempt->id, attempt);
	}
	for (guint i = 0; i < entries->len; i++) {
		struct soak_entry *entry = g_ptr_array_index(entries, i);
		GPtrArray *list =
			g_hash_table_lookup(judge->entries_of, entry->request);

		if (!list) {
			list = g_ptr_array_new();
			g_hash_table_insert(judge->entries_of, entry->request,
					    list);
		}
		g_ptr_array_add(list, entry);
	}
}

static void judge_failures(struct soak_judge *judge)
{
	const GPtrArray *failures = judge->evidence->failures;

	for (guint i = 0; i < failures->len; i++)
		soak_judge_find(judge, NULL, judge->evidence->ended_us, "%s",
				(const char *)g_ptr_array_index(failures, i));
}

/* All checks; none of them changes the evidence. */
GPtrArray *soak_judge(const struct soak_schedule *schedule,
		      const struct soak_evidence *evidence)
{
	struct soak_judge judge = {.schedule = schedule, .evidence = evidence};

	judge.finds = g_ptr_array_new_with_free_func(find_destroy);
	judge.attempt_of = g_hash_table_new(g_str_hash, g_str_equal);
	judge.entries_of =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				      (GDestroyNotify)g_ptr_array_unref);
	judge_index(&judge);
	judge_failures(&judge);
	for (size_t i = 0; i < G_N_ELEMENTS(checks); i++)
		checks[i](&judge);
	g_hash_table_unref(judge.entries_of);
	g_hash_table_unref(judge.attempt_of);
	return judge.finds;
}
