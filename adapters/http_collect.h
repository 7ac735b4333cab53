#ifndef ADAPTERS_HTTP_COLLECT_H
#define ADAPTERS_HTTP_COLLECT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Joins the chunks of a generation in a bounded buffer, for a caller that
 * requested one JSON object instead of a stream.
 */
struct http_collect;

struct http_collect *http_collect_create(bool chat, int64_t bytes_max);
void http_collect_destroy(struct http_collect *collect);
bool http_collect_add(struct http_collect *collect, GBytes *data);
GBytes *http_collect_finish(struct http_collect *collect, uint64_t call,
			    int64_t token_count, const char *finish_reason);

G_END_DECLS

#endif
