#include "tests/soak/soak_check_state.h"

#include <inttypes.h>
#include <string.h>

/* The check that nodes heed an endpoint that says in an answer that it leaves.
 */

#define DRAIN_US (2000 * SOAK_MS_US) /* drain_ms */

/* An answer that a node passed on, with what its endpoint said of itself. */
struct word {
	const struct soak_life *node;
	const struct soak_life *endpoint;
	int64_t at_us; /* when a caller had read it */
};

/* The start of the endpoint that stamped the answer, by the journals. */
static const struct soak_life *
stamping_start(const struct soak_check *check,
	       const struct soak_attempt *attempt)
{
	const GPtrArray *entries = soak_check_entries(check, attempt->id);

	for (guint i = entries ? entries->len : 0; i-- > 0;) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);

		if (entry->at_us <= attempt->answer->leaving_us &&
		    strcmp(entry->engine, attempt->answer->engine_stamp) == 0)
			return soak_check_engine_life(check, entry->engine,
						      entry->at_us);
	}
	return NULL;
}

static bool says_leaving(const struct soak_attempt *attempt)
{
	return attempt->answer->leaving_us && attempt->answer->engine_stamp;
}

/* Keeps the first word of each endpoint's start that each node passed on. */
static void words_add(const struct soak_check *check, GArray *words,
		      const struct soak_attempt *attempt)
{
	struct word word = {
		.node = soak_evidence_life_at(check->evidence, attempt->front,
					      attempt->sent_us),
		.endpoint = stamping_start(check, attempt),
		.at_us = attempt->answer->leaving_us,
	};

	if (!word.node || !word.endpoint)
		return;
	for (guint i = 0; i < words->len; i++) {
		struct word *known = &g_array_index(words, struct word, i);

		if (known->node != word.node ||
		    known->endpoint != word.endpoint)
			continue;
		known->at_us = MIN(known->at_us, word.at_us);
		return;
	}
	g_array_append_val(words, word);
}

/* Whether the node stood still in that time. */
static bool was_frozen(const struct soak_check *check,
		       const struct soak_life *node, int64_t from_us,
		       int64_t to_us)
{
	const GArray *rows = check->evidence->fault_records;

	for (guint i = 0; i < rows->len; i++) {
		const struct soak_fault_record *row =
			&g_array_index(rows, struct soak_fault_record, i);

		if ((row->kind == SOAK_NODE_PAUSE_SHORT ||
		     row->kind == SOAK_NODE_PAUSE_LONG) &&
		    strcmp(row->who, node->name) == 0 &&
		    row->from_us <= to_us &&
		    (!row->to_us || row->to_us >= from_us))
			return true;
	}
	return false;
}

static void check_word(struct soak_check *check, const struct word *word)
{
	const GPtrArray *entries = check->evidence->entries;
	int64_t from_us = word->at_us + DRAIN_US + SOAK_SCHEDULING_DELAY_US;

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		const struct soak_attempt *attempt;

		if (entry->at_us < from_us ||
		    strcmp(entry->event, "arrival") != 0 ||
		    strcmp(entry->engine, word->endpoint->engine) != 0)
			continue;
		attempt = soak_check_attempt(check, entry->request);
		if (!attempt || attempt->sent_us < from_us ||
		    soak_check_engine_life(check, entry->engine,
					   entry->at_us) != word->endpoint ||
		    soak_evidence_life_at(check->evidence, attempt->front,
					  attempt->sent_us) != word->node ||
		    was_frozen(check, word->node, word->at_us, entry->at_us))
			continue;
		soak_check_add_finding(
			check, attempt->id, entry->at_us,
			"reached %s through %s, sent %" PRId64
			" ms after an answer there said that it leaves",
			word->endpoint->engine, word->node->name,
			(attempt->sent_us - word->at_us) / SOAK_MS_US);
	}
}

/*
 * A node that has passed on an endpoint's word that it leaves sends nothing to
 * that start of it which a caller sends later than drain_ms after that. A new
 * start of the node or its standing still excuses it; the store does not.
 */
void soak_check_leaving_said(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;
	g_autoptr(GArray) words =
		g_array_new(FALSE, FALSE, sizeof(struct word));

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (says_leaving(attempt))
			words_add(check, words, attempt);
	}
	for (guint i = 0; i < words->len; i++)
		check_word(check, &g_array_index(words, struct word, i));
}
