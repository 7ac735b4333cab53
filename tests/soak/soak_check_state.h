#ifndef TESTS_SOAK_SOAK_CHECK_STATE_H
#define TESTS_SOAK_SOAK_CHECK_STATE_H

#include "tests/soak/soak_check.h"

#include <stdbool.h>

G_BEGIN_DECLS

/* Bounds (those of the user guide) and state shared by the checks. */

#define SOAK_MS_US G_TIME_SPAN_MILLISECOND
#define SOAK_CONTACT_US (3000 * SOAK_MS_US) /* contact_ms */
#define SOAK_APPLY_US (2000 * SOAK_MS_US)   /* config_apply_ms */
/*
 * Scheduling delay allowed in each time bound: on a machine that runs other
 * builds and tests too, a process may wait for a core behind several others,
 * once on each side.
 */
#define SOAK_SCHEDULING_DELAY_US (300 * SOAK_MS_US)

struct soak_check {
	const struct soak_schedule *schedule;
	const struct soak_evidence *evidence;
	GHashTable *entries_of; /* request to GPtrArray of struct soak_entry */
	GHashTable *attempt_of; /* request to struct soak_attempt */
	GPtrArray *findings;
};

void soak_check_add_finding(struct soak_check *check, const char *request,
			    int64_t at_us, const char *format, ...)
	G_GNUC_PRINTF(4, 5);
const GPtrArray *soak_check_entries(const struct soak_check *check,
				    const char *request);
const struct soak_attempt *soak_check_attempt(const struct soak_check *check,
					      const char *request);
bool soak_check_has_fault(const struct soak_check *check, const char *target,
			  int64_t from_us, int64_t to_us);
bool soak_check_is_stable(const struct soak_check *check, const char *front,
			  int64_t at_us);
const struct soak_life *soak_check_engine_life(const struct soak_check *check,
					       const char *engine,
					       int64_t at_us);

/* soak_check_requests.c */
void soak_check_runs(struct soak_check *check);
void soak_check_overlaps(struct soak_check *check);
void soak_check_refusals(struct soak_check *check);
void soak_check_answers(struct soak_check *check);
void soak_check_streams(struct soak_check *check);
void soak_check_queries(struct soak_check *check);

/* soak_check_times.c */
void soak_check_leaving(struct soak_check *check);
void soak_check_evacuations(struct soak_check *check);
void soak_check_stops(struct soak_check *check);
void soak_check_timeouts(struct soak_check *check);
void soak_check_waits(struct soak_check *check);
void soak_check_retry_budget(struct soak_check *check);
void soak_check_poison(struct soak_check *check);
void soak_check_innocents(struct soak_check *check);
void soak_check_resources(struct soak_check *check);

/* soak_check_lost.c */
void soak_check_lost(struct soak_check *check);

/* soak_check_kept.c */
void soak_check_kept(struct soak_check *check);

/* soak_check_leaving_said.c */
void soak_check_leaving_said(struct soak_check *check);

/* soak_check_rest.c */
void soak_check_rest(struct soak_check *check);

/* soak_check_limits.c */
void soak_check_limits(struct soak_check *check);

/* soak_check_config.c */
void soak_check_config_in_force(struct soak_check *check);
void soak_check_config_monotonic(struct soak_check *check);

G_END_DECLS

#endif
