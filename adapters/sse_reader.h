#ifndef ADAPTERS_SSE_READER_H
#define ADAPTERS_SSE_READER_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Server-sent events as they arrive, in pieces cut anywhere. Pure; the text
 * held is bounded by event_bytes_max.
 */
struct sse_event {
	const char *id;	  /* "" where the event has none */
	const char *type; /* "message" where the event has none */
	const char *data; /* lines joined by \n */
	size_t data_length;
};

/* False stops the reader: it takes no more input. */
typedef bool (*sse_event_function)(void *data, const struct sse_event *event);

struct sse_reader;

struct sse_reader *sse_reader_create(size_t event_bytes_max,
				     sse_event_function event, void *data);
void sse_reader_destroy(struct sse_reader *reader);
bool sse_reader_feed(struct sse_reader *reader, const char *bytes,
		     size_t length, struct error *error);

G_END_DECLS

#endif
