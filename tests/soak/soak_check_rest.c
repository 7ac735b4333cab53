#include "tests/soak/soak_check_state.h"

#include <inttypes.h>
#include <string.h>

/* The check that nodes give the rest that an endpoint asked of them. */

/* What was under way when the answer came has arrived by then. */
#define REST_SLACK_US (500 * SOAK_MS_US)
#define MAX_IN_REST 2

/* One rest that an endpoint's start asked of a node. */
struct rest {
	const struct soak_life *node;
	const struct soak_life *endpoint;
	int64_t at_us;
	int64_t until_us;
};

/* The node through which an endpoint got the request of an entry, or NULL. */
static const struct soak_life *entry_node(const struct soak_check *check,
					  const struct soak_entry *entry)
{
	const struct soak_attempt *attempt =
		soak_check_attempt(check, entry->request);

	return attempt ? soak_evidence_life_at(check->evidence, attempt->front,
					       attempt->begun_us)
		       : NULL;
}

/* A fault of either side holds back the answer, or what was sent before it. */
static bool is_excused(const struct soak_check *check, const struct rest *rest,
		       int64_t to_us)
{
	return soak_check_has_fault(check, rest->node->name, rest->at_us,
				    to_us) ||
	       soak_check_has_fault(check, "nodes", rest->at_us, to_us) ||
	       soak_check_has_fault(check, rest->endpoint->name, rest->at_us,
				    to_us);
}

static bool counts(const struct soak_check *check, const struct rest *rest,
		   const struct soak_entry *entry)
{
	return strcmp(entry->event, "arrival") == 0 &&
	       strcmp(entry->engine, rest->endpoint->engine) == 0 &&
	       soak_check_engine_life(check, entry->engine, entry->at_us) ==
		       rest->endpoint &&
	       entry_node(check, entry) == rest->node;
}

/* Returns whether the rest was broken, after adding a finding. */
static bool check_rest(struct soak_check *check, const struct rest *rest,
		       guint first)
{
	const GPtrArray *entries = check->evidence->entries;
	int32_t count = 0;

	for (guint i = first; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);

		if (entry->at_us > rest->until_us)
			return false;
		if (entry->at_us < rest->at_us + REST_SLACK_US ||
		    !counts(check, rest, entry) || ++count <= MAX_IN_REST)
			continue;
		if (is_excused(check, rest, entry->at_us))
			return false;
		soak_check_add_finding(
			check, entry->request, entry->at_us,
			"%s got %d requests through %s in a rest of %" PRId64
			" ms, the last %" PRId64 " ms after it asked",
			rest->endpoint->engine, count, rest->node->name,
			(rest->until_us - rest->at_us) / SOAK_MS_US,
			(entry->at_us - rest->at_us) / SOAK_MS_US);
		return true;
	}
	return false;
}

/* Whether a rest there that was found broken lasts at that time. */
static bool was_told(const GArray *broken, const struct rest *rest)
{
	for (guint i = 0; i < broken->len; i++) {
		const struct rest *row = &g_array_index(broken, struct rest, i);

		if (row->node == rest->node &&
		    row->endpoint == rest->endpoint &&
		    rest->at_us <= row->until_us)
			return true;
	}
	return false;
}

/*
 * A node whose request an endpoint turned away, asking for rest, sends it no
 * more than two until that has passed. Each rest is told once.
 */
void soak_check_rest(struct soak_check *check)
{
	const GPtrArray *entries = check->evidence->entries;
	g_autoptr(GArray) broken =
		g_array_new(FALSE, FALSE, sizeof(struct rest));

	for (guint i = 0; i < entries->len; i++) {
		const struct soak_entry *entry = g_ptr_array_index(entries, i);
		struct rest rest = {.at_us = entry->at_us};

		if (strcmp(entry->event, "rest") != 0)
			continue;
		rest.until_us = entry->at_us + entry->rest_us;
		rest.node = entry_node(check, entry);
		rest.endpoint = soak_check_engine_life(check, entry->engine,
						       entry->at_us);
		if (rest.node && rest.endpoint && !was_told(broken, &rest) &&
		    check_rest(check, &rest, i))
			g_array_append_val(broken, rest);
	}
}
