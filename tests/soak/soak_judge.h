#ifndef TESTS_SOAK_SOAK_JUDGE_H
#define TESTS_SOAK_SOAK_JUDGE_H

#include "tests/soak/soak_evidence.h"
#include "tests/soak/soak_schedule.h"

#include <glib.h>

G_BEGIN_DECLS

/* A promise that was not kept. */
struct soak_find {
	char *symptom;
	char *request; /* NULL: it is about no single one */
	int64_t at_us;
};

/*
 * Holds what callers and engines saw against the promises; the product's own
 * word counts for nothing. The finds are the caller's.
 */
GPtrArray *soak_judge(const struct soak_schedule *schedule,
		      const struct soak_evidence *evidence);

G_END_DECLS

#endif
