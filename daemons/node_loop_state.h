#ifndef DAEMONS_NODE_LOOP_STATE_H
#define DAEMONS_NODE_LOOP_STATE_H

#include "adapters/endpoint_client.h"
#include "adapters/gateway/store_calls.h"
#include "adapters/http_server.h"
#include "adapters/kv_client.h"
#include "adapters/log.h"
#include "adapters/order_client.h"
#include "adapters/peer_link.h"
#include "adapters/vm_list_client.h"
#include "core/node/node.h"
#include "daemons/gateway_wiring.h"
#include "daemons/node_loop.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * State shared by the sources of the loop: node_loop.c delivers events, applies
 * actions and handles signals, node_loop_create.c creates the adapters from the
 * settings.
 */
struct node_loop {
	GMainLoop *main;
	struct node *node;
	struct log *log;
	struct http_server *http;
	struct endpoint_client *endpoints;
	struct order_client *orders;
	struct kv_client *kv;	   /* NULL: not configured */
	struct store_calls *store; /* the platform's, used if kv is NULL */
	struct peer_link *peers;
	struct vm_list_client *vm_list;
	struct gateway_wiring *gateway; /* NULL: none */
	struct action_list *actions;
	GSource *timer;
	int64_t clock_offset_us; /* core time minus monotonic time */
	bool stepping;
	bool stopping; /* SIGTERM or SIGINT was received */
	int64_t flush_until_us;
	guint flush_source;
	guint signal_sources[4];
	char *config_path;
	int64_t config_changed_us;
	guint file_source;
};

/* node_loop.c */
void node_loop_deliver(void *data, const struct event *event);
void node_loop_gateway_stopped(void *data, int64_t left_us);
void node_loop_create_timer(struct node_loop *loop);
enum log_level node_loop_parse_level(const char *name);
int64_t node_loop_file_changed_us(const char *path);

G_END_DECLS

#endif
