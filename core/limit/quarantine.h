#ifndef CORE_LIMIT_QUARANTINE_H
#define CORE_LIMIT_QUARANTINE_H

#include "core/base/endpoint_start.h"
#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Quarantine of requests under which endpoints end. A request is named by a
 * fingerprint, which is the same when its caller sends it again. A run that its
 * endpoint broke off is a loss; it counts against the request once the endpoint
 * is known to have ended, until
 *
 *   - the endpoint answers a request that was sent later, over a connection
 *     that was established before the loss: the same process goes on;
 *   - the request is answered whole anywhere: it ends no endpoint.
 *
 * Each end of an endpoint counts once, however often the endpoint starts again
 * under its id. A request is held after losses_to_hold losses at different
 * starts if
 *
 *   - at one of them no other request lost a run: requests that only ran beside
 *     one that ends endpoints lose runs as well;
 *   - at least half of the ends around that time came under it: where endpoints
 *     end with causes of their own, a request that is repeated soon loses runs
 *     alone;
 *
 * and otherwise after shared_losses_to_hold. After hold_us, one run at a time
 * may try again, and a single further loss holds the request again.
 *
 * All nodes hold the same state: losses merge in any order.
 */
struct quarantine_options {
	int64_t suspect_us; /* how long a loss is remembered */
	int64_t hold_us;    /* how long a request is refused */
	int64_t trial_us;   /* a trial without a result ends after this time */
	int32_t losses_to_hold;
	int32_t shared_losses_to_hold;
	int32_t max_entries; /* limit of each: suspects, held */
};

struct quarantine;

/* A run of a request at an endpoint. */
struct quarantine_run {
	uint64_t fingerprint;
	uint64_t owner_key; /* of the organisation that sent it */
	struct endpoint_start start;
};

/* An endpoint's answer to any request. */
struct quarantine_answer {
	uint64_t endpoint_key;
	int64_t connected_us; /* when its connection was established */
	int64_t sent_us;      /* when the request was sent */
};

void quarantine_options_default(struct quarantine_options *options);
struct quarantine *quarantine_create(const struct quarantine_options *options);
void quarantine_destroy(struct quarantine *quarantine);

void quarantine_report_loss(struct quarantine *quarantine,
			    const struct quarantine_run *run, int64_t now_us);
struct endpoint_start
quarantine_current_start(const struct quarantine *quarantine,
			 uint64_t endpoint_key);
bool quarantine_report_end(struct quarantine *quarantine,
			   const struct endpoint_start *start, int64_t now_us);
bool quarantine_report_answer(struct quarantine *quarantine,
			      const struct quarantine_answer *answer,
			      int64_t now_us);
void quarantine_report_success(struct quarantine *quarantine,
			       uint64_t fingerprint, int64_t now_us);
bool quarantine_report_crash(struct quarantine *quarantine,
			     uint64_t fingerprint, const char *endpoint,
			     int64_t now_us);
bool quarantine_lift(struct quarantine *quarantine, uint64_t fingerprint,
		     int64_t now_us);

/* What a request that arrives now may do. */
enum quarantine_verdict {
	QUARANTINE_NONE,
	QUARANTINE_TRIAL, /* held before; no run tries it at present */
	QUARANTINE_HELD
};

enum quarantine_verdict quarantine_judge(const struct quarantine *quarantine,
					 uint64_t fingerprint, int64_t now_us);
void quarantine_begin_trial(struct quarantine *quarantine, uint64_t fingerprint,
			    int64_t now_us);
int64_t quarantine_until_us(const struct quarantine *quarantine,
			    uint64_t fingerprint, int64_t now_us);
bool quarantine_is_suspect(const struct quarantine *quarantine,
			   uint64_t fingerprint, int64_t now_us);
size_t quarantine_count(const struct quarantine *quarantine);

/* Exchange with other nodes: struct peer_loss in a GArray. */
bool quarantine_merge(struct quarantine *quarantine,
		      const struct peer_loss *news, int64_t now_us);
void quarantine_take_news(struct quarantine *quarantine, GArray *losses,
			  int64_t now_us);
void quarantine_add_known(const struct quarantine *quarantine, guint max,
			  double draw, GArray *losses, int64_t now_us);
void quarantine_add_held(const struct quarantine *quarantine, GArray *losses,
			 int64_t now_us);

G_END_DECLS

#endif
