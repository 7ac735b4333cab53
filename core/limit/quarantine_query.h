#ifndef CORE_LIMIT_QUARANTINE_QUERY_H
#define CORE_LIMIT_QUARANTINE_QUERY_H

#include "core/limit/quarantine.h"
#include "ports/action.h"
#include "ports/event.h"

G_BEGIN_DECLS

/* Operators' queries: the requests in quarantine, and lifting it from one. */
bool quarantine_is_query(const struct event *event);
void quarantine_answer_query(struct quarantine *quarantine,
			     const struct event_query *query, int64_t now_us,
			     struct action_list *actions);

G_END_DECLS

#endif
