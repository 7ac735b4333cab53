#ifndef BENCH_SLOPE_H
#define BENCH_SLOPE_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Measures the time of a placement decision, and of the progress reports that
 * arrive between two decisions, at growing numbers of engines in one placement.
 * Engines are not simulated.
 */
void slope_print(void);

G_END_DECLS

#endif
