#ifndef ADAPTERS_ORDER_CLIENT_H
#define ADAPTERS_ORDER_CLIENT_H

#include "adapters/log.h"
#include "ports/action.h"
#include "ports/sink.h"

G_BEGIN_DECLS

/*
 * Sends orders to engines. Executes ACTION_ORDER and ACTION_READ_ORDER and
 * delivers exactly one EVENT_ORDER or EVENT_ORDER_STATE for each.
 */
struct order_client;

struct order_client *order_client_create(struct log *log,
					 const struct event_sink *sink);
void order_client_destroy(struct order_client *client);
void order_client_apply(struct order_client *client,
			const struct action *action);

G_END_DECLS

#endif
