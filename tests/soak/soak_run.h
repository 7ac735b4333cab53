#ifndef TESTS_SOAK_SOAK_RUN_H
#define TESTS_SOAK_SOAK_RUN_H

#include "core/base/error.h"
#include "tests/soak/soak_evidence.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_schedule.h"

#include <signal.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * Plays a schedule: starts the processes and the callers, brings the faults in
 * and takes them back, waits until all nodes serve again. NULL and an error if
 * the run could not be made; interrupted ends it early.
 */
struct soak_evidence *soak_run(const struct soak_schedule *schedule,
			       const struct soak_fleet_paths *paths,
			       const volatile sig_atomic_t *interrupted,
			       struct error *error);

G_END_DECLS

#endif
