#include "tests/soak/soak_judge_state.h"

#include <inttypes.h>
#include <string.h>

/* Bounds of time, of number and of size. */

#define DRAIN_US (2000 * SOAK_MS_US) /* drain_ms */
#define GRACE_US (8000 * SOAK_MS_US) /* grace_s */
/*
 * What an engine is still at work on in the last sixth of the grace may be
 * cut, if it was sent within the first seconds.
 */
#define GRACE_USED_US (GRACE_US * 5 / 6)
#define EARLY_SENT_US (3000 * SOAK_MS_US)
#define LOSS_SLACK_US (200 * SOAK_MS_US) /* loss_slack_ms */
/* Requests that are still unanswered half a second past their timeout. */
#define PLAIN_TIMEOUT_US (1500 * SOAK_MS_US)
#define LATE_US (500 * SOAK_MS_US)
#define MOST_LATE 8
/* budget_ratio, budget_window_s, budget_extra */
#define BUDGET_PERCENT 20
#define BUDGET_WINDOW_US (10 * G_TIME_SPAN_SECOND)
#define BUDGET_EXTRA 54
#define MOST_CRASHES 3
/* The larger deployment's memory, rounded down; descriptors of both. */
#define MOST_RESIDENT_BYTES (256LL << 20)
#define MOST_OPEN_FILES 4100
/* A line has 4 KB at most; a request gets a few, a decision about others one */
#define LOG_BYTES_PER_REQUEST (32LL << 10)
#define LOG_BYTES_PER_SECOND (64LL << 10)

static bool begins_work(const struct soak_entry *entry)
{
	return strcmp(entry->event, "run") == 0 ||
	       strcmp(entry->event, "go_on") == 0;
}

/* What was on the way over a harmed link may come late. */
static bool link_was_harmed(const struct soak_judge *judge,
			    const struct soak_entry *entry)
{
	const struct soak_life *life =
		soak_judge_engine_life(judge, entry->engine, entry->at_us);

	return life && soak_judge_is_disturbed(judge, life->name,
					       entry->at_us - SOAK_CONTACT_US,
					       entry->at_us);
}

static void judge_left(struct soak_judge *judge,
		       const struct soak_leaving *leaving)
{
	const GPtrArray *entries = judge->evidence->entries;
	int64_t from_us = leaving->acked_us + DRAIN_US + SOAK_SCHEDULING_US;

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_attempt *attempt;

		if (entry->at_us < from_us || !begins_work(entry) ||
		    strcmp(entry->engine, leaving->engine) != 0)
			continue;
		attempt = soak_judge_attempt(judge, entry->request);
		if (attempt && !link_was_harmed(judge, entry) &&
		    soak_judge_is_in_touch(judge, attempt->front, entry->at_us))
			soak_judge_find(judge, attempt->id, entry->at_us,
					"reached %s %" PRId64
					" ms after the store took its leaving",
					leaving->engine,
					(entry->at_us - leaving->acked_us) /
						SOAK_MS_US);
	}
}

/* Engines that leave get nothing new after the time of the pages. */
void soak_judge_leaving(struct soak_judge *judge)
{
	const GArray *leavings = judge->evidence->leavings;

	for (guint i = 0; i < leavings->len; i++)
		judge_left(judge,
			   &g_array_index(leavings, struct soak_leaving, i));
}

/* Whether an engine that worked on it, or its node, was disturbed meanwhile. */
static bool has_excuse(const struct soak_judge *judge,
		       const struct soak_attempt *attempt,
		       const struct soak_life *life)
{
	const GPtrArray *entries = soak_judge_entries(judge, attempt->id);
	int64_t from_us = attempt->begun_us - SOAK_CONTACT_US;

	if (soak_judge_is_disturbed(judge, life->name, from_us,
				    attempt->ended_us) ||
	    soak_judge_is_disturbed(judge, "nodes", from_us, attempt->ended_us))
		return true;
	for (guint i = 0; entries && i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_life *engine = soak_judge_engine_life(
			judge, entry->engine, entry->at_us);

		if (!engine ||
		    (engine->to_us && engine->to_us <= attempt->ended_us) ||
		    soak_judge_is_disturbed(judge, engine->name, from_us,
					    attempt->ended_us))
			return true;
	}
	return false;
}

