#include "core/limit/quarantine.h"

#include "core/limit/quarantine_state.h"

#include <string.h>

/* A process that ends breaks off all its runs within this time. */
#define END_SPAN_US G_USEC_PER_SEC

/* Defaults: losses are remembered for 10 min, suspects held for 30 min. */
void quarantine_options_default(struct quarantine_options *options)
{
	options->suspect_us = 600 * G_USEC_PER_SEC;
	options->hold_us = 1800 * G_USEC_PER_SEC;
	options->trial_us = 60 * G_USEC_PER_SEC;
	options->rules[SUSPECT_REQUEST] = (struct quarantine_rule){
		.losses_to_hold = 2,
		.shared_losses_to_hold = 3,
		.grace_us = 10 * G_USEC_PER_SEC,
	};
	options->rules[SUSPECT_PART] = (struct quarantine_rule){
		.losses_to_hold = 3,
		.shared_losses_to_hold = 4,
		.grace_us = 3 * G_USEC_PER_SEC,
	};
	options->max_entries = 4096;
}

static void start_losses_destroy(gpointer data)
{
	struct start_losses *losses = data;

	g_ptr_array_unref(losses->suspects);
	g_free(losses);
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
						   NULL, start_losses_destroy);
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

/* Returns the losses at a start, or NULL. */
struct start_losses *quarantine_find_start(const struct quarantine *quarantine,
					   uint64_t start_key)
{
	return g_hash_table_lookup(quarantine->starts, &start_key);
}

static struct start_losses *find_or_add_start(struct quarantine *quarantine,
					      uint64_t start_key)
{
	struct start_losses *losses =
		quarantine_find_start(quarantine, start_key);

	if (losses)
		return losses;
	losses = g_new0(struct start_losses, 1);
	losses->start_key = start_key;
	losses->suspects = g_ptr_array_new();
	g_hash_table_insert(quarantine->starts, &losses->start_key, losses);
	return losses;
}

/* Adds a loss of a suspect to those of its start. */
static void add_loss(struct quarantine *quarantine, struct suspect *suspect,
		     const struct loss *loss)
{
	struct start_losses *losses;

	if (loss->state == LOSS_REFUTED)
		return;
	losses = find_or_add_start(quarantine, loss->start_key);
	g_ptr_array_add(losses->suspects, suspect);
	if (loss->state != LOSS_CONFIRMED)
		return;
	losses->confirmed++;
	losses->ended_us = MAX(losses->ended_us, loss->lost_us);
	losses->counted_requests +=
		suspect_key_kind(suspect->key) == SUSPECT_REQUEST &&
		suspect_loss_counts(suspect, loss);
}

/* Takes a loss of a suspect, not changed since, from those of its start. */
static void subtract_loss(struct quarantine *quarantine,
			  struct suspect *suspect, const struct loss *loss)
{
	struct start_losses *losses =
		quarantine_find_start(quarantine, loss->start_key);

	if (loss->state == LOSS_REFUTED)
		return;
	g_ptr_array_remove_fast(losses->suspects, suspect);
	losses->confirmed -= loss->state == LOSS_CONFIRMED;
	losses->counted_requests -=
		suspect_key_kind(suspect->key) == SUSPECT_REQUEST &&
		suspect_loss_counts(suspect, loss);
	if (losses->suspects->len == 0)
		g_hash_table_remove(quarantine->starts, &loss->start_key);
}

static void add_losses(struct quarantine *quarantine, struct suspect *suspect)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		add_loss(quarantine, suspect, &suspect->losses[i]);
}

static void subtract_losses(struct quarantine *quarantine,
			    struct suspect *suspect)
{
	for (int32_t i = 0; i < suspect->loss_count; i++)
		subtract_loss(quarantine, suspect, &suspect->losses[i]);
}

/* Returns the suspect, or NULL; it may have expired. */
static struct suspect *lookup(const struct quarantine *quarantine, uint64_t key)
{
	struct suspect *suspect = suspect_table_find(quarantine->suspects, key);

	return suspect ? suspect : suspect_table_find(quarantine->held, key);
}

/* Returns the suspect, or NULL if there is none or it has expired. */
struct suspect *quarantine_find(const struct quarantine *quarantine,
				uint64_t key, int64_t now_us)
{
	struct suspect *suspect = lookup(quarantine, key);

	return suspect && suspect->expires_us > now_us ? suspect : NULL;
}

static struct suspect_table *table_of(const struct quarantine *quarantine,
				      uint64_t key)
{
	return suspect_table_find(quarantine->held, key) ? quarantine->held
							 : quarantine->suspects;
}

