#ifndef CORE_GATEWAY_ENDPOINT_CHOICE_H
#define CORE_GATEWAY_ENDPOINT_CHOICE_H

#include "core/gateway/endpoint_rates.h"
#include "core/gateway/region_limits.h"
#include "core/gateway/registry.h"
#include "core/gateway/route_table.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Criteria for choosing the endpoint of a request, or the one that keeps a
 * backup of its generation. Each node decides by itself, from its own load and
 * the load that the other nodes announced a quarter of a second ago.
 */
struct endpoint_criteria {
	const char *service;
	const struct engine_capabilities *engine; /* slots 0: a plain service */
	const char *failure_domain;		  /* the preferred one */
	double other_domain_weight; /* penalty of another one; 0: default */
	const GPtrArray *avoid;	    /* char *: endpoint ids, or NULL */
	const char *avoid_id;	    /* one more endpoint id, or NULL */
	bool is_for_other; /* another node sends: rests here don't matter */
	int64_t tokens;	   /* in memory at the expected end; 0: plain service */
	int64_t prompt_tokens;
	int64_t begin_within_us; /* time left for the first event; 0: any */
	double reserved_share;	 /* of all memory, kept free for moves */
	bool gives_way; /* moves may use what new requests leave free */
	const struct service_speed *speed; /* NULL: the speed of endpoints does
					      not count */
	int64_t longest_pause_us;	   /* that the stream allows; 0: any */
	struct region_limits regions;
	struct endpoint_rates rates;
	int64_t now_us;
	double draw; /* random, in [0, 1) */
};

bool endpoint_choice_exists(const struct registry *registry,
			    const struct endpoint_criteria *criteria);
bool endpoint_choice_is_limited(const struct registry *registry,
				const struct endpoint_criteria *criteria,
				int64_t *wait_us);
bool endpoint_choice_is_resting(const struct registry *registry,
				const struct endpoint_criteria *criteria,
				int64_t *wait_us);
double endpoint_choice_leaving_share(const struct registry *registry,
				     const struct endpoint_criteria *criteria);
struct endpoint *endpoint_choose(const struct registry *registry,
				 const struct endpoint_criteria *criteria);
struct endpoint *
endpoint_choose_for_move(const struct registry *registry,
			 const struct endpoint_criteria *criteria);
struct endpoint *
endpoint_choose_backup(const struct registry *registry,
		       const struct endpoint_criteria *criteria);

G_END_DECLS

#endif
