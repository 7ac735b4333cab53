#ifndef CORE_PLACEMENT_ADMISSION_H
#define CORE_PLACEMENT_ADMISSION_H

#include "core/placement/length_estimate.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The memory an engine will need: at each of a few horizons, so many tokens
 * from now, its mean and deviation over what runs there. Sums over requests,
 * so that one more or less costs the same at any batch.
 */
#define ADMISSION_HORIZONS 16

struct admission_demand {
	float mean[ADMISSION_HORIZONS];
	float variance[ADMISSION_HORIZONS];
	float shared[ADMISSION_HORIZONS]; /* growth if all last longer */
};

struct admission_load {
	double mean[ADMISSION_HORIZONS];
	double variance[ADMISSION_HORIZONS];
	double shared[ADMISSION_HORIZONS];
};

/* How careful: deviations kept free, and how far all may be wrong at once. */
struct admission_margin {
	double deviations;
	double shared;
};

void admission_demand_fill(struct admission_demand *demand,
			   const struct length_curve *curve,
			   int64_t prompt_tokens, int64_t made,
			   int64_t max_tokens);
void admission_load_add(struct admission_load *load,
			const struct admission_demand *demand);
void admission_load_remove(struct admission_load *load,
			   const struct admission_demand *demand);
double admission_peak(const struct admission_load *load,
		      const struct admission_demand *extra,
		      const struct admission_margin *margin);

/* What holds memory, where its end is known. */
struct admission_known {
	int64_t held;
	int64_t left;
};

double admission_known_peak(GArray *known);

G_END_DECLS

#endif
