#include "tests/soak/soak_check_state.h"
#include "tests/soak/soak_platform.h"

#include <inttypes.h>
#include <string.h>

/* Checks of bounds on times, counts and sizes. */

#define DRAIN_US (2000 * SOAK_MS_US)	/* drain_ms */
#define EVACUATE_US (5000 * SOAK_MS_US) /* evacuate_ms */
#define GRACE_US (8000 * SOAK_MS_US)	/* grace_s */
/*
 * A request sent at most EARLY_SENT_US after SIGTERM may be aborted if it is
 * still unfinished in the last sixth of the grace period.
 */
#define GRACE_USED_US (GRACE_US * 5 / 6)
#define EARLY_SENT_US (3000 * SOAK_MS_US)
#define LOSS_SLACK_US (200 * SOAK_MS_US) /* loss_slack_ms */
/* A request without an answer LATE_US after its timeout counts as late. */
#define PLAIN_TIMEOUT_US (1500 * SOAK_MS_US)
#define LATE_US (500 * SOAK_MS_US)
#define LATE_REQUESTS_LIMIT 8
/* The documented retry budget: budget_ratio, budget_window_s, budget_extra. */
#define BUDGET_PERCENT 20
#define BUDGET_WINDOW_US (10 * G_TIME_SPAN_SECOND)
#define BUDGET_EXTRA 54
/* Runs of what ends endpoints, from nodes that had time to learn of it. */
#define MAX_LATER_RUNS 3
/* Fewer streams say nothing of how many begin. */
#define MIN_INNOCENTS 20
/*
 * Limits of a node: its memory in the larger deployment, rounded down, and its
 * open descriptors in both deployments.
 */
#define MAX_RESIDENT_BYTES (256LL << 20)
#define MAX_OPEN_FILES 4100
/*
 * A log line has at most 4 KB. A request logs a few lines, a decision about
 * other processes logs one.
 */
#define LOG_BYTES_PER_REQUEST (32LL << 10)
#define LOG_BYTES_PER_SECOND (64LL << 10)

static bool is_work_start(const struct soak_entry *entry)
{
	return strcmp(entry->event, "run") == 0 ||
	       strcmp(entry->event, "go_on") == 0;
}

/* Data in flight on a link with a fault may arrive late. */
static bool link_had_fault(const struct soak_check *check,
			   const struct soak_entry *entry)
{
	const struct soak_life *life =
		soak_check_engine_life(check, entry->engine, entry->at_us);

	return life && soak_check_has_fault(check, life->name,
					    entry->at_us - SOAK_CONTACT_US,
					    entry->at_us);
}

static void check_engine_leaving(struct soak_check *check,
				 const struct soak_leaving *leaving)
{
	const GPtrArray *entries = check->evidence->entries;
	int64_t from_us =
		leaving->acked_us + DRAIN_US + SOAK_SCHEDULING_DELAY_US;

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_attempt *attempt;

		if (entry->at_us < from_us || !is_work_start(entry) ||
		    strcmp(entry->engine, leaving->engine) != 0)
			continue;
		attempt = soak_check_attempt(check, entry->request);
		if (attempt && !link_had_fault(check, entry) &&
		    soak_check_is_stable(check, attempt->front, entry->at_us))
			soak_check_add_finding(
				check, attempt->id, entry->at_us,
				"reached %s %" PRId64
				" ms after the store took its leaving",
				leaving->engine,
				(entry->at_us - leaving->acked_us) /
					SOAK_MS_US);
	}
}

/* Engines that leave get no new work after drain_ms. */
void soak_check_leaving(struct soak_check *check)
{
	const GArray *leavings = check->evidence->leavings;

	for (guint i = 0; i < leavings->len; i++) {
		const struct soak_leaving *leaving =
			&g_array_index(leavings, struct soak_leaving, i);

		if (!leaving->is_by_answer)
			check_engine_leaving(check, leaving);
	}
}

static void check_evacuation(struct soak_check *check,
			     const struct soak_evacuation *evacuation)
{
	const GPtrArray *entries = check->evidence->entries;
	int64_t from_us = evacuation->acked_us + EVACUATE_US;

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_life *life = soak_check_engine_life(
			check, entry->engine, entry->at_us);
		const struct soak_attempt *attempt;

		if (entry->at_us < from_us || !is_work_start(entry) || !life ||
		    !life->is_evacuated ||
		    (evacuation->lifted_us &&
		     entry->at_us > evacuation->lifted_us))
			continue;
		attempt = soak_check_attempt(check, entry->request);
		if (attempt && !link_had_fault(check, entry) &&
		    soak_check_is_stable(check, attempt->front, entry->at_us))
			soak_check_add_finding(
				check, attempt->id, entry->at_us,
				"reached %s in an evacuated domain",
				life->name);
	}
}

