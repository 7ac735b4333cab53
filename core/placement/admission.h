#ifndef CORE_PLACEMENT_ADMISSION_H
#define CORE_PLACEMENT_ADMISSION_H

#include "core/placement/length_estimate.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Predicts the memory that an engine will need, in tokens. For each of a few
 * horizons, a number of tokens generated from now on, it keeps mean and
 * variance as sums over the running requests. Adding or removing a request
 * thus costs the same for any batch size.
 */
#define ADMISSION_HORIZONS 16

/* Expected memory of one request at each horizon. */
struct admission_demand {
	float mean[ADMISSION_HORIZONS];
	float variance[ADMISSION_HORIZONS];
	float common[ADMISSION_HORIZONS]; /* growth if all last longer */
};

/* Sum of the demands of an engine's requests. */
struct admission_load {
	double mean[ADMISSION_HORIZONS];
	double variance[ADMISSION_HORIZONS];
	double common[ADMISSION_HORIZONS];
};

/* Safety margin of the admission. */
struct admission_margin {
	double deviations; /* standard deviations to keep free */
	double common;	   /* deviation of the factor common to all lengths */
};

void admission_demand_fill(struct admission_demand *demand,
			   const struct length_curve *curve,
			   int64_t prompt_tokens, int64_t output_tokens,
			   int64_t max_tokens);
void admission_load_add(struct admission_load *load,
			const struct admission_demand *demand);
void admission_load_remove(struct admission_load *load,
			   const struct admission_demand *demand);
double admission_peak(const struct admission_load *load,
		      const struct admission_demand *extra,
		      const struct admission_margin *margin);

/* Memory of a request whose end is known, in tokens. */
struct admission_known_run {
	int64_t held;	   /* prompt and output so far */
	int64_t remaining; /* still to be generated */
};

double admission_exact_peak(GArray *known);

G_END_DECLS

#endif
