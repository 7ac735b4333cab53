#include "core/limit/quarantine_state.h"

/* What nodes tell each other of lost runs, and how that merges. */

/* Clocks of two nodes place the same loss this far apart at most. */
#define SAME_LOSS_US G_USEC_PER_SEC

/* Applies one loss as another node knows it; returns whether it is news. */
static bool merge_loss(struct suspect *suspect, const struct peer_loss *news,
		       int64_t now_us)
{
	struct loss *loss = suspect_find_loss(suspect, news->start_key);
	struct loss said = {.start_key = news->start_key,
			    .lost_us = now_us - news->age_us,
			    .state = news->state};

	if (!loss) {
		*suspect_add_loss(suspect) = said;
		return true;
	}
	if (said.lost_us > loss->lost_us + SAME_LOSS_US) {
		*loss = said;
		return true;
	}
	if (said.lost_us < loss->lost_us - SAME_LOSS_US ||
	    said.state <= loss->state)
		return false;
	loss->state = said.state;
	return true;
}

/* Applies all that one record of another node says; returns whether it is news.
 */
static bool merge_record(struct suspect *suspect, const struct peer_loss *news,
			 int64_t now_us)
{
	int64_t cleared_us = now_us - news->cleared_age_us;
	int64_t trial_us = now_us - news->trial_age_us;
	bool changed = merge_loss(suspect, news, now_us);

	if (news->is_cleared &&
	    cleared_us > suspect->cleared_us + SAME_LOSS_US) {
		suspect_clear(suspect, cleared_us);
		changed = true;
	}
	if (news->trial_age_us >= 0 &&
	    trial_us > suspect->trial_us + SAME_LOSS_US) {
		suspect->trial_us = trial_us;
		changed = true;
	}
	return changed;
}

/*
 * Applies what another node knows. Returns whether it was news to this one. A
 * request that this node answered whole lately becomes news for the others.
 */
bool quarantine_merge(struct quarantine *quarantine,
		      const struct peer_loss *news, int64_t now_us)
{
	struct suspect *suspect =
		quarantine_find(quarantine, news->fingerprint, now_us);
	struct suspect merged = {0};
	int64_t cleared_us;

	if (suspect)
		merged = *suspect;
	if (!merge_record(&merged, news, now_us))
		return false;
	suspect = quarantine_open(quarantine, news->fingerprint,
				  news->owner_key, now_us);
	merged.fingerprint = suspect->fingerprint;
	merged.owner_key = suspect->owner_key;
	*suspect = merged;
	cleared_us = suspect->cleared_us;
	quarantine_clear_if_whole(quarantine, suspect);
	suspect->is_news |= suspect->cleared_us > cleared_us;
	quarantine_put(quarantine, suspect, now_us);
	return true;
}

static void add_rows(const struct suspect *suspect, GArray *losses,
		     int64_t now_us)
{
	struct peer_loss row = {
		.fingerprint = suspect->fingerprint,
		.owner_key = suspect->owner_key,
		.is_cleared = suspect->cleared_us > 0,
		.cleared_age_us = now_us - suspect->cleared_us,
		.trial_age_us =
			suspect->trial_us ? now_us - suspect->trial_us : -1,
	};

	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];

		if (loss->state == LOSS_SUSPECTED)
			continue;
		row.start_key = loss->start_key;
		row.state = loss->state;
		row.age_us = now_us - loss->lost_us;
		g_array_append_val(losses, row);
	}
}

static void take_news(const GList *list, GArray *losses, int64_t now_us)
{
	for (const GList *link = list; link; link = link->next) {
		struct suspect *suspect = link->data;

		if (!suspect->is_news)
			continue;
		suspect->is_news = false;
		add_rows(suspect, losses, now_us);
	}
}

/* Appends what changed here since the last call, for all other nodes. */
void quarantine_take_news(struct quarantine *quarantine, GArray *losses,
			  int64_t now_us)
{
	if (!quarantine->has_news)
		return;
	quarantine->has_news = false;
	take_news(suspect_table_list(quarantine->suspects), losses, now_us);
	take_news(suspect_table_list(quarantine->held), losses, now_us);
}

static void add_known(const struct suspect_table *table, guint max, double draw,
		      GArray *losses, int64_t now_us)
{
	size_t count = suspect_table_count(table);
	size_t skipped = (size_t)(draw * (double)count);
	const GList *first = suspect_table_list(table);
	const GList *link;

	for (size_t i = 0; i < skipped; i++)
		first = first->next;
	link = first;
	for (size_t i = 0; i < count && losses->len < max; i++) {
		const struct suspect *suspect = link->data;

		if (suspect->expires_us > now_us)
			add_rows(suspect, losses, now_us);
		link = link->next ? link->next : suspect_table_list(table);
	}
}

/*
 * Appends about max losses that are known, held requests first, each time from
 * another one on; draw is uniformly random in [0, 1).
 */
void quarantine_add_known(const struct quarantine *quarantine, guint max,
			  double draw, GArray *losses, int64_t now_us)
{
	add_known(quarantine->held, max, draw, losses, now_us);
	add_known(quarantine->suspects, max, draw, losses, now_us);
}

/* Appends the counted losses of all requests that are held now. */
void quarantine_add_held(const struct quarantine *quarantine, GArray *losses,
			 int64_t now_us)
{
	for (const GList *link = suspect_table_list(quarantine->held); link;
	     link = link->next) {
		const struct suspect *suspect = link->data;

		if (quarantine_until_us(quarantine, suspect->fingerprint,
					now_us))
			add_rows(suspect, losses, now_us);
	}
}
