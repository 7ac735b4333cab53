#ifndef CORE_GATEWAY_ENGINE_GRANTS_H
#define CORE_GATEWAY_ENGINE_GRANTS_H

#include "core/gateway/registry.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Grants that a home has given to other nodes and that these nodes do not yet
 * include in the load they announce. Many nodes that choose engines
 * independently, each by the load of the others half a second ago, send their
 * prompts to the same engines, and callers wait for the first event behind all
 * of these prompts. So one node chooses for all, and counts each choice as soon
 * as it is made.
 *
 * Grants are counted in the registry's endpoints, where every later choice of
 * this node includes them.
 */
struct engine_grants;

struct engine_grant {
	const char *node;	 /* the requester */
	uint64_t number;	 /* of its request, increasing */
	const char *endpoint_id; /* runs the request; NULL: a move */
	const char *backup_id;	 /* gets a copy; NULL: none */
	int64_t tokens;
	int64_t prompt_tokens;
};

struct engine_grants *engine_grants_create(struct registry *registry);
void engine_grants_destroy(struct engine_grants *grants);
void engine_grants_add(struct engine_grants *grants,
		       const struct engine_grant *grant, int64_t now_us);
void engine_grants_confirm(struct engine_grants *grants, const char *node,
			   uint64_t answered_up_to);
void engine_grants_expire(struct engine_grants *grants, int64_t now_us);

G_END_DECLS

#endif
