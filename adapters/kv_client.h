#ifndef ADAPTERS_KV_CLIENT_H
#define ADAPTERS_KV_CLIENT_H

#include "adapters/log.h"
#include "core/base/counters.h"
#include "core/base/error.h"
#include "ports/action.h"
#include "ports/sink.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Client of the platform's key-value service, through its JSON gateway (etcd
 * v3). Executes ACTION_KV and ACTION_KV_WATCH. Delivers EVENT_KV exactly once
 * for each ACTION_KV, and EVENT_KV_WATCH for each new state of a watched key.
 * After a watch has broken, the client reads the key and opens the watch
 * again, with backoff and jitter.
 */
struct kv_client_options {
	const char *address;
	int64_t max_value_bytes;
	int64_t watch_resync_ms; /* between reads of a watched key; 0: 10 s */
	uint64_t seed;		 /* of the jitter */
	struct log *log;
	struct counters *counters; /* of watches; the core counts its calls */
};

struct kv_client;

struct kv_client *kv_client_create(const struct kv_client_options *options,
				   const struct event_sink *sink);
void kv_client_destroy(struct kv_client *client);
void kv_client_apply(struct kv_client *client, const struct action *action);

G_END_DECLS

#endif
