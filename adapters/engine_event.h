#ifndef ADAPTERS_ENGINE_EVENT_H
#define ADAPTERS_ENGINE_EVENT_H

#include "adapters/sse_reader.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* What one event of an engine's stream says, checked. */
struct engine_event {
	bool done; /* [DONE] */
	bool has_text;
	bool crossed;		/* belongs to another generation */
	int64_t first_token;	/* of this event's tokens */
	int64_t token_count;	/* in this event */
	int64_t total_tokens;	/* of the usage; -1: not said */
	char finish_reason[32]; /* "": not finished */
};

/* Longest handle of a generation that is taken from an engine. */
#define GENERATION_BYTES_MAX 95

bool engine_event_read(const struct sse_event *sse, const char *generation,
		       int64_t next_token, struct engine_event *event,
		       struct error *error);
bool engine_generation_valid(const char *generation);
bool engine_stream_is_whole(const GByteArray *text);

G_END_DECLS

#endif
