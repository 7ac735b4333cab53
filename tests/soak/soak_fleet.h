#ifndef TESTS_SOAK_SOAK_FLEET_H
#define TESTS_SOAK_SOAK_FLEET_H

#include "core/base/error.h"
#include "tests/soak/soak_evidence.h"
#include "tests/soak/soak_schedule.h"
#include "tests/soak/soak_view.h"

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/*
 * All processes of a run: the fakes of the platform, and the nodes. Begins and
 * ends the faults at them, and records both in the evidence.
 */
struct soak_fleet;

struct soak_fleet_paths {
	const char *programs; /* folder of the executables */
	const char *folder;   /* for logs, settings and journals */
};

struct soak_fleet *soak_fleet_create(const struct soak_schedule *schedule,
				     const struct soak_fleet_paths *paths,
				     struct soak_view *view,
				     struct soak_evidence *evidence);
void soak_fleet_destroy(struct soak_fleet *fleet);
bool soak_fleet_start(struct soak_fleet *fleet, struct error *error);
void soak_fleet_begin_fault(struct soak_fleet *fleet,
			    const struct soak_fault *fault);
void soak_fleet_end_fault(struct soak_fleet *fleet,
			  const struct soak_fault *fault);
void soak_fleet_wait(int64_t for_us);
void soak_fleet_tick(struct soak_fleet *fleet);
bool soak_fleet_is_healthy(const struct soak_fleet *fleet);
void soak_fleet_stop(struct soak_fleet *fleet);

G_END_DECLS

#endif
