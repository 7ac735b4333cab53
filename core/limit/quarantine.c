#include "core/limit/quarantine.h"

#include "core/limit/quarantine_state.h"

#include <string.h>

/*
 * A request that was answered whole ends no endpoint for this long afterwards:
 * a popular one runs at each endpoint that another request ends.
 */
#define WHOLE_GRACE_US (10 * G_USEC_PER_SEC)

/* Ends this close to a loss tell whether endpoints end without the request. */
#define SAME_TIME_US (2 * G_USEC_PER_SEC)

/* Defaults: losses are remembered for 10 min, requests held for 30 min. */
void quarantine_options_default(struct quarantine_options *options)
{
	options->suspect_us = 600 * G_USEC_PER_SEC;
	options->hold_us = 1800 * G_USEC_PER_SEC;
	options->trial_us = 60 * G_USEC_PER_SEC;
	options->losses_to_hold = 2;
	options->shared_losses_to_hold = 3;
	options->max_entries = 4096;
}

/*
 * Creates an empty quarantine and copies the options. The caller frees it with
 * quarantine_destroy.
 */
struct quarantine *quarantine_create(const struct quarantine_options *options)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->options = *options;
	quarantine->suspects = suspect_table_create(options->max_entries);
	quarantine->held = suspect_table_create(options->max_entries);
	quarantine->starts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   NULL, g_free);
	return quarantine;
}

/* Frees the quarantine; NULL is allowed. */
void quarantine_destroy(struct quarantine *quarantine)
{
	if (!quarantine)
		return;
	suspect_table_destroy(quarantine->suspects);
	suspect_table_destroy(quarantine->held);
	g_hash_table_unref(quarantine->starts);
	g_free(quarantine);
}

static bool loss_counts(const struct suspect *suspect, const struct loss *loss)
{
	return loss->state == LOSS_CONFIRMED &&
	       (!suspect->cleared_us || loss->lost_us > suspect->cleared_us);
}

static struct start_losses *find_losses(const struct quarantine *quarantine,
					uint64_t start_key)
{
	return g_hash_table_lookup(quarantine->starts, &start_key);
}

/* Adds the losses of a suspect to those of their starts, or subtracts them. */
static void count_losses(struct quarantine *quarantine,
			 const struct suspect *suspect, int32_t sign)
{
	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];
		struct start_losses *losses =
			find_losses(quarantine, loss->start_key);

		if (loss->state == LOSS_REFUTED)
			continue;
		if (!losses) {
			losses = g_new0(struct start_losses, 1);
			losses->start_key = loss->start_key;
			g_hash_table_insert(quarantine->starts,
					    &losses->start_key, losses);
		}
		losses->open += sign;
		if (loss->state == LOSS_CONFIRMED) {
			losses->confirmed += sign;
			losses->ended_us = MAX(losses->ended_us, loss->lost_us);
		}
		if (loss_counts(suspect, loss))
			losses->counted += sign;
		if (losses->open == 0)
			g_hash_table_remove(quarantine->starts,
					    &loss->start_key);
	}
}

/*
 * Whether more than half of the ends around the time of the suspect's counted
 * losses came without it. Walks all starts with losses.
 */
static bool most_ends_are_others(const struct quarantine *quarantine,
				 const struct suspect *suspect, int32_t count)
{
	int64_t from_us = INT64_MAX, until_us = 0;
	int32_t ends = 0;
	GHashTableIter iter;
	gpointer value;

	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];

		if (!loss_counts(suspect, loss))
			continue;
		from_us = MIN(from_us, loss->lost_us - SAME_TIME_US);
		until_us = MAX(until_us, loss->lost_us + SAME_TIME_US);
	}
	g_hash_table_iter_init(&iter, quarantine->starts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct start_losses *losses = value;

		ends += losses->confirmed > 0 && losses->ended_us >= from_us &&
			losses->ended_us <= until_us;
	}
	return ends - count > count;
}

/* When the quarantine that the losses bring about ends; 0: they bring none. */
static int64_t held_until_us(const struct quarantine *quarantine,
			     const struct suspect *suspect)
{
	const struct quarantine_options *options = &quarantine->options;
	int32_t needed = options->shared_losses_to_hold;
	int32_t count = 0;
	int64_t newest_us = 0;

	for (int32_t i = 0; i < suspect->loss_count; i++) {
		const struct loss *loss = &suspect->losses[i];

		if (!loss_counts(suspect, loss))
			continue;
		count++;
		newest_us = MAX(newest_us, loss->lost_us);
		if (find_losses(quarantine, loss->start_key)->counted == 1)
			needed = options->losses_to_hold;
	}
	if (count >= needed && count < options->shared_losses_to_hold &&
	    most_ends_are_others(quarantine, suspect, count))
		return 0;
	return count >= needed ? newest_us + options->hold_us : 0;
}

