#include "core/limit/retry_window.h"

/* A slot of the window leaves it as a whole. */
#define SLOTS 40

struct retry_window {
	int64_t slot_us;
	int64_t slot; /* since the clock's zero; the one being counted */
	int32_t firsts[SLOTS + 1];
	int32_t retries[SLOTS + 1];
	int32_t percent;
	double part;
};

/* A window in which nothing was sent, and nothing may be sent again yet. */
struct retry_window *retry_window_create(int64_t window_us, int64_t now_us)
{
	struct retry_window *window = g_new0(struct retry_window, 1);

	window->slot_us = MAX(window_us / SLOTS, 1);
	window->slot = now_us / window->slot_us;
	return window;
}

/* Frees a window; NULL is allowed. */
void retry_window_destroy(struct retry_window *window)
{
	g_free(window);
}

/*
 * percent: retries as a share of first sends; part: so many more, of which a
 * fraction counts together with the share.
 */
void retry_window_set_limits(struct retry_window *window, int32_t percent,
			     double part)
{
	window->percent = percent;
	window->part = part;
}

/* Time goes on; now_us never falls. */
void retry_window_step(struct retry_window *window, int64_t now_us)
{
	int64_t slot = now_us / window->slot_us;
	int64_t passed = MIN(slot - window->slot, SLOTS + 1);

	for (int64_t i = 0; i < passed; i++) {
		int64_t index = (slot - i) % (SLOTS + 1);

		window->firsts[index] = 0;
		window->retries[index] = 0;
	}
	window->slot = MAX(slot, window->slot);
}

/* Counts the first send of a request, which earns its share of a retry. */
void retry_window_count_first(struct retry_window *window)
{
	window->firsts[window->slot % (SLOTS + 1)]++;
}

/*
 * Whole retries left. The oldest slot is partly out of the window: its retries
 * still count and its requests don't, so that no window, wherever it begins,
 * has more than its requests allow.
 */
int64_t retry_window_left(const struct retry_window *window)
{
	int64_t oldest = (window->slot + 1) % (SLOTS + 1);
	int64_t firsts = 0, retries = 0;

	for (int64_t i = 0; i <= SLOTS; i++) {
		firsts += i == oldest ? 0 : window->firsts[i];
		retries += window->retries[i];
	}
	return (int64_t)(window->part +
			 (double)(firsts * window->percent) / 100) -
	       retries;
}

/* Takes one retry. False: none is left, and nothing is sent again. */
bool retry_window_take(struct retry_window *window)
{
	if (retry_window_left(window) <= 0)
		return false;
	window->retries[window->slot % (SLOTS + 1)]++;
	return true;
}
