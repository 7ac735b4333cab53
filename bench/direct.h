#ifndef BENCH_DIRECT_H
#define BENCH_DIRECT_H

#include "bench/measure.h"
#include "bench/scenario.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Runs a scenario on model engines with the placement code only: one placement
 * in the role of the home, or one per entry node for the policy of local
 * shares. There are no nodes and no messages between them. Progress arrives
 * with the delay of entry nodes' progress reports. Faults of nodes and of the
 * key-value service are not simulated.
 */
void direct_run(const struct scenario *scenario, enum bench_policy policy,
		uint64_t seed, double figures[FIGURES]);

G_END_DECLS

#endif
