#include "core/limit/rate_window.h"

struct rate_window {
	GArray *sent_us; /* int64_t, oldest first */
};

/* Frees a window; NULL is allowed. */
void rate_window_destroy(struct rate_window *window)
{
	if (!window)
		return;
	g_array_unref(window->sent_us);
	g_free(window);
}

/*
 * Counts a request that is sent now, and drops those older than span_us.
 * Creates the window if it is NULL; the caller frees it with
 * rate_window_destroy.
 */
void rate_window_add(struct rate_window **window, int64_t span_us,
		     int64_t now_us)
{
	GArray *sent_us;
	guint old = 0;

	if (!*window) {
		*window = g_new0(struct rate_window, 1);
		(*window)->sent_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	}
	sent_us = (*window)->sent_us;
	while (old < sent_us->len &&
	       now_us - g_array_index(sent_us, int64_t, old) > span_us)
		old++;
	g_array_remove_range(sent_us, 0, old);
	g_array_append_val(sent_us, now_us);
}

/*
 * Returns the time in us until one more request keeps to the quota in any span;
 * 0: now, -1: never.
 */
int64_t rate_window_wait_us(const struct rate_window *window, int64_t quota,
			    int64_t span_us, int64_t now_us)
{
	int64_t count = window ? window->sent_us->len : 0;
	int64_t blocking_us;

	if (quota <= 0)
		return -1;
	if (count < quota)
		return 0;
	blocking_us = g_array_index(window->sent_us, int64_t, count - quota);
	return MAX(blocking_us + span_us + 1 - now_us, 0);
}

/* Whether one more request may be sent now. */
bool rate_window_allows(const struct rate_window *window, int64_t quota,
			int64_t span_us, int64_t now_us)
{
	return rate_window_wait_us(window, quota, span_us, now_us) == 0;
}
