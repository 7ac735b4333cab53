#include "core/placement/pace.h"

#define DECAY_TOKENS 20000.0 /* observed tokens until old ones count 1/e */
#define PRIOR_TOKENS 200.0   /* weight of each of the two prior points */
#define PRIOR_BATCH 128.0
#define MIN_INTERVAL_US 100.0

static void pace_add(struct pace *pace, double batch, double interval_us,
		     double weight)
{
	pace->weight += weight;
	pace->batch += weight * batch;
	pace->batch_squared += weight * batch * batch;
	pace->interval += weight * interval_us;
	pace->batch_interval += weight * batch * interval_us;
}

/*
 * Starts from two points: a third of step_us at an empty batch, and step_us at
 * PRIOR_BATCH.
 */
void pace_init(struct pace *pace, int64_t step_us)
{
	*pace = (struct pace){0};
	pace_add(pace, 0, (double)step_us / 3, PRIOR_TOKENS);
	pace_add(pace, PRIOR_BATCH, (double)step_us, PRIOR_TOKENS);
}

/*
 * Adds an observation: a stream in a batch of this size generated this number
 * of tokens in elapsed_us. Values that are not positive are ignored.
 */
void pace_observe(struct pace *pace, int32_t batch, int64_t tokens,
		  int64_t elapsed_us)
{
	double decay;

	if (tokens <= 0 || elapsed_us <= 0 || batch <= 0)
		return;
	decay = MAX(1 - (double)tokens / DECAY_TOKENS, 0.5);
	pace->weight *= decay;
	pace->batch *= decay;
	pace->batch_squared *= decay;
	pace->interval *= decay;
	pace->batch_interval *= decay;
	pace_add(pace, batch, (double)elapsed_us / (double)tokens,
		 (double)MIN(tokens, 1000));
}

/*
 * Returns the expected time between tokens at this batch size. A negative slope
 * counts as zero, because a larger batch does not make an engine faster.
 */
int64_t pace_interval_us(const struct pace *pace, int32_t batch)
{
	double mean_batch = pace->batch / pace->weight;
	double mean = pace->interval / pace->weight;
	double spread =
		pace->batch_squared / pace->weight - mean_batch * mean_batch;
	double slope = 0;

	if (spread > 1)
		slope = (pace->batch_interval / pace->weight -
			 mean_batch * mean) /
			spread;
	slope = MAX(slope, 0);
	return (int64_t)MAX(mean + slope * (batch - mean_batch),
			    MIN_INTERVAL_US);
}
