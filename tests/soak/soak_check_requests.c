#include "tests/soak/soak_check_state.h"

#include <inttypes.h>
#include <string.h>

/* Checks of single requests: how often each ran, and the answer it got. */

#define MAX_ENGINES 3
/* Time for which two engines may both work on one stream, from the second on.
 */
#define MAX_OVERLAP_US (400 * SOAK_MS_US)
#define ENGINE_ERROR_STATUS 500
#define QUERY_RUNS 2 /* max_attempts of its route */

static bool is_event(const struct soak_entry *entry, const char *event)
{
	return strcmp(entry->event, event) == 0;
}

static bool runs_at_most_once(enum soak_kind kind)
{
	return kind != SOAK_KIND_IDEMPOTENT && kind != SOAK_KIND_PROBE &&
	       kind != SOAK_KIND_QUERY;
}

static int32_t count_event(const GPtrArray *entries, const char *event)
{
	int32_t count = 0;

	for (guint i = 0; entries && i < entries->len; i++)
		count += is_event(g_ptr_array_index(entries, i), event);
	return count;
}

static bool is_work_start(const struct soak_entry *entry)
{
	return is_event(entry, "run") || is_event(entry, "go_on");
}

/* Whether the engine's start that began at from_us left until at_us. */
static bool engine_has_left(const struct soak_check *check, const char *engine,
			    int64_t from_us, int64_t at_us)
{
	const GArray *leavings = check->evidence->leavings;

	for (guint i = 0; i < leavings->len; i++) {
		const struct soak_leaving *leaving =
			&g_array_index(leavings, struct soak_leaving, i);

		if (leaving->acked_us <= at_us &&
		    leaving->acked_us >= from_us &&
		    strcmp(leaving->engine, engine) == 0)
			return true;
	}
	return false;
}

/*
 * Whether the engine left, ended or had a fault while it had the request. The
 * stream is then meant to continue at another engine, however often.
 */
static bool engine_is_excused(const struct soak_check *check,
			      const struct soak_entry *begin, int64_t until_us)
{
	const struct soak_life *life =
		soak_check_engine_life(check, begin->engine, begin->at_us);

	return engine_has_left(check, begin->engine, life ? life->from_us : 0,
			       until_us) ||
	       (life && life->to_us && life->to_us <= until_us) ||
	       (life && soak_check_has_fault(check, life->name, begin->at_us,
					     until_us));
}

/* When work on the request next began, or the end of the run if never. */
static int64_t next_begin_us(const struct soak_check *check,
			     const GPtrArray *entries, guint begun)
{
	for (guint i = begun + 1; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);

		if (is_work_start(entry))
			return entry->at_us;
	}
	return check->evidence->ended_us;
}

/*
 * Counts the engines that worked on the request, without those that left, ended
 * or had a fault while they had it.
 */
static int32_t count_unexcused_engines(const struct soak_check *check,
				       const GPtrArray *entries)
{
	g_autoptr(GHashTable) engines =
		g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);

		if (is_work_start(entry) &&
		    !engine_is_excused(check, entry,
				       next_begin_us(check, entries, i)))
			g_hash_table_add(engines, entry->engine);
	}
	return (int32_t)g_hash_table_size(engines);
}

/*
 * Requests that may run once run at most once, each reaches at most three
 * engines, and engines get only requests that callers sent.
 */
