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

void endpoint_begin_start(struct endpoint *endpoint,
			  const struct registration *update, int64_t now_us);
bool registry_apply_entry(struct registry *registry, struct endpoint *endpoint,
			  const struct registration *entry, int64_t now_us);

/* Entries that their endpoint has to confirm. */
enum entry_order endpoint_compare_entry(const struct endpoint *endpoint,
					const struct registration *entry);
bool endpoint_accepts_entry(struct endpoint *endpoint,
			    const struct registration *entry, bool is_vouched,
			    int64_t now_us);
void endpoint_drop_unconfirmed(struct endpoint *endpoint);
void endpoint_check_status(struct endpoint *endpoint, int64_t now_us);
void endpoint_consider_old_notice(struct endpoint *endpoint,
				  const struct registration *notice,
				  int64_t now_us);
bool registry_expire_unconfirmed(struct registry *registry,
				 struct endpoint *endpoint, int64_t now_us);

GHashTable *holder_nodes_create(void);
void registry_add_key(struct registry *registry, struct endpoint *endpoint);
void endpoint_update_cordon(struct endpoint *endpoint,
			    const struct registry *registry, int64_t now_us);

#endif