/* Takes a suspect out of its table, to be changed. */
static void begin_change(struct quarantine *quarantine, struct suspect *suspect)
{
	subtract_losses(quarantine, suspect);
	suspect_table_steal(table_of(quarantine, suspect->key), suspect);
}

/* Puts a changed or new suspect into the table where it belongs now. */
void quarantine_put(struct quarantine *quarantine, struct suspect *suspect,
		    int64_t now_us)
{
	const struct quarantine_options *options = &quarantine->options;
	int64_t newest_us = suspect_newest_loss_us(suspect);
	struct suspect_table *table;
	struct suspect *evicted;
	int64_t until_us;

	add_losses(quarantine, suspect);
	until_us = quarantine_held_until_us(quarantine, suspect);
	table = until_us > now_us ? quarantine->held : quarantine->suspects;
	suspect->expires_us = MAX(newest_us + options->suspect_us,
				  until_us ? 2 * until_us - newest_us : 0);
	quarantine->has_news |= suspect->is_news;
	evicted = suspect_table_evict(table, suspect->owner_key);
	if (evicted) {
		subtract_losses(quarantine, evicted);
		g_free(evicted);
	}
	suspect_table_add(table, suspect);
}

/*
 * Returns the suspect to be changed, a new one if there is none; after that
 * quarantine_put is to be called.
 */
struct suspect *quarantine_open(struct quarantine *quarantine, uint64_t key,
				uint64_t owner_key, int64_t now_us)
{
	struct suspect_table *table = table_of(quarantine, key);
	struct suspect *suspect = suspect_table_find(table, key);

	if (!suspect) {
		suspect = g_new0(struct suspect, 1);
	} else {
		begin_change(quarantine, suspect);
		if (suspect->expires_us <= now_us)
			memset(suspect, 0, sizeof(*suspect));
	}
	suspect->key = key;
	if (suspect->owner_key == 0)
		suspect->owner_key = owner_key;
	return suspect;
}

static struct whole *whole_slot(struct quarantine *quarantine, uint64_t key)
{
	return &quarantine->wholes[suspect_key_kind(key)][key % WHOLE_SLOTS];
}

/*
 * Applies that the suspect was answered whole lately, if it was. Returns
 * whether that clears a loss that counted.
 */
bool quarantine_clear_if_whole(struct quarantine *quarantine,
			       struct suspect *suspect)
{
	const struct whole *whole = whole_slot(quarantine, suspect->key);
	bool counted = suspect_has_counted_loss(suspect);

	if (whole->cleared_us && whole->key == suspect->key)
		suspect_clear(suspect, whole->cleared_us);
	return counted && !suspect_has_counted_loss(suspect);
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
		quarantine_find_start(quarantine, endpoint_start_key(&start));

