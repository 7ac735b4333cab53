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

/* Shared by the files of placement; not for others. */
struct placement {
	struct placement_options options;
	struct length_estimate *lengths;
	struct wait_queue *queue;
	GHashTable *calls;	/* ticket -> struct placed_call */
	GHashTable *by_address; /* address -> struct endpoint_book */
	GPtrArray *books;
	GPtrArray *submitted; /* struct placed_call, since the last step */
	GRand *rand;
	int32_t divisor;
	int64_t largest_tokens;		/* of any endpoint's memory */
	struct endpoint_book *reserved; /* kept for a waiting request */
	uint64_t reserved_for;		/* its ticket */
	double deviations;		/* learned margin */
	double drained_per_s; /* tokens or plain calls that end, lately */
	double drained;	      /* since drain_us */
	int64_t drain_us;
	double used_memory;  /* fading sums over what has ended */
	double held_memory;  /* the same times the seconds it held it */
	int64_t interval_us; /* median between tokens */
	double plain_us;     /* how long a plain call takes, lately */
	bool recheck;	     /* something changed that may make room */
	struct placement_counts counts;
};

struct endpoint_book *placement_find_endpoint(struct placement *placement,
					      const char *address);
struct placed_call *placement_find_call(struct placement *placement,
					uint64_t ticket);
void placement_forget(struct placement *placement, struct placed_call *call);
void placement_refill(struct placed_call *call, int64_t now_us);
void placement_put(struct placement *placement, struct placed_call *call,
		   struct endpoint_book *book, int64_t now_us);
struct endpoint_book *placement_choose(struct placement *placement,
				       struct placed_call *call,
				       int64_t now_us);
void placement_watch_endpoints(struct placement *placement, int64_t now_us);
void placement_suspect(struct placement *placement, struct endpoint_book *book,
		       int64_t now_us);
bool placement_may_serve(const struct placement *placement,
			 const struct endpoint_book *book);
double placement_chance(struct placement *placement, struct placed_call *call,
			int64_t start_us);
int64_t placement_interval_us(const struct placement *placement);

G_END_DECLS

#endif
