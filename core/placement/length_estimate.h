#ifndef CORE_PLACEMENT_LENGTH_ESTIMATE_H
#define CORE_PLACEMENT_LENGTH_ESTIMATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Estimates the length of answers, in tokens, by organisation, prompt size and
 * prompt prefix; the prefix distinguishes prompt templates. Lengths fall into
 * bins that widen with the length. Each bin counts the answers that reached it
 * and those that ended in it, and both counts decay. Their ratio is the hazard
 * of ending in the bin. The hazards give the probability that an answer
 * continues, given its length so far (Kaplan and Meier, 1958). An answer
 * counts in each bin as it passes it, so that running answers are part of the
 * estimate before they end: a shift to longer answers shows as soon as answers
 * grow beyond the old lengths.
 */
#define LENGTH_BINS 72
#define LENGTH_MAX_TOKENS 524287

struct length_estimate_options {
	double memory;	     /* answers over which a bin decays */
	double parent;	     /* weight of the parent's hazard, in answers */
	double shift_memory; /* ends over which the shift decays */
	int32_t max_classes; /* least recently used is evicted first */
};

struct length_estimate;
struct length_class; /* reference counted; its estimate must outlive it */

void length_estimate_options_default(struct length_estimate_options *options);
struct length_estimate *
length_estimate_create(const struct length_estimate_options *options);
void length_estimate_destroy(struct length_estimate *estimate);
struct length_class *length_estimate_get_class(struct length_estimate *estimate,
					       const char *organisation,
					       int64_t prompt_tokens,
					       uint64_t prefix_hash);
void length_class_unref(struct length_class *cls);

double length_class_confidence(const struct length_class *cls);
size_t length_estimate_class_count(const struct length_estimate *estimate);

double length_estimate_shift(const struct length_estimate *estimate);

void length_class_count_progress(struct length_class *cls, int64_t from,
				 int64_t to);
void length_class_count_end(struct length_class *cls, int64_t from,
			    int64_t length);

/* Probability that an answer gets longer than n tokens; declines with n. */
struct length_curve {
	float survival[LENGTH_BINS + 1]; /* at the start of each bin */
};
const struct length_curve *length_class_curve(struct length_class *cls);
double length_curve_survival(const struct length_curve *curve, int64_t n);
double length_curve_mean_remaining(const struct length_curve *curve,
				   int64_t output_tokens, int64_t max_tokens);

G_END_DECLS

#endif
