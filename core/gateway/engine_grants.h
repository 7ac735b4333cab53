#ifndef CORE_GATEWAY_ENGINE_GRANTS_H
#define CORE_GATEWAY_ENGINE_GRANTS_H

#include "core/gateway/registry.h"

#include <glib.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * What a home has granted to other nodes and they have not told of yet. Many
 * nodes that choose engines by themselves, each by what the others held half a
 * second ago, send their prompts to the same ones, and callers wait for the
 * first event behind all of them. So one node chooses for all, and counts each
 * choice from the moment of making it.
 *
 * Counted in the registry's endpoints, so that whoever chooses sees them.
 */
struct engine_grants;

struct engine_grant {
	const char *node; /* that asked */
	uint64_t number;  /* of its question, rising */
	const char *endpoint_id;
	const char *backup_id; /* keeps a copy; NULL: none */
	int64_t tokens;
	int64_t prompt_tokens;
};

struct engine_grants *engine_grants_create(struct registry *registry);
void engine_grants_destroy(struct engine_grants *grants);
void engine_grants_add(struct engine_grants *grants,
		       const struct engine_grant *grant, int64_t now_us);
void engine_grants_told(struct engine_grants *grants, const char *node,
			uint64_t answered);
void engine_grants_step(struct engine_grants *grants, int64_t now_us);

G_END_DECLS

#endif
