#ifndef CORE_GATEWAY_RETRY_AFTER_H
#define CORE_GATEWAY_RETRY_AFTER_H

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * When callers are told to come back: soon where an endpoint is only full, and
 * later where the store or all endpoints are away. Outages last seconds, and a
 * caller that comes back into the same one has used its retry up.
 */
#define RETRY_SOON_US (300 * 1000)
#define RETRY_LATER_US (2 * G_USEC_PER_SEC)

int64_t retry_after_full_us(int64_t first_answer_us, double draw);

G_END_DECLS

#endif
