#ifndef CORE_GATEWAY_RETRY_AFTER_H
#define CORE_GATEWAY_RETRY_AFTER_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Delays for the Retry-After of a refused request: a short one where a retry
 * can soon succeed, as when endpoints are only full, and a longer one while the
 * store or all endpoints are unavailable. Outages last seconds, and a caller
 * that retries within the same outage has used up its retry.
 */
#define RETRY_SOON_US (300 * 1000)
#define RETRY_LATER_US (2 * G_USEC_PER_SEC)

int64_t retry_after_limited_us(int64_t wait_us, double draw);
int64_t retry_after_resting_us(int64_t wait_us, double draw);
int64_t retry_after_memory_us(int64_t wait_us, double draw);
int64_t retry_after_full_us(int64_t first_answer_us, double draw);

G_END_DECLS

#endif
