#include "bench/workload.h"

#include <math.h>

/* Time between two tokens of a full engine that reads no prompt. */
#define NOMINAL_INTERVAL_US 14400.0
#define NOMINAL_PREFILL_US 80.0
#define MAX_OUTPUT_TOKENS 8192
#define SAMPLES 20000
#define CHECKS_SHARE 0.7 /* of the requests to engines */
#define PLAIN_MEAN_US 120000.0
#define BURST_EVERY_US (100 * G_USEC_PER_SEC)
#define BURST_FOR_US (20 * G_USEC_PER_SEC)
#define TEMPLATES 5
#define TEMPLATE_TOKENS 512

struct shape {
	double prompt_median;
	double prompt_sigma;
	double output_median;
	double output_sigma;
	int64_t deadline_us;
	int32_t priority;
};

static const struct shape shapes[WORKLOAD_KINDS] = {
	[WORKLOAD_REPORT] = {1000, 0.6, 600, 0.8, 180 * G_USEC_PER_SEC, 5},
	[WORKLOAD_CHECK] = {250, 0.4, 40, 0.5, 8 * G_USEC_PER_SEC, 5},
	[WORKLOAD_PLAIN] = {1, 0, PLAIN_MEAN_US, 0.5, 3 * G_USEC_PER_SEC, 5},
};

/* Report lengths of an organisation relative to the common median. */
static const double verbosity[WORKLOAD_ORGANISATIONS] = {
	1.0, 0.7, 1.4, 0.6, 0.8, 0.9, 1.1, 1.2, 1.5, 1.0,
};

static const char *const organisation_names[WORKLOAD_ORGANISATIONS] = {
	"large-a", "large-b", "large-c", "small-d", "small-e",
	"small-f", "small-g", "small-h", "small-i", "small-j",
};

/* Sets the defaults: ten engines, full load, 300 s, no shift or flood. */
void workload_options_default(struct workload_options *options)
{
	*options = (struct workload_options){
		.load = 1,
		.engines = 10,
		.capacity_tokens = 60000,
		.plain_slots = 48,
		.duration_us = 300 * G_USEC_PER_SEC,
		.burst = 1,
		.shift = 1,
		.shift_rate = 1,
		.flood = 1,
		.seed = 1,
	};
}

/*
 * Returns the weight of an organisation; a large one has four times the weight
 * of a small one.
 */
int32_t workload_organisation_weight(int32_t organisation)
{
	return organisation < WORKLOAD_LARGE ? 4 : 1;
}

/* Returns the name of an organisation by its number. */
const char *workload_organisation_name(int32_t organisation)
{
	return organisation_names[organisation];
}

static double draw_normal(GRand *rand)
{
	double u = 1 - g_rand_double(rand);

	return sqrt(-2 * log(u)) * cos(2 * G_PI * g_rand_double(rand));
}

static int64_t draw_size(GRand *rand, double median, double sigma)
{
	return (int64_t)(median * exp(sigma * draw_normal(rand)));
}

static int32_t draw_organisation(GRand *rand)
{
	int32_t total = 0;
	int32_t at;

	for (int32_t i = 0; i < WORKLOAD_ORGANISATIONS; i++)
		total += workload_organisation_weight(i);
	at = g_rand_int_range(rand, 0, total);
	for (int32_t i = 0; i < WORKLOAD_ORGANISATIONS; i++) {
		at -= workload_organisation_weight(i);
		if (at < 0)
			return i;
	}
	return 0;
}

static void item_draw(struct workload_item *item, GRand *rand, double shift)
{
	const struct shape *shape = &shapes[item->kind];
	double median = shape->output_median;
	int32_t template;

	if (item->kind == WORKLOAD_REPORT)
		median *= verbosity[item->organisation] * shift;
	item->priority = shape->priority;
	item->deadline_us = shape->deadline_us;
	item->prompt_tokens = CLAMP(
		draw_size(rand, shape->prompt_median, shape->prompt_sigma), 16,
		16000);
	item->output_tokens = draw_size(rand, median, shape->output_sigma);
	if (item->kind == WORKLOAD_PLAIN)
		return;
	item->output_tokens = CLAMP(item->output_tokens, 1, MAX_OUTPUT_TOKENS);
	template = 1 + item->organisation *TEMPLATES * 2 +
		   (int32_t)item->kind *TEMPLATES +
		   g_rand_int_range(rand, 0, TEMPLATES);
	item->prefix_hash = (uint64_t) template;
	item->prefix_tokens = MIN(TEMPLATE_TOKENS, item->prompt_tokens / 2);
}

