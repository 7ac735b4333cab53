#include "fakes/load_history.h"

#define SAMPLE_CAPACITY 256

struct load_sample {
	int64_t at_us;
	struct load_report load;
};

struct load_history {
	int64_t span_us;
	struct load_sample samples[SAMPLE_CAPACITY];
	uint64_t sample_count;
};

/* Creates an empty history that covers at least the last span_us. */
struct load_history *load_history_create(int64_t span_us)
{
	struct load_history *history = g_new0(struct load_history, 1);

	history->span_us = span_us;
	return history;
}

/* Frees the history; NULL is allowed. */
void load_history_destroy(struct load_history *history)
{
	g_free(history);
}

static const struct load_sample *
history_sample(const struct load_history *history, uint64_t number)
{
	return &history->samples[number % SAMPLE_CAPACITY];
}

/*
 * Records the current load. A load within span_us / (SAMPLE_CAPACITY / 2) after
 * the latest sample replaces that sample's load, so that the ring always covers
 * more than the span.
 */
void load_history_add(struct load_history *history,
		      const struct load_report *load, int64_t now_us)
{
	int64_t spacing_us = history->span_us / (SAMPLE_CAPACITY / 2);
	uint64_t count = history->sample_count;

	if (!count ||
	    now_us - history_sample(history, count - 1)->at_us > spacing_us) {
		history->samples[count % SAMPLE_CAPACITY].at_us = now_us;
		count = ++history->sample_count;
	}
	history->samples[(count - 1) % SAMPLE_CAPACITY].load = *load;
}

/*
 * Finds the latest load recorded at or before then_us. Returns false if there
 * is none.
 */
bool load_history_find(const struct load_history *history, int64_t then_us,
		       struct load_report *load)
{
	uint64_t count = history->sample_count;
	uint64_t oldest = count > SAMPLE_CAPACITY ? count - SAMPLE_CAPACITY : 0;

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

/* Removes all samples. */
void load_history_clear(struct load_history *history)
{
	history->sample_count = 0;
}
