#ifndef CORE_GATEWAY_ENDPOINT_CHOICE_H
#define CORE_GATEWAY_ENDPOINT_CHOICE_H

#include "core/gateway/registry.h"
#include "core/gateway/route_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Where a request goes, and where a backup of its generation is kept. Each
 * node decides by itself, from what it holds and what the others said they
 * hold a quarter of a second ago.
 */
struct endpoint_wish {
	const char *service;
	const struct engine_ability *engine; /* slots 0: a plain service */
	const char *failure_domain;	     /* to be near to */
	double far_weight;		     /* of another one; 0: little */
	const GPtrArray *avoid;		     /* char *: ids, or NULL */
	const char *avoid_also;		     /* one more id, or NULL */
	int64_t tokens; /* in memory at the expected end; 0: plain */
	int64_t now_us;
	double draw; /* from 0 up to 1 */
};

struct endpoint *endpoint_choose(const struct registry *registry,
				 const struct endpoint_wish *wish);
struct endpoint *endpoint_choose_rescue(const struct registry *registry,
					const struct endpoint_wish *wish);
struct endpoint *endpoint_choose_backup(const struct registry *registry,
					const struct endpoint_wish *wish);

G_END_DECLS

#endif
