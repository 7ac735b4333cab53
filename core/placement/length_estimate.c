#include "core/placement/length_estimate.h"

/* One bin per token below this length, then four per octave. */
#define SINGLE_TOKEN_BINS 8
#define BINS_PER_OCTAVE 4
#define PROMPT_SIZES 20 /* one per octave */
/*
 * Hazards before any answer is observed: low for short answers, and higher
 * with each doubling of the length. With the same hazard at each doubling the
 * expected remaining length would grow without bound, and a new home would
 * treat engines that it knows nothing about as full.
 */
#define PRIOR_HAZARD_START 0.01
#define PRIOR_HAZARD_STEP 0.012 /* per bin after the single-token bins */
#define PRIOR_HAZARD_MAX 0.5
#define PRIOR_WEIGHT_ANSWERS 4
#define CONFIDENCE_ANSWERS 4 /* this many give a confidence of 1/2 */
#define REBUILD_OBSERVATIONS 16
#define HAZARD_MAX 0.999
#define SURVIVAL_MIN 1e-12F

struct length_class {
	struct length_estimate *estimate;
	struct length_class *parent; /* NULL: the root */
	float reached[LENGTH_BINS];
	float ended[LENGTH_BINS];
	struct length_curve curve;
	uint64_t curve_version;
	char *key;    /* NULL: root or prompt size, never evicted */
	int32_t refs; /* calls and child classes */
	GList unused; /* link in the estimate's queue while refs is 0 */
};

struct length_estimate {
	struct length_estimate_options options;
	struct length_class root;
	struct length_class prompt_sizes[PROMPT_SIZES];
	GHashTable *classes; /* key -> struct length_class */
	GQueue unused;	  /* struct length_class, least recently used first */
	uint64_t version; /* observations so far */
	double shift_ended;
	double shift_expected;
};

/* Sets the default options; docs/POLICY.md explains the memories. */
void length_estimate_options_default(struct length_estimate_options *options)
{
	options->memory = 64;
	options->parent = 2;
	options->shift_memory = 40;
	options->max_classes = 4096;
}

static int32_t floor_log2(int64_t n)
{
	return 63 - __builtin_clzll((uint64_t)n);
}

static int32_t length_bin(int64_t n)
{
	int32_t octave;

	if (n < SINGLE_TOKEN_BINS)
		return (int32_t)MAX(n, 0);
	if (n > LENGTH_MAX_TOKENS)
		return LENGTH_BINS - 1;
	octave = floor_log2(n);
	return SINGLE_TOKEN_BINS + (octave - 3) * BINS_PER_OCTAVE +
	       (int32_t)((n >> (octave - 2)) & 3);
}

static int64_t length_bin_start(int32_t bin)
{
	int32_t octave;

	if (bin < SINGLE_TOKEN_BINS)
		return bin;
	octave = 3 + (bin - SINGLE_TOKEN_BINS) / BINS_PER_OCTAVE;
	return (int64_t)(4 + (bin - SINGLE_TOKEN_BINS) % BINS_PER_OCTAVE)
	       << (octave - 2);
}

static void length_class_init(struct length_class *cls,
			      struct length_estimate *estimate,
			      struct length_class *parent)
{
	cls->estimate = estimate;
	cls->parent = parent;
	cls->curve_version = UINT64_MAX;
	cls->unused.data = cls;
}

static void length_class_free(gpointer data)
{
	struct length_class *cls = data;

	g_free(cls->key);
	g_free(cls);
}

/*
 * Creates an estimate without observations. The options are copied. The caller
 * frees it with length_estimate_destroy.
 */
struct length_estimate *
length_estimate_create(const struct length_estimate_options *options)
{
	struct length_estimate *estimate = g_new0(struct length_estimate, 1);

	estimate->options = *options;
	estimate->classes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  length_class_free);
	g_queue_init(&estimate->unused);
	length_class_init(&estimate->root, estimate, NULL);
	for (int32_t i = 0; i < PROMPT_SIZES; i++)
		length_class_init(&estimate->prompt_sizes[i], estimate,
				  &estimate->root);
	return estimate;
}

/* Frees the estimate and all its classes; NULL is allowed. */
void length_estimate_destroy(struct length_estimate *estimate)
{
	if (!estimate)
		return;
	g_hash_table_unref(estimate->classes);
	g_free(estimate);
}

