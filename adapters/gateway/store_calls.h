#ifndef ADAPTERS_GATEWAY_STORE_CALLS_H
#define ADAPTERS_GATEWAY_STORE_CALLS_H

#include "adapters/gateway/store_follower.h"
#include "adapters/log.h"
#include "core/base/error.h"
#include "ports/action.h"
#include "ports/kv.h"
#include "ports/sink.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Implements the key-value port on the platform's store. Carries out ACTION_KV
 * and ACTION_KV_WATCH; delivers EVENT_KV exactly once for each ACTION_KV, and
 * EVENT_KV_WATCH for each new state of a watched key. A call without an answer
 * is delivered as KV_ANSWER_LOST and never retried here: the sender retries
 * with the same condition, and whichever write the store applies first makes
 * the other one fail.
 */

/* Encodes and decodes single calls in the store's protocol. */
struct kv_dialect {
	void (*write_call)(const char *address,
			   const struct kv_request *request, GString *out);
	/* Fills in the outcome and its result, but not id and op. */
	bool (*read_call)(const struct kv_request *request, int32_t status,
			  int64_t era, GBytes *body, struct kv_answer *answer,
			  struct error *error);
};

struct store_calls_options {
	const char *address;
	const struct kv_dialect *dialect;
	const struct store_dialect *watch_dialect;
	uint64_t seed;
	struct log *log;
};

struct store_calls;

struct store_calls *
store_calls_create(const struct store_calls_options *options,
		   const struct event_sink *sink);
void store_calls_destroy(struct store_calls *calls);
void store_calls_apply(struct store_calls *calls, const struct action *action);

G_END_DECLS

#endif
