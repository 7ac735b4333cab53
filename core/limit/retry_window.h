#ifndef CORE_LIMIT_RETRY_WINDOW_H
#define CORE_LIMIT_RETRY_WINDOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Retries of one service that one node may send: in any window of time a share
 * of the requests that it has sent there in that window, and a fixed part. All
 * of them may be used in one moment, which is when they are needed: the
 * generations of an engine that leaves all move within a second.
 */
struct retry_window;

struct retry_window *retry_window_create(int64_t window_us, int64_t now_us);
void retry_window_destroy(struct retry_window *window);
void retry_window_set_limits(struct retry_window *window, int32_t percent,
			     double part);
void retry_window_step(struct retry_window *window, int64_t now_us);
void retry_window_count_first(struct retry_window *window);
bool retry_window_take(struct retry_window *window);
int64_t retry_window_left(const struct retry_window *window);

G_END_DECLS

#endif
