#ifndef TESTS_SOAK_SOAK_REPORT_H
#define TESTS_SOAK_SOAK_REPORT_H

#include "core/base/error.h"
#include "tests/soak/soak_check.h"

#include <stdbool.h>

G_BEGIN_DECLS

/* Output of a run: a summary, the findings and a merged log. */
void soak_report_print(const struct soak_schedule *schedule,
		       const struct soak_evidence *evidence,
		       const GPtrArray *finds);
bool soak_report_write_merged(const struct soak_evidence *evidence,
			      const char *path, struct error *error);

G_END_DECLS

#endif
