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
 * The key-value model served on the gateway's paths, with the switches of
 * POST /fake/mode and the counts of GET /fake/calls.
 */
struct kv_server_modes {
	bool down;		/* 503 to all, and watches end */
	bool stall;		/* takes requests, applies and answers none */
	int64_t slow_ms;	/* each answer so much later */
	int64_t lose_answers;	/* so many writes are applied, then closed */
	int64_t lapse_lease;	/* ends this lease at once */
	int64_t watch_delay_ms; /* each change reaches watches so much later */
	bool close_watches;	/* once, when set */
};

struct kv_server;

struct kv_server *kv_server_create(struct fake_server *frame);
void kv_server_destroy(struct kv_server *server);
struct kv_model *kv_server_model(struct kv_server *server);
struct kv_server_modes *kv_server_modes(struct kv_server *server);
uint64_t kv_server_count(const struct kv_server *server, enum kv_call call);
void kv_server_changed(struct kv_server *server);

G_END_DECLS

#endif
