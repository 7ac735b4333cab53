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
 * Places requests on the endpoints of one service: a queue, a book of what
 * each endpoint holds, and the policy between them. Used by the home of a
 * shard for all nodes, and by a node alone for its share when it has no home.
 */

#define PLACEMENT_STEP_US 28000 /* wanted between tokens */

enum placement_policy {
	PLACEMENT_NAIVE,  /* fewest outstanding requests, no admission */
	PLACEMENT_PEAK,	  /* admission by estimated future peak */
	PLACEMENT_ORACLE, /* the same with true lengths known */
	PLACEMENT_FIXED	  /* as PEAK, with a margin that does not learn */
};

struct length_estimate;

struct placement_options {
	enum placement_policy policy;
	enum service_kind kind;
	uint64_t seed;
	int32_t max_waiting;
	int64_t step_us; /* token interval an engine may reach */

	/* Shared with other placements, and outlives them; NULL: its own. */
	struct length_estimate *lengths;

	/* Zero: the default, chosen on the policy bench. */
	double deviations; /* kept free; default: learned from preemptions */
	double shared;	   /* deviation of the common factor of lengths */
	double shared_by_shift; /* more, as answers outlast their estimate */
	double least_chance;	/* of meeting a deadline, to be let in */
};

struct placement_request {
	uint64_t ticket; /* unique; chosen by the asker */
	const char *organisation;
	int32_t weight; /* of the organisation */
	int32_t priority;
	int64_t prompt_tokens;
	int64_t max_tokens;
	int64_t deadline_us; /* absolute; 0: none */
	uint64_t prefix_hash;
	uint64_t avoid_hash;
	int64_t true_tokens;
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
void placement_set_share(struct placement *placement, int32_t divisor);
void placement_report_load(struct placement *placement, const char *address,
			   const struct load_report *report, int64_t now_us);
void placement_report_unreachable(struct placement *placement,
				  const char *address, int64_t now_us);

void placement_submit(struct placement *placement,
		      const struct placement_request *request, int64_t now_us);
void placement_withdraw(struct placement *placement, uint64_t ticket,
			int64_t now_us);
void placement_hold(struct placement *placement,
		    const struct placement_request *request,
		    const char *address, int64_t tokens, int64_t now_us);
void placement_progress(struct placement *placement, uint64_t ticket,
			int64_t tokens, int64_t now_us);
void placement_release(struct placement *placement, uint64_t ticket,
		       enum release_outcome outcome, int64_t tokens,
		       int64_t now_us);
void placement_prefix_cached(struct placement *placement, const char *address,
			     uint64_t prefix_hash, bool cached);

/* What was counted, for tests, benches and the dump. */
struct placement_counts {
	uint64_t placed;
	uint64_t refused;
	uint64_t reports_taken;
	uint64_t reports_older;
	uint64_t reports_absurd;
	uint64_t unknown; /* tickets and addresses not known here */
	uint64_t put_aside;
};

const struct placement_counts *
placement_counts(const struct placement *placement);
uint32_t placement_waiting(const struct placement *placement);
void placement_step(struct placement *placement, int64_t now_us,
		    GArray *decisions);
int64_t placement_next_due_us(const struct placement *placement);
GVariant *placement_dump(const struct placement *placement, int64_t now_us);

G_END_DECLS

#endif
