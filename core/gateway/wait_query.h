#ifndef CORE_GATEWAY_WAIT_QUERY_H
#define CORE_GATEWAY_WAIT_QUERY_H

#include "core/gateway/wait_room.h"
#include "ports/action.h"
#include "ports/event.h"

G_BEGIN_DECLS

/*
 * What an operator sees of the generations that wait: each request, and what
 * each organisation has got.
 */

/* One answer lists at most so many requests of a service, and so many
 * organisations. */
#define WAIT_QUERY_MAX 1000

/* Who waits: a request of this node by its id, or one of another node. */
struct wait_owner {
	const char *request; /* "": of another node */
	const char *node;
};

typedef struct wait_owner (*wait_owner_name)(const void *owner);

struct wait_query;

struct wait_query *wait_query_begin(void);
void wait_query_add_room(struct wait_query *query, const char *service,
			 struct wait_room *room, wait_owner_name name,
			 int64_t now_us);
void wait_query_add_asked(struct wait_query *query, const char *request,
			  const char *home, int64_t waited_us);
void wait_query_answer(struct wait_query *query, uint64_t call,
		       struct action_list *actions);

G_END_DECLS

#endif
