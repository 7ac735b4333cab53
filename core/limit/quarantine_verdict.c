#include "core/limit/quarantine_state.h"

#include <inttypes.h>

/* What the losses of suspects amount to: whether a request may be sent. */

/* Ends this close to a loss tell whether endpoints end without the suspect. */
#define SAME_TIME_US (2 * G_USEC_PER_SEC)

/* Within this time nodes tell each other which runs an end broke off. */
#define SETTLE_US (200 * 1000)

/* Returns how many losses count against the suspect. */
static int32_t count_losses(const struct suspect *suspect)
{
	int32_t count = 0;

	for (int32_t i = 0; i < suspect->loss_count; i++)
		count += suspect_loss_counts(suspect, &suspect->losses[i]);
	return count;
}

/* Whether a loss of the suspect at that start counts against it. */
static bool lost_at(const struct suspect *suspect, uint64_t start_key)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		if (suspect->losses[i].start_key == start_key)
			return suspect_loss_counts(suspect,
						   &suspect->losses[i]);
	return false;
}

/* Which losses of a suspect are looked at. */
struct loss_filter {
	const struct suspect *rival; /* not those that it has too; or NULL */
	int64_t until_us;	     /* not later ones; 0: all */
};

static bool filter_takes(const struct loss_filter *filter,
			 const struct loss *loss)
{
	if (filter->until_us && loss->lost_us > filter->until_us)
		return false;
	return !filter->rival || !lost_at(filter->rival, loss->start_key);
}

/* The first loss that counts, later than at_us; or NULL. */
static const struct loss *next_loss(const struct suspect *suspect,
				    const struct loss_filter *filter,
				    int64_t at_us)
{
	const struct loss *next = NULL;

	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];

		if (loss->lost_us > at_us &&
		    suspect_loss_counts(suspect, loss) &&
		    filter_takes(filter, loss) &&
		    (!next || loss->lost_us < next->lost_us))
			next = loss;
	}
	return next;
}

/*
 * Counts the moments of a part's losses that count. Endpoints that end together
 * under a part restart together and end again, so the second moment in which
 * several of them end counts twice: a third one would cost as many again.
 */
static int32_t count_moments(const struct suspect *part,
			     const struct loss_filter *filter)
{
	const struct loss *loss = next_loss(part, filter, INT64_MIN);
	int32_t count = 0, of_several = 0;

	while (loss) {
		int64_t until_us = loss->lost_us + SUSPECT_MOMENT_US;
		const struct loss *next =
			next_loss(part, filter, loss->lost_us);

		of_several += next && next->lost_us <= until_us;
		count++;
		loss = next_loss(part, filter, until_us);
	}
	return count + (of_several >= 2);
}

/* Whether a loss that counts against the suspect came about that time. */
static bool lost_about(const struct suspect *suspect, int64_t at_us)
{
	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];

		if (suspect_loss_counts(suspect, loss) &&
		    ABS(loss->lost_us - at_us) <= SUSPECT_MOMENT_US)
			return true;
	}
	return false;
}

/*
 * Whether requests with parts lost runs at the end. Ends of endpoints whose
 * requests have none, such as plain services, tell nothing about a part.
 */
static bool has_part(const struct start_losses *end)
{
	for (guint i = 0; i < end->suspects->len; i++) {
		const struct suspect *suspect =
			g_ptr_array_index(end->suspects, i);

		if (suspect_key_kind(suspect->key) == SUSPECT_PART)
			return true;
	}
	return false;
}

/* Whether the suspect has no part in an end under which others lost runs. */
static bool is_other_end(const struct suspect *suspect,
			 const struct start_losses *end)
{
	switch (suspect_key_kind(suspect->key)) {
	case SUSPECT_REQUEST:
		return !lost_at(suspect, end->start_key);
	case SUSPECT_PART:
		/* Of many losses of one moment some are not kept. */
		return has_part(end) && !lost_about(suspect, end->ended_us);
	}
	return false;
}

/*
 * Whether more than half of the ends around the time of the suspect's counted
 * losses came without it. Walks all starts with losses.
 */
