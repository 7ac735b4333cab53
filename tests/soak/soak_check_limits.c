#include "tests/soak/soak_check_state.h"

#include <inttypes.h>
#include <string.h>

/* Checks of the limits that endpoints state in their answers. */

#define WINDOW_US (4000 * SOAK_MS_US)
/* In a window: one and a half times what the limit allows, and a few more. */
#define ALLOWED(per_s) ((int32_t)((per_s)*4 * 1.5) + 5)

static bool is_limit(const struct soak_fault_record *row)
{
	return row->kind == SOAK_PLAIN_LIMIT || row->kind == SOAK_ENGINE_LIMIT;
}

/*
 * Returns when the endpoint stopped to state the limit: with the first end of a
 * limit there, as faults of one kind overlap.
 */
static int64_t limit_end_us(const struct soak_check *check,
			    const struct soak_fault_record *limit)
{
	const GArray *rows = check->evidence->fault_records;
	int64_t end_us = check->evidence->ended_us;

	for (guint i = 0; i < rows->len; i++) {
		const struct soak_fault_record *row =
			&g_array_index(rows, struct soak_fault_record, i);

		if (is_limit(row) && strcmp(row->who, limit->who) == 0 &&
		    row->to_us > limit->from_us)
			end_us = MIN(end_us, row->to_us);
	}
	return end_us;
}

/* Whether the arrival came from a node that had time to learn of the limit. */
static bool counts(const struct soak_check *check,
		   const struct soak_fault_record *limit,
		   const struct soak_entry *entry)
{
	const struct soak_attempt *attempt =
		soak_check_attempt(check, entry->request);
	const struct soak_life *life =
		soak_check_engine_life(check, entry->engine, entry->at_us);

	return attempt && life && strcmp(life->name, limit->who) == 0 &&
	       life->from_us < limit->from_us &&
	       strcmp(entry->event, "arrival") == 0 &&
	       !soak_check_has_fault(check, life->name,
				     entry->at_us - SOAK_CONTACT_US,
				     entry->at_us) &&
	       soak_check_is_stable(check, attempt->front, entry->at_us);
}

static void check_limit(struct soak_check *check,
			const struct soak_fault_record *limit)
{
	const GPtrArray *entries = check->evidence->entries;
	int64_t from_us = limit->from_us + SOAK_CONTACT_US;
	int64_t end_us = limit_end_us(check, limit);
	g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	guint first = 0;

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		int32_t count;

		if (entry->at_us < from_us || entry->at_us > end_us ||
		    !counts(check, limit, entry))
			continue;
		g_array_append_val(times, entry->at_us);
		while (g_array_index(times, int64_t, first) <=
		       entry->at_us - WINDOW_US)
			first++;
		count = (int32_t)(times->len - first);
		if (count <= ALLOWED(SOAK_LIMIT_PER_S))
			continue;
		soak_check_add_finding(check, entry->request, entry->at_us,
				       "%s got %d requests in 4 s at its limit "
				       "of %d a second",
				       limit->who, count, SOAK_LIMIT_PER_S);
		return;
	}
}

/* All nodes together keep to the limit that an endpoint states. */
void soak_check_limits(struct soak_check *check)
{
	const GArray *rows = check->evidence->fault_records;

	for (guint i = 0; i < rows->len; i++) {
		const struct soak_fault_record *row =
			&g_array_index(rows, struct soak_fault_record, i);

		if (is_limit(row))
			check_limit(check, row);
	}
}
