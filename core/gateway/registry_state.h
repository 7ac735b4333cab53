#ifndef CORE_GATEWAY_REGISTRY_STATE_H
#define CORE_GATEWAY_REGISTRY_STATE_H

#include "core/gateway/registry.h"

/* Private to the registry: its endpoints, and other nodes' load on them. */

struct registry {
	GHashTable *by_id;    /* endpoint id to struct endpoint */
	GHashTable *by_key;   /* endpoint_key to struct endpoint */
	GPtrArray *endpoints; /* owns struct endpoint */
	GHashTable *nodes;    /* node name to struct holder_node */
	struct cordon_set *cordons;
	int64_t era;	    /* of the store, the highest seen */
	int64_t settled_us; /* until then the store may lack entries, or
			       hold those of endpoints that have left */
};

GHashTable *holder_nodes_create(void);
void registry_add_key(struct registry *registry, struct endpoint *endpoint);
void endpoint_update_cordon(struct endpoint *endpoint,
			    const struct registry *registry, int64_t now_us);

#endif