/* Engines of an evacuated domain get no new work. */
void soak_check_evacuations(struct soak_check *check)
{
	const GArray *rows = check->evidence->evacuations;

	for (guint i = 0; i < rows->len; i++)
		check_evacuation(
			check, &g_array_index(rows, struct soak_evacuation, i));
}

/* The soak notices the end of a process some time after its callers do. */
static bool ended_by(const struct soak_life *life, int64_t at_us)
{
	return life->to_us && life->to_us <= at_us + SOAK_SCHEDULING_DELAY_US;
}

/*
 * Whether the request's node had a fault in the meantime, or an engine that
 * worked on the request had a fault or ended.
 */
static bool request_is_excused(const struct soak_check *check,
			       const struct soak_attempt *attempt,
			       const struct soak_life *life)
{
	const GPtrArray *entries = soak_check_entries(check, attempt->id);
	int64_t from_us = attempt->begun_us - SOAK_CONTACT_US;

	if (soak_check_has_fault(check, life->name, from_us,
				 attempt->ended_us) ||
	    soak_check_has_fault(check, "nodes", from_us, attempt->ended_us))
		return true;
	for (guint i = 0; entries && i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_life *engine = soak_check_engine_life(
			check, entry->engine, entry->at_us);

		if (!engine || ended_by(engine, attempt->ended_us) ||
		    soak_check_has_fault(check, engine->name, from_us,
					 attempt->ended_us))
			return true;
	}
	return false;
}

static bool is_aborted(const struct soak_attempt *attempt)
{
	return attempt->end == SOAK_END_CLOSED ||
	       attempt->end == SOAK_END_RESET;
}

/* A request that arrives after the node closed the connection is not read. */
static bool was_read(const struct soak_check *check,
		     const struct soak_attempt *attempt)
{
	return attempt->sent_us &&
	       (soak_check_entries(check, attempt->id) ||
		attempt->ended_us - attempt->sent_us >
			LOSS_SLACK_US + SOAK_SCHEDULING_DELAY_US);
}

/* Whether the request could not end within the grace period. */
static bool ran_out_of_grace(const struct soak_attempt *attempt,
			     const struct soak_life *life)
{
	return attempt->sent_us <= life->term_us + EARLY_SENT_US &&
	       attempt->ended_us >
		       life->term_us + GRACE_USED_US - SOAK_SCHEDULING_DELAY_US;
}

static void check_stop(struct soak_check *check, const struct soak_life *life)
{
	const GPtrArray *attempts = check->evidence->attempts;
	int64_t until_us = life->term_us + GRACE_US + G_TIME_SPAN_SECOND;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (strcmp(attempt->front, life->front) != 0 ||
		    attempt->begun_us < life->from_us ||
		    (life->to_us && attempt->begun_us > life->to_us) ||
		    attempt->ended_us < life->term_us ||
		    attempt->ended_us > until_us || !is_aborted(attempt) ||
		    !was_read(check, attempt) ||
		    ran_out_of_grace(attempt, life) ||
		    request_is_excused(check, attempt, life))
			continue;
		soak_check_add_finding(
			check, attempt->id, attempt->ended_us,
			"cut by %s %" PRId64 " ms after its SIGTERM",
			life->name,
			(attempt->ended_us - life->term_us) / SOAK_MS_US);
	}
}

/*
 * A stop aborts no request that could end within the grace period. One that
 * begins after the process has ended reaches nobody.
 */
void soak_check_stops(struct soak_check *check)
{
	const GPtrArray *lives = check->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);

		if (life->front && life->term_us && !life->was_killed)
			check_stop(check, life);
	}
}

static bool is_late(const struct soak_check *check,
		    const struct soak_attempt *attempt)
{
	return !soak_kind_is_stream(attempt->kind) &&
	       attempt->kind != SOAK_KIND_POISON &&
	       attempt->kind != SOAK_KIND_POISON_PART && attempt->sent_us &&
	       attempt->ended_us - attempt->sent_us >
		       PLAIN_TIMEOUT_US + LATE_US + SOAK_SCHEDULING_DELAY_US &&
	       soak_check_is_stable(check, attempt->front, attempt->begun_us) &&
	       soak_check_is_stable(check, attempt->front, attempt->ended_us);
}

