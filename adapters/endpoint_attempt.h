#ifndef ADAPTERS_ENDPOINT_ATTEMPT_H
#define ADAPTERS_ENDPOINT_ATTEMPT_H

#include "adapters/http_exchange.h"
#include "core/base/counters.h"
#include "ports/action.h"
#include "ports/sink.h"

#include <glib.h>
#include <libsoup/soup.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * One request to an endpoint, from its sending to its last event. An attempt
 * delivers EVENT_ATTEMPT_* events until it ends, and then calls ended, in which
 * its owner destroys it.
 */
struct endpoint_attempt;

struct endpoint_attempt_owner {
	struct http_session_pool *sessions;
	const struct event_sink *sink;
	struct counters *counters;
	const char *node_name;
	int64_t max_answer_bytes;
	int64_t connect_timeout_ms;
	int64_t cancel_timeout_ms; /* wait for a generation to be named */
	void (*ended)(void *data, uint64_t attempt);
	void (*cancel_generation)(void *data, const char *endpoint,
				  const char *generation);
	void *data;
};

struct endpoint_attempt *
endpoint_attempt_send(const struct endpoint_attempt_owner *owner,
		      const struct action_attempt_send *send);
struct endpoint_attempt *
endpoint_attempt_resume(const struct endpoint_attempt_owner *owner,
			const struct action_attempt_resume *resume);
bool endpoint_attempt_cancel(struct endpoint_attempt *attempt,
			     bool keep_running);
void endpoint_attempt_pause(struct endpoint_attempt *attempt, bool pause);
void endpoint_attempt_destroy(struct endpoint_attempt *attempt);

G_END_DECLS

#endif
