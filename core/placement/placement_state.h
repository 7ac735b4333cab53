#ifndef CORE_PLACEMENT_PLACEMENT_STATE_H
#define CORE_PLACEMENT_PLACEMENT_STATE_H

#include "core/placement/endpoint_book.h"
#include "core/placement/length_estimate.h"
#include "core/placement/placement.h"
#include "core/placement/wait_queue.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Internal state, for the placement_*.c files only. */
struct placement {
	struct placement_options options;
	struct length_estimate *lengths;
	struct wait_queue *queue;
	GHashTable *calls;	/* ticket -> struct placed_call */
	GHashTable *by_address; /* address -> struct endpoint_book */
	GPtrArray *books;
	GPtrArray *submitted; /* struct placed_call, since the last step */
	GRand *rand;
	int32_t share_divisor;
	int64_t largest_tokens;		/* largest memory of any endpoint */
	struct endpoint_book *reserved; /* held for a waiting long request */
	uint64_t reserved_for;		/* ticket of that request */
	double deviations;		/* margin, adapted to preemptions */

	/* Rate at which requests end in any way, in tokens or plain calls. */
	double ended_per_s;
	double ended; /* since rate_updated_us */
	int64_t rate_updated_us;

	/*
	 * Decayed sums over ended requests, which predict the end rate when all
	 * endpoints are full.
	 */
	double decayed_tokens;	/* tokens or plain calls */
	double decayed_token_s; /* the same, times the seconds they were held */

	int64_t interval_us;	  /* between tokens; median of the endpoints */
	double plain_duration_us; /* recent mean of plain calls */
	bool recheck;		  /* a change may allow more placements */
	struct placement_counts counts;
};

struct endpoint_book *placement_find_endpoint(struct placement *placement,
					      const char *address);
struct placed_call *placement_find_call(struct placement *placement,
					uint64_t ticket);
void placement_remove_call(struct placement *placement,
			   struct placed_call *call);
void placement_refresh_demand(struct placed_call *call, int64_t now_us);
void placement_assign(struct placement *placement, struct placed_call *call,
		      struct endpoint_book *book, int64_t now_us);
struct endpoint_book *placement_choose(struct placement *placement,
				       struct placed_call *call,
				       int64_t now_us);
void placement_check_endpoints(struct placement *placement, int64_t now_us);
void placement_put_aside(struct placement *placement,
			 struct endpoint_book *book, int64_t now_us);
bool placement_is_eligible(const struct placement *placement,
			   const struct endpoint_book *book);
double placement_deadline_chance(struct placement *placement,
				 struct placed_call *call, int64_t start_us);
int64_t placement_interval_us(const struct placement *placement);

G_END_DECLS

#endif
