#include "core/placement/admission.h"

#include <math.h>

/*
 * Chance p that a request outlives a horizon becomes p^f when all hazards
 * shrink by a factor f. The slope of that in log f, -p ln p, is close to
 * p (1 - p) times this over the range that matters, without a logarithm.
 */
#define SHARED_SLOPE 1.4

/* Growing by the factor 1.6, so that the last is past any usual answer. */
static const int64_t horizons[ADMISSION_HORIZONS] = {
	0,   12,  20,  32,   51,   82,	 131,  210,
	336, 537, 859, 1374, 2199, 3518, 5629, 12000,
};

/*
 * What a request that holds its prompt and what it has made will hold at each
 * horizon. max_tokens 0: no bound.
 */
void admission_demand_fill(struct admission_demand *demand,
			   const struct length_curve *curve,
			   int64_t prompt_tokens, int64_t made,
			   int64_t max_tokens)
{
	double now = length_curve_survival(curve, made);
	int64_t held = prompt_tokens + made;

	for (int32_t i = 0; i < ADMISSION_HORIZONS; i++) {
		int64_t u = horizons[i];
		double lives = 0;
		double size = (double)(held + u);

		if (u == 0)
			lives = 1;
		else if (max_tokens <= 0 || made + u < max_tokens)
			lives = length_curve_survival(curve, made + u) / now;
		demand->mean[i] = (float)(size * lives);
		demand->variance[i] =
			(float)(size * size * lives * (1 - lives));
		demand->shared[i] =
			(float)(SHARED_SLOPE * size * lives * (1 - lives));
	}
}

/* Adds a request to what an engine holds. */
void admission_load_add(struct admission_load *load,
			const struct admission_demand *demand)
{
	for (int32_t i = 0; i < ADMISSION_HORIZONS; i++) {
		load->mean[i] += demand->mean[i];
		load->variance[i] += demand->variance[i];
		load->shared[i] += demand->shared[i];
	}
}

/* Takes out a request that was added with this demand. */
void admission_load_remove(struct admission_load *load,
			   const struct admission_demand *demand)
{
	for (int32_t i = 0; i < ADMISSION_HORIZONS; i++) {
		load->mean[i] -= demand->mean[i];
		load->variance[i] -= demand->variance[i];
		load->shared[i] -= demand->shared[i];
	}
}

/*
 * The most memory needed at any horizon, in tokens, with the margin, when one
 * request more is taken. Lengths of different requests are independent but
 * for one common factor, by which all are misjudged when the mix shifts.
 */
double admission_peak(const struct admission_load *load,
		      const struct admission_demand *extra,
		      const struct admission_margin *margin)
{
	double peak = 0;

	for (int32_t i = 0; i < ADMISSION_HORIZONS; i++) {
		double mean = load->mean[i] + extra->mean[i];
		double variance = load->variance[i] + extra->variance[i];
		double shared =
			margin->shared * (load->shared[i] + extra->shared[i]);
		double all = MAX(variance, 0) + shared * shared;

		peak = MAX(peak, mean + margin->deviations * sqrt(all));
	}
	return peak;
}

static gint admission_known_compare(gconstpointer a, gconstpointer b)
{
	const struct admission_known *x = a;
	const struct admission_known *y = b;

	return x->left > y->left ? -1 : x->left < y->left;
}

/*
 * The exact peak where all ends are known: just before each end, whatever
 * ends later still holds its memory, grown by as much. Sorts the array.
 */
double admission_known_peak(GArray *known)
{
	double peak = 0;
	double held = 0;

	g_array_sort(known, admission_known_compare);
	for (guint i = 0; i < known->len; i++) {
		const struct admission_known *item =
			&g_array_index(known, struct admission_known, i);

		held += (double)item->held;
		peak = MAX(peak, held + (double)(i + 1) * (double)item->left);
	}
	return peak;
}
