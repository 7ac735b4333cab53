#ifndef BENCH_HISTOGRAM_H
#define BENCH_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Counts durations in bins that are 3% wide, so that the distribution of tens
 * of millions of token intervals, including its far tail, fits in a few
 * kilobytes. The benchmarks have their own histogram because no Debian package
 * provides one of this kind for C.
 */
#define HISTOGRAM_BINS 1024

struct histogram {
	uint64_t count;
	double sum;
	uint64_t bins[HISTOGRAM_BINS];
};

void histogram_add(struct histogram *histogram, int64_t value);
double histogram_quantile(const struct histogram *histogram, double fraction);
double histogram_mean(const struct histogram *histogram);

G_END_DECLS

#endif
