#ifndef TESTS_SOAK_SOAK_CHECK_H
#define TESTS_SOAK_SOAK_CHECK_H

#include "tests/soak/soak_evidence.h"
#include "tests/soak/soak_schedule.h"

#include <glib.h>

G_BEGIN_DECLS

/* A guarantee of the product that a run violated. */
struct soak_finding {
	char *symptom;
	char *request; /* NULL: not about a single request */
	int64_t at_us;
};

/*
 * Checks what callers and engines recorded in a run against the product's
 * guarantees; what the product states about itself is not evidence. The caller
 * owns the findings (struct soak_finding).
 */
GPtrArray *soak_check(const struct soak_schedule *schedule,
		      const struct soak_evidence *evidence);

G_END_DECLS

#endif
