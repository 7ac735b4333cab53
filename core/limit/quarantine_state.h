#ifndef CORE_LIMIT_QUARANTINE_STATE_H
#define CORE_LIMIT_QUARANTINE_STATE_H

#include "core/limit/quarantine.h"
#include "core/limit/suspect_table.h"

/* Private to quarantine: its state, and changes of one suspect. */

/* Fingerprints of requests answered whole lately; more replace older ones. */
#define WHOLE_SLOTS 1024

struct whole {
	uint64_t fingerprint;
	int64_t at_us;
};

/* The losses at one start of an endpoint, of all suspects. */
struct start_losses {
	uint64_t start_key;
	int32_t open;	   /* not refuted */
	int32_t confirmed; /* by an end of the endpoint */
	int32_t counted;   /* against requests */
	int64_t ended_us;  /* last confirmed loss */
};

struct quarantine {
	struct quarantine_options options;
	struct suspect_table *suspects;
	struct suspect_table *held; /* a flood of suspects evicts none of it */
	GHashTable *starts;	    /* start_key to struct start_losses */
	struct whole wholes[WHOLE_SLOTS];
	bool has_news;
};

struct suspect *quarantine_find(const struct quarantine *quarantine,
				uint64_t fingerprint, int64_t now_us);
struct suspect *quarantine_open(struct quarantine *quarantine,
				uint64_t fingerprint, uint64_t owner_key,
				int64_t now_us);
void quarantine_put(struct quarantine *quarantine, struct suspect *suspect,
		    int64_t now_us);
void quarantine_clear_if_whole(struct quarantine *quarantine,
			       struct suspect *suspect);
struct loss *suspect_find_loss(struct suspect *suspect, uint64_t start_key);
struct loss *suspect_add_loss(struct suspect *suspect);
void suspect_clear(struct suspect *suspect, int64_t cleared_us);

#endif
