#include "core/placement/admission.h"

#include <math.h>

/*
 * If all hazards shrink by a factor f, the probability p that a request
 * outlives a horizon becomes p^f. The derivative with respect to log f is
 * p ln p; its size, -p ln p, is close to p (1 - p) times this constant over the
 * relevant range, which saves the logarithm.
 */
#define COMMON_SLOPE 1.4

/*
 * In tokens. They grow by a factor of about 1.6, so that the last one exceeds
 * any usual answer.
 */
static const int64_t horizons[ADMISSION_HORIZONS] = {
	0,   12,  20,  32,   51,   82,	 131,  210,
	336, 537, 859, 1374, 2199, 3518, 5629, 12000,
};

/*
 * Computes the expected memory at each horizon of a request that holds its
 * prompt and the output_tokens generated so far. max_tokens 0: no limit.
 */
void admission_demand_fill(struct admission_demand *demand,
			   const struct length_curve *curve,
			   int64_t prompt_tokens, int64_t output_tokens,
			   int64_t max_tokens)
{
	double survival_now = length_curve_survival(curve, output_tokens);
	int64_t held = prompt_tokens + output_tokens;

	for (int32_t i = 0; i < ADMISSION_HORIZONS; i++) {
		int64_t offset = horizons[i];
		double survival = 0;
		double size = (double)(held + offset);

		if (offset == 0)
			survival = 1;
		else if (max_tokens <= 0 || output_tokens + offset < max_tokens)
			survival = length_curve_survival(
					   curve, output_tokens + offset) /
				   survival_now;
		demand->mean[i] = (float)(size * survival);
		demand->variance[i] =
			(float)(size * size * survival * (1 - survival));
		demand->common[i] = (float)(COMMON_SLOPE * size * survival *
					    (1 - survival));
	}
}

/* Adds the demand of a request to the load of an engine. */
void admission_load_add(struct admission_load *load,
			const struct admission_demand *demand)
{
	for (int32_t i = 0; i < ADMISSION_HORIZONS; i++) {
		load->mean[i] += demand->mean[i];
		load->variance[i] += demand->variance[i];
		load->common[i] += demand->common[i];
	}
}

/* Subtracts the demand of a request, as it was added. */
void admission_load_remove(struct admission_load *load,
			   const struct admission_demand *demand)
{
	for (int32_t i = 0; i < ADMISSION_HORIZONS; i++) {
		load->mean[i] -= demand->mean[i];
		load->variance[i] -= demand->variance[i];
		load->common[i] -= demand->common[i];
	}
}

/*
 * Highest memory need over all horizons, in tokens, including the margin, if
 * the request extra is added to the load. The lengths of different requests
 * are taken as independent except for one common factor, by which all
 * estimates are wrong when the mix of requests shifts.
 */
double admission_peak(const struct admission_load *load,
		      const struct admission_demand *extra,
		      const struct admission_margin *margin)
{
	double peak = 0;

	for (int32_t i = 0; i < ADMISSION_HORIZONS; i++) {
		double mean = load->mean[i] + extra->mean[i];
		double variance = load->variance[i] + extra->variance[i];
		double common =
			margin->common * (load->common[i] + extra->common[i]);
		double total = MAX(variance, 0) + common * common;

		peak = MAX(peak, mean + margin->deviations * sqrt(total));
	}
	return peak;
}

static gint compare_tokens_left(gconstpointer a, gconstpointer b)
{
	const struct admission_known_run *x = a;
	const struct admission_known_run *y = b;

	return x->remaining > y->remaining ? -1 : x->remaining < y->remaining;
}

/*
 * Exact peak of memory in tokens if the ends of all requests (struct
 * admission_known_run) are known. Just before each end, all requests that end
 * later still hold their memory, and each has grown by the same number of
 * tokens. Sorts the array.
 */
double admission_exact_peak(GArray *known)
{
	double peak = 0;
	double held = 0;

	g_array_sort(known, compare_tokens_left);
	for (guint i = 0; i < known->len; i++) {
		const struct admission_known_run *item =
			&g_array_index(known, struct admission_known_run, i);

		held += (double)item->held;
		peak = MAX(peak,
			   held + (double)(i + 1) * (double)item->remaining);
	}
	return peak;
}
