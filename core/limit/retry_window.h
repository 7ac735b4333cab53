#ifndef CORE_LIMIT_RETRY_WINDOW_H
#define CORE_LIMIT_RETRY_WINDOW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Limits the retries that one node sends to one service: in any window of time,
 * a share of the requests that it has sent there in that window, and a fixed
 * number. All of them may be used at once, because they are needed at once:
 * when an engine leaves, its generations all move within a second.
 */
struct retry_window;

struct retry_window *retry_window_create(int64_t window_us, int64_t now_us);
void retry_window_destroy(struct retry_window *window);
void retry_window_set_limits(struct retry_window *window, int32_t percent,
			     double extra);
void retry_window_step(struct retry_window *window, int64_t now_us);
void retry_window_count_request(struct retry_window *window);
bool retry_window_take(struct retry_window *window);
void retry_window_count_retry(struct retry_window *window);
int64_t retry_window_remaining(const struct retry_window *window);

G_END_DECLS

#endif
