#include "bench/histogram.h"

/*
 * Values below this number have one bin each; each octave above has this many
 * bins.
 */
#define OCTAVE_BINS 32
#define OCTAVE_BINS_LOG2 5

static int32_t histogram_bin(int64_t value)
{
	int32_t shift;

	if (value < OCTAVE_BINS)
		return (int32_t)MAX(value, 0);
	shift = 63 - __builtin_clzll((uint64_t)value) - OCTAVE_BINS_LOG2;
	return MIN((shift + 1) * OCTAVE_BINS + (int32_t)(value >> shift) -
			   OCTAVE_BINS,
		   HISTOGRAM_BINS - 1);
}

static double histogram_bin_midpoint(int32_t bin)
{
	int32_t shift = bin / OCTAVE_BINS - 1;

	if (bin < OCTAVE_BINS)
		return bin;
	return (double)((int64_t)(OCTAVE_BINS + bin % OCTAVE_BINS) << shift) +
	       (double)((int64_t)1 << shift) / 2;
}

/* Counts a value; a negative value is counted in bin 0. */
void histogram_add(struct histogram *histogram, int64_t value)
{
	histogram->count++;
	histogram->sum += (double)value;
	histogram->bins[histogram_bin(value)]++;
}

/*
 * Returns the value below which this fraction (0 to 1) of the counted values
 * lies, to the precision of a bin; 0 when nothing was counted.
 */
double histogram_quantile(const struct histogram *histogram, double fraction)
{
	double rank = fraction * (double)histogram->count;
	uint64_t cumulative = 0;

	for (int32_t bin = 0; bin < HISTOGRAM_BINS; bin++) {
		cumulative += histogram->bins[bin];
		if (cumulative > 0 && (double)cumulative >= rank)
			return histogram_bin_midpoint(bin);
	}
	return 0;
}

/* Returns the mean of all counted values; 0 when nothing was counted. */
double histogram_mean(const struct histogram *histogram)
{
	return histogram->count ? histogram->sum / (double)histogram->count : 0;
}
