#ifndef ADAPTERS_ENGINE_EVENT_H
#define ADAPTERS_ENGINE_EVENT_H

#include "adapters/sse_reader.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* One validated event of an engine's stream. */
struct engine_event {
	bool done; /* [DONE] */
	bool has_text;
	bool other_generation;	/* its id names another generation */
	int64_t first_token;	/* of this event's tokens */
	int64_t token_count;	/* in this event */
	int64_t total_tokens;	/* from the usage; -1: not given */
	char finish_reason[32]; /* "": not finished */
};

/* Longest generation handle accepted from an engine. */
#define GENERATION_BYTES_MAX 95

bool engine_event_read(const struct sse_event *sse, const char *generation,
		       int64_t next_token, struct engine_event *event,
		       struct error *error);
bool engine_generation_valid(const char *generation);
bool engine_stream_is_complete(const GByteArray *text);

G_END_DECLS

#endif