/* Returns the suspect, or NULL; it may have expired. */
static struct suspect *lookup(const struct quarantine *quarantine,
			      uint64_t fingerprint)
{
	struct suspect *suspect =
		suspect_table_find(quarantine->suspects, fingerprint);

	return suspect ? suspect
		       : suspect_table_find(quarantine->held, fingerprint);
}

/* Returns the suspect, or NULL if there is none or it has expired. */
struct suspect *quarantine_find(const struct quarantine *quarantine,
				uint64_t fingerprint, int64_t now_us)
{
	struct suspect *suspect = lookup(quarantine, fingerprint);

	return suspect && suspect->expires_us > now_us ? suspect : NULL;
}

static struct suspect_table *table_of(const struct quarantine *quarantine,
				      uint64_t fingerprint)
{
	return suspect_table_find(quarantine->held, fingerprint)
		       ? quarantine->held
		       : quarantine->suspects;
}

/* Takes a suspect out of its table, to be changed. */
static void begin_change(struct quarantine *quarantine, struct suspect *suspect)
{
	count_losses(quarantine, suspect, -1);
	suspect_table_steal(table_of(quarantine, suspect->fingerprint),
			    suspect);
}

static int64_t newest_loss_us(const struct suspect *suspect)
{
	int64_t newest_us = 0;

	for (int32_t i = 0; i < suspect->loss_count; i++)
		newest_us = MAX(newest_us, suspect->losses[i].lost_us);
	return newest_us;
}

/* Puts a changed or new suspect into the table where it belongs now. */
void quarantine_put(struct quarantine *quarantine, struct suspect *suspect,
		    int64_t now_us)
{
	const struct quarantine_options *options = &quarantine->options;
	struct suspect_table *table;
	struct suspect *evicted;
	int64_t until_us;

	count_losses(quarantine, suspect, 1);
	until_us = held_until_us(quarantine, suspect);
	table = until_us > now_us ? quarantine->held : quarantine->suspects;
	suspect->expires_us = MAX(newest_loss_us(suspect) + options->suspect_us,
				  until_us ? until_us + options->hold_us : 0);
	quarantine->has_news |= suspect->is_news;
	evicted = suspect_table_evict(table, suspect->owner_key);
	if (evicted) {
		count_losses(quarantine, evicted, -1);
		g_free(evicted);
	}
	suspect_table_add(table, suspect);
}

/*
 * Returns the suspect to be changed, a new one if there is none; after that
 * quarantine_put is to be called.
 */
struct suspect *quarantine_open(struct quarantine *quarantine,
				uint64_t fingerprint, uint64_t owner_key,
				int64_t now_us)
{
	struct suspect_table *table = table_of(quarantine, fingerprint);
	struct suspect *suspect = suspect_table_find(table, fingerprint);

	if (!suspect) {
		suspect = g_new0(struct suspect, 1);
	} else {
		begin_change(quarantine, suspect);
		if (suspect->expires_us <= now_us)
			memset(suspect, 0, sizeof(*suspect));
	}
	suspect->fingerprint = fingerprint;
	if (suspect->owner_key == 0)
		suspect->owner_key = owner_key;
	return suspect;
}

struct loss *suspect_find_loss(struct suspect *suspect, uint64_t start_key)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		if (suspect->losses[i].start_key == start_key)
			return &suspect->losses[i];
	return NULL;
}

/* Returns an empty loss; of a full list the oldest one is given up. */
struct loss *suspect_add_loss(struct suspect *suspect)
{
	struct loss *oldest = &suspect->losses[0];

	if (suspect->loss_count < SUSPECT_MAX_LOSSES)
		return &suspect->losses[suspect->loss_count++];
	for (int32_t i = 1; i < suspect->loss_count; i++)
		if (suspect->losses[i].lost_us < oldest->lost_us)
			oldest = &suspect->losses[i];
	memset(oldest, 0, sizeof(*oldest));
	return oldest;
}

static struct whole *whole_slot(struct quarantine *quarantine,
				uint64_t fingerprint)
{
	return &quarantine->wholes[fingerprint % WHOLE_SLOTS];
}

void suspect_clear(struct suspect *suspect, int64_t cleared_us)
{
	suspect->cleared_us = MAX(suspect->cleared_us, cleared_us);
}

/* Applies that the request was answered whole lately, if it was. */
void quarantine_clear_if_whole(struct quarantine *quarantine,
			       struct suspect *suspect)
{
	const struct whole *whole =
		whole_slot(quarantine, suspect->fingerprint);

	if (whole->at_us && whole->fingerprint == suspect->fingerprint)
		suspect_clear(suspect, whole->at_us + WHOLE_GRACE_US);
}

/*
 * Returns the start of the endpoint that runs now, as far as is known: the one
 * after the last that is known to have ended under some request. Its birth is
 * left open. A run belongs to the start that was current when its connection
 * was established.
 */
