#ifndef BENCH_NODES_H
#define BENCH_NODES_H

#include "bench/measure.h"
#include "bench/scenario.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Runs a scenario on eight whole nodes with their membership, homes, messages
 * and the key-value service, before the same model engines. Callers go on at
 * another node when theirs is gone.
 */
void nodes_run(const struct scenario *scenario, enum bench_policy policy,
	       uint64_t seed, double figures[FIGURES]);

G_END_DECLS

#endif
