#include "core/limit/retry_window.h"

/* Slots of a window. The counts of a slot leave the window together. */
#define WINDOW_SLOTS 40

struct retry_window {
	int64_t slot_us;
	int64_t slot; /* the current one, counted from the clock's zero */
	int32_t requests[WINDOW_SLOTS + 1];
	int32_t retries[WINDOW_SLOTS + 1];
	int32_t percent; /* retries per 100 requests */
	double extra;	 /* further retries per window */
};

/*
 * Creates a window without requests. Its limits are 0 until they are set, so no
 * retry is allowed yet. The caller frees it with retry_window_destroy.
 */
struct retry_window *retry_window_create(int64_t window_us, int64_t now_us)
{
	struct retry_window *window = g_new0(struct retry_window, 1);

	window->slot_us = MAX(window_us / WINDOW_SLOTS, 1);
	window->slot = now_us / window->slot_us;
	return window;
}

/* Frees a window; NULL is allowed. */
void retry_window_destroy(struct retry_window *window)
{
	g_free(window);
}

/*
 * Sets the limits: percent retries per 100 requests, and extra retries per
 * window. extra may have a fraction; only the sum of both is rounded down.
 */
void retry_window_set_limits(struct retry_window *window, int32_t percent,
			     double extra)
{
	window->percent = percent;
	window->extra = extra;
}

/* Moves the window to now_us, which must never decrease. */
void retry_window_step(struct retry_window *window, int64_t now_us)
{
	int64_t slot = now_us / window->slot_us;
	int64_t passed = MIN(slot - window->slot, WINDOW_SLOTS + 1);

	for (int64_t i = 0; i < passed; i++) {
		int64_t index = (slot - i) % (WINDOW_SLOTS + 1);

		window->requests[index] = 0;
		window->retries[index] = 0;
	}
	window->slot = MAX(slot, window->slot);
}

/* Counts the first send of a request, which adds percent / 100 of a retry. */
void retry_window_count_request(struct retry_window *window)
{
	window->requests[window->slot % (WINDOW_SLOTS + 1)]++;
}

/*
 * Returns the number of whole retries that remain; it may be negative. The
 * oldest slot is partly outside the window: its retries still count and its
 * requests do not, so that no window, wherever it begins, has more retries than
 * its requests allow.
 */
int64_t retry_window_remaining(const struct retry_window *window)
{
	int64_t oldest = (window->slot + 1) % (WINDOW_SLOTS + 1);
	int64_t requests = 0, retries = 0;

	for (int64_t i = 0; i <= WINDOW_SLOTS; i++) {
		requests += i == oldest ? 0 : window->requests[i];
		retries += window->retries[i];
	}
	return (int64_t)(window->extra +
			 (double)(requests * window->percent) / 100) -
	       retries;
}

/* Takes one retry. Returns false if none remains: the caller must not retry. */
bool retry_window_take(struct retry_window *window)
{
	if (retry_window_remaining(window) <= 0)
		return false;
	window->retries[window->slot % (WINDOW_SLOTS + 1)]++;
	return true;
}

/* Counts a retry that is made whether or not one remains. */
void retry_window_count_retry(struct retry_window *window)
{
	window->retries[window->slot % (WINDOW_SLOTS + 1)]++;
}