static enum workload_kind draw_kind(GRand *rand)
{
	return g_rand_double(rand) < CHECKS_SHARE ? WORKLOAD_CHECK
						  : WORKLOAD_REPORT;
}

/* Returns the mean memory use of a request to engines, in token-seconds. */
static double workload_mean_memory(double shift)
{
	GRand *rand = g_rand_new_with_seed(4711);
	double sum = 0;

	for (int32_t i = 0; i < SAMPLES; i++) {
		struct workload_item item = {0};
		double output;
		double prompt;

		item.organisation = draw_organisation(rand);
		item.kind = draw_kind(rand);
		item_draw(&item, rand, shift);
		output = (double)item.output_tokens;
		prompt = (double)item.prompt_tokens;
		sum += prompt * prompt * NOMINAL_PREFILL_US +
		       (prompt * output + output * output / 2) *
			       NOMINAL_INTERVAL_US;
	}
	g_rand_free(rand);
	return sum / SAMPLES / G_USEC_PER_SEC;
}

static double workload_rate(const struct workload_options *options,
			    int64_t at_us)
{
	double rate = 1;

	if (options->burst > 1 && at_us % BURST_EVERY_US < BURST_FOR_US)
		rate = options->burst;
	if (options->shift_at_us > 0 && at_us >= options->shift_at_us)
		rate *= options->shift_rate;
	return rate;
}

static void workload_add(GArray *items, const struct workload_options *options,
			 GRand *rand, int64_t at_us, bool plain, bool flood)
{
	bool shifted =
		options->shift_at_us > 0 && at_us >= options->shift_at_us;
	struct workload_item item = {.at_us = at_us};

	item.organisation = flood ? 0 : draw_organisation(rand);
	item.kind = plain ? WORKLOAD_PLAIN : draw_kind(rand);
	item_draw(&item, rand, shifted ? options->shift : 1);
	g_array_append_val(items, item);
}

/* Adds Poisson arrivals, thinned from the highest rate. */
static void workload_add_stream(GArray *items,
				const struct workload_options *options,
				double per_s, bool plain, bool flood)
{
	GRand *rand = g_rand_new_with_seed(
		(guint32)(options->seed * 4 + plain * 2 + flood));
	double max_rate = options->burst * MAX(options->shift_rate, 1);
	int64_t at_us = flood ? options->flood_at_us : 0;

	for (;;) {
		double gap = -log(1 - g_rand_double(rand)) / (per_s * max_rate);

		at_us += (int64_t)(gap * G_USEC_PER_SEC) + 1;
		if (at_us >= options->duration_us)
			break;
		if (g_rand_double(rand) * max_rate <
		    workload_rate(options, at_us))
			workload_add(items, options, rand, at_us, plain, flood);
	}
	g_rand_free(rand);
}

static gint item_compare(gconstpointer a, gconstpointer b)
{
	const struct workload_item *x = a;
	const struct workload_item *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/*
 * Returns all requests of a run in order of arrival, an array of struct
 * workload_item that the caller owns. The flood has its own random stream, so
 * that the other requests are the same with and without it.
 */
GArray *workload_generate(const struct workload_options *options)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct workload_item));
	double memory =
		(double)options->engines * (double)options->capacity_tokens;
	double per_s = options->load * memory / workload_mean_memory(1);
	double plain_per_s = options->load * options->plain_slots *
			     G_USEC_PER_SEC / PLAIN_MEAN_US / 2;
	double share =
		(double)workload_organisation_weight(0) /
		(4 * WORKLOAD_LARGE + WORKLOAD_ORGANISATIONS - WORKLOAD_LARGE);

	workload_add_stream(items, options, per_s, false, false);
	if (options->plain_slots > 0)
		workload_add_stream(items, options, plain_per_s, true, false);
	if (options->flood_at_us > 0)
		workload_add_stream(items, options,
				    per_s * share * (options->flood - 1), false,
				    true);
	g_array_sort(items, item_compare);
	return items;
}

/* Returns the rate factor that keeps the memory load at that length shift. */
double workload_shift_rate(double shift)
{
	return workload_mean_memory(1) / workload_mean_memory(shift);
}
