#ifndef FAKES_KV_GATEWAY_H
#define FAKES_KV_GATEWAY_H

#include "fakes/kv_model.h"

#include <glib.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Serves the key-value model with the paths and bodies of etcd v3's JSON
 * gateway.
 */

enum kv_call {
	KV_CALL_RANGE,
	KV_CALL_TXN,
	KV_CALL_LEASE_GRANT,
	KV_CALL_LEASE_KEEPALIVE,
	KV_CALL_LEASE_REVOKE,
	KV_CALL_WATCH,
	KV_CALL_COUNT
};

/* A watch of one key or range, from a revision on. */
struct kv_gateway_watch {
	char *key;
	char *range_end;
	int64_t start_revision;
	uint64_t position; /* of the next change to look at in the history */
};

bool kv_gateway_find_call(const char *path, enum kv_call *call);
const char *kv_call_name(enum kv_call call);
bool kv_call_writes(enum kv_call call);

unsigned kv_gateway_answer(struct kv_model *model, enum kv_call call,
			   JsonObject *body, int64_t now_us,
			   JsonBuilder *answer);

bool kv_gateway_watch_parse(const struct kv_model *model, JsonObject *body,
			    struct kv_gateway_watch *watch);
void kv_gateway_watch_clear(struct kv_gateway_watch *watch);
char *kv_gateway_watch_created_line(const struct kv_model *model,
				    const struct kv_gateway_watch *watch,
				    bool *compacted);
char *kv_gateway_watch_next_line(const struct kv_model *model,
				 struct kv_gateway_watch *watch);

G_END_DECLS

#endif
