#ifndef CORE_LIMIT_RATE_WINDOW_H
#define CORE_LIMIT_RATE_WINDOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The times at which requests were sent, for a limit on those in any window of
 * time. A window that is NULL is empty.
 */
struct rate_window;

void rate_window_destroy(struct rate_window *window);
void rate_window_add(struct rate_window **window, int64_t span_us,
		     int64_t now_us);
bool rate_window_allows(const struct rate_window *window, int64_t quota,
			int64_t span_us, int64_t now_us);
int64_t rate_window_wait_us(const struct rate_window *window, int64_t quota,
			    int64_t span_us, int64_t now_us);

G_END_DECLS

#endif
