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
 * Runs a schedule: starts the processes and the callers, begins and ends the
 * faults, and waits until all nodes serve again. Returns NULL and sets error
 * if the processes don't start or the nodes don't serve at first; setting
 * *interrupted ends the run early.
 */
struct soak_evidence *soak_run(const struct soak_schedule *schedule,
			       const struct soak_fleet_paths *paths,
			       const volatile sig_atomic_t *interrupted,
			       struct error *error);

G_END_DECLS

#endif
