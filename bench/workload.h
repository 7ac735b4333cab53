#ifndef BENCH_WORKLOAD_H
#define BENCH_WORKLOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Generates requests like those of report and brief writers: long reports with
 * heavy-tailed lengths, short checks, and plain calls, from ten organisations
 * of which three are large. The same seed gives the same requests.
 */
#define WORKLOAD_ORGANISATIONS 10
#define WORKLOAD_LARGE 3

enum workload_kind {
	WORKLOAD_REPORT,
	WORKLOAD_CHECK,
	WORKLOAD_PLAIN,
	WORKLOAD_KINDS
};

struct workload_options {
	double load; /* share of the engines' memory */
	int32_t engines;
	int64_t capacity_tokens;
	int32_t plain_slots; /* total of all plain endpoints */
	int64_t duration_us;
	double burst;	     /* factor of the rate near a deadline; 1: none */
	int64_t shift_at_us; /* 0: never */
	double shift;	     /* factor of report lengths from then on */
	double shift_rate;   /* factor of the rate from then on */
	int64_t flood_at_us; /* 0: never */
	double flood;	     /* factor of the first organisation's rate */
	uint64_t seed;
};

struct workload_item {
	int64_t at_us;
	enum workload_kind kind;
	int32_t organisation;
	int32_t priority;
	int64_t prompt_tokens;
	int64_t output_tokens; /* plain calls: duration in us */
	int64_t deadline_us;   /* after arrival */
	uint64_t prefix_hash;
	int64_t prefix_tokens;
};

void workload_options_default(struct workload_options *options);
GArray *workload_generate(const struct workload_options *options);
double workload_shift_rate(double shift);
int32_t workload_organisation_weight(int32_t organisation);
const char *workload_organisation_name(int32_t organisation);

G_END_DECLS

#endif