static bool is_cut(const struct soak_attempt *attempt)
{
	return attempt->end == SOAK_END_CLOSED ||
	       attempt->end == SOAK_END_RESET;
}

/* One that crossed the close of its connection was not read. */
static bool was_read(const struct soak_judge *judge,
		     const struct soak_attempt *attempt)
{
	return attempt->sent_us && (soak_judge_entries(judge, attempt->id) ||
				    attempt->ended_us - attempt->sent_us >
					    LOSS_SLACK_US + SOAK_SCHEDULING_US);
}

/* Whether the grace was not long enough for it. */
static bool ran_out_of_grace(const struct soak_attempt *attempt,
			     const struct soak_life *life)
{
	return attempt->sent_us <= life->term_us + EARLY_SENT_US &&
	       attempt->ended_us >
		       life->term_us + GRACE_USED_US - SOAK_SCHEDULING_US;
}

static void judge_stop(struct soak_judge *judge, const struct soak_life *life)
{
	const GPtrArray *attempts = judge->evidence->attempts;
	int64_t until_us = life->term_us + GRACE_US + G_TIME_SPAN_SECOND;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (strcmp(attempt->front, life->front) != 0 ||
		    attempt->begun_us < life->from_us ||
		    attempt->ended_us < life->term_us ||
		    attempt->ended_us > until_us || !is_cut(attempt) ||
		    !was_read(judge, attempt) ||
		    ran_out_of_grace(attempt, life) ||
		    has_excuse(judge, attempt, life))
			continue;
		soak_judge_find(judge, attempt->id, attempt->ended_us,
				"cut by %s %" PRId64 " ms after its SIGTERM",
				life->name,
				(attempt->ended_us - life->term_us) /
					SOAK_MS_US);
	}
}

/* A stop cuts nothing that could end within the grace. */
void soak_judge_stops(struct soak_judge *judge)
{
	const GPtrArray *lives = judge->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);

		if (life->front && life->term_us && !life->was_killed)
			judge_stop(judge, life);
	}
}

static bool is_late(const struct soak_judge *judge,
		    const struct soak_attempt *attempt)
{
	return attempt->kind != SOAK_KIND_STREAM &&
	       attempt->kind != SOAK_KIND_POISON && attempt->sent_us &&
	       attempt->ended_us - attempt->sent_us >
		       PLAIN_TIMEOUT_US + LATE_US + SOAK_SCHEDULING_US &&
	       soak_judge_is_in_touch(judge, attempt->front,
				      attempt->begun_us) &&
	       soak_judge_is_in_touch(judge, attempt->front, attempt->ended_us);
}

/* What is unanswered at its route's timeout gets its answer then. */
void soak_judge_timeouts(struct soak_judge *judge)
{
	const GPtrArray *attempts = judge->evidence->attempts;
	const struct soak_attempt *first = NULL;
	int32_t count = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (!is_late(judge, attempt))
			continue;
		first = first ? first : attempt;
		count++;
	}
	if (count >= MOST_LATE)
		soak_judge_find(judge, first->id, first->ended_us,
				"%d requests had no answer half a second past "
				"their route's timeout",
				count);
}

static bool goes_to_engines(enum soak_kind kind)
{
	return kind == SOAK_KIND_STREAM || kind == SOAK_KIND_POISON;
}

static int32_t count_sent(const struct soak_judge *judge, bool to_engines,
			  int64_t from_us, int64_t to_us)
{
	const GPtrArray *attempts = judge->evidence->attempts;
	int32_t count = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		count += attempt->sent_us > from_us &&
			 attempt->sent_us <= to_us &&
			 goes_to_engines(attempt->kind) == to_engines;
	}
	return count;
}

/* Arrivals beyond each request's first, in the order of time. */
static GArray *repeats_of(const struct soak_judge *judge, bool to_engines)
{
	const GPtrArray *entries = judge->evidence->entries;
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_attempt *attempt =
			soak_judge_attempt(judge, entry->request);

		if (!attempt || strcmp(entry->event, "arrival") != 0 ||
		    goes_to_engines(attempt->kind) != to_engines)
			continue;
		if (!g_hash_table_add(seen, entry->request))
			g_array_append_val(times, entry->at_us);
	}
	return times;
}

