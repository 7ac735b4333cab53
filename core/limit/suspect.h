#ifndef CORE_LIMIT_SUSPECT_H
#define CORE_LIMIT_SUSPECT_H

#include "core/limit/suspect_key.h"
#include "ports/peer_message.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

G_BEGIN_DECLS

/* Ends this close to each other may have one cause, such as a failure domain.
 */
#define SUSPECT_MOMENT_US (500 * 1000)

/* Losses kept of one suspect. */
#define SUSPECT_MAX_LOSSES 16

/* A run that an endpoint didn't finish. */
struct loss {
	uint64_t start_key; /* of the endpoint's start that broke it off */
	int64_t lost_us;
	int64_t again_us; /* a later one, not confirmed so far; 0: none */
	enum loss_state state;
	bool is_news; /* not announced so far */
};

/* What endpoints may have ended under. */
struct suspect {
	uint64_t key;
	uint64_t owner_key; /* of the organisation that sent it first */
	struct loss losses[SUSPECT_MAX_LOSSES + 1]; /* one more while adding */
	int32_t loss_count;
	int64_t cleared_us; /* losses up to this time don't count; 0: none */
	int64_t trial_us;   /* start of the last trial; 0: none */
	int64_t expires_us;
	bool is_news; /* changed here since it was last announced */
};

int64_t loss_last_us(const struct loss *loss);
struct loss *suspect_find_loss(struct suspect *suspect, uint64_t start_key);
struct loss *suspect_add_loss(struct suspect *suspect,
			      const struct loss *added);
int64_t suspect_newest_loss_us(const struct suspect *suspect);
bool suspect_loss_counts(const struct suspect *suspect,
			 const struct loss *loss);
bool suspect_has_counted_loss(const struct suspect *suspect);
bool suspect_has_open_loss(const struct suspect *suspect);
void suspect_clear(struct suspect *suspect, int64_t cleared_us);

G_END_DECLS

#endif
