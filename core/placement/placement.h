#ifndef CORE_PLACEMENT_PLACEMENT_H
#define CORE_PLACEMENT_PLACEMENT_H

#include "core/config/config.h"
#include "ports/load_report.h"
#include "ports/peer_message.h"
#include "ports/refusal.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Places requests on the endpoints of one service. It consists of a queue of
 * waiting requests, an account of the load on each endpoint, and a policy that
 * assigns requests to endpoints. The home of a shard runs one for all nodes; a
 * node that has no home runs one for its local share.
 */

#define PLACEMENT_TOKEN_INTERVAL_US 28000 /* target interval between tokens */

enum placement_policy {
	PLACEMENT_NAIVE,  /* fewest outstanding requests, no admission */
	PLACEMENT_PEAK,	  /* admission by predicted peak of memory use */
	PLACEMENT_ORACLE, /* as PEAK, with the true lengths known in advance */
	PLACEMENT_FIXED	  /* as PEAK, with a constant safety margin */
};

struct length_estimate;

struct placement_options {
	enum placement_policy policy;
	enum service_kind kind;
	uint64_t seed;
	int32_t max_waiting;
	int64_t step_us; /* longest allowed interval between tokens */

	/* Shared with other placements and outlives them; NULL: private. */
	struct length_estimate *lengths;

	/*
	 * Zero selects the default for each. The margin is a number of standard
	 * deviations that is kept free; by default it adapts to preemptions.
	 * common_deviation is the deviation of the factor common to all
	 * lengths, and common_deviation_by_shift adds to it while answers
	 * outlast their estimates. A request is admitted only if the chance to
	 * meet its deadline is at least min_deadline_chance.
	 */
	double deviations;
	double common_deviation;
	double common_deviation_by_shift;
	double min_deadline_chance;
};

struct placement_request {
	uint64_t ticket; /* unique; set by the requester */
	const char *organisation;
	int32_t weight; /* of the organisation */
	int32_t priority;
	int64_t prompt_tokens;
	int64_t max_tokens;
	int64_t deadline_us;  /* absolute; 0: none */
	uint64_t prefix_hash; /* 0: none */
	uint64_t avoid_hash;  /* of an endpoint to avoid; 0: none */
	int64_t true_tokens;  /* answer length, for PLACEMENT_ORACLE */
};

enum placement_verdict { PLACEMENT_PLACED, PLACEMENT_REFUSED };

struct placement_decision {
	enum placement_verdict verdict;
	uint64_t ticket;
	const char *endpoint; /* valid until the placement next changes */
	enum refusal refusal;
	int64_t retry_after_us;
};

struct placement;

struct placement *placement_create(const struct placement_options *options);
void placement_destroy(struct placement *placement);

void placement_set_endpoint(struct placement *placement,
			    const struct config_endpoint *endpoint,
			    int64_t now_us);
void placement_remove_endpoint(struct placement *placement, const char *address,
			       int64_t now_us);
void placement_set_leaving(struct placement *placement, const char *address,
			   bool leaving);
void placement_set_share(struct placement *placement, int32_t share_divisor);
void placement_report_load(struct placement *placement, const char *address,
			   const struct load_report *report, int64_t now_us);
void placement_report_unreachable(struct placement *placement,
				  const char *address, int64_t now_us);

void placement_submit(struct placement *placement,
		      const struct placement_request *request, int64_t now_us);
void placement_withdraw(struct placement *placement, uint64_t ticket,
			int64_t now_us);
void placement_record_grant(struct placement *placement,
			    const struct placement_request *request,
			    const char *address, int64_t tokens,
			    int64_t now_us);
void placement_report_progress(struct placement *placement, uint64_t ticket,
			       int64_t tokens, int64_t now_us);
void placement_release(struct placement *placement, uint64_t ticket,
		       enum release_outcome outcome, int64_t tokens,
		       int64_t now_us);
void placement_report_prefix(struct placement *placement, const char *address,
			     uint64_t prefix_hash, bool cached);

/* Counters since creation, for tests, benchmarks and the dump. */
struct placement_counts {
	uint64_t placed;
	uint64_t refused;
	uint64_t reports_taken;
	uint64_t reports_older;	 /* ignored: older than the last accepted one */
	uint64_t reports_absurd; /* ignored: implausible values */
	uint64_t unknown;	 /* operations on unknown tickets, addresses */
	uint64_t put_aside;	 /* times an endpoint was put aside */
};

const struct placement_counts *
placement_counts(const struct placement *placement);
uint32_t placement_waiting_count(const struct placement *placement);
void placement_step(struct placement *placement, int64_t now_us,
		    GArray *decisions);
int64_t placement_next_due_us(const struct placement *placement);
GVariant *placement_dump(const struct placement *placement, int64_t now_us);

G_END_DECLS

#endif
