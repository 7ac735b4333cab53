#include "tests/soak/soak_check_state.h"

#include <inttypes.h>
#include <string.h>

/* The check that a request which a node has read is answered or refused. */

#define GRACE_US (8000 * SOAK_MS_US) /* grace_s */
/* A stream may be cut in the last sixth of the grace, if sent early in it. */
#define GRACE_USED_US (GRACE_US * 5 / 6)
#define EARLY_SENT_US (3000 * SOAK_MS_US)
#define LOSS_SLACK_US (200 * SOAK_MS_US) /* loss_slack_ms */

static bool is_cut(const struct soak_attempt *attempt)
{
	return attempt->sent_us && (attempt->end == SOAK_END_CLOSED ||
				    attempt->end == SOAK_END_RESET);
}

static bool log_names(const struct soak_life *life, const char *request)
{
	g_autofree char *text = NULL;
	g_autofree char *word = g_strdup_printf("request=%s ", request);

	return g_file_get_contents(life->log_path, &text, NULL, NULL) &&
	       strstr(text, word);
}

/* A node that was up, and not about to end, reads what a caller sends anew. */
static bool must_read_new(const struct soak_attempt *attempt,
			  const struct soak_life *life)
{
	return !attempt->on_kept &&
	       life->from_us < attempt->begun_us - SOAK_CONTACT_US &&
	       !(life->term_us && life->term_us <= attempt->ended_us);
}

/*
 * Whether the node has read the request. One that crosses the node's close of
 * an idle connection is in no journal and no log, and the close comes at once.
 */
static bool was_read(const struct soak_check *check,
		     const struct soak_attempt *attempt,
		     const struct soak_life *life)
{
	return soak_check_entries(check, attempt->id) ||
	       attempt->ended_us - attempt->sent_us >
		       LOSS_SLACK_US + SOAK_SCHEDULING_DELAY_US ||
	       must_read_new(attempt, life) || log_names(life, attempt->id);
}

static bool reached_its_limit(const struct soak_attempt *attempt)
{
	return attempt->ended_us + SOAK_SCHEDULING_DELAY_US >=
	       attempt->deadline_us;
}

/* The store is needed for streams only: they go on at other engines. */
static bool node_is_excused(const struct soak_check *check,
			    const struct soak_attempt *attempt,
			    const struct soak_life *life)
{
	int64_t from_us = attempt->begun_us - SOAK_CONTACT_US;
	int64_t to_us = attempt->ended_us;

	return soak_check_has_fault(check, life->name, from_us, to_us) ||
	       soak_check_has_fault(check, "nodes", from_us, to_us) ||
	       (soak_kind_is_stream(attempt->kind) &&
		soak_check_has_fault(check, "store", from_us, to_us));
}

/* The soak notices the end of a process some time after its callers do. */
static bool has_ended(const struct soak_life *life, int64_t at_us)
{
	return life->to_us && life->to_us <= at_us + SOAK_SCHEDULING_DELAY_US;
}

/* Whether an endpoint that had the request ended or had a fault meanwhile. */
static bool endpoint_is_excused(const struct soak_check *check,
				const struct soak_attempt *attempt)
{
	const GPtrArray *entries = soak_check_entries(check, attempt->id);

	for (guint i = 0; entries && i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_life *life = soak_check_engine_life(
			check, entry->engine, entry->at_us);

		if (!life || has_ended(life, attempt->ended_us) ||
		    soak_check_has_fault(check, life->name,
					 attempt->begun_us - SOAK_CONTACT_US,
					 attempt->ended_us))
			return true;
	}
	return false;
}

/* Whether another node that had the request was killed or had a fault. */
static bool relay_is_excused(const struct soak_check *check,
			     const struct soak_attempt *attempt)
{
	const GPtrArray *lives = check->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);

		if (life->front && strcmp(life->front, attempt->front) != 0 &&
		    life->from_us <= attempt->ended_us &&
		    (!life->to_us || life->to_us >= attempt->begun_us) &&
		    soak_check_has_fault(check, life->name, attempt->begun_us,
					 attempt->ended_us) &&
		    log_names(life, attempt->id))
			return true;
	}
	return false;
}

/* Whether an engine still worked on the request at that time. */
static bool was_at_work(const struct soak_check *check, const char *request,
			int64_t at_us)
{
	const GPtrArray *entries = soak_check_entries(check, request);
	const struct soak_entry *last;

	if (!entries)
		return false;
	last = g_ptr_array_index(entries, entries->len - 1);
	return last->at_us >= at_us || strcmp(last->event, "run") == 0 ||
	       strcmp(last->event, "go_on") == 0;
}

/* A stream that has begun may be too long for what is left of a drain. */
static bool was_too_long(const struct soak_check *check,
			 const struct soak_attempt *attempt,
			 const struct soak_life *life)
{
	return soak_kind_is_stream(attempt->kind) &&
	       attempt->answer->status == 200 && life->term_us &&
	       attempt->sent_us <= life->term_us + EARLY_SENT_US &&
	       was_at_work(check, attempt->id, life->term_us + GRACE_USED_US);
}

static bool is_lost(const struct soak_check *check,
		    const struct soak_attempt *attempt,
		    const struct soak_life *life)
{
	return !reached_its_limit(attempt) && was_read(check, attempt, life) &&
	       !node_is_excused(check, attempt, life) &&
	       !endpoint_is_excused(check, attempt) &&
	       !relay_is_excused(check, attempt) &&
	       !was_too_long(check, attempt, life);
}

/*
 * A request that a node has read ends with a whole answer or a refusal. Signals
 * of a stop, reloads, configurations and an endpoint's silence excuse nothing,
 * nor does the end of a process that nobody killed.
 */
void soak_check_lost(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);
		const struct soak_life *life;

		if (!is_cut(attempt))
			continue;
		life = soak_evidence_life_at(check->evidence, attempt->front,
					     attempt->sent_us);
		if (!life || !is_lost(check, attempt, life))
			continue;
		soak_check_add_finding(
			check, attempt->id, attempt->ended_us,
			"lost by %s: %s with status %d and %zu bytes, %" PRId64
			" ms after it was sent",
			life->name, soak_end_name(attempt->end),
			attempt->answer->status, attempt->answer->body->len,
			(attempt->ended_us - attempt->sent_us) / SOAK_MS_US);
	}
}
