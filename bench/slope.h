#ifndef BENCH_SLOPE_H
#define BENCH_SLOPE_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Processor time per decision against the number of engines in one placement,
 * with the progress reports that belong to a decision; no engine models.
 */
void slope_print(void);

G_END_DECLS

#endif
