#ifndef CORE_LIMIT_QUARANTINE_H
#define CORE_LIMIT_QUARANTINE_H

#include "core/base/endpoint_start.h"
#include "core/limit/suspect_list.h"
#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/*
 * Quarantine of what endpoints end under: of requests, and of parts that are in
 * the prompts of several requests. A run that its endpoint broke off is a loss
 * of its suspects; it counts against them once the endpoint is known to have
 * ended, until
 *
 *   - the endpoint answers a request that was sent later, over a connection
 *     that was established before the loss: the same process goes on;
 *   - a run of the same suspect succeeds anywhere: it ends no endpoint.
 *
 * Each end of an endpoint counts once, however often the endpoint starts again
 * under its id. A suspect is held after losses_to_hold losses, if at least half
 * of the ends around that time came under it: where endpoints end with causes
 * of their own, what is repeated soon loses runs alone. Otherwise after
 * shared_losses_to_hold. What counts as one depends on the kind:
 *
 *   - for a request each start. At one of them no other request must have lost
 *     a run, else it may only have run beside one that ends endpoints;
 *   - for a part each moment: what ends endpoints together is one cause, unless
 *     several of them end together once more. A part whose losses another held
 *     part explains is refused only together with that one.
 *
 * After hold_us, one run at a time may try again, and a single further loss
 * holds the suspect again, for longer each time.
 *
 * All nodes hold the same state: losses merge in any order.
 */
struct quarantine_rule {
	int32_t losses_to_hold;
	int32_t shared_losses_to_hold;
	int64_t grace_us; /* how long a success clears what comes after it */
};

struct quarantine_options {
	int64_t suspect_us; /* how long a loss is remembered */
	int64_t hold_us;    /* how long a suspect is refused at first */
	int64_t trial_us;   /* a trial without a result ends after this time */
	struct quarantine_rule rules[SUSPECT_KIND_COUNT];
	int32_t max_entries; /* limit of each: suspects, held */
};

struct quarantine;

/* A run at an endpoint, for one of its suspects. */
struct quarantine_run {
	uint64_t key;	    /* of the suspect */
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
void quarantine_report_success(struct quarantine *quarantine, uint64_t key,
			       int64_t begun_us, int64_t now_us);
bool quarantine_lift(struct quarantine *quarantine, uint64_t key,
		     int64_t now_us);

/* What a request that arrives now may do. */
enum quarantine_verdict {
	QUARANTINE_NONE,
	QUARANTINE_TRIAL, /* held before; no run tries it at present */
	QUARANTINE_HELD
};

enum quarantine_verdict quarantine_judge(const struct quarantine *quarantine,
					 const struct suspect_list *request,
					 int64_t now_us, uint64_t *key);
void quarantine_begin_trial(struct quarantine *quarantine, uint64_t key,
			    int64_t now_us);
int64_t quarantine_until_us(const struct quarantine *quarantine, uint64_t key,
			    int64_t now_us);
bool quarantine_is_suspect(const struct quarantine *quarantine, uint64_t key,
			   int64_t now_us);
char *quarantine_format_ends(const struct quarantine *quarantine, uint64_t key,
			     int64_t now_us);
size_t quarantine_count(const struct quarantine *quarantine);

/* Exchange with other nodes: struct peer_loss in a GArray. */
bool quarantine_merge(struct quarantine *quarantine,
		      const struct peer_loss *news, int64_t now_us);
void quarantine_take_news(struct quarantine *quarantine, GArray *losses,
			  int64_t now_us);
bool quarantine_take_changed(struct quarantine *quarantine);
void quarantine_add_known(const struct quarantine *quarantine, guint max,
			  double draw, GArray *losses, int64_t now_us);
void quarantine_add_held(const struct quarantine *quarantine, GArray *losses,
			 int64_t now_us);

G_END_DECLS

#endif
