#include "adapters/gateway/endpoint_pool.h"

#include <string.h>

/* Idle connections to all endpoints together; a node needs a few to each. */
#define MAX_IDLE_CONNECTIONS 64

struct idle {
	struct endpoint_pool *pool;
	char *address;
	struct tcp_stream *stream;
	int64_t until_us;
};

struct endpoint_pool {
	GPtrArray *idle; /* owns struct idle; most recently used last */
};

static void idle_destroy(gpointer data)
{
	struct idle *idle = data;

	tcp_stream_destroy(idle->stream);
	g_free(idle->address);
	g_free(idle);
}

static void idle_remove(struct idle *idle)
{
	g_ptr_array_remove(idle->pool->idle, idle);
}

/* No request is pending, so any data received is unexpected. */
static void on_received(void *data, const char *bytes, size_t size)
{
	(void)bytes;
	(void)size;
	idle_remove(data);
}

static void on_ended(void *data)
{
	idle_remove(data);
}

static void on_failed(void *data, const struct error *error)
{
	(void)error;
	idle_remove(data);
}

static const struct tcp_stream_events idle_events = {
	.received = on_received,
	.ended = on_ended,
	.failed = on_failed,
};

/* Creates an empty pool. */
struct endpoint_pool *endpoint_pool_create(void)
{
	struct endpoint_pool *pool = g_new0(struct endpoint_pool, 1);

	pool->idle = g_ptr_array_new_with_free_func(idle_destroy);
	return pool;
}

/* Closes all connections and frees the pool; NULL is allowed. */
void endpoint_pool_destroy(struct endpoint_pool *pool)
{
	if (!pool)
		return;
	g_ptr_array_unref(pool->idle);
	g_free(pool);
}

/*
 * Removes and returns the most recently used connection to the address; the
 * caller owns it. NULL: there is none.
 */
struct tcp_stream *endpoint_pool_take(struct endpoint_pool *pool,
				      const char *address, int64_t now_us)
{
	for (guint i = pool->idle->len; i-- > 0;) {
		struct idle *idle = g_ptr_array_index(pool->idle, i);
		struct tcp_stream *stream = idle->stream;

		if (now_us >= idle->until_us ||
		    strcmp(idle->address, address) != 0)
			continue;
		idle->stream = NULL;
		g_ptr_array_remove_index(pool->idle, i);
		return stream;
	}
	return NULL;
}

/* Adds a connection, which the pool owns until it is taken or expires. */
void endpoint_pool_put(struct endpoint_pool *pool, const char *address,
		       struct tcp_stream *stream, int64_t until_us)
{
	struct idle *idle = g_new0(struct idle, 1);

	idle->pool = pool;
	idle->address = g_strdup(address);
	idle->stream = stream;
	idle->until_us = until_us;
	tcp_stream_set_owner(stream, &idle_events, idle);
	tcp_stream_set_reading(stream, true);
	g_ptr_array_add(pool->idle, idle);
	if (pool->idle->len > MAX_IDLE_CONNECTIONS)
		g_ptr_array_remove_index(pool->idle, 0);
}

/* Closes expired connections. */
void endpoint_pool_step(struct endpoint_pool *pool, int64_t now_us)
{
	for (guint i = pool->idle->len; i-- > 0;) {
		const struct idle *idle = g_ptr_array_index(pool->idle, i);

		if (now_us >= idle->until_us)
			g_ptr_array_remove_index(pool->idle, i);
	}
}
