#ifndef TESTS_SOAK_SOAK_JUDGE_STATE_H
#define TESTS_SOAK_SOAK_JUDGE_STATE_H

#include "tests/soak/soak_judge.h"

#include <stdbool.h>

G_BEGIN_DECLS

/* What the checks share; the bounds are those of the users' pages. */

#define SOAK_MS_US G_TIME_SPAN_MILLISECOND
#define SOAK_CONTACT_US (3000 * SOAK_MS_US) /* contact_ms */
/*
 * A process that is due may wait for a core behind several others, on a
 * machine that builds and tests more than this; each side may do so once.
 */
#define SOAK_SCHEDULING_US (300 * SOAK_MS_US)

struct soak_judge {
	const struct soak_schedule *schedule;
	const struct soak_evidence *evidence;
	GHashTable *entries_of; /* request to GPtrArray of struct soak_entry */
	GHashTable *attempt_of; /* request to struct soak_attempt */
	GPtrArray *finds;
};

void soak_judge_find(struct soak_judge *judge, const char *request,
		     int64_t at_us, const char *format, ...)
	G_GNUC_PRINTF(4, 5);
const GPtrArray *soak_judge_entries(const struct soak_judge *judge,
				    const char *request);
const struct soak_attempt *soak_judge_attempt(const struct soak_judge *judge,
					      const char *request);
bool soak_judge_is_disturbed(const struct soak_judge *judge, const char *who,
			     int64_t from_us, int64_t to_us);
bool soak_judge_is_in_touch(const struct soak_judge *judge, const char *front,
			    int64_t at_us);
const struct soak_life *soak_judge_engine_life(const struct soak_judge *judge,
					       const char *engine,
					       int64_t at_us);

/* soak_judge_requests.c */
void soak_judge_runs(struct soak_judge *judge);
void soak_judge_overlaps(struct soak_judge *judge);
void soak_judge_refusals(struct soak_judge *judge);
void soak_judge_answers(struct soak_judge *judge);
void soak_judge_streams(struct soak_judge *judge);

/* soak_judge_times.c */
void soak_judge_leaving(struct soak_judge *judge);
void soak_judge_stops(struct soak_judge *judge);
void soak_judge_timeouts(struct soak_judge *judge);
void soak_judge_budget(struct soak_judge *judge);
void soak_judge_poison(struct soak_judge *judge);
void soak_judge_resources(struct soak_judge *judge);

/* soak_judge_config.c */
void soak_judge_config_in_force(struct soak_judge *judge);
void soak_judge_config_older(struct soak_judge *judge);

G_END_DECLS

#endif
