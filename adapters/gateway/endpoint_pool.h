#ifndef ADAPTERS_GATEWAY_ENDPOINT_POOL_H
#define ADAPTERS_GATEWAY_ENDPOINT_POOL_H

#include "adapters/gateway/tcp_stream.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Idle connections to endpoints, by address, for use by later requests. A
 * connection is dropped when the endpoint sends data on it or closes it.
 */
struct endpoint_pool;

struct endpoint_pool *endpoint_pool_create(void);
void endpoint_pool_destroy(struct endpoint_pool *pool);
struct tcp_stream *endpoint_pool_take(struct endpoint_pool *pool,
				      const char *address, int64_t now_us);
void endpoint_pool_put(struct endpoint_pool *pool, const char *address,
		       struct tcp_stream *stream, int64_t until_us);
void endpoint_pool_step(struct endpoint_pool *pool, int64_t now_us);

G_END_DECLS

#endif