static struct length_class *length_class_ref(struct length_class *cls)
{
	if (cls->key && cls->refs == 0)
		g_queue_unlink(&cls->estimate->unused, &cls->unused);
	cls->refs++;
	return cls;
}

/*
 * Releases a reference to a class. Its counts are kept until the class is
 * evicted for a new one.
 */
void length_class_unref(struct length_class *cls)
{
	if (--cls->refs == 0 && cls->key)
		g_queue_push_tail_link(&cls->estimate->unused, &cls->unused);
}

/*
 * Evicts unused classes until one more fits. Without a limit, callers could
 * grow the table at will, since they determine the prompts.
 */
static void length_estimate_evict(struct length_estimate *estimate)
{
	while (g_hash_table_size(estimate->classes) >=
	       (guint)estimate->options.max_classes) {
		GList *link = g_queue_pop_head_link(&estimate->unused);
		struct length_class *cls;

		if (!link)
			return;
		cls = link->data;
		length_class_unref(cls->parent);
		g_hash_table_remove(estimate->classes, cls->key);
	}
}

static struct length_class *
length_estimate_find_or_add(struct length_estimate *estimate, const char *key,
			    struct length_class *parent)
{
	struct length_class *cls = g_hash_table_lookup(estimate->classes, key);

	if (cls)
		return length_class_ref(cls);
	length_class_ref(parent);
	length_estimate_evict(estimate);
	cls = g_new0(struct length_class, 1);
	length_class_init(cls, estimate, parent);
	cls->key = g_strdup(key);
	cls->refs = 1;
	g_hash_table_insert(estimate->classes, cls->key, cls);
	return cls;
}

/*
 * Returns the class of an organisation's prompts that begin with the prefix,
 * or, if prefix_hash is 0, of its prompts in the same octave of prompt tokens.
 * The caller releases it with length_class_unref.
 */
struct length_class *length_estimate_get_class(struct length_estimate *estimate,
					       const char *organisation,
					       int64_t prompt_tokens,
					       uint64_t prefix_hash)
{
	int32_t size = MIN(floor_log2(MAX(prompt_tokens, 1)), PROMPT_SIZES - 1);
	struct length_class *by_size;
	struct length_class *cls;
	char key[160];

	g_snprintf(key, sizeof(key), "%d/%s", size, organisation);
	by_size = length_estimate_find_or_add(estimate, key,
					      &estimate->prompt_sizes[size]);
	if (!prefix_hash)
		return by_size;
	g_snprintf(key, sizeof(key), "p%" G_GINT64_MODIFIER "x/%s", prefix_hash,
		   organisation);
	cls = length_estimate_find_or_add(estimate, key, by_size);
	length_class_unref(by_size);
	return cls;
}

/* Returns the number of classes by organisation, used or unused. */
size_t length_estimate_class_count(const struct length_estimate *estimate)
{
	return g_hash_table_size(estimate->classes);
}

/*
 * Returns the ratio of the ends observed lately, in all classes, to the ends
 * expected from the hazards. Below 1, answers end later than the bins predict.
 */
double length_estimate_shift(const struct length_estimate *estimate)
{
	double weight = estimate->options.shift_memory;

	return (estimate->shift_ended + weight) /
	       (estimate->shift_expected + weight);
}

static double length_prior_hazard(int32_t bin)
{
	if (bin < SINGLE_TOKEN_BINS)
		return PRIOR_HAZARD_START;
	return MIN(PRIOR_HAZARD_STEP * (bin - SINGLE_TOKEN_BINS + 1),
		   PRIOR_HAZARD_MAX);
}

static double length_class_hazard(const struct length_class *cls, int32_t bin)
{
	double hazard = length_prior_hazard(bin);
	double weight = PRIOR_WEIGHT_ANSWERS;

	if (cls->parent) {
		hazard = length_class_hazard(cls->parent, bin);
		weight = cls->estimate->options.parent;
	}
	return (cls->ended[bin] + weight * hazard) /
	       (cls->reached[bin] + weight);
}

static void length_estimate_count_shift(struct length_estimate *estimate,
					double expected, double ended)
{
	double decay =
		1 - (expected + ended) / (2 * estimate->options.shift_memory);

	decay = MAX(decay, 0);
	estimate->shift_expected = estimate->shift_expected * decay + expected;
	estimate->shift_ended = estimate->shift_ended * decay + ended;
}

