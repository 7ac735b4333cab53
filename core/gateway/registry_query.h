#ifndef CORE_GATEWAY_REGISTRY_QUERY_H
#define CORE_GATEWAY_REGISTRY_QUERY_H

#include "core/gateway/registry.h"
#include "ports/action.h"
#include "ports/event.h"

G_BEGIN_DECLS

/*
 * What an operator sees of the registry: each endpoint, and all that keeps this
 * node from sending it requests.
 */

/* One answer lists at most so many endpoints. */
#define REGISTRY_QUERY_MAX 1000

void registry_answer_query(const struct registry *registry,
			   const struct event_query *query, int64_t now_us,
			   struct action_list *actions);

G_END_DECLS

#endif
