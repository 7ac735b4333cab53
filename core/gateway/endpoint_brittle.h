#ifndef CORE_GATEWAY_ENDPOINT_BRITTLE_H
#define CORE_GATEWAY_ENDPOINT_BRITTLE_H

#include "core/gateway/endpoint_limit.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Pauses after rejections by a brittle endpoint: one that ends if it has to
 * reject more than a rate of requests. All nodes pause after a rejection that
 * any of them got; the pause is so long that the bound holds also if none hears
 * of the others' rejections.
 */
int64_t endpoint_brittle_pause_us(const struct endpoint_limit *rejections,
				  size_t nodes, double draw);

G_END_DECLS

#endif
