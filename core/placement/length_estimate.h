#ifndef CORE_PLACEMENT_LENGTH_ESTIMATE_H
#define CORE_PLACEMENT_LENGTH_ESTIMATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * How long answers get, by organisation, size of prompt and its first part,
 * which tells one template from another. Lengths fall into bins that widen
 * with the length; each bin keeps how many answers reached it and how many
 * ended in it, with old ones fading. Their ratio is the hazard of ending
 * there, and from the hazards follows the chance that an answer goes on, given
 * what it has made (Kaplan and Meier, 1958). An answer counts in each bin as
 * it passes, so what still runs is in the estimate before it ends: a longer
 * mix shows as soon as answers outlive the old one.
 */
#define LENGTH_BINS 72
#define LENGTH_LONGEST 524287

struct length_estimate_options {
	double memory;	     /* answers a bin remembers */
	double parent;	     /* answers that the parent's hazard weighs */
	double shift_memory; /* ends by which a shift of all is judged */
	int32_t max_classes; /* the longest unused goes first */
};

struct length_estimate;
struct length_class; /* counted by reference; its estimate must outlive it */

void length_estimate_options_default(struct length_estimate_options *options);
struct length_estimate *
length_estimate_create(const struct length_estimate_options *options);
void length_estimate_destroy(struct length_estimate *estimate);
struct length_class *length_estimate_class(struct length_estimate *estimate,
					   const char *organisation,
					   int64_t prompt_tokens,
					   uint64_t prefix_hash);
void length_class_unref(struct length_class *cls);

/* From 0, nothing was seen of this class itself, towards 1. */
double length_class_known(const struct length_class *cls);
size_t length_estimate_class_count(const struct length_estimate *estimate);

/* Factor by which all answers now end sooner or later, and its deviation. */
double length_estimate_shift(const struct length_estimate *estimate);

void length_class_count_progress(struct length_class *cls, int64_t from,
				 int64_t to);
void length_class_count_end(struct length_class *cls, int64_t from,
			    int64_t length);

/* Chance that an answer gets longer than n; declines with n. */
struct length_curve {
	float survival[LENGTH_BINS + 1]; /* at the start of each bin */
};
const struct length_curve *length_class_curve(struct length_class *cls);
double length_curve_survival(const struct length_curve *curve, int64_t n);
double length_curve_mean_left(const struct length_curve *curve, int64_t made,
			      int64_t max_tokens);

G_END_DECLS

#endif