void soak_check_runs(struct soak_check *check)
{
	GHashTableIter i;
	gpointer request, list;

	g_hash_table_iter_init(&i, check->entries_of);
	while (g_hash_table_iter_next(&i, &request, &list)) {
		const GPtrArray *entries = list;
		const struct soak_attempt *attempt =
			soak_check_attempt(check, request);
		const struct soak_entry *first = g_ptr_array_index(entries, 0);
		int32_t runs = count_event(entries, "run");
		int32_t engines = count_unexcused_engines(check, entries);

		if (!attempt) {
			soak_check_add_finding(
				check, request, first->at_us,
				"an engine got a request that no "
				"caller sent");
			continue;
		}
		if (runs_at_most_once(attempt->kind) && runs > 1)
			soak_check_add_finding(
				check, request, first->at_us,
				"a request that may run once ran %d "
				"times",
				runs);
		if (attempt->kind == SOAK_KIND_QUERY && runs > QUERY_RUNS)
			soak_check_add_finding(
				check, request, first->at_us,
				"a request that may run twice ran %d times",
				runs);
		if (engines > MAX_ENGINES)
			soak_check_add_finding(check, request, first->at_us,
					       "a request reached %d engines",
					       engines);
	}
}

/* The time for which an engine worked on a request. */
struct span {
	const char *engine;
	int64_t from_us;
	int64_t to_us;
};

static bool is_work_end(const struct soak_entry *entry)
{
	return is_event(entry, "end") || is_event(entry, "left") ||
	       is_event(entry, "stopped");
}

/*
 * When the engine ended the work that it began with that entry: at the first
 * end that its journal has, at the latest when its process ended.
 */
static int64_t work_end_us(const struct soak_check *check,
			   const GPtrArray *entries, guint begun)
{
	const struct soak_entry *begin = g_ptr_array_index(entries, begun);
	const struct soak_life *life =
		soak_check_engine_life(check, begin->engine, begin->at_us);
	int64_t to_us =
		life && life->to_us ? life->to_us : check->evidence->ended_us;

	for (guint i = begun + 1; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);

		if (is_work_end(entry) &&
		    strcmp(entry->engine, begin->engine) == 0)
			return MIN(entry->at_us, to_us);
	}
	return to_us;
}

static GArray *spans_create(const struct soak_check *check,
			    const GPtrArray *entries)
{
	GArray *spans = g_array_new(FALSE, TRUE, sizeof(struct span));

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		struct span span = {.engine = entry->engine,
				    .from_us = entry->at_us};

		if (!is_work_start(entry))
			continue;
		span.to_us = work_end_us(check, entries, i);
		g_array_append_val(spans, span);
	}
	return spans;
}

/*
 * Whether a node may have been unable to reach the engine when another one
 * began: its link was cut or silent, or its process paused. Other faults of an
 * engine, and what it does with a closed connection, excuse nothing.
 */
static bool was_out_of_reach(const struct soak_check *check,
			     const struct span *span, int64_t at_us)
{
	const struct soak_life *life =
		soak_check_engine_life(check, span->engine, span->from_us);
	const GArray *rows = check->evidence->fault_records;
	int64_t from_us = MAX(span->from_us, at_us - SOAK_CONTACT_US);

	for (guint i = 0; life && i < rows->len; i++) {
		const struct soak_fault_record *row =
			&g_array_index(rows, struct soak_fault_record, i);

		if (soak_fault_type_at(row->kind)->is_out_of_reach &&
		    strcmp(row->who, life->name) == 0 &&
		    row->from_us <= at_us + MAX_OVERLAP_US &&
		    (!row->to_us || row->to_us >= from_us))
			return true;
	}
	return false;
}

/*
 * Whether the node at that address had run without a fault, and the store too,
 * for all of contact_ms before that time. A node that drains is no excuse.
 */
static bool is_in_touch(const struct soak_check *check, const char *front,
			int64_t at_us)
{
	const struct soak_life *life =
		soak_evidence_life_at(check->evidence, front, at_us);
	int64_t from_us = at_us - SOAK_CONTACT_US;

	return life && life->from_us < from_us &&
	       !soak_check_has_fault(check, life->name, from_us, at_us) &&
	       !soak_check_has_fault(check, "nodes", from_us, at_us) &&
	       !soak_check_has_fault(check, "store", from_us, at_us);
}

