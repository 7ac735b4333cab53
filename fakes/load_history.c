#include "fakes/load_history.h"

#define SAMPLES 256

struct load_sample {
	int64_t at_us;
	struct load_report load;
};

struct load_history {
	int64_t span_us;
	struct load_sample samples[SAMPLES];
	uint64_t sample_count;
};

/* An empty history that will reach back over the span. */
struct load_history *load_history_create(int64_t span_us)
{
	struct load_history *history = g_new0(struct load_history, 1);

	history->span_us = span_us;
	return history;
}

/* NULL is allowed. */
void load_history_destroy(struct load_history *history)
{
	g_free(history);
}

static const struct load_sample *
history_sample(const struct load_history *history, uint64_t number)
{
	return &history->samples[number % SAMPLES];
}

/*
 * Keeps the load as it is now. Samples closer than half a ring's share of the
 * span are merged, so that the ring always reaches back beyond the span.
 */
void load_history_add(struct load_history *history,
		      const struct load_report *load, int64_t now_us)
{
	int64_t spacing_us = history->span_us / (SAMPLES / 2);
	uint64_t count = history->sample_count;

	if (!count ||
	    now_us - history_sample(history, count - 1)->at_us > spacing_us) {
		history->samples[count % SAMPLES].at_us = now_us;
		count = ++history->sample_count;
	}
	history->samples[(count - 1) % SAMPLES].load = *load;
}

/* The load as it last was at then_us; false: nothing is known of that time. */
bool load_history_find(const struct load_history *history, int64_t then_us,
		       struct load_report *load)
{
	uint64_t count = history->sample_count;
	uint64_t oldest = count > SAMPLES ? count - SAMPLES : 0;

	for (uint64_t n = count; n > oldest; n--) {
		const struct load_sample *sample =
			history_sample(history, n - 1);

		if (sample->at_us > then_us)
			continue;
		*load = sample->load;
		return true;
	}
	return false;
}

/* As if newly created. */
void load_history_clear(struct load_history *history)
{
	history->sample_count = 0;
}
