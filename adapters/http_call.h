#ifndef ADAPTERS_HTTP_CALL_H
#define ADAPTERS_HTTP_CALL_H

#include "adapters/http_answer.h"
#include "ports/action.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One open exchange with a caller. It ends exactly once: by a complete answer,
 * by a refusal, by the end of its stream, or because the caller disconnected.
 */
struct http_call_options {
	uint64_t number;
	SoupServerMessage *message;
	bool stream; /* answer as server-sent events */
	bool chat;
	int64_t stream_buffer_bytes;
	int64_t collect_bytes;
	void (*disconnected)(void *data, uint64_t number);
	void (*flow)(void *data, uint64_t number, bool full);
	void *data;
};

struct http_call;

struct http_call *http_call_create(const struct http_call_options *options);
void http_call_destroy(struct http_call *call);

/* A result of true means that the call has ended and must be destroyed. */
bool http_call_answer(struct http_call *call,
		      const struct action_call_answer *answer);
bool http_call_refuse(struct http_call *call,
		      const struct action_call_refuse *refuse);
void http_call_begin(struct http_call *call);
bool http_call_chunk(struct http_call *call,
		     const struct action_call_chunk *chunk);
bool http_call_end(struct http_call *call, const struct action_call_end *end);

G_END_DECLS

#endif