	while (losses && losses->confirmed > 0 && start.number < INT16_MAX) {
		start.number++;
		losses = quarantine_find_start(quarantine,
					       endpoint_start_key(&start));
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
	struct suspect *suspect =
		quarantine_open(quarantine, run->key, run->owner_key, now_us);
	uint64_t start_key = endpoint_start_key(&run->start);
	struct loss *loss = suspect_find_loss(suspect, start_key);
	const struct loss lost = {
		.start_key = start_key,
		.lost_us = now_us,
		.state = LOSS_SUSPECTED,
	};

	if (!loss)
		suspect_add_loss(suspect, &lost);
	else if (loss->state == LOSS_CONFIRMED)
		loss->again_us = now_us;
	else
		*loss = lost;
	quarantine_clear_if_whole(quarantine, suspect);
	quarantine_put(quarantine, suspect, now_us);
}

/*
 * Returns the keys of the suspects with a loss at the start, which the caller
 * frees. A change of one may evict others.
 */
static GArray *suspects_at(const struct quarantine *quarantine,
			   uint64_t start_key)
{
	const struct start_losses *losses =
		quarantine_find_start(quarantine, start_key);
	GArray *found = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	for (guint i = 0; losses && i < losses->suspects->len; i++) {
		const struct suspect *suspect =
			g_ptr_array_index(losses->suspects, i);

		g_array_append_val(found, suspect->key);
	}
	return found;
}

/* When the start broke off the last run of any suspect. */
static int64_t find_end_us(const struct quarantine *quarantine,
			   uint64_t start_key)
{
	const struct start_losses *losses =
		quarantine_find_start(quarantine, start_key);
	int64_t end_us = INT64_MIN;

	for (guint i = 0; losses && i < losses->suspects->len; i++) {
		struct suspect *suspect =
			g_ptr_array_index(losses->suspects, i);

		end_us = MAX(end_us, loss_last_us(suspect_find_loss(
					     suspect, start_key)));
	}
	return end_us;
}

/*
 * Records that a start of an endpoint has ended: the runs that it broke off at
 * its end count. Returns whether that is news for other nodes.
 */
bool quarantine_report_end(struct quarantine *quarantine,
			   const struct endpoint_start *start, int64_t now_us)
{
	uint64_t start_key = endpoint_start_key(start);
	int64_t end_us = find_end_us(quarantine, start_key);
	GArray *found = suspects_at(quarantine, start_key);
	bool is_news = false;

	for (guint i = 0; i < found->len; i++) {
		struct suspect *suspect =
			lookup(quarantine, g_array_index(found, uint64_t, i));
		struct loss *loss =
			suspect ? suspect_find_loss(suspect, start_key) : NULL;

		if (!loss || loss_last_us(loss) < end_us - END_SPAN_US)
			continue;
		if (loss->state != LOSS_SUSPECTED && !loss->again_us)
			continue;
		begin_change(quarantine, suspect);
		loss->state = LOSS_CONFIRMED;
		loss->lost_us = loss_last_us(loss);
		loss->again_us = 0;
		/* That a sound part lost a run tells nobody anything. */
		loss->is_news =
			suspect_key_kind(suspect->key) == SUSPECT_REQUEST ||
			suspect_loss_counts(suspect, loss);
		suspect->is_news |= loss->is_news;
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
		loss->is_news = loss->state == LOSS_CONFIRMED;
		suspect->is_news |= loss->is_news;
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

	while (quarantine_find_start(quarantine, start_key)) {
		is_news |= refute_losses(quarantine, start_key, answer, now_us);
		start.number++;
		start_key = endpoint_start_key(&start);
	}
	return is_news;
}

/* Whether all nodes are to hear at once that the suspect is cleared. */
static bool is_urgent_to_clear(const struct quarantine *quarantine,
			       const struct suspect *suspect)
{
	switch (suspect_key_kind(suspect->key)) {
	case SUSPECT_REQUEST:
		return suspect_has_counted_loss(suspect);
	case SUSPECT_PART:
		/* Many nodes clear a popular part at once: gossip tells of it.
		 */
		return quarantine_held_until_us(quarantine, suspect);
	}
	return false;
}

static bool clear(struct quarantine *quarantine, uint64_t key,
		  int64_t cleared_us, int64_t now_us)
{
	struct suspect *suspect = quarantine_find(quarantine, key, now_us);

	if (!suspect || !suspect_has_open_loss(suspect))
		return suspect != NULL;
	quarantine->has_changed |= suspect_has_counted_loss(suspect);
	suspect->is_news |= is_urgent_to_clear(quarantine, suspect);
	begin_change(quarantine, suspect);
	suspect_clear(suspect, cleared_us);
	quarantine_put(quarantine, suspect, now_us);
	return true;
}

/*
 * Records that a run which began to answer at begun_us went on to do so: what
 * was lost before was not the suspect's doing, even if it is held. It counts
 * for the rule's grace: a popular suspect runs at each endpoint that another
 * one ends. A request is cleared by its whole answer only, up to now.
 */
void quarantine_report_success(struct quarantine *quarantine, uint64_t key,
			       int64_t begun_us, int64_t now_us)
{
	const enum suspect_kind kind = suspect_key_kind(key);
	struct whole *whole = whole_slot(quarantine, key);
	int64_t cleared_us = quarantine->options.rules[kind].grace_us +
			     (kind == SUSPECT_REQUEST ? now_us : begun_us);

	if (whole->key != key || whole->cleared_us < cleared_us)
		*whole = (struct whole){key, cleared_us};
	clear(quarantine, key, cleared_us, now_us);
}

/*
 * Ends the quarantine of a suspect, as an operator asks for; losses after that
 * count again. Returns false if nothing is known of it.
 */
bool quarantine_lift(struct quarantine *quarantine, uint64_t key,
		     int64_t now_us)
{
	return clear(quarantine, key, now_us, now_us);
}

/* Records that a run tries a request that was held; others are held again. */
void quarantine_begin_trial(struct quarantine *quarantine, uint64_t key,
			    int64_t now_us)
{
	struct suspect *suspect = quarantine_find(quarantine, key, now_us);

	if (!suspect)
		return;
	suspect->trial_us = now_us;
	suspect->is_news = true;
	quarantine->has_news = true;
}

/* Returns the number of suspects and held requests, for the dump. */
size_t quarantine_count(const struct quarantine *quarantine)
{
	return suspect_table_count(quarantine->suspects) +
	       suspect_table_count(quarantine->held);
}
