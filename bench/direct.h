#ifndef BENCH_DIRECT_H
#define BENCH_DIRECT_H

#include "bench/measure.h"
#include "bench/scenario.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Runs a scenario on model engines with the placement alone in front, or one
 * placement per entry node where each has its share: what a home decides,
 * without nodes and messages between them. Progress comes late, as entry
 * nodes would report it. Faults of nodes and of the key-value service don't
 * exist here.
 */
void direct_run(const struct scenario *scenario, enum bench_policy policy,
		uint64_t seed, double figures[FIGURES]);

G_END_DECLS

#endif
