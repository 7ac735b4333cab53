#ifndef ADAPTERS_ENDPOINT_ATTEMPT_STATE_H
#define ADAPTERS_ENDPOINT_ATTEMPT_STATE_H

#include "adapters/endpoint_attempt.h"
#include "adapters/engine_event.h"
#include "adapters/sse_reader.h"
#include "core/base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Private to the endpoint_attempt*.c files. */
struct endpoint_attempt {
	const struct endpoint_attempt_owner *owner;
	uint64_t number;
	char *endpoint;
	struct http_exchange *exchange;
	bool resume;
	bool to_node;
	bool chunked;
	bool replayed;
	bool buffered;	/* delivers the complete answer at once, not a stream */
	bool cancelled; /* waits only for the generation to cancel */
	bool closed;	/* delivers no more events */
	guint pending_source;
	int32_t status;
	char *content_type;
	GByteArray *body;	   /* of a buffered answer */
	struct sse_reader *reader; /* of a stream */
	char *generation;	   /* "" until the engine has named it */
	int64_t next_token;
	int64_t total_tokens; /* -1: unknown */
	char *finish_reason;
};

void endpoint_attempt_fail(struct endpoint_attempt *attempt,
			   enum attempt_stage stage, const struct error *error);
void endpoint_attempt_fail_sent(struct endpoint_attempt *attempt,
				enum error_code code, const char *text);
void endpoint_attempt_deliver_started(struct endpoint_attempt *attempt);
void endpoint_attempt_deliver_chunk(struct endpoint_attempt *attempt,
				    const struct sse_event *sse,
				    const struct engine_event *engine);
void endpoint_attempt_deliver_done(struct endpoint_attempt *attempt);
void endpoint_attempt_deliver_answer(struct endpoint_attempt *attempt);

G_END_DECLS

#endif
