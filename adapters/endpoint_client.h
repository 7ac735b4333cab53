#ifndef ADAPTERS_ENDPOINT_CLIENT_H
#define ADAPTERS_ENDPOINT_CLIENT_H

#include "adapters/log.h"
#include "core/base/counters.h"
#include "core/base/error.h"
#include "ports/action.h"
#include "ports/sink.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * HTTP client for engines, plain endpoints and other nodes, based on libsoup.
 * It executes ACTION_ATTEMPT_* and ACTION_POLL_LOAD and delivers
 * EVENT_ATTEMPT_* and EVENT_LOAD.
 */
struct endpoint_client_options {
	const char *node_name; /* sent to other nodes with forwarded requests */
	int64_t max_answer_bytes;
	int64_t connect_timeout_ms;
	int64_t load_timeout_ms;
	struct log *log;
	struct counters *counters;
};

struct endpoint_client;

struct endpoint_client *
endpoint_client_create(const struct endpoint_client_options *options,
		       const struct event_sink *sink);
void endpoint_client_destroy(struct endpoint_client *client);
void endpoint_client_apply(struct endpoint_client *client,
			   const struct action *action);

G_END_DECLS

#endif