/* Requests of the window, the one before it or half before, the most of them */
static int32_t budget_base(const struct soak_judge *judge, bool to_engines,
			   int64_t end_us)
{
	int32_t most = 0;

	for (int half = 0; half <= 2; half++) {
		int64_t to_us = end_us - half * BUDGET_WINDOW_US / 2;
		int32_t count = count_sent(judge, to_engines,
					   to_us - BUDGET_WINDOW_US, to_us);

		most = MAX(most, count);
	}
	return most;
}

static void judge_service_budget(struct soak_judge *judge, bool to_engines)
{
	g_autoptr(GArray) times = repeats_of(judge, to_engines);
	guint first = 0;

	for (guint i = 0; i < times->len; i++) {
		int64_t end_us = g_array_index(times, int64_t, i);
		int32_t count;

		while (g_array_index(times, int64_t, first) <=
		       end_us - BUDGET_WINDOW_US)
			first++;
		count = (int32_t)(i - first + 1);
		if (count <= BUDGET_EXTRA ||
		    count <= BUDGET_EXTRA + BUDGET_PERCENT *
						    budget_base(judge,
								to_engines,
								end_us) /
						    100)
			continue;
		soak_judge_find(judge, NULL, end_us,
				"%d repeated sends to %s in a window of 10 s",
				count, to_engines ? "engines" : "endpoints");
		return;
	}
}

/* All nodes together repeat no more than the budget that they share. */
void soak_judge_budget(struct soak_judge *judge)
{
	judge_service_budget(judge, true);
	judge_service_budget(judge, false);
}

/*
 * A request that has crashed three engines reaches no more than three others,
 * from nodes that had time to hear of it.
 */
void soak_judge_poison(struct soak_judge *judge)
{
	const GPtrArray *entries = judge->evidence->entries;
	int64_t third_us = 0;
	int32_t runs = 0;
	int32_t later = 0;

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_attempt *attempt =
			soak_judge_attempt(judge, entry->request);

		if (!attempt || attempt->kind != SOAK_KIND_POISON ||
		    !begins_work(entry))
			continue;
		if (++runs == MOST_CRASHES)
			third_us = entry->at_us;
		if (runs > MOST_CRASHES &&
		    entry->at_us > third_us + SOAK_CONTACT_US &&
		    soak_judge_is_in_touch(judge, attempt->front, entry->at_us))
			later++;
	}
	if (later > MOST_CRASHES)
		soak_judge_find(judge, NULL, third_us,
				"a request that had crashed three engines "
				"reached %d more",
				later);
}

static int32_t count_attempts_at(const struct soak_judge *judge,
				 const struct soak_life *life)
{
	const GPtrArray *attempts = judge->evidence->attempts;
	int32_t count = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		count += strcmp(attempt->front, life->front) == 0 &&
			 attempt->begun_us >= life->from_us &&
			 attempt->begun_us <= life->to_us;
	}
	return count;
}

static void judge_life(struct soak_judge *judge, const struct soak_life *life)
{
	int64_t seconds = (life->to_us - life->from_us) / G_USEC_PER_SEC + 1;
	int64_t most_log_bytes =
		LOG_BYTES_PER_SECOND * seconds +
		LOG_BYTES_PER_REQUEST * count_attempts_at(judge, life);

	if (life->most_resident_bytes > MOST_RESIDENT_BYTES)
		soak_judge_find(judge, NULL, life->to_us,
				"%s used %" PRId64 " MB of memory", life->name,
				life->most_resident_bytes >> 20);
	if (life->most_open_files > MOST_OPEN_FILES)
		soak_judge_find(judge, NULL, life->to_us,
				"%s had %" PRId64 " descriptors open",
				life->name, life->most_open_files);
	if (life->log_bytes > most_log_bytes)
		soak_judge_find(judge, NULL, life->to_us,
				"%s wrote %" PRId64 " bytes of log in %" PRId64
				" s",
				life->name, life->log_bytes, seconds);
}

/* Memory, descriptors and logs of nodes stay bounded. */
void soak_judge_resources(struct soak_judge *judge)
{
	const GPtrArray *lives = judge->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);

		if (life->front)
			judge_life(judge, life);
	}
}
