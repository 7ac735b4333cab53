#ifndef FAKES_KV_SERVER_H
#define FAKES_KV_SERVER_H

#include "fakes/fake_server.h"
#include "fakes/kv_gateway.h"
#include "fakes/kv_model.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Serves the key-value model over HTTP with the paths of etcd's JSON gateway.
 * POST /fake/mode sets the modes below; GET /fake/calls returns the number of
 * requests of each call.
 */
struct kv_server_modes {
	bool down;		/* answer 503 to all requests, end watches */
	bool stall;		/* accept requests, apply and answer none */
	int64_t slow_ms;	/* delay of each answer, except to a watch */
	int64_t lose_answers;	/* apply this many writes unanswered */
	int64_t expire_lease;	/* revoke the lease with this id at once */
	int64_t watch_delay_ms; /* maximum delay of changes to watches */
	bool close_watches;	/* close the open watches once */
};

struct kv_server;

struct kv_server *kv_server_create(struct fake_server *fake);
void kv_server_destroy(struct kv_server *server);
struct kv_model *kv_server_model(struct kv_server *server);
struct kv_server_modes *kv_server_modes(struct kv_server *server);
uint64_t kv_server_count(const struct kv_server *server, enum kv_call call);
void kv_server_update(struct kv_server *server);

G_END_DECLS

#endif
