#include "tests/soak/soak_judge_state.h"

#include <string.h>

/*
 * Which configuration a node works by, as its answers show: each one adds a
 * route of its own, and the second after it removes that route.
 */

#define APPLY_US (2000 * SOAK_MS_US) /* config_apply_ms */
#define BACK_US (250 * SOAK_MS_US)   /* back_ms */
#define VERSIONS_OF_ROUTE 2

static const struct soak_version *version_at(const struct soak_judge *judge,
					     int32_t index)
{
	const GArray *versions = judge->evidence->versions;

	if (index < 0 || index >= (int32_t)versions->len)
		return NULL;
	return &g_array_index(versions, struct soak_version, index);
}

static bool was_in_force(const struct soak_version *version, int64_t at_us)
{
	return version &&
	       version->acked_us + APPLY_US + SOAK_SCHEDULING_US < at_us;
}

static bool was_sent(const struct soak_version *version, int64_t by_us)
{
	return version && version->sent_us <= by_us;
}

static void judge_probe(struct soak_judge *judge,
			const struct soak_attempt *probe)
{
	const struct soak_version *added = version_at(judge, probe->version);
	const struct soak_version *removed =
		version_at(judge, probe->version + VERSIONS_OF_ROUTE);
	int32_t status = probe->answer->status;

	if (status == 404 && was_in_force(added, probe->begun_us) &&
	    !was_sent(removed, probe->ended_us) &&
	    soak_judge_is_in_touch(judge, probe->front, probe->begun_us))
		soak_judge_find(judge, probe->id, probe->begun_us,
				"a route of configuration %d is not served "
				"over 2 s after the store took it",
				probe->version);
	if (status == 200 && was_in_force(removed, probe->begun_us) &&
	    soak_judge_is_in_touch(judge, probe->front, probe->begun_us))
		soak_judge_find(judge, probe->id, probe->begun_us,
				"a route that configuration %d removed is "
				"served over 2 s after the store took it",
				probe->version + VERSIONS_OF_ROUTE);
}

/* A newer configuration is in force in time where the store is reached. */
void soak_judge_config_in_force(struct soak_judge *judge)
{
	const GPtrArray *attempts = judge->evidence->attempts;

	for (guint i = 0; i < attempts->len; i++) {
		const struct soak_attempt *attempt =
			g_ptr_array_index(attempts, i);

		if (attempt->kind == SOAK_KIND_PROBE)
			judge_probe(judge, attempt);
	}
}

/* What one process is known to have worked by, and since when. */
struct known {
	int32_t least;
	int64_t since_us;
	int32_t before; /* known for longer than BACK_US */
};

static void known_raise(struct known *known, int32_t version, int64_t at_us)
{
	if (version <= known->least)
		return;
	known->least = version;
	known->since_us = at_us;
}

/* A node that stood still in between may answer late what it read before. */
static void judge_against(struct soak_judge *judge,
			  const struct soak_attempt *probe, struct known *known)
{
	int32_t status = probe->answer->status;
	int32_t removed = probe->version + VERSIONS_OF_ROUTE;

	if (probe->begun_us > known->since_us + BACK_US + SOAK_SCHEDULING_US)
		known->before = known->least;
	if (status == 200 && removed <= known->before)
		soak_judge_find(judge, probe->id, probe->begun_us,
				"went back behind configuration %d: serves the "
				"route that it removed",
				removed);
	if (status == 404 && probe->version <= known->before &&
	    !was_sent(version_at(judge, removed), probe->ended_us))
		soak_judge_find(judge, probe->id, probe->begun_us,
				"went back behind configuration %d: its route "
				"is gone",
				probe->version);
	if (status == 200)
		known_raise(known, probe->version, probe->ended_us);
	if (status == 404 && known->before >= probe->version)
		known_raise(known, removed, probe->ended_us);
}

/* An older configuration never comes back in one life of a process. */
void soak_judge_config_older(struct soak_judge *judge)
{
	const GPtrArray *attempts = judge->evidence->attempts;
	const GPtrArray *lives = judge->evidence->lives;

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
				judge_against(judge, attempt, &known);
		}
	}
}