/* The spans are in the order of their beginnings. */
static void check_pair(struct soak_check *check,
		       const struct soak_attempt *attempt,
		       const struct span *one, const struct span *other)
{
	int64_t from_us = other->from_us;
	int64_t to_us = MIN(one->to_us, other->to_us);

	if (strcmp(one->engine, other->engine) == 0 ||
	    to_us - from_us <= MAX_OVERLAP_US ||
	    was_out_of_reach(check, one, from_us) ||
	    !is_in_touch(check, attempt->front, from_us + MAX_OVERLAP_US))
		return;
	soak_check_add_finding(
		check, attempt->id, from_us,
		"%s and %s worked on one stream for %" PRId64 " ms",
		one->engine, other->engine, (to_us - from_us) / SOAK_MS_US);
}

/* Two engines work on one stream no longer than a takeover may last. */
void soak_check_overlaps(struct soak_check *check)
{
	GHashTableIter i;
	gpointer request, list;

	g_hash_table_iter_init(&i, check->entries_of);
	while (g_hash_table_iter_next(&i, &request, &list)) {
		const struct soak_attempt *attempt =
			soak_check_attempt(check, request);
		g_autoptr(GArray) spans = NULL;

		if (!attempt || !soak_kind_is_stream(attempt->kind))
			continue;
		spans = spans_create(check, list);
		for (guint one = 0; one < spans->len; one++) {
			for (guint other = one + 1; other < spans->len; other++)
				check_pair(
					check, attempt,
					&g_array_index(spans, struct span, one),
					&g_array_index(spans, struct span,
						       other));
		}
	}
}

static bool is_not_executed_status(int32_t status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

/*
 * A request answered with a status that means "has not run and never will" has
 * not run. A 503 without an engine's stamp has a Retry-After header, except for
 * a request that crashes engines, which should not be retried.
 */
void soak_check_refusals(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);
		const struct soak_answer *answer = attempt->answer;
		const GPtrArray *entries =
			soak_check_entries(check, attempt->id);

		if (!is_not_executed_status(answer->status))
			continue;
		if (count_event(entries, "run") > 0)
			soak_check_add_finding(
				check, attempt->id, attempt->ended_us,
				"answered %d, which says that it has "
				"not run; it ran",
				answer->status);
		if (!soak_kind_is_poison(attempt->kind) &&
		    answer->status == 503 && !answer->has_engine_stamp &&
		    answer->retry_after_us < 0)
			soak_check_add_finding(
				check, attempt->id, attempt->ended_us,
				"answered 503 without a time to come "
				"back");
	}
}

static bool has_run_at(const GPtrArray *entries, const char *engine,
		       size_t size)
{
	for (guint i = 0; entries && i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);

		if (is_event(entry, "run") && strlen(entry->engine) == size &&
		    strncmp(entry->engine, engine, size) == 0)
			return true;
	}
	return false;
}

/* A plain endpoint's body holds its own id, the request's id and the path. */
static void check_plain_body(struct soak_check *check,
			     const struct soak_attempt *attempt)
{
	const char *body = attempt->answer->body->str;
	size_t engine_size = strcspn(body, " ");
	g_autofree char *rest =
		g_strdup_printf(" %s %s", attempt->id, attempt->path);

	if (strcmp(body + engine_size, rest) != 0 ||
	    !has_run_at(soak_check_entries(check, attempt->id), body,
			engine_size))
		soak_check_add_finding(
			check, attempt->id, attempt->ended_us,
			"a success with another body than its own: %s", body);
}

static bool is_client_error(int32_t status)
{
	return status == 401 || status == 403 || status == 404 || status == 400;
}

