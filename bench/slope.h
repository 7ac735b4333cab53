#ifndef BENCH_SLOPE_H
#define BENCH_SLOPE_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Time per placement decision as a function of the number of engines in one
 * placement, with the progress reports that arrive per decision. Engines are
 * not simulated.
 */
void slope_print(void);

G_END_DECLS

#endif
