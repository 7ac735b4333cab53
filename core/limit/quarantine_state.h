#ifndef CORE_LIMIT_QUARANTINE_STATE_H
#define CORE_LIMIT_QUARANTINE_STATE_H

#include "core/limit/quarantine.h"
#include "core/limit/suspect_table.h"

/* Private to quarantine: its state, and changes of one suspect. */

/* Suspects of a kind answered lately; more replace older ones. */
#define WHOLE_SLOTS 1024

struct whole {
	uint64_t key;
	int64_t cleared_us; /* losses up to this time don't count; 0: none */
};

/* The losses at one start of an endpoint that are not refuted. */
struct start_losses {
	uint64_t start_key;
	GPtrArray *suspects;	  /* struct suspect, of the tables */
	int32_t confirmed;	  /* by an end of the endpoint */
	int32_t counted_requests; /* requests against which it counts */
	int64_t ended_us;	  /* last confirmed loss */
};

struct quarantine {
	struct quarantine_options options;
	struct suspect_table *suspects;
	struct suspect_table *held; /* a flood of suspects evicts none of it */
	GHashTable *starts;	    /* start_key to struct start_losses */
	struct whole wholes[SUSPECT_KIND_COUNT][WHOLE_SLOTS];
	bool has_news;
	bool has_changed; /* what gossip is to tell soon */
};

/* quarantine.c */
struct start_losses *quarantine_find_start(const struct quarantine *quarantine,
					   uint64_t start_key);
struct suspect *quarantine_find(const struct quarantine *quarantine,
				uint64_t key, int64_t now_us);
struct suspect *quarantine_open(struct quarantine *quarantine, uint64_t key,
				uint64_t owner_key, int64_t now_us);
void quarantine_put(struct quarantine *quarantine, struct suspect *suspect,
		    int64_t now_us);
bool quarantine_clear_if_whole(struct quarantine *quarantine,
			       struct suspect *suspect);

/* quarantine_verdict.c */
int64_t quarantine_held_until_us(const struct quarantine *quarantine,
				 const struct suspect *suspect);

#endif
