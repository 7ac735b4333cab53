#ifndef CORE_GATEWAY_CORDON_SET_H
#define CORE_GATEWAY_CORDON_SET_H

#include "ports/cordon.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * The failure domains under a cordon, as the store and other nodes tell. Each
 * is ordered by its position in the store's history, so that news that arrives
 * late, from a node that lags, neither restores nor lifts a cordon.
 */
struct cordon_set;

struct cordon_set *cordon_set_create(void);
void cordon_set_destroy(struct cordon_set *set);

bool cordon_set_apply(struct cordon_set *set, const struct cordon *news,
		      int64_t now_us);
void cordon_set_apply_listing(struct cordon_set *set, const GPtrArray *list,
			      int64_t position, int64_t now_us,
			      GPtrArray *changed);
void cordon_set_rewind(struct cordon_set *set);
void cordon_set_step(struct cordon_set *set, int64_t now_us,
		     GPtrArray *changed);

bool cordon_set_covers(const struct cordon_set *set,
		       const char *failure_domain);
bool cordon_set_is_known(const struct cordon_set *set);
void cordon_set_mark_known(struct cordon_set *set);
GPtrArray *cordon_set_list(const struct cordon_set *set);

/* Decides how many other nodes get the set in this step. */
size_t cordon_set_count_receivers(struct cordon_set *set, int64_t now_us);

G_END_DECLS

#endif