static void check_answer(struct soak_check *check,
			 const struct soak_attempt *attempt)
{
	const struct soak_answer *answer = attempt->answer;
	bool is_success = answer->status >= 200 && answer->status < 300;

	if (attempt->end == SOAK_END_MALFORMED)
		soak_check_add_finding(
			check, attempt->id, attempt->ended_us,
			"bytes that are no answer, or behind one");
	if (answer->request_id && strcmp(answer->request_id, attempt->id) != 0)
		soak_check_add_finding(check, attempt->id, attempt->ended_us,
				       "got the answer to %s",
				       answer->request_id);
	if (is_success && !answer->has_engine_stamp)
		soak_check_add_finding(check, attempt->id, attempt->ended_us,
				       "a success without an engine's stamp");
	if (!is_success && answer->has_engine_stamp &&
	    answer->status != ENGINE_ERROR_STATUS)
		soak_check_add_finding(check, attempt->id, attempt->ended_us,
				       "an engine's stamp on status %d",
				       answer->status);
	if (attempt->kind != SOAK_KIND_PROBE && is_client_error(answer->status))
		soak_check_add_finding(
			check, attempt->id, attempt->ended_us,
			"answered %d though all configurations allow "
			"it",
			answer->status);
	if (is_success && attempt->end == SOAK_END_COMPLETE &&
	    !soak_kind_is_stream(attempt->kind) &&
	    !soak_kind_is_poison(attempt->kind))
		check_plain_body(check, attempt);
}

/* A success is the complete answer of an engine to the caller's own request. */
void soak_check_answers(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;

	for (guint i = 0; i < attempts->len; i++)
		check_answer(check, g_ptr_array_index(attempts, i));
}

/* Returns the complete body expected of that request, from that event on. */
static char *expected_stream(const struct soak_check *check, const char *id,
			     int64_t first_event)
{
	GString *text = g_string_new(NULL);

	for (int64_t i = first_event; i < check->schedule->events; i++)
		g_string_append_printf(text,
				       "id: %" PRId64
				       "\ndata: {\"text\":\"%s.%" PRId64
				       "\"}\n\n",
				       i, id, i);
	return g_string_free(text, FALSE);
}

static size_t common_prefix_size(const char *one, const char *other)
{
	size_t size = 0;

	while (one[size] && one[size] == other[size])
		size++;
	return size;
}

/*
 * A stream holds each event once, in order, all of one run, and every event if
 * it ended as complete. That of a query which goes on begins after the last
 * event that its caller had, so that the attempts together have no gap.
 */
void soak_check_streams(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);
		const GString *body = attempt->answer->body;
		g_autofree char *text = NULL;
		size_t common;

		if (!soak_kind_is_stream(attempt->kind) ||
		    attempt->answer->status != 200)
			continue;
		text = expected_stream(check, attempt->id,
				       attempt->after_event + 1);
		common = common_prefix_size(text, body->str);
		if (common < body->len)
			soak_check_add_finding(
				check, attempt->id, attempt->ended_us,
				"events missing, doubled or foreign "
				"after %zu bytes: %.60s",
				common, body->str + common);
		else if (attempt->end == SOAK_END_COMPLETE && text[common])
			soak_check_add_finding(
				check, attempt->id, attempt->ended_us,
				"a stream ended as complete after %zu "
				"of %zu bytes",
				common, strlen(text));
	}
}

/*
 * The first run of a query begins just after the last event that its caller had
 * when the attempt began, a later one not before it. Whether that one skips or
 * repeats what came between, soak_check_streams finds in the answer.
 */
static void check_query(struct soak_check *check,
			const struct soak_attempt *attempt)
{
	const GPtrArray *entries = soak_check_entries(check, attempt->id);
	int64_t first_event = attempt->after_event + 1;
	bool has_run = false;

	for (guint i = 0; entries && i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);

		if (!is_event(entry, "run"))
			continue;
		if (entry->first_event < first_event ||
		    (!has_run && entry->first_event > first_event))
			soak_check_add_finding(check, attempt->id, entry->at_us,
					       "a run began with event %" PRId64
					       " instead of %" PRId64 "%s",
					       entry->first_event, first_event,
					       has_run ? " or a later one"
						       : "");
		first_event = MAX(first_event, entry->first_event);
		has_run = true;
	}
}

/* An endpoint that goes on with a query begins after the events known. */
void soak_check_queries(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (attempt->kind == SOAK_KIND_QUERY)
			check_query(check, attempt);
	}
}
