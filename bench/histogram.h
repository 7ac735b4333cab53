#ifndef BENCH_HISTOGRAM_H
#define BENCH_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Counts of durations in bins of 3%, so that the far tail of tens of millions
 * of token intervals fits in a few kilobytes. No Debian package has a
 * histogram of this kind for C, hence one of the bench's own.
 */
#define HISTOGRAM_BINS 1024

struct histogram {
	uint64_t count;
	double sum;
	uint64_t bins[HISTOGRAM_BINS];
};

void histogram_add(struct histogram *histogram, int64_t value);
double histogram_quantile(const struct histogram *histogram, double part);
double histogram_mean(const struct histogram *histogram);

G_END_DECLS

#endif