struct endpoint_start
quarantine_current_start(const struct quarantine *quarantine,
			 uint64_t endpoint_key)
{
	struct endpoint_start start = {.endpoint_key = endpoint_key};
	const struct start_losses *losses =
		find_losses(quarantine, endpoint_start_key(&start));

	while (losses && losses->confirmed > 0 && start.number < INT16_MAX) {
		start.number++;
		losses = find_losses(quarantine, endpoint_start_key(&start));
	}
	return start;
}

/*
 * Records that an endpoint broke off a run. This counts for nothing until
 * quarantine_report_end.
 */
void quarantine_report_loss(struct quarantine *quarantine,
			    const struct quarantine_run *run, int64_t now_us)
{
	struct suspect *suspect = quarantine_open(quarantine, run->fingerprint,
						  run->owner_key, now_us);
	uint64_t start_key = endpoint_start_key(&run->start);
	struct loss *loss = suspect_find_loss(suspect, start_key);

	if (!loss)
		loss = suspect_add_loss(suspect);
	if (loss->state == LOSS_CONFIRMED)
		loss->again_us = now_us;
	else
		*loss = (struct loss){.start_key = start_key,
				      .lost_us = now_us,
				      .state = LOSS_SUSPECTED};
	quarantine_clear_if_whole(quarantine, suspect);
	quarantine_put(quarantine, suspect, now_us);
}

/*
 * Returns the fingerprints of the suspects with a loss at the start, which the
 * caller frees. A change of one may evict others.
 */
static GArray *suspects_at(const struct quarantine *quarantine,
			   uint64_t start_key)
{
	const GList *const lists[] = {
		suspect_table_list(quarantine->suspects),
		suspect_table_list(quarantine->held),
	};
	GArray *found = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	if (!find_losses(quarantine, start_key))
		return found;
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		for (const GList *link = lists[i]; link; link = link->next) {
			struct suspect *suspect = link->data;

			if (suspect_find_loss(suspect, start_key))
				g_array_append_val(found, suspect->fingerprint);
		}
	}
	return found;
}

/*
 * Records that a start of an endpoint has ended: the runs that it broke off
 * count. Returns whether that is news for other nodes.
 */
bool quarantine_report_end(struct quarantine *quarantine,
			   const struct endpoint_start *start, int64_t now_us)
{
	uint64_t start_key = endpoint_start_key(start);
	GArray *found = suspects_at(quarantine, start_key);
	bool is_news = false;

	for (guint i = 0; i < found->len; i++) {
		struct suspect *suspect =
			lookup(quarantine, g_array_index(found, uint64_t, i));
		struct loss *loss =
			suspect ? suspect_find_loss(suspect, start_key) : NULL;

		if (!loss)
			continue;
		if (loss->state != LOSS_SUSPECTED && !loss->again_us)
			continue;
		begin_change(quarantine, suspect);
		loss->state = LOSS_CONFIRMED;
		loss->lost_us = MAX(loss->lost_us, loss->again_us);
		loss->again_us = 0;
		suspect->is_news = true;
		is_news = true;
		quarantine_put(quarantine, suspect, now_us);
	}
	g_array_unref(found);
	return is_news;
}

/* Whether the process that answered ran before that time and after it. */
static bool answer_spans(const struct quarantine_answer *answer, int64_t at_us)
{
	return answer->connected_us < at_us && at_us < answer->sent_us;
}

/* Applies an answer to the losses at one start of its endpoint. */
static bool refute_losses(struct quarantine *quarantine, uint64_t start_key,
			  const struct quarantine_answer *answer,
			  int64_t now_us)
{
	GArray *found = suspects_at(quarantine, start_key);
	bool is_news = false;

	for (guint i = 0; i < found->len; i++) {
		struct suspect *suspect =
			lookup(quarantine, g_array_index(found, uint64_t, i));
		struct loss *loss =
			suspect ? suspect_find_loss(suspect, start_key) : NULL;

		if (!loss)
			continue;
		if (answer_spans(answer, loss->again_us))
			loss->again_us = 0;
		if (loss->state == LOSS_REFUTED ||
		    !answer_spans(answer, loss->lost_us))
			continue;
		begin_change(quarantine, suspect);
		suspect->is_news |= loss->state == LOSS_CONFIRMED;
		loss->state = LOSS_REFUTED;
		is_news |= suspect->is_news;
		quarantine_put(quarantine, suspect, now_us);
	}
	g_array_unref(found);
	return is_news;
}

/*
 * Records that an endpoint answered: the process that accepted the connection
 * still ran when the request was sent. Over a newer connection it may be
 * another start of the endpoint, which says nothing of the one before. Returns
 * whether another node may believe that it had ended.
 */
