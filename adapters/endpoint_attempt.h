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
 * One request to an endpoint, from its sending to its last event. Delivers
 * EVENT_ATTEMPT_* until it ends, and asks its owner to destroy it then.
 */
struct endpoint_attempt;

struct endpoint_attempt_owner {
	struct http_sessions *sessions;
	const struct event_sink *sink;
	struct counters *counters;
	const char *node_name;
	int64_t max_answer_bytes;
	int64_t connect_timeout_ms;
	int64_t cancel_timeout_ms; /* for learning what to cancel */
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