/* A request that exceeds its route's timeout gets an error answer then. */
void soak_check_timeouts(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;
	const struct soak_attempt *first = NULL;
	int32_t count = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (!is_late(check, attempt))
			continue;
		first = first ? first : attempt;
		count++;
	}
	if (count >= LATE_REQUESTS_LIMIT)
		soak_check_add_finding(
			check, first->id, first->ended_us,
			"%d requests had no answer half a second past "
			"their route's timeout",
			count);
}

/* Whether a generation that began nowhere had to wait past its latest start. */
static bool waited_too_long(const struct soak_check *check,
			    const struct soak_attempt *attempt)
{
	const GPtrArray *entries = soak_check_entries(check, attempt->id);

	return soak_kind_is_stream(attempt->kind) && attempt->sent_us &&
	       (!entries || entries->len == 0) && attempt->answer->status &&
	       attempt->ended_us - attempt->sent_us >
		       SOAK_REPORT_DUE_MS * SOAK_MS_US + LATE_US +
			       SOAK_SCHEDULING_DELAY_US &&
	       soak_check_is_stable(check, attempt->front, attempt->begun_us) &&
	       soak_check_is_stable(check, attempt->front, attempt->ended_us);
}

/* A generation that finds no engine is refused before its first event is due.
 */
void soak_check_waits(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (waited_too_long(check, attempt))
			soak_check_add_finding(
				check, attempt->id, attempt->ended_us,
				"refused after %" PRId64 " ms",
				(attempt->ended_us - attempt->sent_us) /
					SOAK_MS_US);
	}
}

static bool goes_to_engines(enum soak_kind kind)
{
	return soak_kind_is_stream(kind) || kind == SOAK_KIND_POISON ||
	       kind == SOAK_KIND_POISON_PART;
}

static int32_t count_sent(const struct soak_check *check, bool to_engines,
			  int64_t from_us, int64_t to_us)
{
	const GPtrArray *attempts = check->evidence->attempts;
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

/* Returns the times of arrivals after each request's first, in order. */
static GArray *repeats_list(const struct soak_check *check, bool to_engines)
{
	const GPtrArray *entries = check->evidence->entries;
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *times = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_attempt *attempt =
			soak_check_attempt(check, entry->request);

		if (!attempt || strcmp(entry->event, "arrival") != 0 ||
		    goes_to_engines(attempt->kind) != to_engines)
			continue;
		if (!g_hash_table_add(seen, entry->request))
			g_array_append_val(times, entry->at_us);
	}
	return times;
}

/*
 * Returns the highest number of requests in three windows: the one that ends at
 * end_us, and those that end half a window and a whole window earlier.
 */
static int32_t budget_base(const struct soak_check *check, bool to_engines,
			   int64_t end_us)
{
	int32_t max = 0;

	for (int half = 0; half <= 2; half++) {
		int64_t to_us = end_us - half * BUDGET_WINDOW_US / 2;
		int32_t count = count_sent(check, to_engines,
					   to_us - BUDGET_WINDOW_US, to_us);

		max = MAX(max, count);
	}
	return max;
}

static void check_service_budget(struct soak_check *check, bool to_engines)
{
	g_autoptr(GArray) times = repeats_list(check, to_engines);
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
						    budget_base(check,
								to_engines,
								end_us) /
						    100)
			continue;
		soak_check_add_finding(
			check, NULL, end_us,
			"%d repeated sends to %s in a window of 10 s", count,
			to_engines ? "engines" : "endpoints");
		return;
	}
}

/* All nodes together repeat no more requests than the retry budget allows. */
void soak_check_retry_budget(struct soak_check *check)
{
	check_service_budget(check, true);
	check_service_budget(check, false);
}

/* The start of the run with that number, of requests of a kind; 0: none. */
static int64_t find_run_us(const struct soak_check *check, enum soak_kind kind,
			   int32_t number)
{
	const GPtrArray *entries = check->evidence->entries;
	int32_t runs = 0;

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_attempt *attempt =
			soak_check_attempt(check, entry->request);

		if (attempt && attempt->kind == kind && is_work_start(entry) &&
		    ++runs == number)
			return entry->at_us;
	}
	return 0;
}

/* Runs of a kind that were sent later than contact_ms after from_us. */
static int32_t count_later_runs(const struct soak_check *check,
				enum soak_kind kind, int64_t from_us)
{
	const GPtrArray *entries = check->evidence->entries;
	int32_t later = 0;

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_attempt *attempt =
			soak_check_attempt(check, entry->request);

		later += attempt && attempt->kind == kind &&
			 is_work_start(entry) &&
			 entry->at_us > from_us + SOAK_CONTACT_US &&
			 soak_check_is_stable(check, attempt->front,
					      entry->at_us);
	}
	return later;
}