bool quarantine_report_answer(struct quarantine *quarantine,
			      const struct quarantine_answer *answer,
			      int64_t now_us)
{
	struct endpoint_start start = {.endpoint_key = answer->endpoint_key};
	uint64_t start_key = endpoint_start_key(&start);
	bool is_news = false;

	while (find_losses(quarantine, start_key)) {
		is_news |= refute_losses(quarantine, start_key, answer, now_us);
		start.number++;
		start_key = endpoint_start_key(&start);
	}
	return is_news;
}

static bool has_counted_loss(const struct suspect *suspect)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		if (loss_counts(suspect, &suspect->losses[i]))
			return true;
	return false;
}

static bool clear(struct quarantine *quarantine, uint64_t fingerprint,
		  int64_t cleared_us, int64_t now_us)
{
	struct suspect *suspect =
		quarantine_find(quarantine, fingerprint, now_us);

	if (!suspect)
		return false;
	begin_change(quarantine, suspect);
	suspect->is_news |= has_counted_loss(suspect);
	suspect_clear(suspect, cleared_us);
	quarantine_put(quarantine, suspect, now_us);
	return true;
}

/*
 * Records that a request was answered whole: what it lost before was not its
 * doing, even if it is in quarantine. A generation may be continued elsewhere
 * after a second loss and then complete.
 */
void quarantine_report_success(struct quarantine *quarantine,
			       uint64_t fingerprint, int64_t now_us)
{
	*whole_slot(quarantine, fingerprint) =
		(struct whole){fingerprint, now_us};
	clear(quarantine, fingerprint, now_us + WHOLE_GRACE_US, now_us);
}

/*
 * Ends the quarantine of a request, as an operator asks for; losses after that
 * count again. Returns false if nothing is known of the request.
 */
bool quarantine_lift(struct quarantine *quarantine, uint64_t fingerprint,
		     int64_t now_us)
{
	return clear(quarantine, fingerprint, now_us, now_us);
}

/*
 * Records a loss at an endpoint, named by its address, that is known to have
 * ended. Returns true if this puts the request in quarantine.
 */
bool quarantine_report_crash(struct quarantine *quarantine,
			     uint64_t fingerprint, const char *endpoint,
			     int64_t now_us)
{
	const struct quarantine_run run = {
		.fingerprint = fingerprint,
		.start.endpoint_key = (uint64_t)g_str_hash(endpoint) << 32,
	};

	if (quarantine_until_us(quarantine, fingerprint, now_us))
		return false;
	quarantine_report_loss(quarantine, &run, now_us);
	quarantine_report_end(quarantine, &run.start, now_us);
	return quarantine_until_us(quarantine, fingerprint, now_us) != 0;
}

/* Returns when the quarantine of a request ends, in us; 0: it has none. */
int64_t quarantine_until_us(const struct quarantine *quarantine,
			    uint64_t fingerprint, int64_t now_us)
{
	const struct suspect *suspect =
		quarantine_find(quarantine, fingerprint, now_us);
	int64_t until_us = suspect ? held_until_us(quarantine, suspect) : 0;

	return until_us > now_us ? until_us : 0;
}

/* Returns what a request that is to be sent now may do. */
enum quarantine_verdict quarantine_judge(const struct quarantine *quarantine,
					 uint64_t fingerprint, int64_t now_us)
{
	const struct suspect *suspect =
		quarantine_find(quarantine, fingerprint, now_us);
	int64_t until_us = suspect ? held_until_us(quarantine, suspect) : 0;

	if (until_us == 0)
		return QUARANTINE_NONE;
	if (now_us < until_us ||
	    (suspect->trial_us >= until_us &&
	     now_us - suspect->trial_us < quarantine->options.trial_us))
		return QUARANTINE_HELD;
	return QUARANTINE_TRIAL;
}

/* Records that a run tries a request that was held; others are held again. */
void quarantine_begin_trial(struct quarantine *quarantine, uint64_t fingerprint,
			    int64_t now_us)
{
	struct suspect *suspect =
		quarantine_find(quarantine, fingerprint, now_us);

	if (!suspect)
		return;
	suspect->trial_us = now_us;
	suspect->is_news = true;
	quarantine->has_news = true;
}

/*
 * Returns whether the request has a loss that may count against it, without
 * being held.
 */
bool quarantine_is_suspect(const struct quarantine *quarantine,
			   uint64_t fingerprint, int64_t now_us)
{
	const struct suspect *suspect =
		quarantine_find(quarantine, fingerprint, now_us);

	return suspect && !held_until_us(quarantine, suspect) &&
	       has_counted_loss(suspect);
}

/* Returns the number of suspects and held requests, for the dump. */
size_t quarantine_count(const struct quarantine *quarantine)
{
	return suspect_table_count(quarantine->suspects) +
	       suspect_table_count(quarantine->held);
}