static bool most_ends_are_others(const struct quarantine *quarantine,
				 const struct suspect *suspect, int32_t count)
{
	int64_t from_us = INT64_MAX, until_us = 0;
	int32_t others = 0;
	GHashTableIter iter;
	gpointer value;

	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];

		if (!suspect_loss_counts(suspect, loss))
			continue;
		from_us = MIN(from_us, loss->lost_us - SAME_TIME_US);
		until_us = MAX(until_us, loss->lost_us + SAME_TIME_US);
	}
	g_hash_table_iter_init(&iter, quarantine->starts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct start_losses *end = value;

		others += end->confirmed > 0 && end->ended_us >= from_us &&
			  end->ended_us <= until_us &&
			  is_other_end(suspect, end);
	}
	return others > count;
}

/* Whether no other request lost a run at some start where this one did. */
static bool has_lost_alone(const struct quarantine *quarantine,
			   const struct suspect *suspect)
{
	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];

		if (suspect_loss_counts(suspect, loss) &&
		    quarantine_find_start(quarantine, loss->start_key)
				    ->counted_requests == 1)
			return true;
	}
	return false;
}

/* Whether that many losses hold the suspect. */
static bool losses_hold(const struct quarantine *quarantine,
			const struct suspect *suspect,
			const struct quarantine_rule *rule, int32_t count)
{
	if (count >= rule->shared_losses_to_hold)
		return true;
	return count >= rule->losses_to_hold &&
	       !most_ends_are_others(quarantine, suspect, count);
}

static bool request_is_held(const struct quarantine *quarantine,
			    const struct suspect *suspect)
{
	const struct quarantine_rule *rule =
		&quarantine->options.rules[SUSPECT_REQUEST];
	int32_t count = count_losses(suspect);

	if (count < rule->shared_losses_to_hold &&
	    !has_lost_alone(quarantine, suspect))
		return false;
	return losses_hold(quarantine, suspect, rule, count);
}

static bool part_is_held(const struct quarantine *quarantine,
			 const struct suspect *suspect)
{
	static const struct loss_filter all = {.rival = NULL};

	return losses_hold(quarantine, suspect,
			   &quarantine->options.rules[SUSPECT_PART],
			   count_moments(suspect, &all));
}

static bool suspect_is_held(const struct quarantine *quarantine,
			    const struct suspect *suspect)
{
	switch (suspect_key_kind(suspect->key)) {
	case SUSPECT_REQUEST:
		return request_is_held(quarantine, suspect);
	case SUSPECT_PART:
		return part_is_held(quarantine, suspect);
	}
	return false;
}

/*
 * Returns how long the suspect is held after its newest loss. After each trial
 * that was lost the time since its first loss has doubled.
 */
static int64_t hold_us(const struct quarantine *quarantine,
		       const struct suspect *suspect, int64_t newest_us)
{
	int64_t oldest_us = newest_us;

	for (int32_t i = 0; i < suspect->loss_count; i++)
		if (suspect_loss_counts(suspect, &suspect->losses[i]))
			oldest_us = MIN(oldest_us, suspect->losses[i].lost_us);
	return MAX(quarantine->options.hold_us, newest_us - oldest_us);
}

/*
 * Returns when the quarantine that the suspect's losses bring about ends; 0:
 * they bring none.
 */
int64_t quarantine_held_until_us(const struct quarantine *quarantine,
				 const struct suspect *suspect)
{
	int64_t newest_us = INT64_MIN;

	if (!suspect_is_held(quarantine, suspect))
		return 0;
	for (int32_t i = 0; i < suspect->loss_count; i++)
		if (suspect_loss_counts(suspect, &suspect->losses[i]))
			newest_us = MAX(newest_us, suspect->losses[i].lost_us);
	return newest_us + hold_us(quarantine, suspect, newest_us);
}

/*
 * Whether the rival explains the part's losses: it lost runs at more ends, or
 * at as many and the request does not have it, and leaves too few of the part's
 * losses open to hold it.
 */
static bool explains(const struct quarantine *quarantine,
		     const struct suspect *rival, const struct suspect *part,
		     const struct suspect_list *request)
{
	const struct quarantine_rule *rule =
		&quarantine->options.rules[SUSPECT_PART];
	const struct loss_filter open = {.rival = rival};
	int32_t lead = count_losses(rival) - count_losses(part);

	if (suspect_key_kind(rival->key) != SUSPECT_PART || lead < 0 ||
	    (lead == 0 && suspect_list_has(request, rival->key)))
		return false;
	return count_moments(part, &open) < rule->losses_to_hold &&
	       quarantine_held_until_us(quarantine, rival);
}

/*
 * Whether another part that is held explains the losses of this one: what only
 * ran beside it could never be cleared if it were held too.
 */