static void check_poison_kind(struct soak_check *check, enum soak_kind kind,
			      int32_t ends)
{
	int64_t last_us = find_run_us(check, kind, ends);
	int32_t later = 0;

	if (last_us)
		later = count_later_runs(check, kind, last_us);
	if (later > MAX_LATER_RUNS)
		soak_check_add_finding(
			check, NULL, last_us,
			"%s that had ended %d endpoints reached %d more",
			soak_kind_name(kind), ends, later);
}

/*
 * A request that has ended three endpoints, and a prompt part that has ended
 * five, reach at most three others from nodes that had contact_ms to learn of
 * the ends, also where endpoints start again at once.
 */
void soak_check_poison(struct soak_check *check)
{
	check_poison_kind(check, SOAK_KIND_POISON, 3);
	check_poison_kind(check, SOAK_KIND_POISON_PLAIN, 3);
	check_poison_kind(check, SOAK_KIND_POISON_PART, 5);
}

/* Streams sent to stable nodes within a time, and those that began. */
struct begun_share {
	int32_t sent;
	int32_t begun;
};

static struct begun_share count_begun(const struct soak_check *check,
				      int64_t from_us, int64_t to_us)
{
	const GPtrArray *attempts = check->evidence->attempts;
	struct begun_share share = {0, 0};

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (attempt->kind != SOAK_KIND_STREAM ||
		    attempt->begun_us < from_us || attempt->begun_us > to_us ||
		    !soak_check_is_stable(check, attempt->front,
					  attempt->begun_us))
			continue;
		share.sent++;
		share.begun += attempt->answer->status == 200;
	}
	return share;
}

/* When the first or the last attempt of a kind began; 0: none did. */
static int64_t find_attempt_us(const struct soak_check *check,
			       enum soak_kind kind, bool is_first)
{
	const GPtrArray *attempts = check->evidence->attempts;
	int64_t found_us = 0;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (attempt->kind == kind && !(is_first && found_us))
			found_us = attempt->begun_us;
	}
	return found_us;
}

/*
 * While requests with a part that ends engines still come, streams that share
 * their first part begin at least half as often as before.
 */
void soak_check_innocents(struct soak_check *check)
{
	const enum soak_kind kind = SOAK_KIND_POISON_PART;
	int64_t fifth_us = find_run_us(check, kind, 5);
	struct begun_share before, later;

	if (!fifth_us)
		return;
	before = count_begun(check, 0, find_attempt_us(check, kind, true));
	later = count_begun(check, fifth_us + 2 * SOAK_CONTACT_US,
			    find_attempt_us(check, kind, false));
	if (before.sent < MIN_INNOCENTS || later.sent < MIN_INNOCENTS ||
	    2 * later.begun * before.sent >= before.begun * later.sent)
		return;
	soak_check_add_finding(check, NULL, fifth_us,
			       "%d of %d streams began beside a part that ends "
			       "engines, %d of %d before",
			       later.begun, later.sent, before.begun,
			       before.sent);
}

static int32_t count_attempts_at(const struct soak_check *check,
				 const struct soak_life *life)
{
	const GPtrArray *attempts = check->evidence->attempts;
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

static void check_life_resources(struct soak_check *check,
				 const struct soak_life *life)
{
	int64_t seconds = (life->to_us - life->from_us) / G_USEC_PER_SEC + 1;
	int64_t max_log_bytes =
		LOG_BYTES_PER_SECOND * seconds +
		LOG_BYTES_PER_REQUEST * count_attempts_at(check, life);

	if (life->peak_resident_bytes > MAX_RESIDENT_BYTES)
		soak_check_add_finding(check, NULL, life->to_us,
				       "%s used %" PRId64 " MB of memory",
				       life->name,
				       life->peak_resident_bytes >> 20);
	if (life->peak_open_files > MAX_OPEN_FILES)
		soak_check_add_finding(check, NULL, life->to_us,
				       "%s had %" PRId64 " descriptors open",
				       life->name, life->peak_open_files);
	if (life->log_bytes > max_log_bytes)
		soak_check_add_finding(check, NULL, life->to_us,
				       "%s wrote %" PRId64
				       " bytes of log in %" PRId64 " s",
				       life->name, life->log_bytes, seconds);
}

/* Memory, open descriptors and log size of nodes stay within their bounds. */
void soak_check_resources(struct soak_check *check)
{
	const GPtrArray *lives = check->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);

		if (life->front)
			check_life_resources(check, life);
	}
}
