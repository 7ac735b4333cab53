#include "tests/soak/soak_check_state.h"

#include <string.h>

/*
 * Checks which configuration a node applies, as its answers show: each version
 * adds a route of its own, and the second version after it removes that route.
 */

#define BACK_US (250 * SOAK_MS_US) /* back_ms */
#define VERSIONS_PER_ROUTE 2

static const struct soak_version *version_at(const struct soak_check *check,
					     int32_t index)
{
	const GArray *versions = check->evidence->versions;

	if (index < 0 || index >= (int32_t)versions->len)
		return NULL;
	return &g_array_index(versions, struct soak_version, index);
}

static bool must_be_in_force(const struct soak_version *version, int64_t at_us)
{
	return version &&
	       version->acked_us + SOAK_APPLY_US + SOAK_SCHEDULING_DELAY_US <
		       at_us;
}

static bool was_sent(const struct soak_version *version, int64_t by_us)
{
	return version && version->sent_us <= by_us;
}

static void check_probe(struct soak_check *check,
			const struct soak_attempt *probe)
{
	const struct soak_version *added = version_at(check, probe->version);
	const struct soak_version *removed =
		version_at(check, probe->version + VERSIONS_PER_ROUTE);
	int32_t status = probe->answer->status;

	if (status == 404 && must_be_in_force(added, probe->begun_us) &&
	    !was_sent(removed, probe->ended_us) &&
	    soak_check_is_stable(check, probe->front, probe->begun_us))
		soak_check_add_finding(
			check, probe->id, probe->begun_us,
			"a route of configuration %d is not served "
			"over 2 s after the store took it",
			probe->version);
	if (status == 200 && must_be_in_force(removed, probe->begun_us) &&
	    soak_check_is_stable(check, probe->front, probe->begun_us))
		soak_check_add_finding(
			check, probe->id, probe->begun_us,
			"a route that configuration %d removed is "
			"served over 2 s after the store took it",
			probe->version + VERSIONS_PER_ROUTE);
}

/*
 * A node that reaches the store applies a newer configuration within
 * config_apply_ms.
 */
void soak_check_config_in_force(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (attempt->kind == SOAK_KIND_PROBE)
			check_probe(check, attempt);
	}
}

/* The newest version a process is known to have applied, and since when. */
struct known {
	int32_t min_version;
	int64_t since_us;
	int32_t settled_version; /* known for longer than BACK_US */
};

static void raise_known_version(struct known *known, int32_t version,
				int64_t at_us)
{
	if (version <= known->min_version)
		return;
	known->min_version = version;
	known->since_us = at_us;
}

/*
 * Reports a probe answered according to a configuration older than one that the
 * process has applied. A node that was paused may answer late from an older
 * one, so only versions known for longer than BACK_US count.
 */
static void check_probe_order(struct soak_check *check,
			      const struct soak_attempt *probe,
			      struct known *known)
{
	int32_t status = probe->answer->status;
	int32_t removed = probe->version + VERSIONS_PER_ROUTE;

	if (probe->begun_us >
	    known->since_us + BACK_US + SOAK_SCHEDULING_DELAY_US)
		known->settled_version = known->min_version;
	if (status == 200 && removed <= known->settled_version)
		soak_check_add_finding(
			check, probe->id, probe->begun_us,
			"went back behind configuration %d: serves the "
			"route that it removed",
			removed);
	if (status == 404 && probe->version <= known->settled_version &&
	    !was_sent(version_at(check, removed), probe->ended_us))
		soak_check_add_finding(
			check, probe->id, probe->begun_us,
			"went back behind configuration %d: its route "
			"is gone",
			probe->version);
	if (status == 200)
		raise_known_version(known, probe->version, probe->ended_us);
	if (status == 404 && known->settled_version >= probe->version)
		raise_known_version(known, removed, probe->ended_us);
}

/* A process never returns to an older configuration while it runs. */
void soak_check_config_monotonic(struct soak_check *check)
{
	const GPtrArray *attempts = check->evidence->attempts;
	const GPtrArray *lives = check->evidence->lives;

	for (guint i = 0; i < lives->len; i++) {
		const struct soak_life *life = g_ptr_array_index(lives, i);
		struct known known = {-1, 0, -1};

		for (guint j = 0; life->front && j < attempts->len; j++) {
			const struct soak_attempt *attempt =
				g_ptr_array_index(attempts, j);

			if (attempt->kind == SOAK_KIND_PROBE &&
			    strcmp(attempt->front, life->front) == 0 &&
			    attempt->begun_us >= life->from_us &&
			    (!life->to_us || attempt->ended_us <= life->to_us))
				check_probe_order(check, attempt, &known);
		}
	}
}
