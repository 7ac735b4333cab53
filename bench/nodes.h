#ifndef BENCH_NODES_H
#define BENCH_NODES_H

#include "bench/measure.h"
#include "bench/scenario.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

void nodes_run(const struct scenario *scenario, enum bench_policy policy,
	       uint64_t seed, double figures[FIGURES]);

G_END_DECLS

#endif