/*
 * Returns how far the estimate rests on answers of the class itself rather than
 * of its parents: 0 without any, rising towards 1. An answer counts as soon as
 * it has passed its first token.
 */
double length_class_confidence(const struct length_class *cls)
{
	return cls->reached[1] / (cls->reached[1] + CONFIDENCE_ANSWERS);
}

static void length_class_count_bin(struct length_class *cls, int32_t bin,
				   bool ended)
{
	struct length_estimate *estimate = cls->estimate;
	float decay = (float)(1 - 1 / estimate->options.memory);
	double hazard = length_class_hazard(cls, bin);

	length_estimate_count_shift(estimate, ended ? hazard / 2 : hazard,
				    ended ? 1 : 0);
	for (; cls; cls = cls->parent) {
		cls->reached[bin] = cls->reached[bin] * decay + 1;
		cls->ended[bin] = cls->ended[bin] * decay + (ended ? 1 : 0);
	}
	estimate->version++;
}

/*
 * Counts that a running answer grew from one number of tokens to another. Each
 * token must be counted once; a range with to below from is ignored.
 */
void length_class_count_progress(struct length_class *cls, int64_t from,
				 int64_t to)
{
	int32_t last = length_bin(to);

	for (int32_t bin = length_bin(from); bin < last; bin++)
		length_class_count_bin(cls, bin, false);
}

/*
 * Counts that an answer ended by itself at this length, in tokens; from is the
 * length up to which it was counted before.
 */
void length_class_count_end(struct length_class *cls, int64_t from,
			    int64_t length)
{
	length_class_count_progress(cls, from, length);
	length_class_count_bin(cls, length_bin(MAX(from, length)), true);
}

/* The shift scales the odds of ending, so that each hazard stays below 1. */
static void length_class_rebuild(struct length_class *cls)
{
	double shift = length_estimate_shift(cls->estimate);
	float survival = 1;

	for (int32_t bin = 0; bin < LENGTH_BINS; bin++) {
		double hazard = length_class_hazard(cls, bin);

		hazard = shift * hazard / (1 + (shift - 1) * hazard);
		cls->curve.survival[bin] = survival;
		survival *= (float)(1 - MIN(hazard, HAZARD_MAX));
		survival = MAX(survival, SURVIVAL_MIN);
	}
	cls->curve.survival[LENGTH_BINS] = survival;
	cls->curve_version = cls->estimate->version;
}

/*
 * Returns the survival curve of the class, which the class owns. It is rebuilt
 * after REBUILD_OBSERVATIONS and is valid until the next call for this class.
 */
const struct length_curve *length_class_curve(struct length_class *cls)
{
	if (cls->curve_version == UINT64_MAX ||
	    cls->estimate->version - cls->curve_version >= REBUILD_OBSERVATIONS)
		length_class_rebuild(cls);
	return &cls->curve;
}

/* Returns the probability that an answer gets longer than n tokens. */
double length_curve_survival(const struct length_curve *curve, int64_t n)
{
	int32_t bin = length_bin(n);
	int64_t start = length_bin_start(bin);
	int64_t width = length_bin_start(bin + 1) - start;
	double fraction =
		(double)(MIN(n, LENGTH_MAX_TOKENS) - start) / (double)width;

	return curve->survival[bin] +
	       (curve->survival[bin + 1] - curve->survival[bin]) * fraction;
}

/*
 * Returns the mean number of tokens that follow after the first output_tokens.
 * max_tokens limits the length of the answer; 0 means no limit.
 */
double length_curve_mean_remaining(const struct length_curve *curve,
				   int64_t output_tokens, int64_t max_tokens)
{
	double now = length_curve_survival(curve, output_tokens);
	double remaining = 0;
	int64_t from = output_tokens;

	if (max_tokens <= 0)
		max_tokens = LENGTH_MAX_TOKENS;
	for (int32_t bin = length_bin(output_tokens); bin < LENGTH_BINS;
	     bin++) {
		int64_t to = MIN(length_bin_start(bin + 1), max_tokens);

		if (to <= from)
			break;
		remaining += (double)(to - from) *
			     (length_curve_survival(curve, from) +
			      length_curve_survival(curve, to)) /
			     2;
		from = to;
	}
	return remaining / MAX(now, 1e-9);
}
