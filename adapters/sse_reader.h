#ifndef ADAPTERS_SSE_READER_H
#define ADAPTERS_SSE_READER_H

#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

G_BEGIN_DECLS

/*
 * Incremental parser for server-sent events, fed in pieces of any size. It
 * does no I/O and buffers at most event_bytes_max bytes.
 */
struct sse_event {
	const char *id;	  /* "" if the event has none */
	const char *type; /* "message" if the event has none */
	const char *data; /* lines joined by \n */
	size_t data_length;
};

/* Called for each event; returning false makes the reader ignore the rest. */
typedef bool (*sse_event_function)(void *data, const struct sse_event *event);

struct sse_reader;

struct sse_reader *sse_reader_create(size_t event_bytes_max,
				     sse_event_function event, void *data);
void sse_reader_destroy(struct sse_reader *reader);
bool sse_reader_feed(struct sse_reader *reader, const char *bytes,
		     size_t length, struct error *error);

G_END_DECLS

#endif
