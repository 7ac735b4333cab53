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

	if (!loss)
		return suspect_add_loss(suspect, &said) != NULL;
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
		quarantine_find(quarantine, news->key, now_us);
	struct suspect merged = {0};

	if (suspect)
		merged = *suspect;
	if (!merge_record(&merged, news, now_us))
		return false;
	suspect =
		quarantine_open(quarantine, news->key, news->owner_key, now_us);
	merged.key = suspect->key;
	merged.owner_key = suspect->owner_key;
	*suspect = merged;
	if (quarantine_clear_if_whole(quarantine, suspect)) {
		/* Many nodes know that a popular part is sound. */
		suspect->is_news |=
			suspect_key_kind(suspect->key) == SUSPECT_REQUEST;
		quarantine->has_changed = true;
	}
	quarantine_put(quarantine, suspect, now_us);
	return true;
}

static void add_row(const struct suspect *suspect, const struct loss *loss,
		    GArray *losses, int64_t now_us)
{
	const struct peer_loss row = {
		.key = suspect->key,
		.owner_key = suspect->owner_key,
		.start_key = loss->start_key,
		.state = loss->state,
		.age_us = now_us - loss->lost_us,
		.is_cleared = suspect->cleared_us > 0,
		.cleared_age_us = now_us - suspect->cleared_us,
		.trial_age_us =
			suspect->trial_us ? now_us - suspect->trial_us : -1,
	};

	if (loss->state != LOSS_SUSPECTED)
		g_array_append_val(losses, row);
}

static void add_rows(const struct suspect *suspect, GArray *losses,
		     int64_t now_us)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		add_row(suspect, &suspect->losses[i], losses, now_us);
}

/* Adds the losses that are news; one at least, as it tells of clears too. */
static void add_news(struct suspect *suspect, GArray *losses, int64_t now_us)
{
	guint before = losses->len;

	for (int32_t i = 0; i < suspect->loss_count; i++) {
		struct loss *loss = &suspect->losses[i];

		if (!loss->is_news)
			continue;
		loss->is_news = false;
		add_row(suspect, loss, losses, now_us);
	}
	for (int32_t i = 0; i < suspect->loss_count && losses->len == before;
	     i++)
		add_row(suspect, &suspect->losses[i], losses, now_us);
}

static void take_news(const struct suspect_table *table, enum suspect_kind kind,
		      GArray *losses, int64_t now_us)
{
	for (const GList *link = suspect_table_list(table); link;
	     link = link->next) {
		struct suspect *suspect = link->data;

		if (!suspect->is_news || suspect_key_kind(suspect->key) != kind)
			continue;
		suspect->is_news = false;
		add_news(suspect, losses, now_us);
	}
}

/*
 * Appends what changed here since the last call, for all other nodes; parts
 * first, as they concern requests at any node.
 */
void quarantine_take_news(struct quarantine *quarantine, GArray *losses,
			  int64_t now_us)
{
	static const enum suspect_kind order[] = {SUSPECT_PART,
						  SUSPECT_REQUEST};

	if (!quarantine->has_news)
		return;
	quarantine->has_news = false;
	for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
		take_news(quarantine->held, order[i], losses, now_us);
		take_news(quarantine->suspects, order[i], losses, now_us);
	}
}

/* Whether anything changed since the last call that gossip is to tell soon. */
bool quarantine_take_changed(struct quarantine *quarantine)
{
	bool has_changed = quarantine->has_changed;

	quarantine->has_changed = false;
	return has_changed;
}

static void add_if_current(const struct suspect *suspect, GArray *losses,
			   int64_t now_us)
{
	if (suspect->expires_us > now_us)
		add_rows(suspect, losses, now_us);
}

/* Appends about max losses of those that changed last. */
static void add_newest(const struct suspect_table *table, guint max,
		       GArray *losses, int64_t now_us)
{
	for (const GList *link = suspect_table_list_last(table);
	     link && losses->len < max; link = link->prev)
		add_if_current(link->data, losses, now_us);
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
		add_if_current(link->data, losses, now_us);
		link = link->next ? link->next : suspect_table_list(table);
	}
}

/*
 * Appends about max losses that are known: what is held first, each time from
 * another one on, then the newest ones, then others; draw is uniformly random
 * in [0, 1).
 */
void quarantine_add_known(const struct quarantine *quarantine, guint max,
			  double draw, GArray *losses, int64_t now_us)
{
	add_known(quarantine->held, max, draw, losses, now_us);
	add_newest(quarantine->suspects, (losses->len + max) / 2, losses,
		   now_us);
	add_known(quarantine->suspects, max, draw, losses, now_us);
}

/* Appends the losses of all that is held now. */
void quarantine_add_held(const struct quarantine *quarantine, GArray *losses,
			 int64_t now_us)
{
	for (const GList *link = suspect_table_list(quarantine->held); link;
	     link = link->next) {
		const struct suspect *suspect = link->data;

		if (quarantine_until_us(quarantine, suspect->key, now_us))
			add_rows(suspect, losses, now_us);
	}
}