static bool is_explained(const struct quarantine *quarantine,
			 const struct suspect *part,
			 const struct suspect_list *request)
{
	for (int32_t i = 0; i < part->loss_count; i++) {
		const struct start_losses *start = quarantine_find_start(
			quarantine, part->losses[i].start_key);

		for (guint j = 0; start && j < start->suspects->len; j++) {
			const struct suspect *rival =
				g_ptr_array_index(start->suspects, j);

			if (rival != part &&
			    explains(quarantine, rival, part, request))
				return true;
		}
	}
	return false;
}

/*
 * Whether a part that is held is to be refused to the request: not yet while
 * another part may turn out to have lost runs at its last end as well.
 */
static bool part_is_refused(const struct quarantine *quarantine,
			    const struct suspect *part,
			    const struct suspect_list *request, int64_t now_us)
{
	const struct quarantine_rule *rule =
		&quarantine->options.rules[SUSPECT_PART];
	const struct loss_filter settled = {.until_us = now_us - SETTLE_US};

	return count_moments(part, &settled) >= rule->losses_to_hold &&
	       !is_explained(quarantine, part, request);
}

/* Returns what one suspect of a request that is to be sent now allows. */
static enum quarantine_verdict judge(const struct quarantine *quarantine,
				     const struct suspect_list *request,
				     uint64_t key, int64_t now_us)
{
	const struct suspect *suspect =
		quarantine_find(quarantine, key, now_us);
	int64_t until_us =
		suspect ? quarantine_held_until_us(quarantine, suspect) : 0;

	if (until_us == 0 ||
	    (suspect_key_kind(key) == SUSPECT_PART &&
	     !part_is_refused(quarantine, suspect, request, now_us)))
		return QUARANTINE_NONE;
	if (now_us < until_us ||
	    (suspect->trial_us >= until_us &&
	     now_us - suspect->trial_us < quarantine->options.trial_us))
		return QUARANTINE_HELD;
	return QUARANTINE_TRIAL;
}

/*
 * Returns what a request that is to be sent now may do, and in key (unless
 * NULL) the suspect that decides it; 0: none.
 */
enum quarantine_verdict quarantine_judge(const struct quarantine *quarantine,
					 const struct suspect_list *request,
					 int64_t now_us, uint64_t *key)
{
	enum quarantine_verdict verdict = QUARANTINE_NONE;
	uint64_t decisive = 0;

	for (int32_t i = 0; i < request->count && verdict != QUARANTINE_HELD;
	     i++) {
		enum quarantine_verdict one =
			judge(quarantine, request, request->keys[i], now_us);

		if (one <= verdict)
			continue;
		verdict = one;
		decisive = request->keys[i];
	}
	if (key)
		*key = decisive;
	return verdict;
}

/* Returns when the quarantine of a suspect ends, in us; 0: it has none. */
int64_t quarantine_until_us(const struct quarantine *quarantine, uint64_t key,
			    int64_t now_us)
{
	const struct suspect *suspect =
		quarantine_find(quarantine, key, now_us);
	int64_t until_us =
		suspect ? quarantine_held_until_us(quarantine, suspect) : 0;

	return until_us > now_us ? until_us : 0;
}

/*
 * Returns whether the suspect has a loss that may count against it, without
 * being held.
 */
bool quarantine_is_suspect(const struct quarantine *quarantine, uint64_t key,
			   int64_t now_us)
{
	const struct suspect *suspect =
		quarantine_find(quarantine, key, now_us);

	return suspect && !quarantine_held_until_us(quarantine, suspect) &&
	       suspect_has_counted_loss(suspect);
}

/*
 * Returns the ends that count against a suspect, as "START:AGE_MS,..." with the
 * key of each start, for logs; to be freed with g_free.
 */
char *quarantine_format_ends(const struct quarantine *quarantine, uint64_t key,
			     int64_t now_us)
{
	const struct suspect *suspect =
		quarantine_find(quarantine, key, now_us);
	GString *text = g_string_new(NULL);

	for (int32_t i = 0; suspect && i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];

		if (suspect_loss_counts(suspect, loss))
			g_string_append_printf(
				text, "%s%016" PRIx64 ":%" G_GINT64_FORMAT,
				text->len ? "," : "", loss->start_key,
				(now_us - loss->lost_us) / 1000);
	}
	return g_string_free(text, FALSE);
}
