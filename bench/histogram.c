#include "bench/histogram.h"

/* Values below this have a bin each; above, so many bins an octave. */
#define LINEAR 32
#define LINEAR_LOG2 5

static int32_t histogram_bin(int64_t value)
{
	int32_t shift;

	if (value < LINEAR)
		return (int32_t)MAX(value, 0);
	shift = 63 - __builtin_clzll((uint64_t)value) - LINEAR_LOG2;
	return MIN((shift + 1) * LINEAR + (int32_t)(value >> shift) - LINEAR,
		   HISTOGRAM_BINS - 1);
}

static double histogram_bin_middle(int32_t bin)
{
	int32_t shift = bin / LINEAR - 1;

	if (bin < LINEAR)
		return bin;
	return (double)((int64_t)(LINEAR + bin % LINEAR) << shift) +
	       (double)((int64_t)1 << shift) / 2;
}

/* Counts a value; negative ones count as 0. */
void histogram_add(struct histogram *histogram, int64_t value)
{
	histogram->count++;
	histogram->sum += (double)value;
	histogram->bins[histogram_bin(value)]++;
}

/* The value under which this part of the counts lies; 0 when empty. */
double histogram_quantile(const struct histogram *histogram, double part)
{
	double rank = part * (double)histogram->count;
	uint64_t seen = 0;

	for (int32_t bin = 0; bin < HISTOGRAM_BINS; bin++) {
		seen += histogram->bins[bin];
		if (seen > 0 && (double)seen >= rank)
			return histogram_bin_middle(bin);
	}
	return 0;
}

/* Mean of all counted values. */
double histogram_mean(const struct histogram *histogram)
{
	return histogram->count ? histogram->sum / (double)histogram->count : 0;
}
